"""How many calls a second a route gets from this forwarder: cut by rejections, raised without them.

Where the endpoint list or reports tell a limit, each forwarder keeps to its share of it.
"""

from juniperward.scheduler import tuning
from juniperward.scheduler.records import Destination, Endpoint
from juniperward.scheduler.route_state import RouteState
from juniperward.scheduler.scheduler_part import SchedulerPart
from juniperward.scheduler.timers import TIME_EPSILON_S


class RateLimits(SchedulerPart):
    """The rate limit of each route."""

    def record_retry_after(self, route: RouteState, retry_after_s: float) -> None:
        """Hold a route; it binds whatever the outcome that told it (rule 6)."""
        if retry_after_s > 0:
            route.retry_after_until = max(route.retry_after_until, self._now + retry_after_s)

    def record_rejection(self, endpoint: Endpoint, sent_at: float, retry_after_s: float) -> bool:
        """Cut the limit after a rejection; returns whether so many in a row are an outage."""
        now, destination, route = self._now, endpoint.destination, endpoint.route
        mean_s = destination.mean_latency_s
        self.record_retry_after(route, retry_after_s)
        if now - route.rate_limit_cut_at >= (mean_s if mean_s is not None else self._latency.quantum_s):
            self._cut(destination, route)
        self._raise_later(destination, route)
        route.consecutive_rejections += 1
        if route.consecutive_rejections == 1:
            route.rejections_since = sent_at
        rejecting_s = now - route.rejections_since
        shut = (
            route.consecutive_rejections >= tuning.OUTAGE_REJECTIONS
            and rejecting_s >= tuning.OUTAGE_REJECTING_S
        )
        return shut or retry_after_s >= self._settings.overload_span_s

    def _cut(self, destination: Destination, route: RouteState) -> None:
        share = self._traffic.rate_quota(destination, route)
        least = tuning.MIN_CALLS_PER_DEADLINE / self._traffic.min_deadline_s
        over_limit = self._large_fleet and share > 0
        if route.reported_limit_per_s:
            over_limit = not self._traffic.has_capacity_left(route)
        if over_limit:
            # A first may be chance at the limit's edge; the next in a row tells of a lower limit.
            # Rejections use it up: nothing is delivered before what all send has fallen below it.
            first_cut = tuning.LISTED_FLOOR_FRACTION if destination.listed_rate > 0 else 1.0
            cut = tuning.RATE_CUT if route.consecutive_rejections else first_cut
            limit = max(cut * min(share, route.rate_limit or share), least)
        else:
            present = route.rate_limit if route.rate_limit is not None else route.calls_within(self._now, 1.0)
            floor = max(
                tuning.RATE_FLOOR * self._traffic.fraction(), tuning.LISTED_FLOOR_FRACTION * share, least
            )
            limit = max(tuning.RATE_CUT * present, floor)
        route.rate_limit, route.rate_limit_cut_at = limit, self._now
        # At a phase of its own: forwarders told to wait until one moment must not all call at its end.
        spaced_at = self._now + self._random.uniform(0.75, 1.25) / limit
        after_wait_at = route.retry_after_until + self._random.uniform(0.0, 0.5) / limit
        route.next_call_at = max(route.next_call_at, spaced_at, after_wait_at)

    def start_limit(self, destination: Destination, route: RouteState, limit: float) -> None:
        """Limit a route that had no limit; it is raised from here."""
        route.rate_limit = limit
        self._raise_later(destination, route)

    def _raise_later(self, destination: Destination, route: RouteState) -> None:
        route.rate_limit_raise_at = self._now + 1.0
        self._schedule(route.rate_limit_raise_at, self.raise_limit, destination, route)

    def raise_limit(self, destination: Destination, route: RouteState) -> None:
        """Raise a limit after a second without rejections, and drop it once it binds no more."""
        if route.rate_limit is None or self._now < route.rate_limit_raise_at - TIME_EPSILON_S:
            return
        if not route.consecutive_rejections:
            step, drop = self._step(destination, route, route.rate_limit)
            if drop:
                route.rate_limit = None
                self._backlog.make_ready(destination)
                return
            route.rate_limit += step
        self._raise_later(destination, route)

    def _step(self, destination: Destination, route: RouteState, limit: float) -> tuple[float, bool]:
        """Return by how much to raise a limit, and whether to drop it instead."""
        share, idle = self._traffic.rate_quota(destination, route), not destination.queue
        if share > 0 and self._large_fleet:  # slow near what was too much, then ever faster
            since_cut_s = min(self._now - route.rate_limit_cut_at, tuning.RATE_MEMORY_S)
            step = tuning.CAUTIOUS_STEP_FRACTION * share * 2**since_cut_s
            if limit < share <= limit + step:  # at its share: slowly from here
                step, route.rate_limit_cut_at = share - limit, self._now
            return step, limit > share and idle
        part = min(1.0, tuning.SMALL_FLEET * self._traffic.fraction())
        step = max(tuning.RATE_STEP_PER_S * part, tuning.LISTED_STEP_FRACTION * share)
        span_s = 1.0 if limit >= 1.0 else tuning.RATE_MEMORY_S  # a second tells nothing of fewer calls
        return step, idle and limit > route.calls_within(self._now, span_s) / span_s + step
