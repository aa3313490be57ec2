"""How many calls a destination bears in slow start: the overload invariant, with its margin for chance.

Sources: `Invariants` of WIRE-juniperward.md (`ColdShare`, `WarmWithinMs`, `FallMultiple`, `FallMs`), its rule 4
("multiple x present capacity x span"), and STANDING.md: a destination in slow start crashes when it gets more than
N + 2 x root of N + 2 calls in the span, and the invariant is violated if over two thirds of them came from forwarders
that had been notified of the outage (by a failed attempt in it).

Input: a destination's capacity and the invariant's values; output: numbers of calls. Pure arithmetic: no clock, no
I/O. Called by the simulated destinations and by the recovery simulation, which judges a fleet by it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from juniperward.scheduler.settings import SchedulerSettings

# As WIRE-juniperward.md shows them.
SLOW_START_FRACTION = 0.18  # of a destination's capacity, at the moment of its return
WARM_UP_S = 10.0
OVERLOAD_MULTIPLE = 2.0
OVERLOAD_SPAN_S = 3.0

NOTIFIED_FRACTION_LIMIT = 2.0 / 3.0  # of the calls of an overloaded span


def with_chance_margin(calls: float) -> float:
    """Return the most calls that do not yet crash a destination whose budget is `calls`: N + 2 x root of N + 2."""
    return calls + 2.0 * math.sqrt(calls) + 2.0


@dataclass(frozen=True, slots=True)
class RecoveryBudget:
    """The budget of one destination that has returned; `since_return_s` is seconds since its return throughout."""

    capacity_per_s: float  # calls a second when warm
    slow_start_fraction: float  # of the capacity, at the return
    warm_up_s: float
    overload_multiple: float
    overload_span_s: float

    @classmethod
    def of(cls, settings: SchedulerSettings, capacity_per_s: float) -> RecoveryBudget:
        """Return the budget that a forwarder's settings give a destination of that capacity."""
        return cls(
            capacity_per_s,
            settings.slow_start_capacity_fraction,
            settings.warm_up_s,
            settings.overload_multiple,
            settings.overload_span_s,
        )

    def present_capacity(self, since_return_s: float) -> float:
        """Return calls a second: the slow-start fraction at the return, the whole capacity once warm."""
        warmed = min(max(since_return_s, 0.0) / self.warm_up_s, 1.0)
        return self.capacity_per_s * (self.slow_start_fraction + (1.0 - self.slow_start_fraction) * warmed)

    def expected_calls(self, since_return_s: float) -> float:
        """Return N: the calls that the settings allow in a span that ends then."""
        return self.overload_multiple * self.present_capacity(since_return_s) * self.overload_span_s

    def max_calls(self, since_return_s: float) -> float:
        """Return the most calls in a span that ends then which do not crash the destination."""
        return with_chance_margin(self.expected_calls(since_return_s))

    def max_calls_by_mean(self, since_return_s: float) -> float:
        """Return `max_calls` with N by the mean capacity over the span, not that at its end: a stricter reading."""
        if since_return_s < self.overload_span_s:
            mean = self._mean_fraction_of_first_span(since_return_s)
            calls = self.overload_multiple * mean * self.capacity_per_s * self.overload_span_s
            return with_chance_margin(calls)
        middle_s = since_return_s - self.overload_span_s / 2.0
        calls = self.overload_multiple * self.present_capacity(middle_s) * self.overload_span_s
        return with_chance_margin(calls)

    def _mean_fraction_of_first_span(self, since_return_s: float) -> float:
        """Return the mean of the capacity's fraction over a span that began before the return."""
        warming = since_return_s / self.overload_span_s
        warming_fraction = self.present_capacity(since_return_s / 2.0) / self.capacity_per_s
        return self.slow_start_fraction * (1.0 - warming) + warming * warming_fraction
