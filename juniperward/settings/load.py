"""Reading a fleet's settings: text format in, checked values out, and for every fault its file, line and field."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

from google.protobuf import text_format

from juniperward.dead_letters.decisions import PaceRules, Rule
from juniperward.dead_letters.redriver import ResendRules
from juniperward.fleet.model import Patience, RestartRules, RollRules
from juniperward.settings import fleet_pb2

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,31}")
MOST_PATH = 107  # bytes of a Unix socket's path on Linux
MOST_INSTANCES = 4096  # of one agent: a process and a socket each; no list of forwarders is cut below 1,024
PARTS = re.compile(r"^(restart|patience|roll|logs|kept)\.(?:(pace)\.)?")


@dataclass(frozen=True, slots=True)
class Fault:
    """Something wrong with a settings file; `line` counts from 1, 0 where no line can be named."""

    file: str
    line: int
    field: str
    text: str

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        return f"{place}: {self.field}: {self.text}" if self.field else f"{place}: {self.text}"


class SettingsError(Exception):
    """The file cannot be used; `faults` has all that was found, not only the first."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """One forwarder; `config` is what its process is given, whole, but for the seed of each start."""

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
    restart: RestartRules
    patience: Patience
    roll: RollRules
    log_bytes: int
    log_keep: int
    log_json: bool | None
    kept: ResendRules | None = None  # None: nothing is kept


def load(file: Path) -> FleetSettings:
    """Read and check a file; raises SettingsError with every fault."""
    try:
        text = file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            [Fault(str(file), 0, "", getattr(error, "strerror", None) or str(error))]
        ) from error
    try:
        message = text_format.Parse(text, fleet_pb2.Fleet())
    except text_format.ParseError as error:
        line = error.GetLine() or 0
        told = re.sub(r"^\d+:\d+ : ", "", str(error))
        raise SettingsError([Fault(str(file), line, "", told)]) from error
    return _Checker(file, text, message).settings()


def show(settings: FleetSettings) -> str:
    """The file as it is understood, every default filled in."""
    message = fleet_pb2.Fleet(name=settings.name, folder=str(settings.folder))
    for i in settings.instances:
        message.instance.add(
            name=i.name, listen=i.listen, registry=i.config["discovery"], state=str(i.state),
            stopped=i.stopped,
        )  # fmt: skip
    parts = ((message.restart, settings.restart), (message.patience, settings.patience),
             (message.roll, settings.roll))  # fmt: skip
    for part, values in parts:
        for f in fields(values):
            if f.name in part.DESCRIPTOR.fields_by_name:
                setattr(part, f.name, getattr(values, f.name))
    message.logs.bytes, message.logs.keep = settings.log_bytes, settings.log_keep
    return text_format.MessageToString(message)


def lines(text: str) -> dict[str, int]:
    """Where each field of a text-format file stands: `instance[1].listen` to its line, from 1."""
    found: dict[str, int] = {}
    seen: dict[str, int] = {}
    stack: list[str] = []
    for name, line, opens, closes in _fields(text):
        if closes:
            stack.pop()
            continue
        path = ".".join([*stack, name])
        number = seen.get(path, 0)
        seen[path] = number + 1
        indexed = f"{path}[{number}]"
        found[indexed] = line
        found.setdefault(path, line)
        if opens:
            stack.append(f"{name}[{number}]")
    return found


def _fields(text: str) -> Iterator[tuple[str, int, bool, bool]]:
    """Name, line, whether it opens a message, and whether a message ends here instead."""
    tokens = text_format.Tokenizer(text.split("\n"))
    while not tokens.AtEnd():
        if tokens.TryConsume("}") or tokens.TryConsume(">"):
            yield "", 0, False, True
            continue
        name, line = tokens.token, int(tokens._line) + 1  # type: ignore[attr-defined]
        tokens.NextToken()
        colon = tokens.TryConsume(":")
        opens = tokens.TryConsume("{") or tokens.TryConsume("<")
        yield name, line, opens, False
        if not opens and colon:
            tokens.NextToken()
        if not tokens.TryConsume(","):
            tokens.TryConsume(";")


def _indexed(found: re.Match[str]) -> str:
    """The parts of a field's name as the lines are indexed."""
    return "".join(f"{part}[0]." for part in found.groups() if part)


