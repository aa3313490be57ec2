"""The state that a scheduler keeps for a route.

A route is the set of endpoints that share a rate limit and outages. Its state is plain data, no decisions.
Times (`_at`, `_since`, `_until`) are seconds of the caller's monotonic clock, rates are in calls a second.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, fields


@dataclass(slots=True, eq=False)
class RouteState:
    """The state of one route: all endpoints of a destination, or a single one where routes are separate.

    Attributes:
        next_call_at: the earliest time of the next call.
        call_times: the times of the latest calls, as far back as the rate memory goes.
        retry_after_until: the latest end of a Retry-After.
        ejected: whether the route gets trials only.
        ejected_at: when the route was last ejected or staggered.
        consecutive_faults: the failures and rejections since the last delivery that count as faults.
        staggered: whether the next call waits for `next_call_at` after a single fault.
        slow_start_since: when the slow start began; None while there is none.
        rate_before_outage_per_s: the delivery rate before the latest outage.
        delivery_rate_per_s: the exponentially decaying rate as of `last_delivery_at`.
        first_delivery_at: when the first delivered call was sent.
        reported_limit_per_s: the limit of all forwarders together from load reports; 0 if there is none.
        reported_capacity_left: the fraction of that limit that is left, from 0 to 1.
        rate_limit_per_s: this forwarder's limit; None if the route is not limited.
        rate_limit_cut_at: when the limit was last cut, or last reached its quota again.
        rate_limit_raise_at: when the limit is next raised.
        consecutive_rejections: the rejections since the last delivery.
        rejections_since: when the first call of those rejections was sent.
    """

    next_call_at: float = 0.0
    last_call_at: float = -math.inf
    call_times: list[float] = field(default_factory=list)
    retry_after_until: float = -math.inf
    # Outages: written by outlier_detection
    ejected: bool = False
    ejected_at: float = 0.0
    consecutive_faults: int = 0
    staggered: bool = False
    # Slow start: written by slow_start and outlier_detection
    slow_start_since: float | None = None
    rate_before_outage_per_s: float = 0.0
    # Deliveries: written by traffic
    delivery_rate_per_s: float = 0.0
    last_delivery_at: float = 0.0
    first_delivery_at: float | None = None
    delivery_count: int = 0
    # Reported limit: written by traffic
    reported_limit_per_s: float = 0.0
    reported_capacity_left: float = 0.0
    # Rate limit: written by rate_limits
    rate_limit_per_s: float | None = None
    rate_limit_cut_at: float = -math.inf
    rate_limit_raise_at: float = 0.0
    consecutive_rejections: int = 0
    rejections_since: float = 0.0

    @property
    def warming_up(self) -> bool:
        """Whether the route is in the slow start after an outage."""
        return self.slow_start_since is not None

    def copy_from(self, other: RouteState) -> None:
        """Copy all values of another state into this object, which endpoints share by reference."""
        for each in fields(other):
            setattr(self, each.name, getattr(other, each.name))
