"""The environment and the JSON configuration, read once into one typed value."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from juniperward.forwarder.model import Endpoint
from juniperward.forwarder.telemetry import increment, log
from juniperward.scheduler.events import EndpointPhase
from juniperward.scheduler.settings import SchedulerSettings
from juniperward.scheduler.settings_codec import read_settings

PHASES = {"Ready": EndpointPhase.READY, "Terminating": EndpointPhase.DRAINING, "Gone": EndpointPhase.GONE}


class ConfigError(Exception):
    """The configuration cannot be used; the text says where and why, in one line."""

    def __init__(self, place: str, problem: str) -> None:
        """Name the place and what is wrong with it."""
        super().__init__(f"{place}: {problem}")
        self.place = place


class BadValueError(ValueError):
    """A value of the configuration cannot be used."""

    def __init__(self, key: str, problem: str) -> None:
        """Name the key and what is wrong with it."""
        super().__init__(f"{key}: {problem}")


class BadAddressError(ValueError):
    """A text is no address."""

    def __init__(self, text: str) -> None:
        """Show the text."""
        super().__init__(f"not an address of the form host:port: {text!r}")


@dataclass(frozen=True, slots=True)
class Names:
    """The settings' names, by which clients and the registry speak; their places are the module's numbers."""

    classes: tuple[str, ...]
    deadlines: tuple[float, ...]  # of the classes: no message has longer
    tenants: tuple[str, ...]
    kinds: tuple[str, ...]
    zones: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class News:
    """The registry's list, whole or changes."""

    version: int
    full: bool
    workers: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class Config:
    """All that a forwarder is told at its start."""

    name: str
    listen: tuple[str, int]
    registry: tuple[str, int]
    state: Path
    seed: int
    sockets: int
    disk_bytes: int
    settings: SchedulerSettings
    names: Names
    known: News
    spool: Path | None = None  # where messages that are given up are kept; they are not without it
    spool_bytes: int = 0
    control: Path | None = None  # the control channel's socket; none is opened without it


def address(text: str) -> tuple[str, int]:
    """Split `host:port`."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise BadAddressError(text)
    return host.strip("[]"), int(port)


def read_news(value: Any, names: Names) -> News:
    """Decode one object of the registry's list; an entry that makes no sense is left out."""
    workers = []
    for entry in value["servers"]:
        try:
            workers.append(_read_worker(entry, names))
        except (KeyError, ValueError, TypeError, AttributeError) as error:
            # It would come again with every watch: failing the whole would leave us without any news.
            increment("endpoint_entries_unread")
            log("discovery", "entry unreadable", type=type(error).__name__, error=error)
    return News(int(value["version"]), bool(value["full"]), tuple(workers))


def _read_worker(entry: Any, names: Names) -> Endpoint:
    host, port = address(entry["addr"])
    kind, zone = entry.get("kind"), entry.get("zone")
    return Endpoint(
        id=str(entry["id"]),
        host=host,
        port=port,
        destination=int(entry["cell"]),
        phase=PHASES[entry["state"]],
        kind=names.kinds.index(kind) if kind in names.kinds else 0,
        zone=names.zones.index(zone) if zone in names.zones else 0,
        listed_rate=_rate(entry.get("weight")),
    )


def _rate(value: Any) -> float:
    """A listed rate; one that makes no sense is as none, and must not cost us the worker."""
    if value is None:
        return 0.0
    try:
        rate = float(value)
    except (ValueError, TypeError, OverflowError):
        rate = math.nan
    if 0 <= rate < math.inf:
        return rate
    increment("listed_rates_unread")
    return 0.0


def load(environment: Mapping[str, str]) -> Config:
    """Read everything; raises ConfigError with one plain line."""
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


def _from_json(given: Any, environment: Mapping[str, str]) -> Config:
    raw = given["settings"]
    settings = read_settings(raw)
    names = Names(
        classes=tuple(c["Name"] for c in raw["Services"]),
        deadlines=tuple(float(c["DeadlineMs"]) / 1000 for c in raw["Services"]),
        tenants=tuple(t["Name"] for t in raw.get("Tenants") or ()),
        kinds=tuple(raw.get("Kinds") or ()),
        zones=tuple(raw.get("FailureDomains") or ()),
    )
    limits = given.get("limits") or {}
    state = Path(environment.get("ROUTER_STATE") or given["state"])
    if not state.is_dir():
        raise BadValueError("ROUTER_STATE", f"no such folder: {state}")
    return Config(
        name=environment.get("ROUTER_NAME") or given["name"],
        listen=address(environment.get("ROUTER_LISTEN") or given["listen"]),
        registry=address(environment.get("ROUTER_DISCOVERY") or given["discovery"]),
        state=state,
        seed=int(str(given["seed"]), 16),
        sockets=int(limits.get("sockets", 1024)),
        disk_bytes=int(float(limits.get("disk_mb", 1)) * 1_000_000),
        settings=settings,
        names=names,
        known=read_news(given["known"], names),
        control=_control(given.get("control")),
        **_spool(given.get("kept")),
    )


def _spool(value: Any) -> dict[str, Any]:
    if value is None:
        return {}
    if not isinstance(value, dict) or not str(value.get("spool", "")).startswith("/"):
        raise BadValueError("kept", "an object with the absolute path `spool` is needed")
    size = value.get("max_bytes", 50_000_000)
    if not isinstance(size, int) or isinstance(size, bool) or size <= 0:
        raise BadValueError("kept", f"max_bytes: a number above 0 is needed, not {size!r}")
    return {"spool": Path(value["spool"]), "spool_bytes": size}


def _control(value: Any) -> Path | None:
    if value is None:
        return None
    if not isinstance(value, str) or not value.startswith("/"):
        raise BadValueError("control", f"the absolute path of a socket is needed, not {value!r}")
    return Path(value)
