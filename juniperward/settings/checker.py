"""Checks a parsed settings file, and gathers every fault that it has."""

from __future__ import annotations

import json
import re
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from juniperward.dead_letters.redrive_settings import RedriveSettings
from juniperward.fleet.model import RestartPolicy, RollRules, Timeouts
from juniperward.settings import fleet_pb2
from juniperward.settings.faults import Fault, SettingsError
from juniperward.settings.fleet_settings import FleetSettings, InstanceSettings
from juniperward.settings.line_index import lines
from juniperward.settings.redrive_checker import redrive_settings
from juniperward.settings.rule_keys import field_values

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,31}")
NAME_NEEDED = "1 to 32 letters, digits, '-' and '_' are needed"
MAX_PATH_BYTES = 107  # of a Unix socket's path on Linux
MAX_PORT = 65535
MAX_INSTANCES = 4096  # of one agent: a process and a socket each; no list of forwarders is cut below 1,024
DEFAULT_LOG_BYTES = 10_000_000
DEFAULT_LOG_FILES_RETAINED = 3
DEFAULT_SPOOL_BYTES = 50_000_000
SHARES = frozenset({"jitter", "soak_share", "fall", "cut", "share_of_rate", "share_of_slots"})
ABOVE_ZERO = frozenset({"at_once", "first", "start", "stop", "silent", "crashes", "window"})

_PARTS = re.compile(r"^(restart|patience|roll|logs|kept)\.(?:(pace)\.)?")


class BaseShapeError(ValueError):
    """A base file is JSON of another shape."""

    def __init__(self) -> None:
        """Say what is needed."""
        super().__init__("an object with the key `settings` is needed")


