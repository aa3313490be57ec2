"""The operator's settings for dead letters and their redrives; `settings/redrive_checker.py` fills them in."""

from __future__ import annotations

from dataclasses import dataclass, field

from juniperward.dead_letters.redrive_rate import RedriveRateLimits
from juniperward.dead_letters.redrive_rules import Rule

SECONDS_PER_DAY = 86400.0
DEFAULT_MAX_AGE_S = 30 * SECONDS_PER_DAY


@dataclass(frozen=True, slots=True)
class RedriveSettings:
    """The settings file's `kept` part."""

    rules: tuple[Rule, ...] = ()
    rate_limits: RedriveRateLimits = RedriveRateLimits()
    clock_allowance_s: float = 0.5  # by which the clocks that took part may differ
    time_left_s: dict[str, float] = field(default_factory=dict)  # of a redrive, by class
    max_age_s: float = DEFAULT_MAX_AGE_S  # of a message in the store
    max_messages: int = 1_000_000  # in the store
    max_bytes: int = 2_000_000_000  # of the store
