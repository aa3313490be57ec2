"""The one loader of the scenario text format: text in, a checked `Scenario` out; errors name file, line and field.

Here alone the format's words (`scenario.proto`: partners, trouble, aim, ...) meet the field's. Called by the command
line, by `experiment` for each run, and by the search.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

from google.protobuf import text_format

from juniperward.settings.load import Fault as SettingsFault
from juniperward.settings.load import SettingsError, field_lines
from juniperward.simulation import scenario_pb2
from juniperward.simulation.objective import DeliveryObjective
from juniperward.simulation.scenario import DestinationGroup, Fault, FaultKind, Scenario, Traffic

FOLDER = Path(__file__).parent.parent.parent / "scenarios"
FAULTS_FIELD = "trouble"  # the format's name of the timetable of faults
FAULT_MESSAGE = "Trouble"

# The format's fields by those of DestinationGroup, Traffic and DeliveryObjective.
GROUP_FIELDS = {
    "count": "count",
    "traffic_fraction": "share",
    "endpoints": "workers",
    "latency_s": "latency",
    "latency_variation": "spread",
    "concurrency": "at_once",
    "queue_limit": "queue",
    "rate_limit_per_s": "rate",
    "retry_after_fraction": "tells_wait",
    "batch_size": "batch",
}
TRAFFIC_FIELDS = {
    "rate_per_s": "rate",
    "swing_fraction": "swing",
    "swing_period_s": "period",
    "burst_fraction": "clumps",
    "burst_size": "clump",
    "resubmit_fraction": "again",
    "deduplication_window_s": "window",
}
OBJECTIVE_FIELDS = {"latency_objective_s": "aim", "deadline_s": "deadline", "late_weight": "late_worth"}

GROUP_DEFAULTS: dict[str, Any] = {
    "workers": 2, "latency": 0.05, "spread": 0.4, "at_once": 8, "queue": 16, "tells_wait": 0.8, "batch": 1,
}  # fmt: skip
TRAFFIC_DEFAULTS: dict[str, Any] = {
    "period": 60.0, "aim": 3.0, "deadline": 20.0, "late_worth": 0.3, "window": 12.0,
}  # fmt: skip
DEFAULT_MAGNITUDES = {FaultKind.SLOW: 4.0, FaultKind.KILL: 0.3, FaultKind.HOT: 0.2}  # others have 1.0

# The format's enumeration of fault kinds: Name(code) and Value(name).
FAULT_KIND_CODES = getattr(scenario_pb2, FAULT_MESSAGE).Kind


def load(file: Path) -> Scenario:
    """Read and check a scenario; raises SettingsError with every error of it."""
    try:
        text = file.read_text()
    except OSError as error:
        raise SettingsError([SettingsFault(str(file), 0, "", error.strerror or str(error))]) from error
    return parse(text, str(file))


def parse(text: str, name: str) -> Scenario:
    """Return the scenario of a text; `name` is that of its file, and the stem of it the scenario's.

    Raises:
        SettingsError: with every error of the text.

    """
    try:
        message = text_format.Parse(text, scenario_pb2.Scenario())
    except text_format.ParseError as error:
        raise SettingsError([SettingsFault(name, error.GetLine() or 0, "", str(error))]) from error
    return _ScenarioReader(name, text, message).scenario()


def fault_messages(message: Any) -> Any:
    """Return the repeated field of a scenario message that has its faults."""
    return getattr(message, FAULTS_FIELD)


class _ScenarioReader:
    """Goes through a parsed message once, gathers what is wrong with it, and makes the typed values."""

    def __init__(self, name: str, text: str, message: Any) -> None:
        self._name, self._text, self._message = name, text, message
        self._lines = field_lines(text)
        self._errors: list[SettingsFault] = []

    def scenario(self) -> Scenario:
        message = self._message
        self._check_numbers()
        groups = self._groups()
        traffic = self._traffic()
        faults = tuple(self._fault(number, given) for number, given in enumerate(fault_messages(message)))
        if self._errors:
            raise SettingsError(self._errors)
        return Scenario(
            Path(self._name).stem,
            message.shows,
            message.seconds,
            message.forwarders,
            message.slots,
            message.max_open,
            groups,
            traffic,
            faults,
            self._text,
        )

    def _add_error(self, field: str, why: str) -> None:
        line = self._lines.get(field) or self._lines.get(field.rpartition(".")[0]) or 0
        self._errors.append(SettingsFault(self._name, line, field, why))

    def _check_numbers(self) -> None:
        for field in ("seconds", "forwarders", "slots", "max_open"):
            if not getattr(self._message, field) > 0:
                self._add_error(field, "must be above 0")
        if not self._message.shows:
            self._add_error("shows", "a scenario says in one line what it is meant to show")

    def _groups(self) -> tuple[DestinationGroup, ...]:
        if not self._message.partners:
            self._add_error("partners", "one group of destinations at least")
        for number, group in enumerate(self._message.partners):
            _fill_in(group, GROUP_DEFAULTS)
            for field in ("count", "share", "latency"):
                if not getattr(group, field) > 0:
                    self._add_error(f"partners[{number}].{field}", "must be above 0")
        return tuple(_group_of(group) for group in self._message.partners)

    def _traffic(self) -> Traffic:
        traffic = self._message.traffic
        _fill_in(traffic, TRAFFIC_DEFAULTS)
        if not traffic.rate > 0:
            self._add_error("traffic[0].rate", "must be above 0")
        for field in ("swing", "clumps", "again", "late_worth"):
            if not 0 <= getattr(traffic, field) <= 1:
                self._add_error(f"traffic[0].{field}", "must be a fraction from 0 to 1")
        return _traffic_of(traffic)

    def _fault(self, number: int, given: Any) -> Fault:
        kind = FaultKind(FAULT_KIND_CODES.Name(given.kind))
        destinations = sum(group.count for group in self._message.partners)
        place = f"{FAULTS_FIELD}[{number}]"
        if kind is FaultKind.NONE:
            self._add_error(f"{place}.kind", "a kind of fault is needed")
        named = given.partner and all(1 <= partner <= destinations for partner in given.partner)
        if kind is not FaultKind.KILL and not named:
            self._add_error(
                f"{place}.partner", f"numbers of destinations are needed, from 1 to {destinations}"
            )
        if not given.seconds > 0 or given.at < 0:
            self._add_error(f"{place}.seconds", "a start of 0 or later and a length above 0 are needed")
        magnitude = given.size or DEFAULT_MAGNITUDES.get(kind, 1.0)
        return Fault(kind, given.at, given.seconds, tuple(given.partner), magnitude)


def _fill_in(message: Any, defaults: dict[str, Any]) -> None:
    for field, value in defaults.items():
        if not getattr(message, field):
            setattr(message, field, value)


def _group_of(message: Any) -> DestinationGroup:
    values = {name: getattr(message, field) for name, field in GROUP_FIELDS.items()}
    values["batch_size"] = max(values["batch_size"], 1)
    return DestinationGroup(**values)


def _traffic_of(message: Any) -> Traffic:
    values = {name: getattr(message, field) for name, field in TRAFFIC_FIELDS.items()}
    objective = {name: getattr(message, field) for name, field in OBJECTIVE_FIELDS.items()}
    return Traffic(objective=DeliveryObjective(**objective), **values)
