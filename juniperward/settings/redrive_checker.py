"""Checks the `kept` part of a settings file, and maps its keys to the fields of `RedriveSettings`."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from typing import Any, Protocol

from juniperward.dead_letters.redrive_rate import RedriveRateLimits
from juniperward.dead_letters.redrive_rules import HOURS_A_DAY, Rule
from juniperward.dead_letters.redrive_settings import DEFAULT_MAX_AGE_S, SECONDS_A_DAY, RedriveSettings

RATE_KEYS = {  # of `kept.pace`, and the fields of RedriveRateLimits
    "first": "initial_per_s",
    "step": "increase_per_s",
    "cut": "decrease_factor",
    "most": "max_per_s",
    "share_of_rate": "fraction_of_rate_limit",
    "share_of_slots": "fraction_of_slots",
}
RULE_KEYS = {  # of `kept.rule`, and the fields of Rule; repeated ones are read by themselves
    "least_age": "min_age_s",
    "most_age": "max_age_s",
    "most_resends": "max_redrives",
    "from_hour": "from_hour",
    "to_hour": "to_hour",
}


class Checker(Protocol):
    """What collects the faults of the complete file."""

    def fault(self, field: str, text: str) -> None:
        """Record a fault at a field."""

    def check_name(self, field: str, name: str) -> bool:
        """Record a fault for a text that is no name; return whether it is one."""

    def numbers(self, field: str, given: Any) -> dict[str, Any]:
        """Return the set numbers of a part by key, each checked against its bounds."""


def redrive_settings(checker: Checker, given: Any, deadlines_s: Mapping[str, float]) -> RedriveSettings:
    """Return the settings; `deadlines_s` are the deadlines of the classes, which no redrive goes beyond."""
    numbers = checker.numbers("kept", given)
    rate = checker.numbers("kept.pace", given.pace)
    rules = tuple(_rule(checker, number, rule) for number, rule in enumerate(given.rule))
    _check_names(checker, [rule.name for rule in rules])
    defaults = RedriveSettings()
    max_days = numbers.get("most_days", DEFAULT_MAX_AGE_S / SECONDS_A_DAY)
    return RedriveSettings(
        rules=rules,
        rate_limits=RedriveRateLimits(**{RATE_KEYS[key]: value for key, value in rate.items()}),
        clock_allowance_s=numbers.get("allowance", defaults.clock_allowance_s),
        time_left_s={
            name: min(numbers.get("time_left", deadline_s), deadline_s)
            for name, deadline_s in deadlines_s.items()
        },
        max_age_s=max_days * SECONDS_A_DAY,
        max_messages=numbers.get("most", defaults.max_messages),
        max_bytes=numbers.get("most_bytes", defaults.max_bytes),
    )


def _check_names(checker: Checker, names: Sequence[str]) -> None:
    for number, name in enumerate(names):
        field = f"kept.rule[{number}].name"
        if checker.check_name(field, name) and name in names[:number]:
            checker.fault(field, f"{name} stands twice")


def _rule(checker: Checker, number: int, given: Any) -> Rule:
    place = f"kept.rule[{number}]"
    values = {descriptor.name: value for descriptor, value in given.ListFields()}
    for key in ("from_hour", "to_hour"):
        if not 0 <= values.get(key, 0) <= HOURS_A_DAY:
            why = f"an hour of the day is needed, from 0 to {HOURS_A_DAY:g}, not {values[key]:g}"
            checker.fault(f"{place}.{key}", why)
    if values.get("least_age", 0) > values.get("most_age", math.inf):
        checker.fault(f"{place}.most_age", "below least_age: no message is ever of such an age")
    return Rule(
        given.name,
        frozenset(given.destination),
        frozenset(getattr(given, "class")),
        frozenset(given.account),
        **{field: values[key] for key, field in RULE_KEYS.items() if key in values},
    )
