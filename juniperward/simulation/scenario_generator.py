"""Random scenarios for the search: new ones, mutations of a scenario, and reductions to a smaller one.

Scenarios are edited as protobuf messages of the text format (`scenario.proto`), and returned as validated
texts. A change in the order of the random draws changes what a seed generates.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any

from google.protobuf import text_format

from juniperward.settings.load import SettingsError
from juniperward.simulation import scenario_pb2
from juniperward.simulation.scenario import FaultKind
from juniperward.simulation.scenario_loader import FAULT_KIND_CODES, fault_messages, parse

FILE_NAME = "found.textproto"
FAULT_KINDS = (
    FaultKind.DOWN,
    FaultKind.FAILING,
    FaultKind.REJECTING,
    FaultKind.SLOW,
    FaultKind.UNRESPONSIVE,
    FaultKind.HOT,
    FaultKind.KILL,
)
MIN_DURATION_S = 5
MAX_FAULT_START_FRACTION = 0.6  # Faults start within this fraction of the scenario's duration.


def message_of(text: str) -> Any:
    """Return the protobuf message of a scenario's text; raises text_format.ParseError."""
    return text_format.Parse(text, scenario_pb2.Scenario())


def valid_text(message: Any) -> str | None:
    """Return the text of a scenario message, or None if the loader rejects it."""
    text = str(text_format.MessageToString(message))
    try:
        parse(text, FILE_NAME)
    except SettingsError:
        return None
    return text


# --- new scenarios -----------------------------------------------------------------------------------------


def generate(source: random.Random) -> Any:
    """Return a new random scenario message, which is not validated."""
    message = scenario_pb2.Scenario(
        shows="made by the search",
        seconds=source.choice([15, 20, 30]),
        forwarders=source.choice([1, 2, 3, 5, 8]),
        slots=source.choice([8, 16, 24, 48]),
        max_open=source.choice([60, 150, 400]),
    )
    message.traffic.rate = source.choice([20.0, 50.0, 90.0, 140.0])
    message.traffic.again = 0.7
    for _ in range(source.choice([1, 2, 2, 3])):
        _add_group(message, source)
    for _ in range(source.choice([0, 1, 1, 2, 3])):
        _add_fault(message, source)
    return message


def _add_group(message: Any, source: random.Random) -> None:
    limited = source.random() < 0.5
    message.partners.add(
        count=source.choice([1, 2, 4, 10]),
        share=round(source.uniform(0.1, 1.0), 2),
        workers=source.choice([1, 2, 3, 6]),
        latency=source.choice([0.02, 0.06, 0.15, 0.4]),
        at_once=source.choice([2, 6, 16]),
        rate=source.choice([4.0, 12.0, 40.0]) if limited else 0.0,
        batch=source.choice([1, 1, 5, 20]),
        tells_wait=source.choice([0.01, 0.5, 1.0]),
    )


def _add_fault(message: Any, source: random.Random) -> None:
    kind = source.choice(FAULT_KINDS)
    starts_s = _fault_start(message, source)
    destinations = [] if kind is FaultKind.KILL else _choose_destinations(message, source)
    fault = fault_messages(message).add(
        at=starts_s, seconds=source.choice([2.0, 5.0, 10.0]), partner=destinations
    )
    fault.size = source.choice([0.3, 0.6, 0.9])
    fault.kind = FAULT_KIND_CODES.Value(kind.value)
    if kind is FaultKind.SLOW:
        fault.size = source.choice([3.0, 8.0])


def _fault_start(message: Any, source: random.Random) -> float:
    return round(source.uniform(1.0, message.seconds * MAX_FAULT_START_FRACTION), 1)


def _choose_destinations(message: Any, source: random.Random) -> list[int]:
    count = sum(group.count for group in message.partners)
    chosen = min(count, source.choice([1, 1, 2, 4]))
    return sorted(source.sample(range(1, count + 1), chosen))


# --- mutations ---------------------------------------------------------------------------------------------


def mutate(text: str, source: random.Random) -> Any:
    """Return the scenario message of a text with one or two random changes, which is not validated."""
    message = message_of(text)
    mutations = (_change_rate, _add_fault, _change_bursts, _change_fleet, _change_group, _change_fault)
    for _ in range(source.choice([1, 1, 2])):
        mutations[source.randrange(len(mutations))](message, source)
    return message


def _change_rate(message: Any, source: random.Random) -> None:
    message.traffic.rate = round(message.traffic.rate * source.choice([0.6, 1.3, 1.7]), 1)


def _change_bursts(message: Any, source: random.Random) -> None:
    message.traffic.clumps = source.choice([0.0, 0.2, 0.6])
    message.traffic.clump = source.choice([5, 20])


def _change_fleet(message: Any, source: random.Random) -> None:
    message.forwarders = source.choice([1, 2, 3, 6, 8])
    message.slots = source.choice([8, 16, 32])


def _change_group(message: Any, source: random.Random) -> None:
    group = source.choice(message.partners)
    group.latency = source.choice([0.02, 0.1, 0.5])
    group.rate = source.choice([0.0, 3.0, 10.0, 30.0])


def _change_fault(message: Any, source: random.Random) -> None:
    if not fault_messages(message):
        return
    fault = source.choice(fault_messages(message))
    fault.at = _fault_start(message, source)
    fault.seconds = source.choice([1.0, 4.0, 12.0])


# --- reductions --------------------------------------------------------------------------------------------


def reductions(text: str) -> Iterator[str]:
    """Yield the valid scenario texts that are one step smaller, such as without a fault or half as long."""
    for reduce in _reduction_steps(message_of(text)):
        message = message_of(text)
        reduce(message)
        reduced = valid_text(message)
        if reduced is not None and reduced != text:
            yield reduced


Reduction = Callable[[Any], None]  # makes a scenario message one step smaller in place


def _reduction_steps(message: Any) -> Iterator[Reduction]:
    """Yield the reductions that apply to a scenario like `message`."""
    for index in range(len(fault_messages(message))):
        yield partial(_remove_fault, index=index)
    for index in range(len(message.partners)):
        yield partial(_remove_group, index=index)
    yield _halve_duration
    for index in range(len(message.partners)):
        for field in ("count", "workers", "batch"):
            yield partial(_halve_group, index=index, field=field)
    for index, fault in enumerate(fault_messages(message)):
        for number in fault.partner:
            yield partial(_remove_destination, index=index, number=number)
    yield _halve_forwarders
    for field in ("clumps", "swing", "again"):
        yield partial(_clear_traffic, field=field)


def _remove_fault(message: Any, index: int) -> None:
    fault_messages(message).pop(index)


def _remove_group(message: Any, index: int) -> None:
    message.partners.pop(index)


def _halve_duration(message: Any) -> None:
    message.seconds = max(round(message.seconds / 2), MIN_DURATION_S)


def _halve_group(message: Any, index: int, field: str) -> None:
    group = message.partners[index]
    setattr(group, field, max(getattr(group, field) // 2, 1))


def _remove_destination(message: Any, index: int, number: int) -> None:
    fault_messages(message)[index].partner.remove(number)


def _halve_forwarders(message: Any) -> None:
    message.forwarders = max(message.forwarders // 2, 1)


def _clear_traffic(message: Any, field: str) -> None:
    message.traffic.ClearField(field)
