"""How often a destination is called that is ejected or warms up after an outage (rule 4 of the protocol).

In any overload span all forwarders may send cold share x overload multiple x capacity, none knowing of the
return. Expected rates add up to the capacity: calls spaced by rate x share x multiple make that budget;
`TRIAL_BUDGET_FRACTION` of it are trials, the rest is for the call after a good one.
"""

from juniperward.scheduler import tuning
from juniperward.scheduler.rate_limits import RateLimits
from juniperward.scheduler.records import Destination, Endpoint
from juniperward.scheduler.route_state import RouteState
from juniperward.scheduler.scheduler_part import SchedulerPart, SchedulerState
from juniperward.scheduler.timers import TIME_EPSILON_S


class SlowStart(SchedulerPart):
    """Spaces trials, and the calls of a recovery ramp."""

    def __init__(self, state: SchedulerState, rate_limits: RateLimits) -> None:
        """Leave a route that is warm to its rate limit."""
        super().__init__(state)
        self._rate_limits = rate_limits

    def record_call(self, endpoint: Endpoint, weight: float) -> None:
        """Charge a call or a health check; `weight` is 1 for a call of one message."""
        destination, route = endpoint.destination, endpoint.route
        route.last_call_at = self._now
        route.record_call(self._now, tuning.RATE_MEMORY_S)
        interval = self.trial_interval if route.ejected else self.slow_start_interval
        interval_s = interval(destination, route, weight)
        if route.rate_limit is not None:
            interval_s = max(interval_s, 1.0 / route.rate_limit)  # a limit counts calls, whatever they carry
        route.next_call_at = max(route.next_call_at, self._now) + interval_s
        self.bring_trial_forward(route)
        if endpoint.unhealthy:
            endpoint.next_trial_at = self._now + self.trial_interval(destination, route, weight)

    def bring_trial_forward(self, route: RouteState) -> None:
        """A Retry-After ends with the return: after a warm-up from there no trial need wait for longer."""
        warm_up_s = self._settings.warm_up_s
        if self._large_fleet and route.ejected and route.retry_after_until > self._now - warm_up_s:
            warm_at = route.retry_after_until + self._random.uniform(*tuning.WARM_UP_JITTER) * warm_up_s
            route.next_call_at = min(route.next_call_at, warm_at)

    def trial_interval(self, destination: Destination, route: RouteState, weight: float) -> float:
        """Return the seconds until the next trial of an ejected route or an unhealthy endpoint."""
        settings, memory_s = self._settings, tuning.RATE_MEMORY_S
        if not route.ejected and route.slow_start_since is None:
            # As of the last delivery, less half of its own weight: the outage must not wear down the memory.
            recent = route.recent_rate(route.last_delivery_at, memory_s) - 0.5 / memory_s
            route.rate_before_outage = max(recent, route.rate_before_outage * 0.5)
        rate, cold_share = self._usual_rate(destination, route), settings.slow_start_capacity_fraction
        min_s = min(settings.overload_span_s, tuning.TRIAL_MIN_S)
        if self._large_fleet:
            rate *= cold_share * settings.overload_multiple * tuning.TRIAL_BUDGET_FRACTION
            return max(min_s, self._random.uniform(*tuning.TRIAL_JITTER) * weight / rate)
        if destination.listed_rate <= 0 or not settings.rates_listed:
            min_s = settings.overload_span_s
        interval_s = weight / (rate * ((1 + settings.overload_multiple) / 2) * cold_share + TIME_EPSILON_S)
        return max(min_s, min(interval_s, tuning.TRIAL_MAX_SPANS * settings.overload_span_s))

    def slow_start_interval(self, destination: Destination, route: RouteState, weight: float) -> float:
        """Return the seconds until the next call of a route that warms up; 0 where it does not."""
        if route.slow_start_since is None:
            return 0.0
        warm_up_s, cold_share = self._settings.warm_up_s, self._settings.slow_start_capacity_fraction
        elapsed_s = self._now - route.slow_start_since
        rate = self._usual_rate(destination, route) * ((1 + self._settings.overload_multiple) / 2)
        if elapsed_s >= warm_up_s:
            # Warm: what was held meanwhile must not arrive at once; the rate limit goes on from here.
            route.slow_start_since = None
            if route.rate_limit is None:
                floor = tuning.RATE_FLOOR * self._traffic.fraction()
                self._rate_limits.start_limit(destination, route, max(floor, rate))
            return 0.0
        allowed = rate * (cold_share + (1 - cold_share) * elapsed_s / warm_up_s)
        if self._large_fleet:
            gain = (1 - cold_share) / (cold_share + TIME_EPSILON_S)
            allowed = max(allowed, gain / tuning.TRIAL_BUDGET_FRACTION / warm_up_s)
        return min(weight / (allowed + TIME_EPSILON_S), warm_up_s - elapsed_s)

    def _usual_rate(self, destination: Destination, route: RouteState) -> float:
        if self._large_fleet:
            return self._traffic.expected_rate(destination, route)
        floor = tuning.RATE_FLOOR / self._settings.instances
        return max(route.rate_before_outage, floor, self._traffic.rate_quota(destination, route))
