"""Checks the part of a settings file that says how dead letters are sent again."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from typing import Any, Protocol

from juniperward.dead_letters.decisions import PaceRules, Rule
from juniperward.dead_letters.redriver import RedriveRules

HOURS_A_DAY = 24
SECONDS_A_DAY = 86400.0
DEFAULT_MAX_DAYS = 30.0
SELECTORS = frozenset({"destination", "class", "account", "name"})


class Checker(Protocol):
    """What gathers the faults of the whole file."""

    def fault(self, field: str, text: str) -> None:
        """Note a fault at a field."""

    def check_name(self, field: str, name: str) -> bool:
        """Note a fault for a text that is no name; return whether it is one."""

    def numbers(self, field: str, given: Any, kind: type[Any], only_numbers: bool = False) -> dict[str, Any]:
        """Return the set numbers of a part, each within its bounds."""


def redrive_rules(checker: Checker, given: Any, deadlines_s: Mapping[str, float]) -> RedriveRules:
    """Return the rules; `deadlines_s` are the times of the classes, which a redrive never goes beyond."""
    checker.numbers("kept", given, RedriveRules, only_numbers=True)
    pace = PaceRules(**checker.numbers("kept.pace", given.pace, PaceRules))
    rules = tuple(_rule(checker, number, rule) for number, rule in enumerate(given.rule))
    _check_names(checker, [rule.name for rule in rules])
    defaults, set_fields = RedriveRules(), _set_fields(given)
    time_left_s = {name: min(set_fields.get("time_left", own), own) for name, own in deadlines_s.items()}
    return RedriveRules(
        rules,
        pace,
        set_fields.get("allowance", defaults.allowance),
        time_left_s,
        set_fields.get("most_days", DEFAULT_MAX_DAYS) * SECONDS_A_DAY,
        set_fields.get("most", defaults.most),
        set_fields.get("most_bytes", defaults.most_bytes),
    )


def _check_names(checker: Checker, names: Sequence[str]) -> None:
    for number, name in enumerate(names):
        field = f"kept.rule[{number}].name"
        if checker.check_name(field, name) and name in names[:number]:
            checker.fault(field, f"{name} stands twice")


def _rule(checker: Checker, number: int, given: Any) -> Rule:
    place = f"kept.rule[{number}]"
    set_fields = _set_fields(given)
    for name in ("from_hour", "to_hour"):
        if not 0 <= set_fields.get(name, 0) <= HOURS_A_DAY:
            why = f"an hour of the day is needed, from 0 to {HOURS_A_DAY}, not {set_fields[name]:g}"
            checker.fault(f"{place}.{name}", why)
    if set_fields.get("least_age", 0) > set_fields.get("most_age", math.inf):
        checker.fault(f"{place}.most_age", "below least_age: no message is ever of such an age")
    plain = {name: value for name, value in set_fields.items() if name not in SELECTORS}
    classes = frozenset(getattr(given, "class"))
    return Rule(given.name, frozenset(given.destination), classes, frozenset(given.account), **plain)


def _set_fields(given: Any) -> dict[str, Any]:
    """Return the fields of a message that the file sets."""
    return {descriptor.name: value for descriptor, value in given.ListFields()}
