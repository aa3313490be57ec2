"""Scenarios: text format in, checked values out, every fault with its file, line and field."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from google.protobuf import text_format

from juniperward.settings.load import Fault, SettingsError, lines
from juniperward.simulation import scenario_pb2

FOLDER = Path(__file__).parent.parent.parent / "scenarios"
DEFAULTS: dict[str, Any] = {
    "partners": {
        "workers": 2, "latency": 0.05, "spread": 0.4, "at_once": 8, "queue": 16, "tells_wait": 0.8, "batch": 1,
    },
    "traffic": {"period": 60.0, "aim": 3.0, "deadline": 20.0, "late_worth": 0.3, "window": 12.0},
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class Trouble:
    """A trouble of the timetable; `partner` are numbers from 1."""

    kind: str
    at: float
    seconds: float
    partner: tuple[int, ...]
    size: float


@dataclass(frozen=True, slots=True)
class Scenario:
    """A checked scenario; `partners` and `traffic` are the messages of the schema with their defaults filled in."""

    name: str
    shows: str
    seconds: float
    forwarders: int
    slots: int
    max_open: int
    partners: tuple[Any, ...]
    traffic: Any
    troubles: tuple[Trouble, ...]
    text: str


def load(file: Path) -> Scenario:
    """Read and check a scenario; raises SettingsError with every fault."""
    try:
        text = file.read_text()
    except OSError as error:
        raise SettingsError([Fault(str(file), 0, "", error.strerror or str(error))]) from error
    return parse(text, str(file))


def parse(text: str, name: str) -> Scenario:
    """The scenario of a text; `name` is for its faults, and the stem of it its own name."""
    try:
        m = text_format.Parse(text, scenario_pb2.Scenario())
    except text_format.ParseError as error:
        raise SettingsError([Fault(name, error.GetLine() or 0, "", str(error))]) from error
    places = lines(text)
    faults: list[Fault] = []

    def fault(field: str, why: str) -> None:
        line = places.get(field) or places.get(field.rpartition(".")[0]) or 0
        faults.append(Fault(name, line, field, why))

    for field in ("seconds", "forwarders", "slots", "max_open"):
        if not getattr(m, field) > 0:
            fault(field, "must be above 0")
    if not m.shows:
        fault("shows", "a scenario says in one line what it is meant to show")
    if not m.partners:
        fault("partners", "one group of partners at least")
    for n, group in enumerate(m.partners):
        _fill(group, DEFAULTS["partners"])
        for field in ("count", "share", "latency"):
            if not getattr(group, field) > 0:
                fault(f"partners[{n}].{field}", "must be above 0")
    _fill(m.traffic, DEFAULTS["traffic"])
    if not m.traffic.rate > 0:
        fault("traffic[0].rate", "must be above 0")
    for field in ("swing", "clumps", "again", "late_worth"):
        if not 0 <= getattr(m.traffic, field) <= 1:
            fault(f"traffic[0].{field}", "a share is needed, from 0 to 1")
    count = sum(g.count for g in m.partners)
    troubles = []
    for n, t in enumerate(m.trouble):
        kind = scenario_pb2.Trouble.Kind.Name(t.kind)
        if kind == "NONE":
            fault(f"trouble[{n}].kind", "a kind of trouble is needed")
        if kind != "KILL" and (not t.partner or not all(1 <= p <= count for p in t.partner)):
            fault(f"trouble[{n}].partner", f"numbers of partners are needed, from 1 to {count}")
        if not t.seconds > 0 or t.at < 0:
            fault(f"trouble[{n}].seconds", "a time and a length above 0 are needed")
        size = t.size or {"SLOW": 4.0, "KILL": 0.3, "HOT": 0.2}.get(kind, 1.0)
        troubles.append(Trouble(kind, t.at, t.seconds, tuple(t.partner), size))
    if faults:
        raise SettingsError(faults)
    return Scenario(
        Path(name).stem, m.shows, m.seconds, m.forwarders, m.slots, m.max_open, tuple(m.partners), m.traffic,
        tuple(troubles), text,
    )  # fmt: skip


def _fill(message: Any, defaults: dict[str, Any]) -> None:
    for field, value in defaults.items():
        if not getattr(message, field):
            setattr(message, field, value)
