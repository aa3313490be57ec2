"""The checked values of a fleet's settings."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from juniperward.dead_letters.redrive_settings import RedriveSettings
from juniperward.fleet.model import RestartPolicy, RollRules, Timeouts


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """One forwarder; `config` is the complete configuration of its process but for the seed of each start."""

    name: str
    listen: str
    state: Path
    control: Path
    stopped: bool
    config: dict[str, Any]


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """A checked file."""

    file: Path
    name: str
    folder: Path
    socket: Path  # of the agent's API
    instances: tuple[InstanceSettings, ...]
    restart: RestartPolicy
    timeouts: Timeouts
    roll: RollRules
    log_bytes: int
    log_files_retained: int  # rotated ones, of each instance
    log_json: bool | None
    redrive: RedriveSettings | None = None  # None: dead letters are off
