"""The number of calls that a destination withstands in slow start, as the overload invariant defines it.

The expected number of calls in a span is N = overload multiple x current capacity x span. A destination in
slow start crashes when it receives more than N + 2 x sqrt(N) + 2 calls within the span. A crash violates the
invariant if more than two thirds of these calls came from forwarders that had been notified of the outage by
a failed attempt.

Sources: `Invariants` of WIRE-juniperward.md (`ColdShare`, `WarmWithinMs`, `FallMultiple`, `FallMs`), its rule on
fail-back, and STANDING.md. The constants have the values that WIRE-juniperward.md shows.

Pure arithmetic, without a clock or I/O.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from juniperward.scheduler.settings import SchedulerSettings

SLOW_START_FRACTION = 0.18  # A destination that recovers starts with this fraction of its capacity.
WARM_UP_S = 10.0
OVERLOAD_MULTIPLE = 2.0
OVERLOAD_SPAN_S = 3.0

# Notified forwarders may have sent at most this fraction of the calls that led to a crash.
NOTIFIED_FRACTION_LIMIT = 2.0 / 3.0


def with_chance_margin(calls: float) -> float:
    """Return the largest number of calls that does not crash a destination when N = `calls` are expected.

    The margin of 2 x sqrt(N) + 2 allows for random variation of the arrivals.
    """
    return calls + 2.0 * math.sqrt(calls) + 2.0


@dataclass(frozen=True, slots=True)
class RecoveryBudget:
    """The load that one destination withstands in slow start.

    Methods take `since_recovery_s`, the seconds since the end of its outage.

    Attributes:
        capacity_per_s: calls per second when warm.
        slow_start_fraction: the part of the capacity that it has when it recovers.
        overload_multiple: the multiple of the current capacity that it withstands over a span.

    """

    capacity_per_s: float
    slow_start_fraction: float
    warm_up_s: float
    overload_multiple: float
    overload_span_s: float

    @classmethod
    def of(cls, settings: SchedulerSettings, capacity_per_s: float) -> RecoveryBudget:
        """Return the budget of a destination of that capacity, according to a forwarder's settings."""
        return cls(
            capacity_per_s,
            settings.slow_start_capacity_fraction,
            settings.warm_up_s,
            settings.overload_multiple,
            settings.overload_span_s,
        )

    def current_capacity_per_s(self, since_recovery_s: float) -> float:
        """Return the capacity in calls per second, which rises linearly during the warm-up."""
        warm_up_progress = min(max(since_recovery_s, 0.0) / self.warm_up_s, 1.0)
        return self.capacity_per_s * (
            self.slow_start_fraction + (1.0 - self.slow_start_fraction) * warm_up_progress
        )

    def expected_calls(self, since_recovery_s: float) -> float:
        """Return N, the number of calls allowed in a span that ends at that time, without the margin."""
        return self.overload_multiple * self.current_capacity_per_s(since_recovery_s) * self.overload_span_s

    def max_calls(self, since_recovery_s: float) -> float:
        """Return the largest number of calls in a span that ends at that time without a crash."""
        return with_chance_margin(self.expected_calls(since_recovery_s))

    def max_calls_by_mean(self, since_recovery_s: float) -> float:
        """Return `max_calls` computed with the mean capacity over the span; it is at most `max_calls`."""
        if since_recovery_s < self.overload_span_s:
            mean = self._mean_fraction_of_first_span(since_recovery_s)
            calls = self.overload_multiple * mean * self.capacity_per_s * self.overload_span_s
            return with_chance_margin(calls)
        middle_s = since_recovery_s - self.overload_span_s / 2.0
        calls = self.overload_multiple * self.current_capacity_per_s(middle_s) * self.overload_span_s
        return with_chance_margin(calls)

    def _mean_fraction_of_first_span(self, since_recovery_s: float) -> float:
        """Return the mean of the available part of the capacity over a span that started before recovery."""
        warming_up_fraction = since_recovery_s / self.overload_span_s
        capacity_fraction = self.current_capacity_per_s(since_recovery_s / 2.0) / self.capacity_per_s
        return (
            self.slow_start_fraction * (1.0 - warming_up_fraction) + warming_up_fraction * capacity_fraction
        )
