"""The codec of a forwarder's configuration: the environment and the JSON file to one typed value.

Read at the start by `start.py`, and by `reload.py` at each SIGHUP. The file's keys and the names of the environment
are here alone; the scheduler's settings in the file have a codec of their own.
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
DEFAULT_JOURNAL_MB = 1
DEFAULT_SPOOL_BYTES = 50_000_000
BYTES_PER_MB = 1_000_000
SEED_BASE = 16

# The key of the file for each field; keys that are equal in the file and in `Config` are not repeated here.
KEYS = {
    "state_folder": "state",
    "max_sockets": "limits.sockets",
    "journal_max_bytes": "limits.disk_mb",
    "names": "settings",
    "known_endpoints": "known",
    "spool": "kept",
    "control_socket": "control",
}


class ConfigError(Exception):
    """The configuration cannot be used; the text says where and why, in one line."""

    def __init__(self, place: str, problem: str) -> None:
        """Name the place, and what is wrong there."""
        super().__init__(f"{place}: {problem}")
        self.place, self.problem = place, problem


class BadValueError(ValueError):
    """The value of one key or variable cannot be used."""

    def __init__(self, key: str, problem: str) -> None:
        """Name the key, and what is wrong with its value."""
        super().__init__(f"{key}: {problem}")
        self.key, self.problem = key, problem


@dataclass(frozen=True, slots=True)
class SpoolConfig:
    """Where dead letters are stored until the agent fetches them, and how many bytes of them at most."""

    folder: Path
    max_bytes: int


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of a forwarder."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    state_folder: Path
    seed: int
    max_sockets: int
    journal_max_bytes: int
    settings: SchedulerSettings
    names: SettingsNames
    known_endpoints: EndpointListUpdate  # in use until discovery's first update
    spool: SpoolConfig | None = None  # without it no dead letter is stored
    control_socket: Path | None = None  # without it no control channel is opened


def load(environment: Mapping[str, str]) -> Config:
    """Read the file that the environment names; the environment goes over the file. Raises ConfigError."""
    path = environment.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG", "it is not set")
    try:
        given = json.loads(Path(path).read_text())
    except OSError as error:
        raise ConfigError(path, error.strerror or str(error)) from error
    except ValueError as error:
        raise ConfigError(path, f"not JSON: {error}") from error
    try:
        return _from_json(given, environment)
    except KeyError as error:
        raise ConfigError(path, f"{error.args[0]!r} is missing") from error
    except (ValueError, TypeError, AttributeError, ArithmeticError) as error:
        raise ConfigError(path, str(error)) from error


def changed_keys(before: Config, after: Config) -> tuple[str, ...]:
    """Return the file's keys whose values differ, each once."""
    changed = (f.name for f in fields(Config) if getattr(before, f.name) != getattr(after, f.name))
    return tuple(dict.fromkeys(KEYS.get(name, name) for name in changed))


def _from_json(given: Any, environment: Mapping[str, str]) -> Config:
    settings = read_settings(given["settings"])
    names = read_settings_names(given["settings"])
    limits = given.get("limits") or {}
    state_folder = Path(environment.get("ROUTER_STATE") or given["state"])
    if not state_folder.is_dir():
        raise BadValueError("ROUTER_STATE", f"no such folder: {state_folder}")
    return Config(
        name=environment.get("ROUTER_NAME") or given["name"],
        listen=parse_address(environment.get("ROUTER_LISTEN") or given["listen"]),
        discovery=parse_address(environment.get("ROUTER_DISCOVERY") or given["discovery"]),
        state_folder=state_folder,
        seed=int(str(given["seed"]), SEED_BASE),
        max_sockets=int(limits.get("sockets", DEFAULT_MAX_SOCKETS)),
        journal_max_bytes=int(float(limits.get("disk_mb", DEFAULT_JOURNAL_MB)) * BYTES_PER_MB),
        settings=settings,
        names=names,
        known_endpoints=read_endpoint_list_update(given["known"], names),
        control_socket=_read_control_socket(given.get("control")),
        spool=_read_spool(given.get("kept")),
    )


def _read_spool(value: Any) -> SpoolConfig | None:
    if value is None:
        return None
    if not isinstance(value, dict) or not str(value.get("spool", "")).startswith("/"):
        raise BadValueError("kept", "an object with the absolute path `spool` is needed")
    max_bytes = value.get("max_bytes", DEFAULT_SPOOL_BYTES)
    if type(max_bytes) is not int or max_bytes <= 0:
        raise BadValueError("kept", f"max_bytes: a number above 0 is needed, not {max_bytes!r}")
    return SpoolConfig(Path(value["spool"]), max_bytes)


def _read_control_socket(value: Any) -> Path | None:
    if value is None:
        return None
    if not isinstance(value, str) or not value.startswith("/"):
        raise BadValueError("control", f"the absolute path of a socket is needed, not {value!r}")
    return Path(value)
