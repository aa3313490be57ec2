"""What a scheduler keeps of a route: of the endpoints that share a limit and outages; plain data, no decisions.

Moments (`_at`, `_since`, `_until`) are seconds of the caller's monotonic clock, rates calls a second.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, fields

from juniperward.scheduler.estimators import decayed, observed_fraction

LEAST_OBSERVED_S = 2.0  # a rate counts as observed for so long at least


@dataclass(slots=True, eq=False)
class RouteState:
    """Endpoints that share a limit and outages: a destination's all, or one where routes are separate."""

    next_call_at: float = 0.0
    last_call_at: float = -math.inf
    call_times: list[float] = field(default_factory=list)  # of the last seconds
    retry_after_until: float = -math.inf
    # Outages, by outlier_detection
    ejected: bool = False
    ejected_at: float = 0.0
    consecutive_faults: int = 0  # failures and rejections since the last delivery
    staggered: bool = False  # after one failure its next call waits for `next_call_at`
    # Slow start, by slow_start
    slow_start_since: float | None = None
    rate_before_outage: float = 0.0
    # Deliveries
    delivery_rate: float = 0.0  # decaying
    last_delivery_at: float = 0.0
    first_delivery_at: float | None = None
    delivery_count: int = 0
    # Limits, by rate_limits
    reported_limit_per_s: float = 0.0  # of all forwarders together
    reported_capacity_left: float = 0.0
    rate_limit: float | None = None
    rate_limit_cut_at: float = -math.inf
    rate_limit_raise_at: float = 0.0
    consecutive_rejections: int = 0
    rejections_since: float = 0.0

    def record_call(self, now: float, memory_s: float) -> None:
        """Remember a call for a while."""
        self.call_times.append(now)
        while self.call_times[0] < now - memory_s:
            self.call_times.pop(0)

    def calls_within(self, now: float, span_s: float) -> int:
        """Return how many remembered calls were made within a span."""
        return sum(at >= now - span_s for at in self.call_times)

    def record_delivery(self, now: float, sent_at: float, memory_s: float) -> None:
        """Count a delivery, and add it to the decaying rate."""
        self.delivery_count += 1
        self.consecutive_rejections = 0
        if self.first_delivery_at is None:
            self.first_delivery_at = sent_at
        self.delivery_rate = decayed(self.delivery_rate, now - self.last_delivery_at, memory_s) + 1 / memory_s
        self.last_delivery_at = now

    def recent_rate(self, now: float, memory_s: float) -> float:
        """Return the delivery_count a second of late."""
        if self.first_delivery_at is None:
            return 0.0
        observed_s = max(now - self.first_delivery_at, LEAST_OBSERVED_S)
        rate = decayed(self.delivery_rate, now - self.last_delivery_at, memory_s)
        return rate / observed_fraction(observed_s, memory_s)

    def record_load_report(self, limit: float, capacity_left: float, weight: float) -> None:
        """Take in a reported limit, whose noise is evened out, and the newest share of it that is left."""
        self.reported_limit_per_s += (weight if self.reported_limit_per_s > 0 else 1.0) * (
            limit - self.reported_limit_per_s
        )
        self.reported_capacity_left = min(max(capacity_left, 0.0), 1.0)

    def has_capacity_left(self, now: float, used_up: float, report_age_s: float) -> bool:
        """Return whether it rejects for another reason than its limit.

        Reports are late: after a delivery, one counts once rejections have gone on for longer than its age.
        """
        rejects_for_long = self.consecutive_rejections > 0 and now - self.rejections_since > report_age_s
        return self.reported_capacity_left >= used_up and (self.first_delivery_at is None or rejects_for_long)

    def forget(self, keep_ejection: bool) -> None:
        """Forget what was learned; Retry-After and, on request, an ejection outlast it."""
        fresh = RouteState(
            next_call_at=self.next_call_at,
            retry_after_until=self.retry_after_until,
            ejected=keep_ejection and self.ejected,
            ejected_at=self.ejected_at,
            delivery_count=self.delivery_count,
        )
        for each in fields(fresh):
            setattr(self, each.name, getattr(fresh, each.name))
