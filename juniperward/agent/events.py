"""The events of the agent's reducer: what has happened, as the loop, the watchers and the API report it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from juniperward.agent.state import PersistentState, Rules
from juniperward.fleet.model import Process, Reading


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
    """What an earlier agent stored, and which of its processes still run; comes once, first of all."""

    state: PersistentState
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
    error: str


@dataclass(frozen=True, slots=True)
class ProcessExited:
    """A process has ended; `exit_reason` is for a person: its exit code or signal."""

    name: str
    process: Process
    exit_reason: str


@dataclass(frozen=True, slots=True)
class ProcessSpawned:
    """The outcome of a `SpawnProcess`: a process, or an error where there is none."""

    name: str
    configuration_version: str
    process: Process | None
    error: str = ""


@dataclass(frozen=True, slots=True)
class StateSaved:
    """The outcome of a `SaveState`; `error` is empty where the state is on disk."""

    state: PersistentState
    error: str = ""


@dataclass(frozen=True, slots=True)
class ControlRequest:
    """A client's request that the reducer answers; `verb` is one of the agent's API."""

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
