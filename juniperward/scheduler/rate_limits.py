"""Rate limits of routes: additive increase while calls are accepted, multiplicative decrease on rejections.

A limit that the endpoint list or load reports name is divided into quotas of the forwarders.
"""

from typing import NamedTuple

from juniperward.scheduler import tuning
from juniperward.scheduler.records import Destination, Endpoint
from juniperward.scheduler.route_state import RouteState
from juniperward.scheduler.scheduler_part import SchedulerPart
from juniperward.scheduler.timers import TIME_EPSILON_S
from juniperward.scheduler.traffic import calls_within


class LimitChange(NamedTuple):
    """The change of a rate limit after an interval without rejections.

    Attributes:
        raise_by_per_s: the increase of the limit.
        lifted: whether the limit is removed.
    """

    raise_by_per_s: float
    lifted: bool = False


class RateLimits(SchedulerPart):
    """Sets, raises and removes the rate limit of each route."""

    def record_retry_after(self, route: RouteState, retry_after_s: float) -> None:
        """Send no call to a route before a Retry-After ends, whatever outcome it came with."""
        if retry_after_s > 0:
            route.retry_after_until = max(route.retry_after_until, self._now + retry_after_s)

    def record_rejection(self, endpoint: Endpoint, sent_at: float, retry_after_s: float) -> bool:
        """Cut the limit after a rejection, and return whether the rejections amount to an outage."""
        destination, route = endpoint.destination, endpoint.route
        self.record_retry_after(route, retry_after_s)
        min_interval_s = destination.mean_latency_s
        if min_interval_s is None:
            min_interval_s = self._latency.quantum_s
        if self._now - route.rate_limit_cut_at >= min_interval_s:
            self._cut(destination, route)
        self._raise_later(destination, route)
        route.consecutive_rejections += 1
        if route.consecutive_rejections == 1:
            route.rejections_since = sent_at
        return self._is_outage(route) or retry_after_s >= self._settings.overload_span_s

    def has_capacity_left(self, route: RouteState) -> bool:
        """Return whether load reports show that rejections have another cause than the limit.

        Reports are delayed. Once a call has been delivered, they count only after rejections have gone on for
        longer than that delay.
        """
        if route.reported_capacity_left < tuning.EXHAUSTED_CAPACITY_FRACTION:
            return False
        if route.first_delivery_at is None:
            return True
        rejecting_s = self._now - route.rejections_since
        return route.consecutive_rejections > 0 and rejecting_s > tuning.LOAD_REPORT_DELAY_S

    def start_limit(self, destination: Destination, route: RouteState, limit: float) -> None:
        """Set the limit of a route that had none, and schedule its first raise."""
        route.rate_limit_per_s = limit
        self._raise_later(destination, route)

    def raise_limit(self, destination: Destination, route: RouteState) -> None:
        """Raise a limit after an interval without rejections, or remove it if it no longer binds."""
        if route.rate_limit_per_s is None or self._now < route.rate_limit_raise_at - TIME_EPSILON_S:
            return
        if not route.consecutive_rejections:
            change = self._next_change(destination, route, route.rate_limit_per_s)
            if change.lifted:
                route.rate_limit_per_s = None
                self._backlog.make_ready(destination)
                return
            route.rate_limit_per_s += change.raise_by_per_s
        self._raise_later(destination, route)

    def _is_outage(self, route: RouteState) -> bool:
        rejecting_s = self._now - route.rejections_since
        long_enough = rejecting_s >= tuning.OUTAGE_MIN_DURATION_S
        return route.consecutive_rejections >= tuning.OUTAGE_MIN_REJECTIONS and long_enough

    def _cut(self, destination: Destination, route: RouteState) -> None:
        limit = self._limit_after_cut(destination, route)
        route.rate_limit_per_s = limit
        route.rate_limit_cut_at = self._now
        # Jitter spreads the calls of forwarders that received the same Retry-After.
        after_cut_at = self._now + self._random.uniform(*tuning.LIMITED_CALL_JITTER_FACTORS) / limit
        after_retry_after_at = (
            route.retry_after_until + self._random.uniform(*tuning.RETRY_AFTER_JITTER_FACTORS) / limit
        )
        route.next_call_at = max(route.next_call_at, after_cut_at, after_retry_after_at)

    def _limit_after_cut(self, destination: Destination, route: RouteState) -> float:
        quota = self._traffic.rate_quota(destination, route)
        min_rate = tuning.MIN_CALLS_PER_DEADLINE / self._latency.min_deadline_s
        if self._is_rejected_over_limit(route, quota):
            known_limit = min(quota, route.rate_limit_per_s or quota)
            return max(self._cut_factor(destination, route) * known_limit, min_rate)
        limit = route.rate_limit_per_s
        current = limit if limit is not None else calls_within(route, self._now, 1.0)
        floor = max(
            tuning.MIN_TOTAL_RATE_PER_S * self._traffic.own_fraction(),
            tuning.QUOTA_FLOOR_FRACTION * quota,
            min_rate,
        )
        return max(tuning.RATE_CUT_FACTOR * current, floor)

    def _is_rejected_over_limit(self, route: RouteState, quota: float) -> bool:
        """Return whether rejections mean that all forwarders together exceed the known limit."""
        if route.reported_limit_per_s:
            return not self.has_capacity_left(route)
        return self._large_fleet and quota > 0

    @staticmethod
    def _cut_factor(destination: Destination, route: RouteState) -> float:
        """Return the factor by which a rejection cuts a known limit.

        A first rejection may be chance close to the limit. A second one in a row shows that the limit is
        lower than was known. Rejected calls count against a limit too, so the total rate of the forwarders
        must fall below it before any call is delivered.
        """
        if route.consecutive_rejections:
            return tuning.RATE_CUT_FACTOR
        return tuning.QUOTA_FLOOR_FRACTION if destination.listed_rate_per_s > 0 else 1.0

    def _raise_later(self, destination: Destination, route: RouteState) -> None:
        route.rate_limit_raise_at = self._now + tuning.RATE_RAISE_INTERVAL_S
        self._schedule(route.rate_limit_raise_at, self.raise_limit, destination, route)

    def _next_change(self, destination: Destination, route: RouteState, limit: float) -> LimitChange:
        quota = self._traffic.rate_quota(destination, route)
        idle = not destination.queue
        if quota > 0 and self._large_fleet:
            return self._cautious_change(route, limit, quota, idle)
        fraction = min(1.0, tuning.SMALL_FLEET_MAX_INSTANCES * self._traffic.own_fraction())
        step = max(tuning.RATE_INCREASE_PER_S * fraction, tuning.QUOTA_STEP_FRACTION * quota)
        # Below one call a second, one second is too short to measure the rate of calls.
        span_s = 1.0 if limit >= 1.0 else tuning.RATE_MEMORY_S
        lifted = idle and limit > calls_within(route, self._now, span_s) / span_s + step
        return LimitChange(step, lifted)

    def _cautious_change(self, route: RouteState, limit: float, quota: float, idle: bool) -> LimitChange:
        """Return a step that doubles each second; it starts small after a cut and again at the quota."""
        since_cut_s = min(self._now - route.rate_limit_cut_at, tuning.RATE_MEMORY_S)
        step = tuning.CAUTIOUS_QUOTA_STEP_FRACTION * quota * 2**since_cut_s
        if limit < quota <= limit + step:
            step = quota - limit
            route.rate_limit_cut_at = self._now
        return LimitChange(step, lifted=limit > quota and idle)
