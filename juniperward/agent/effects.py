"""The effects of the agent's reducer: what is to be done; `effect_executor` carries them out in their order."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from juniperward.agent.replies import ApiResponse
from juniperward.agent.state import PersistentState
from juniperward.fleet.model import Process


@dataclass(frozen=True, slots=True)
class SaveState:
    """Store the state; `StateSaved` follows at once."""

    state: PersistentState


@dataclass(frozen=True, slots=True)
class SpawnProcess:
    """Start an instance's process; `ProcessSpawned` follows at once."""

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
    """Send an order on an instance's control channel: drain or resume."""

    name: str
    verb: str


@dataclass(frozen=True, slots=True)
class WatchInstance:
    """Poll this process for its status from now on; None: poll none."""

    name: str
    process: Process | None


@dataclass(frozen=True, slots=True)
class ReplyToClient:
    """Answer a client."""

    client: int
    response: ApiResponse


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write an event to the log, and add it to those that clients may read."""

    event: str
    fields: dict[str, Any]
    level: str = "info"


Effect = SaveState | SpawnProcess | SendSignal | SendOrder | WatchInstance | ReplyToClient | LogEvent
