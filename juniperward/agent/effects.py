"""The effects that the agent's reducer emits; `effect_executor` carries them out in order."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from juniperward.agent.replies import ApiResponse
from juniperward.agent.state import PersistentState
from juniperward.fleet.model import Process


@dataclass(frozen=True, slots=True)
class SaveState:
    """Store the state; a `StateSaved` event reports the outcome."""

    state: PersistentState


@dataclass(frozen=True, slots=True)
class SpawnProcess:
    """Start the process of an instance; a `ProcessSpawned` event reports the outcome."""

    name: str
    configuration_version: str


@dataclass(frozen=True, slots=True)
class SendSignal:
    """Send a signal to a process, unless it has exited; another process with its pid gets none."""

    name: str
    process: Process
    signal: int


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order (drain or resume) to a process on its control channel; a later process gets none."""

    name: str
    process: Process
    verb: str


@dataclass(frozen=True, slots=True)
class WatchInstance:
    """Poll the status of this process from now on; with None, stop polling."""

    name: str
    process: Process | None


@dataclass(frozen=True, slots=True)
class ReplyToClient:
    """Send the response to a client's request."""

    client: int
    response: ApiResponse


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write an event to the log, and to the latest events that clients can read."""

    event: str
    fields: dict[str, Any]
    level: str = "info"


Effect = SaveState | SpawnProcess | SendSignal | SendOrder | WatchInstance | ReplyToClient | LogEvent