class _Checker:
    """Goes through a parsed file once and gathers what is wrong with it."""

    def __init__(self, file: Path, text: str, message: Any) -> None:
        self.file, self.message = file, message
        self.here = file.resolve().parent
        self.faults: list[Fault] = []
        self.lines = lines(text)
        self.bases: dict[Path, dict[str, Any]] = {}

    def fault(self, field: str, text: str) -> None:
        """Note a fault at a field, or where that is absent at what should hold it."""
        place, line = PARTS.sub(_indexed, field), 0
        while place and not line:
            line = self.lines.get(place, 0)
            place = place.rpartition(".")[0]
        self.faults.append(Fault(str(self.file), line, field, text))

    def settings(self) -> FleetSettings:
        m = self.message
        if not m.name:
            self.fault("name", "a fleet needs a name")
        folder = self.here / (m.folder or f"{self.file.stem}.run")
        socket = folder / "agent.sock"
        self.path(socket, "folder")
        if not m.instance:
            self.fault("instance", "a fleet needs one instance at least")
        if len(m.instance) > MOST_INSTANCES:
            self.fault("instance", f"{len(m.instance)} instances; an agent keeps {MOST_INSTANCES} at most")
        instances = [self.instance(n, i, folder) for n, i in enumerate(m.instance)]
        for name in ("name", "listen", "state"):
            self.once(name, [getattr(i, name) for i in instances])
        roll = self.rules("roll", m.roll, RollRules)
        running = sum(not i.stopped for i in instances)
        if not m.roll.HasField("floor"):
            roll["floor"] = max(running - roll.get("at_once", 1), 0)
        elif running and m.roll.floor > running - 1:
            self.fault("roll.floor", f"{m.roll.floor} of {running} must stay ready: no roll can begin")
        settings = FleetSettings(
            self.file, m.name, folder, socket, tuple(instances),
            RestartRules(**self.rules("restart", m.restart, RestartRules)),
            Patience(**self.rules("patience", m.patience, Patience)),
            RollRules(**roll),
            m.logs.bytes if m.logs.HasField("bytes") else 10_000_000,
            m.logs.keep if m.logs.HasField("keep") else 3,
            m.logs.json if m.logs.HasField("json") else None,
            self.kept(m.kept) if m.kept.on else None,
        )  # fmt: skip
        if self.faults:
            raise SettingsError(self.faults)
        return settings

    def rules(self, field: str, given: Any, kind: type[Any], skip: bool = False) -> dict[str, Any]:
        """The set fields of a part, each within its bounds; with `skip`, only numbers are looked at."""
        found: dict[str, Any] = {}
        known = {f.name for f in fields(kind)}
        for descriptor, value in given.ListFields():
            name = descriptor.name
            place = f"{field}.{name}"
            if skip and (not isinstance(value, int | float) or isinstance(value, bool)):
                continue
            share = name in ("jitter", "soak_share", "fall", "cut", "share_of_rate", "share_of_slots")
            if not value >= 0 or value == float("inf"):
                self.fault(place, f"must not be negative or endless, not {value:g}")
            elif share and value > 1:
                self.fault(place, f"a share is needed, from 0 to 1, not {value:g}")
            elif value == 0 and name in ("at_once", "first", "start", "stop", "silent", "crashes", "window"):
                self.fault(place, "must be above 0")
            assert skip or name in known, name
            found[name] = value
        return found

    def kept(self, given: Any) -> ResendRules:
        """What is kept and sent again."""
        self.rules("kept", given, ResendRules, skip=True)
        pace = PaceRules(**self.rules("kept.pace", given.pace, PaceRules))
        rules = [self.rule(n, r) for n, r in enumerate(given.rule)]
        names = [r.name for r in rules]
        for n, name in enumerate(names):
            if not NAME.fullmatch(name):
                self.fault(
                    f"kept.rule[{n}].name", f"1 to 32 letters, digits, '-' and '_' are needed, not {name!r}"
                )
            elif name in names[:n]:
                self.fault(f"kept.rule[{n}].name", f"{name} stands twice")
        defaults = ResendRules()
        set_ = {d.name: v for d, v in given.ListFields()}
        time_left: dict[str, float] = {}
        for base in self.bases.values():
            for c in base.get("settings", {}).get("Services", []):
                own = float(c["DeadlineMs"]) / 1000
                time_left[c["Name"]] = min(set_.get("time_left", own), own)
        return ResendRules(
            tuple(rules), pace, set_.get("allowance", defaults.allowance), time_left,
            set_.get("most_days", 30.0) * 86400.0, set_.get("most", defaults.most),
            set_.get("most_bytes", defaults.most_bytes),
        )  # fmt: skip

    def rule(self, number: int, given: Any) -> Rule:
        """One rule of resends."""
        place = f"kept.rule[{number}]"
        set_ = {d.name: v for d, v in given.ListFields()}
        for name in ("from_hour", "to_hour"):
            if not 0 <= set_.get(name, 0) <= 24:
                self.fault(
                    f"{place}.{name}", f"an hour of the day is needed, from 0 to 24, not {set_[name]:g}"
                )
        if set_.get("least_age", 0) > set_.get("most_age", float("inf")):
            self.fault(f"{place}.most_age", "below least_age: no message is ever of such an age")
        plain = {k: v for k, v in set_.items() if k not in ("destination", "class", "account", "name")}
        return Rule(
            given.name, frozenset(given.destination), frozenset(getattr(given, "class")), frozenset(given.account),
            **plain,
        )  # fmt: skip

    def once(self, name: str, values: list[Any]) -> None:
        first: dict[Any, int] = {}
        for n, value in enumerate(values):
            if value and value in first:
                other = self.message.instance[first[value]].name
                self.fault(f"instance[{n}].{name}", f"{value} is {other}'s already")
            first.setdefault(value, n)

    def path(self, path: Path, field: str) -> None:
        length = len(str(path).encode())
        if length > MOST_PATH:
            self.fault(field, f"{path}: {length} bytes; a Unix socket's path has {MOST_PATH} at most")

    def address(self, field: str, text: str) -> None:
        host, colon, port = text.rpartition(":")
        if not colon or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
            self.fault(field, f"an address of the form host:port is needed, not {text!r}")

    def instance(self, number: int, given: Any, folder: Path) -> InstanceSettings:
        place = f"instance[{number}]"
        if not NAME.fullmatch(given.name):
            self.fault(
                f"{place}.name", f"1 to 32 letters, digits, '-' and '_' are needed, not {given.name!r}"
            )
        self.address(f"{place}.listen", given.listen)
        registry = given.registry or self.message.registry
        self.address(f"{place}.registry", registry)
        state = self.here / given.state if given.state else folder / "state" / given.name
        control = folder / "run" / given.name
        self.path(control, f"{place}.name")
        field = f"{place}.base" if given.base else "base"
        base = self.base(given.base or self.message.base, field)
        config = {
            **base, "name": given.name, "listen": given.listen, "discovery": registry, "state": str(state),
            "control": str(control),
        }  # fmt: skip
        if self.message.kept.on:
            size = self.message.kept.spool_bytes if self.message.kept.HasField("spool_bytes") else 50_000_000
            config["kept"] = {"spool": str(folder / "spool" / given.name), "max_bytes": size}
        config.setdefault("known", {"version": 0, "full": True, "servers": []})
        return InstanceSettings(given.name, given.listen, state, control, given.stopped, config)

    def base(self, name: str, field: str) -> dict[str, Any]:
        if not name:
            if not any(f.field == field for f in self.faults):
                self.fault(field, "the JSON file with `settings` and `limits` must be named")
            return {}
        path = self.here / name
        if path not in self.bases:
            self.bases[path] = {}
            try:
                found = json.loads(path.read_text())
                if not isinstance(found, dict) or not isinstance(found.get("settings"), dict):
                    raise ValueError("an object with the key `settings` is needed")
                self.bases[path] = found
            except (OSError, ValueError) as error:
                self.fault(field, f"{path}: {getattr(error, 'strerror', None) or error}")
        return self.bases[path]
