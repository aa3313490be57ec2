"""What a scheduler stores of a route, the endpoints that share a limit and outages: plain data, no decisions.

Moments (`_at`, `_since`, `_until`) are seconds of the caller's monotonic clock, rates calls a second.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, fields


@dataclass(slots=True, eq=False)
class RouteState:
    """One state for all endpoints of a destination, or for each endpoint where routes are separate."""

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
    # Deliveries, by traffic
    delivery_rate: float = 0.0  # decaying
    last_delivery_at: float = 0.0
    first_delivery_at: float | None = None
    delivery_count: int = 0
    # Reported limit, by traffic
    reported_limit_per_s: float = 0.0  # of all forwarders together; 0 where none was reported
    reported_capacity_left: float = 0.0  # from 0 to 1
    # Limit, by rate_limits
    rate_limit: float | None = None
    rate_limit_cut_at: float = -math.inf
    rate_limit_raise_at: float = 0.0
    consecutive_rejections: int = 0
    rejections_since: float = 0.0

    @property
    def warming_up(self) -> bool:
        """Whether it is in its slow start after an outage."""
        return self.slow_start_since is not None

    def copy_from(self, other: RouteState) -> None:
        """Take over all values of another state; those who refer to this one see them."""
        for each in fields(other):
            setattr(self, each.name, getattr(other, each.name))
