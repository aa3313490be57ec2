"""The checked settings of a fleet."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from juniperward.dead_letters.redrive_settings import RedriveSettings
from juniperward.fleet.model import RestartPolicy, RollRules, Timeouts


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """The settings of one forwarder.

    Attributes:
        name: Its name, unique in the fleet.
        listen: The address (host:port) on which it accepts clients.
        state: The folder of its persistent state.
        control: The path of its control channel's socket.
        stopped: Whether it stays stopped when the agent starts.
        config: The complete configuration of its process, without the seed, which each start chooses anew.

    """

    name: str
    listen: str
    state: Path
    control: Path
    stopped: bool
    config: dict[str, Any]


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """The settings of a fleet, from one settings file.

    Attributes:
        file: The path of the settings file.
        name: The name of the fleet.
        folder: The agent's folder: its state, sockets and logs.
        socket: The path of the socket of the agent's API.
        instances: The settings of each forwarder.
        restart: When a crashed instance is restarted.
        timeouts: How long an instance may take to start, answer and stop.
        roll: The default rules of rolls.
        log_bytes: The size in bytes above which an instance's log file is rotated.
        log_files_retained: The number of rotated log files retained for each instance.
        log_json: Whether the agent logs JSON; None if that depends on whether its output is a terminal.
        redrive: The settings of redrives; None if dead letters are disabled.

    """

    file: Path
    name: str
    folder: Path
    socket: Path
    instances: tuple[InstanceSettings, ...]
    restart: RestartPolicy
    timeouts: Timeouts
    roll: RollRules
    log_bytes: int
    log_files_retained: int
    log_json: bool | None
    redrive: RedriveSettings | None = None
