"""Typed values of the agent: its state, events, effects, and what it tells its clients."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

from pyrsistent import PMap, pmap

from juniperward.fleet.model import Instance, Process, Reading, RestartPolicy, RollRules, Timeouts
from juniperward.fleet.roll_model import Roll, RollOrder
from juniperward.fleet.service import Meter


@dataclass(frozen=True, slots=True)
class PersistentState:
    """What outlasts the agent; written down as one value."""

    instances: tuple[Instance, ...] = ()
    roll: Roll | None = None
    rolls_made: int = 0  # made so far
    configuration_version: str = ""  # the newest


def persistent_part(i: Instance) -> Instance:
    """What of an instance is worth writing down."""
    return Instance(
        i.name, i.desired_state, i.process, i.started_at if i.process else 0.0, i.configuration_version,
        was_ready=i.was_ready, drain_requested=i.drain_requested, last_exit=i.last_exit, crashes=i.crashes,
        stopping_since=i.stopping_since if i.process else None,
    )  # fmt: skip


@dataclass(frozen=True, slots=True)
class Rules:
    """What the settings say of decisions."""

    restart: RestartPolicy = RestartPolicy()
    timeouts: Timeouts = Timeouts()
    roll: RollRules = RollRules()


@dataclass(frozen=True, slots=True)
class State:
    """All that the agent knows; a value: an earlier one stays as it was."""

    instances: PMap[str, Instance] = field(default_factory=pmap)
    rules: Rules = Rules()
    meter: Meter = field(default_factory=Meter)
    roll: Roll | None = None
    rolls_made: int = 0
    configuration_version: str = ""
    saved: PersistentState | None = None  # as it was last written down
    before: Roll | None = None  # the roll before the step that is being written down
    pending: tuple[RollOrder, ...] = ()  # orders of that step: they wait for it to be written
    replies: tuple[int, ...] = ()  # clients that wait for it too
    writing: bool = False  # such a step is being written down
    save_again_at: float = 0.0  # after a failure
    leaving: frozenset[str] = frozenset()  # taken out of the settings; forgotten once ended

    def with_instance(self, instance: Instance) -> State:
        """Return the state with an instance in the place of what was known of it."""
        return replace(self, instances=self.instances.set(instance.name, instance))

    def without_instance(self, name: str) -> State:
        """Return the state without an instance that was taken out of the settings."""
        return replace(self, instances=self.instances.discard(name), leaving=self.leaving - {name})

    def durable(self) -> PersistentState:
        """Return the part that outlasts the agent."""
        return PersistentState(
            tuple(persistent_part(self.instances[n]) for n in sorted(self.instances)),
            self.roll,
            self.rolls_made,
            self.configuration_version,
        )


# --- events ------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class SettingsLoaded:
    """The settings were read: at the start, or again."""

    names: tuple[str, ...]
    stopped: frozenset[str]
    configuration_version: str
    rules: Rules
    requested_by: int | None = None


@dataclass(frozen=True, slots=True)
class RunningProcess:
    """A process of an instance found running when the agent starts; `started_at` on the monotonic clock (s)."""

    name: str
    process: Process
    started_at: float


@dataclass(frozen=True, slots=True)
class StateRestored:
    """What an earlier agent wrote down, and which of its processes run still; comes once, first of all."""

    durable: PersistentState
    running: tuple[RunningProcess, ...]


@dataclass(frozen=True, slots=True)
class InstanceAnswered:
    """An instance has reported its status."""

    name: str
    reading: Reading


@dataclass(frozen=True, slots=True)
class InstanceUnanswered:
    """An instance was polled and did not answer; `since` is when it was first polled in vain."""

    name: str
    process: Process
    since: float
    text: str


@dataclass(frozen=True, slots=True)
class ProcessExited:
    """A process has ended."""

    name: str
    process: Process
    how: str


@dataclass(frozen=True, slots=True)
class ProcessSpawned:
    """What became of a `SpawnProcess`: a process, or why there is none."""

    name: str
    configuration_version: str
    process: Process | None
    why: str = ""


@dataclass(frozen=True, slots=True)
class StateSaved:
    """What became of a `SaveState`; `error` is empty where it is written."""

    durable: PersistentState
    error: str = ""


@dataclass(frozen=True, slots=True)
class ControlRequest:
    """A client gives an order; `verb` is one of the agent's API."""

    client: int
    verb: str
    names: tuple[str, ...] = ()
    options: dict[str, Any] = field(default_factory=dict)


Event = (
    Tick
    | SettingsLoaded
    | StateRestored
    | InstanceAnswered
    | InstanceUnanswered
    | ProcessExited
    | ProcessSpawned
    | StateSaved
    | ControlRequest
)

# --- effects -----------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class SaveState:
    """Write the state down; `StateSaved` reports back at once."""

    durable: PersistentState


@dataclass(frozen=True, slots=True)
class SpawnProcess:
    """Start an instance's process; `ProcessSpawned` reports back at once."""

    name: str
    configuration_version: str


@dataclass(frozen=True, slots=True)
class SendSignal:
    """Send a signal to a process, if it is still the same."""

    name: str
    process: Process
    signal: int


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Give an order on an instance's control channel: drain or resume."""

    name: str
    verb: str


@dataclass(frozen=True, slots=True)
class WatchInstance:
    """Ask this process for its state from now on."""

    name: str
    process: Process | None


@dataclass(frozen=True, slots=True)
class ReplyToClient:
    """Answer a client."""

    client: int
    status: int
    body: dict[str, Any]


@dataclass(frozen=True, slots=True)
class LogEvent:
    """A line for the log and the events."""

    event: str
    fields: dict[str, Any]
    level: str = "info"


Effect = SaveState | SpawnProcess | SendSignal | SendOrder | WatchInstance | ReplyToClient | LogEvent