class FleetChecker:
    """Goes through a parsed file once; `settings` gives the values or raises all faults."""

    def __init__(self, file: Path, text: str, message: Any) -> None:
        """Take the file's text and its parsed message."""
        self._file, self._message = file, message
        self._here = file.resolve().parent
        self._faults: list[Fault] = []
        self._lines = lines(text)
        self._bases: dict[Path, dict[str, Any]] = {}

    def fault(self, field: str, text: str) -> None:
        """Note a fault at a field, or where that is absent at what should hold it."""
        place, line = _PARTS.sub(_indexed, field), 0
        while place and not line:
            line = self._lines.get(place, 0)
            place = place.rpartition(".")[0]
        self._faults.append(Fault(str(self._file), line, field, text))

    def settings(self) -> FleetSettings:
        """Return the checked values; raises SettingsError with every fault."""
        message = self._message
        if not message.name:
            self.fault("name", "a fleet needs a name")
        folder = self._here / (message.folder or f"{self._file.stem}.run")
        socket = folder / "agent.sock"
        self._check_path(socket, "folder")
        instances = self._instances(folder)
        roll = self._roll(instances)
        logs = message.logs
        settings = FleetSettings(
            self._file,
            message.name,
            folder,
            socket,
            instances,
            RestartPolicy(**self._rules("restart", message.restart, RestartPolicy)),
            Timeouts(**self._rules("patience", message.patience, Timeouts)),
            roll,
            logs.bytes if logs.HasField("bytes") else DEFAULT_LOG_BYTES,
            logs.keep if logs.HasField("keep") else DEFAULT_LOG_FILES_RETAINED,
            logs.json if logs.HasField("json") else None,
            self._redrive_settings(),
        )
        if self._faults:
            raise SettingsError(self._faults)
        return settings

    # --- parts ---------------------------------------------------------------------------------------------

    def numbers(self, field: str, given: Any) -> dict[str, Any]:
        """Return the set numbers of a part by key, each checked against its bounds."""
        found: dict[str, Any] = {}
        for descriptor, value in given.ListFields():
            is_number = isinstance(value, int | float) and not isinstance(value, bool)
            if not is_number:
                continue
            wrong = _out_of_bounds(descriptor.name, value)
            if wrong:
                self.fault(f"{field}.{descriptor.name}", wrong)
            found[descriptor.name] = value
        return found

    def _rules(self, part: str, given: Any, kind: type[Any]) -> dict[str, Any]:
        """Return the set fields of a part of the file by the fields' names of `kind`."""
        return field_values(kind, self.numbers(part, given))

    def _roll(self, instances: Sequence[InstanceSettings]) -> RollRules:
        given = self._message.roll
        rules = self._rules("roll", given, RollRules)
        running = sum(not instance.stopped for instance in instances)
        if not given.HasField("floor"):
            rules["min_ready"] = max(running - rules.get("batch_size", 1), 0)
        elif running and given.floor > running - 1:
            self.fault("roll.floor", f"{given.floor} of {running} must stay ready: no roll can begin")
        return RollRules(**rules)

    def _dead_letter_message(self) -> fleet_pb2.Kept:
        """Return the file's dead-letter part; `kept` is its settings key."""
        part: fleet_pb2.Kept = self._message.kept
        return part

    def _redrive_settings(self) -> RedriveSettings | None:
        given = self._dead_letter_message()
        return redrive_settings(self, given, self._deadlines()) if given.on else None

    def _deadlines(self) -> dict[str, float]:
        """Return each class's time in seconds, over all base files."""
        return {
            service["Name"]: float(service["DeadlineMs"]) / 1000
            for base in self._bases.values()
            for service in base.get("settings", {}).get("Services", [])
        }

    # --- instances -----------------------------------------------------------------------------------------

    def _instances(self, folder: Path) -> tuple[InstanceSettings, ...]:
        given = self._message.instance
        if not given:
            self.fault("instance", "a fleet needs one instance at least")
        if len(given) > MAX_INSTANCES:
            self.fault("instance", f"{len(given)} instances; an agent keeps {MAX_INSTANCES} at most")
        instances = tuple(self._instance(number, one, folder) for number, one in enumerate(given))
        for name in ("name", "listen", "state"):
            self._check_unique(name, [getattr(instance, name) for instance in instances])
        return instances

    def _instance(self, number: int, given: Any, folder: Path) -> InstanceSettings:
        place = f"instance[{number}]"
        self.check_name(f"{place}.name", given.name)
        self._check_address(f"{place}.listen", given.listen)
        registry = given.registry or self._message.registry
        self._check_address(f"{place}.registry", registry)
        state = self._here / given.state if given.state else folder / "state" / given.name
        control = folder / "run" / given.name
        self._check_path(control, f"{place}.name")
        base = self._base(given.base or self._message.base, f"{place}.base" if given.base else "base")
        config = {
            **base,
            "name": given.name,
            "listen": given.listen,
            "discovery": registry,
            "state": str(state),
            "control": str(control),
            **self._spool(folder / "spool" / given.name),
        }
        config.setdefault("known", {"version": 0, "full": True, "servers": []})
        return InstanceSettings(given.name, given.listen, state, control, given.stopped, config)

    def _spool(self, folder: Path) -> dict[str, Any]:
        dead_letters = self._dead_letter_message()
        if not dead_letters.on:
            return {}
        size_bytes = dead_letters.spool_bytes if dead_letters.HasField("spool_bytes") else DEFAULT_SPOOL_BYTES
        return {"kept": {"spool": str(folder), "max_bytes": size_bytes}}

    def _base(self, name: str, field: str) -> dict[str, Any]:
        """Return a base file's content; one that cannot be used is a fault, told once."""
        if not name:
            if not any(fault.field == field for fault in self._faults):
                self.fault(field, "the JSON file with `settings` and `limits` must be named")
            return {}
        path = self._here / name
        if path not in self._bases:
            self._bases[path] = {}
            try:
                self._bases[path] = _read_base(path)
            except (OSError, ValueError) as error:
                self.fault(field, f"{path}: {getattr(error, 'strerror', None) or error}")
        return self._bases[path]

    # --- checks --------------------------------------------------------------------------------------------

    def check_name(self, field: str, name: str) -> bool:
        """Note a fault for a text that is no name; return whether it is one."""
        good = NAME.fullmatch(name) is not None
        if not good:
            self.fault(field, f"{NAME_NEEDED}, not {name!r}")
        return good

    def _check_unique(self, name: str, values: Sequence[Any]) -> None:
        first: dict[Any, int] = {}
        for number, value in enumerate(values):
            if value and value in first:
                other = self._message.instance[first[value]].name
                self.fault(f"instance[{number}].{name}", f"{value} is {other}'s already")
            first.setdefault(value, number)

    def _check_path(self, path: Path, field: str) -> None:
        length = len(str(path).encode())
        if length > MAX_PATH_BYTES:
            why = f"{path}: {length} bytes; a Unix socket's path has {MAX_PATH_BYTES} at most"
            self.fault(field, why)

    def _check_address(self, field: str, text: str) -> None:
        host, colon, port = text.rpartition(":")
        is_number = port.isascii() and port.isdigit()
        if not (colon and host and is_number and 0 < int(port) <= MAX_PORT):
            self.fault(field, f"an address of the form host:port is needed, not {text!r}")


def _out_of_bounds(name: str, value: float) -> str:
    """Return what is wrong with a number, or an empty text."""
    if not value >= 0 or value == float("inf"):
        return f"must not be negative or endless, not {value:g}"
    if name in SHARES and value > 1:
        return f"a share is needed, from 0 to 1, not {value:g}"
    return "must be above 0" if value == 0 and name in ABOVE_ZERO else ""


def _read_base(path: Path) -> dict[str, Any]:
    found = json.loads(path.read_text())
    if not isinstance(found, dict) or not isinstance(found.get("settings"), dict):
        raise BaseShapeError
    return found


def _indexed(found: re.Match[str]) -> str:
    """Return the parts of a field's name as the lines are indexed."""
    return "".join(f"{part}[0]." for part in found.groups() if part)
