"""Scenarios: text format in, checked values out, every fault with its file, line and field."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from google.protobuf import text_format

from juniperward.settings.load import Fault as SettingsFault
from juniperward.settings.load import SettingsError, lines
from juniperward.simulation import scenario_pb2
from juniperward.simulation.objective import DeliveryObjective

FOLDER = Path(__file__).parent.parent.parent / "scenarios"
DEFAULTS: dict[str, Any] = {
    "partners": {
        "workers": 2, "latency": 0.05, "spread": 0.4, "at_once": 8, "queue": 16, "tells_wait": 0.8, "batch": 1,
    },
    "traffic": {"period": 60.0, "aim": 3.0, "deadline": 20.0, "late_worth": 0.3, "window": 12.0},
}  # fmt: skip


DEFAULT_SIZES = {"SLOW": 4.0, "KILL": 0.3, "HOT": 0.2}  # of faults; others have 1.0
FAULT_FIELD = "trouble"  # the text format keeps its name for the timetable of injected faults
FAULT_KINDS = scenario_pb2.Trouble.Kind


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault injected by the timetable: `kind` (a name of FAULT_KINDS) from `at` for `seconds`.

    `partner` are partner numbers from 1 (empty for KILL); `size` is the kind's strength (a latency multiple for
    SLOW, a share of forwarders for KILL, a share of traffic for HOT).
    """

    kind: str
    at: float
    seconds: float
    partner: tuple[int, ...]
    size: float


# The text format's names of the traffic's objective fields.
TRAFFIC_FIELDS = {"latency_objective_s": "aim", "deadline_s": "deadline", "late_weight": "late_worth"}


def objective_of(traffic: Any) -> DeliveryObjective:
    """Return the delivery objective of a scenario's traffic message (with its defaults filled in)."""
    values = {name: float(getattr(traffic, field)) for name, field in TRAFFIC_FIELDS.items()}
    return DeliveryObjective(**values)


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
    faults: tuple[Fault, ...]
    text: str


def load(file: Path) -> Scenario:
    """Read and check a scenario; raises SettingsError with every fault."""
    try:
        text = file.read_text()
    except OSError as error:
        raise SettingsError([SettingsFault(str(file), 0, "", error.strerror or str(error))]) from error
    return parse(text, str(file))


def parse(text: str, name: str) -> Scenario:
    """Return the scenario of a text; `name` is for its faults, and the stem of it its own name.

    Raises:
        SettingsError: with every fault.

    """
    try:
        message = text_format.Parse(text, scenario_pb2.Scenario())
    except text_format.ParseError as error:
        raise SettingsError([SettingsFault(name, error.GetLine() or 0, "", str(error))]) from error
    return _Checker(name, text, message).scenario()


class _Checker:
    """Goes through a parsed scenario once and gathers what is wrong with it."""

    def __init__(self, name: str, text: str, message: Any) -> None:
        self._name, self._text, self._message = name, text, message
        self._lines = lines(text)
        self._faults: list[SettingsFault] = []

    def scenario(self) -> Scenario:
        message = self._message
        self._check_numbers()
        self._check_partners()
        self._check_traffic()
        faults = tuple(self._fault_of(number, given) for number, given in enumerate(fault_messages(message)))
        if self._faults:
            raise SettingsError(self._faults)
        return Scenario(
            Path(self._name).stem,
            message.shows,
            message.seconds,
            message.forwarders,
            message.slots,
            message.max_open,
            tuple(message.partners),
            message.traffic,
            faults,
            self._text,
        )

    def _fault(self, field: str, why: str) -> None:
        line = self._lines.get(field) or self._lines.get(field.rpartition(".")[0]) or 0
        self._faults.append(SettingsFault(self._name, line, field, why))

    def _check_numbers(self) -> None:
        for field in ("seconds", "forwarders", "slots", "max_open"):
            if not getattr(self._message, field) > 0:
                self._fault(field, "must be above 0")
        if not self._message.shows:
            self._fault("shows", "a scenario says in one line what it is meant to show")

    def _check_partners(self) -> None:
        if not self._message.partners:
            self._fault("partners", "one group of partners at least")
        for number, group in enumerate(self._message.partners):
            _fill(group, DEFAULTS["partners"])
            for field in ("count", "share", "latency"):
                if not getattr(group, field) > 0:
                    self._fault(f"partners[{number}].{field}", "must be above 0")

    def _check_traffic(self) -> None:
        traffic = self._message.traffic
        _fill(traffic, DEFAULTS["traffic"])
        if not traffic.rate > 0:
            self._fault("traffic[0].rate", "must be above 0")
        for field in ("swing", "clumps", "again", "late_worth"):
            if not 0 <= getattr(traffic, field) <= 1:
                self._fault(f"traffic[0].{field}", "a share is needed, from 0 to 1")

    def _fault_of(self, number: int, given: Any) -> Fault:
        kind = FAULT_KINDS.Name(given.kind)
        partners = sum(group.count for group in self._message.partners)
        place = f"trouble[{number}]"
        if kind == "NONE":
            self._fault(f"{place}.kind", "a kind of trouble is needed")
        named = given.partner and all(1 <= partner <= partners for partner in given.partner)
        if kind != "KILL" and not named:
            self._fault(f"{place}.partner", f"numbers of partners are needed, from 1 to {partners}")
        if not given.seconds > 0 or given.at < 0:
            self._fault(f"{place}.seconds", "a time and a length above 0 are needed")
        size = given.size or DEFAULT_SIZES.get(kind, 1.0)
        return Fault(kind, given.at, given.seconds, tuple(given.partner), size)


def fault_messages(message: Any) -> Any:
    """Return the repeated fault field of a scenario message; the text format keeps its name `trouble`."""
    return getattr(message, FAULT_FIELD)


def _fill(message: Any, defaults: dict[str, Any]) -> None:
    for field, value in defaults.items():
        if not getattr(message, field):
            setattr(message, field, value)
