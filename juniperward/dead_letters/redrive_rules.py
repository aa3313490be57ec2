"""Rules by which dead letters are redriven without a person's request. Pure: no clock, no I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from juniperward.dead_letters.dead_letter import DeadLetter

OPERATOR_REQUEST = "a person"  # in the place of a rule's name
SECONDS_PER_HOUR = 3600.0
HOURS_PER_DAY = 24.0


@dataclass(frozen=True, slots=True)
class Rule:
    """Which messages are redriven by rule; empty sets match all. Hours are of the day in UTC."""

    name: str
    destinations: frozenset[int] = frozenset()
    classes: frozenset[str] = frozenset()
    accounts: frozenset[str] = frozenset()
    min_age_s: float = 0.0  # since it was given up
    max_age_s: float = math.inf
    max_redrives: int = 3
    from_hour: float = 0.0
    to_hour: float = HOURS_PER_DAY  # before `from_hour`: over midnight


def matches(rule: Rule, message: DeadLetter, now: float) -> bool:
    """Return whether a rule has this message redriven now, if it may be."""
    return (
        _in_hours(rule, now)
        and (not rule.destinations or message.destination in rule.destinations)
        and (not rule.classes or message.class_name in rule.classes)
        and (not rule.accounts or message.account in rule.accounts)
        and rule.min_age_s <= now - message.given_up_at <= rule.max_age_s
        and message.redrives < rule.max_redrives
    )


def _in_hours(rule: Rule, now: float) -> bool:
    hour = now / SECONDS_PER_HOUR % HOURS_PER_DAY if math.isfinite(now) else 0.0
    if rule.from_hour > rule.to_hour:  # over midnight
        return hour >= rule.from_hour or hour < rule.to_hour
    return rule.from_hour <= hour < rule.to_hour


def requested_by(message: DeadLetter, rules: Iterable[Rule], now: float) -> str:
    """Return who requests a redrive: OPERATOR_REQUEST, the first matching rule's name, or nobody (empty)."""
    if message.redrive_requested:
        return OPERATOR_REQUEST
    return next((rule.name for rule in rules if matches(rule, message, now)), "")
