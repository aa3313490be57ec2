"""The events that the loop, the watchers and the API post to the agent's reducer."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from juniperward.agent.state import PersistentState, Rules
from juniperward.fleet.model import Process, Reading


@dataclass(frozen=True, slots=True)
class Tick:
    """Triggers what depends on time: backoffs, timeouts and the advance of a roll."""


@dataclass(frozen=True, slots=True)
class SettingsLoaded:
    """The settings were loaded at the start, or reloaded.

    Attributes:
        names: All instances of the settings.
        stopped: Those of `names` whose initial desired state is stopped.
        configuration_version: The stored version of the instances' configuration.
        rules: The rules for restarts, timeouts and rolls.
        requested_by: The client that gets a reply, or None.

    """

    names: tuple[str, ...]
    stopped: frozenset[str]
    configuration_version: str
    rules: Rules
    requested_by: int | None = None


@dataclass(frozen=True, slots=True)
class RunningProcess:
    """An instance's process that runs when the agent starts; `started_at` is in monotonic seconds."""

    name: str
    process: Process
    started_at: float


@dataclass(frozen=True, slots=True)
class StateRestored:
    """The stored state of an earlier agent, and its processes that still run; the first event, posted once."""

    state: PersistentState
    running: tuple[RunningProcess, ...]


@dataclass(frozen=True, slots=True)
class InstanceAnswered:
    """An instance answered a poll with its status."""

    name: str
    reading: Reading


@dataclass(frozen=True, slots=True)
class InstanceUnanswered:
    """An instance did not answer a poll; `since` is the time of the first unanswered poll, in monotonic seconds."""

    name: str
    process: Process
    since: float
    error: str


@dataclass(frozen=True, slots=True)
class ProcessExited:
    """A process has exited; `exit_reason` is a text for people with its exit code or signal."""

    name: str
    process: Process
    exit_reason: str


@dataclass(frozen=True, slots=True)
class ProcessSpawned:
    """The outcome of a `SpawnProcess`; if it failed, `process` is None and `error` says why."""

    name: str
    configuration_version: str
    process: Process | None
    error: str = ""


@dataclass(frozen=True, slots=True)
class StateSaved:
    """The outcome of a `SaveState`; `error` is empty if the state was stored."""

    state: PersistentState
    error: str = ""


@dataclass(frozen=True, slots=True)
class ControlRequest:
    """A request of a client that the reducer answers.

    Attributes:
        client: The number to which the reply goes.
        verb: A verb of the agent's API.
        names: The instances concerned; empty for all.
        options: The options of a roll, by key.

    """

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
