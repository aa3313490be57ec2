"""Loader of the scenario text format, which returns a validated `Scenario`.

Errors name the file, the line and the field.

The tables below map the field names of the format (`scenario.proto`) to those of the data model
(`scenario.py`).
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

SCENARIOS_FOLDER = Path(__file__).parent.parent.parent / "scenarios"
FAULTS_FIELD = "trouble"  # The name, in the format, of the field of faults.
FAULT_MESSAGE = "Trouble"

# Names in the format by field of DestinationGroup, Traffic and DeliveryObjective.
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
DEFAULT_MAGNITUDES = {FaultKind.SLOW: 4.0, FaultKind.KILL: 0.3, FaultKind.HOT: 0.2}  # 1.0 for other kinds

# The protobuf enum of fault kinds, with the methods Name(code) and Value(name).
FAULT_KIND_CODES = getattr(scenario_pb2, FAULT_MESSAGE).Kind


def load(file: Path) -> Scenario:
    """Read and validate a scenario file.

    Raises:
        SettingsError: the file cannot be read, or is invalid; contains all errors found.

    """
    try:
        text = file.read_text()
    except OSError as error:
        raise SettingsError([SettingsFault(str(file), 0, "", error.strerror or str(error))]) from error
    return parse(text, str(file))


def parse(text: str, name: str) -> Scenario:
    """Return the scenario of a text; `name` is its file name, whose stem becomes the name of the scenario.

    Raises:
        SettingsError: the text is invalid; contains all errors found.

    """
    try:
        message = text_format.Parse(text, scenario_pb2.Scenario())
    except text_format.ParseError as error:
        raise SettingsError([SettingsFault(name, error.GetLine() or 0, "", str(error))]) from error
    return _ScenarioReader(name, text, message).scenario()


def fault_messages(message: Any) -> Any:
    """Return the repeated field of faults in a scenario message."""
    return getattr(message, FAULTS_FIELD)


class _ScenarioReader:
    """Validates a parsed message, collects its errors and converts it to a `Scenario`."""

    def __init__(self, name: str, text: str, message: Any) -> None:
        self._name, self._text, self._message = name, text, message
        self._lines = field_lines(text)
        self._errors: list[SettingsFault] = []

    def scenario(self) -> Scenario:
        """Return the scenario; raises SettingsError with all errors of the message."""
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
            self._add_error("shows", "must describe in one line what the scenario shows")

    def _groups(self) -> tuple[DestinationGroup, ...]:
        if not self._message.partners:
            self._add_error("partners", "must contain at least one group of destinations")
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
            self._add_error(f"{place}.kind", "must be a kind of fault")
        named = given.partner and all(1 <= partner <= destinations for partner in given.partner)
        if kind is not FaultKind.KILL and not named:
            self._add_error(
                f"{place}.partner", f"must contain numbers of destinations, from 1 to {destinations}"
            )
        if not given.seconds > 0 or given.at < 0:
            self._add_error(f"{place}.seconds", "must be above 0, and `at` must not be negative")
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
