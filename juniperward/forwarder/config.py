"""The codec of a forwarder's configuration: decodes the environment and a JSON file as one typed value.

`start.py` reads it at the start, and `reload.py` at each SIGHUP. The keys of the file and the names of the
environment variables appear in this module only. The scheduler's settings in the file have their own codec.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

from juniperward.forwarder.address import parse_address
from juniperward.forwarder.endpoint_list_codec import EndpointListUpdate, read_endpoint_list_update
from juniperward.forwarder.settings_names import SettingsNames, read_settings_names
from juniperward.scheduler.settings import SchedulerSettings
from juniperward.scheduler.settings_codec import read_settings

DEFAULT_MAX_SOCKETS = 1024
DEFAULT_MEMORY_MB = 64
DEFAULT_JOURNAL_MB = 1
DEFAULT_SPOOL_BYTES = 50_000_000
BYTES_PER_MB = 1_000_000
DEFAULT_MEMORY_LIMIT_BYTES = DEFAULT_MEMORY_MB * BYTES_PER_MB
SEED_RADIX = 16

# Keys in the file by field of `Config`, for fields whose names differ from their keys.
FILE_KEYS = {
    "state_folder": "state",
    "max_sockets": "limits.sockets",
    "journal_max_bytes": "limits.disk_mb",
    "memory_limit_bytes": "limits.memory_mb",
    "names": "settings",
    "known_endpoints": "known",
    "spool": "kept",
    "control_socket": "control",
}


class ConfigError(Exception):
    """The configuration is invalid; the text gives the place and the problem in one line."""

    def __init__(self, place: str, problem: str) -> None:
        """Name the file or environment variable, and describe the problem."""
        super().__init__(f"{place}: {problem}")
        self.place, self.problem = place, problem


class BadValueError(ValueError):
    """The value of a key or an environment variable is invalid."""

    def __init__(self, key: str, problem: str) -> None:
        """Name the key or variable, and describe the problem."""
        super().__init__(f"{key}: {problem}")
        self.key, self.problem = key, problem


@dataclass(frozen=True, slots=True)
class SpoolConfig:
    """The folder where dead letters are stored until the agent fetches them, and its maximum size."""

    folder: Path
    max_bytes: int


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of a forwarder.

    Attributes:
        name: The name of this forwarder.
        listen: The address on which it accepts clients.
        discovery: The address of discovery.
        state_folder: The folder of the journal.
        seed: The seed of this forwarder's random numbers.
        max_sockets: The limit on file descriptors.
        journal_max_bytes: The disk quota of the state folder.
        settings: The settings of the scheduler.
        names: The names in these settings.
        known_endpoints: The endpoint list in use until discovery's first update.
        spool: The spool of dead letters; without it they are not stored.
        control_socket: The path of the control channel; without it none is opened.
        memory_limit_bytes: The limit on the process's memory.

    """

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    state_folder: Path
    seed: int
    max_sockets: int
    journal_max_bytes: int
    settings: SchedulerSettings
    names: SettingsNames
    known_endpoints: EndpointListUpdate
    spool: SpoolConfig | None = None
    control_socket: Path | None = None
    memory_limit_bytes: int = DEFAULT_MEMORY_LIMIT_BYTES


def load(environment: Mapping[str, str]) -> Config:
    """Read the file that ROUTER_CONFIG names; environment variables override it. Raises ConfigError."""
    path = environment.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG", "environment variable is not set")
    try:
        document = json.loads(Path(path).read_text())
    except OSError as error:
        raise ConfigError(path, error.strerror or str(error)) from error
    except ValueError as error:
        raise ConfigError(path, f"not JSON: {error}") from error
    try:
        return _from_json(document, environment)
    except KeyError as error:
        raise ConfigError(path, f"{error.args[0]!r} is missing") from error
    except (ValueError, TypeError, AttributeError, ArithmeticError) as error:
        raise ConfigError(path, str(error)) from error


def changed_keys(before: Config, after: Config) -> tuple[str, ...]:
    """Return the keys of the file whose values differ, each once."""
    changed = (f.name for f in fields(Config) if getattr(before, f.name) != getattr(after, f.name))
    return tuple(dict.fromkeys(FILE_KEYS.get(name, name) for name in changed))


def _from_json(document: Any, environment: Mapping[str, str]) -> Config:
    settings = read_settings(document["settings"])
    names = read_settings_names(document["settings"])
    limits = document.get("limits") or {}
    state_folder = Path(environment.get("ROUTER_STATE") or document["state"])
    if not state_folder.is_dir():
        raise BadValueError("ROUTER_STATE", f"no such folder: {state_folder}")
    return Config(
        name=environment.get("ROUTER_NAME") or document["name"],
        listen=parse_address(environment.get("ROUTER_LISTEN") or document["listen"]),
        discovery=parse_address(environment.get("ROUTER_DISCOVERY") or document["discovery"]),
        state_folder=state_folder,
        seed=int(str(document["seed"]), SEED_RADIX),
        max_sockets=int(limits.get("sockets", DEFAULT_MAX_SOCKETS)),
        journal_max_bytes=int(float(limits.get("disk_mb", DEFAULT_JOURNAL_MB)) * BYTES_PER_MB),
        settings=settings,
        names=names,
        known_endpoints=read_endpoint_list_update(document["known"], names),
        control_socket=_read_control_socket(document.get("control")),
        spool=_read_spool(document.get("kept")),
        memory_limit_bytes=int(float(limits.get("memory_mb", DEFAULT_MEMORY_MB)) * BYTES_PER_MB),
    )


def _read_spool(value: Any) -> SpoolConfig | None:
    if value is None:
        return None
    if not isinstance(value, dict) or not str(value.get("spool", "")).startswith("/"):
        raise BadValueError("kept", "must be an object with the absolute path `spool`")
    max_bytes = value.get("max_bytes", DEFAULT_SPOOL_BYTES)
    if type(max_bytes) is not int or max_bytes <= 0:
        raise BadValueError("kept", f"max_bytes: must be a whole number above 0, not {max_bytes!r}")
    return SpoolConfig(Path(value["spool"]), max_bytes)


def _read_control_socket(value: Any) -> Path | None:
    if value is None:
        return None
    if not isinstance(value, str) or not value.startswith("/"):
        raise BadValueError("control", f"must be the absolute path of a socket, not {value!r}")
    return Path(value)
