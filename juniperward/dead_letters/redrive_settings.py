"""The operator's settings for dead letters and redrives; `settings/redrive_checker.py` creates them."""

from __future__ import annotations

from dataclasses import dataclass, field

from juniperward.dead_letters.redrive_rate import RedriveRateLimits
from juniperward.dead_letters.redrive_rules import Rule

SECONDS_PER_DAY = 86400.0
DEFAULT_MAX_AGE_S = 30 * SECONDS_PER_DAY


@dataclass(frozen=True, slots=True)
class RedriveSettings:
    """The `kept` section of the settings file.

    Attributes:
        rules: the rules for automatic redrives, in order of precedence.
        rate_limits: limits on the rate of redrives.
        clock_allowance_s: the largest difference between the clocks of the machines involved.
        time_left_s: the time that a redrive may take, by class name.
        max_age_s: the age at which a message is dropped from the store.
        max_messages: the number of messages that the store may hold.
        max_bytes: the number of bytes that the store's messages may take.
    """

    rules: tuple[Rule, ...] = ()
    rate_limits: RedriveRateLimits = RedriveRateLimits()
    clock_allowance_s: float = 0.5
    time_left_s: dict[str, float] = field(default_factory=dict)
    max_age_s: float = DEFAULT_MAX_AGE_S
    max_messages: int = 1_000_000
    max_bytes: int = 2_000_000_000
