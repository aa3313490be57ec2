"""Rules that redrive dead letters without an operator's request. Pure: no clock, no I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from juniperward.dead_letters.dead_letter import DeadLetter

# Recorded in place of a rule's name if an operator requested the redrive.
OPERATOR_REQUEST = "a person"
SECONDS_PER_HOUR = 3600.0
HOURS_PER_DAY = 24.0


@dataclass(frozen=True, slots=True)
class Rule:
    """Selects messages to redrive automatically; empty sets match all.

    Attributes:
        name: recorded in the audit trail as the requester.
        destinations: numbers of destinations.
        classes: names of message classes.
        accounts: the tenants' accounts.
        min_age_s: least time since the message was given up.
        max_age_s: longest time since the message was given up.
        max_redrives: the number of redrives after which a message no longer matches.
        from_hour: hour of the day (UTC) from which the rule is active.
        to_hour: hour of the day (UTC) until which it is active; if it is before `from_hour`, on the next day.
    """

    name: str
    destinations: frozenset[int] = frozenset()
    classes: frozenset[str] = frozenset()
    accounts: frozenset[str] = frozenset()
    min_age_s: float = 0.0
    max_age_s: float = math.inf
    max_redrives: int = 3
    from_hour: float = 0.0
    to_hour: float = HOURS_PER_DAY


def matches(rule: Rule, message: DeadLetter, now: float) -> bool:
    """Return whether a rule requests a redrive of this message now; does not check whether it is safe."""
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
    if rule.from_hour > rule.to_hour:  # the active hours include midnight
        return hour >= rule.from_hour or hour < rule.to_hour
    return rule.from_hour <= hour < rule.to_hour


def requested_by(message: DeadLetter, rules: Iterable[Rule], now: float) -> str:
    """Return OPERATOR_REQUEST or the name of the first matching rule; empty if there is no request."""
    if message.redrive_requested:
        return OPERATOR_REQUEST
    return next((rule.name for rule in rules if matches(rule, message, now)), "")
