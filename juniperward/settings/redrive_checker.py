"""Checks the part `kept` of a settings file and converts it to `RedriveSettings`."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

from juniperward.dead_letters.redrive_rate import RedriveRateLimits
from juniperward.dead_letters.redrive_rules import HOURS_PER_DAY, Rule
from juniperward.dead_letters.redrive_settings import DEFAULT_MAX_AGE_S, SECONDS_PER_DAY, RedriveSettings
from juniperward.settings import fleet_pb2
from juniperward.settings.fault_collector import FaultCollector
from juniperward.settings.value_checks import check_name, checked_numbers

# Keys of `kept.pace`, and the fields of RedriveRateLimits that they set.
RATE_FIELDS = {
    "first": "initial_per_s",
    "step": "increase_per_s",
    "cut": "decrease_factor",
    "most": "max_per_s",
    "share_of_rate": "fraction_of_rate_limit",
    "share_of_slots": "fraction_of_slots",
}
# Keys of `kept.rule` that are not repeated, and the fields of Rule that they set.
RULE_FIELDS = {
    "least_age": "min_age_s",
    "most_age": "max_age_s",
    "most_resends": "max_redrives",
    "from_hour": "from_hour",
    "to_hour": "to_hour",
}


def redrive_settings(
    faults: FaultCollector, given: fleet_pb2.Kept, deadlines_s: Mapping[str, float]
) -> RedriveSettings:
    """Return the settings of redrives; `deadlines_s` limits the duration of redrives by message class."""
    values = checked_numbers(faults, "kept", given)
    rate = checked_numbers(faults, "kept.pace", given.pace)
    rules = tuple(_rule(faults, number, rule) for number, rule in enumerate(given.rule))
    _check_names(faults, [rule.name for rule in rules])
    defaults = RedriveSettings()
    max_days = values.get("most_days", DEFAULT_MAX_AGE_S / SECONDS_PER_DAY)
    return RedriveSettings(
        rules=rules,
        rate_limits=RedriveRateLimits(**{RATE_FIELDS[key]: value for key, value in rate.items()}),
        clock_allowance_s=values.get("allowance", defaults.clock_allowance_s),
        time_left_s={
            name: min(values.get("time_left", deadline_s), deadline_s)
            for name, deadline_s in deadlines_s.items()
        },
        max_age_s=max_days * SECONDS_PER_DAY,
        max_messages=values.get("most", defaults.max_messages),
        max_bytes=values.get("most_bytes", defaults.max_bytes),
    )


def _check_names(faults: FaultCollector, names: Sequence[str]) -> None:
    for number, name in enumerate(names):
        field = f"kept.rule[{number}].name"
        if check_name(faults, field, name) and name in names[:number]:
            faults.add(field, f"must be unique: another rule is named {name}")


def _rule(faults: FaultCollector, number: int, given: fleet_pb2.ResendRule) -> Rule:
    place = f"kept.rule[{number}]"
    values = {descriptor.name: value for descriptor, value in given.ListFields()}
    for key in ("from_hour", "to_hour"):
        if not 0 <= values.get(key, 0) <= HOURS_PER_DAY:
            why = f"must be an hour of the day from 0 to {HOURS_PER_DAY:g}, not {values[key]:g}"
            faults.add(f"{place}.{key}", why)
    if values.get("least_age", 0) > values.get("most_age", math.inf):
        faults.add(f"{place}.most_age", "must not be below least_age: the rule would match no message")
    return Rule(
        given.name,
        frozenset(given.destination),
        frozenset(getattr(given, "class")),
        frozenset(given.account),
        **{field: values[key] for key, field in RULE_FIELDS.items() if key in values},
    )
