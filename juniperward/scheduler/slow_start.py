"""Spacing of the trials of ejected routes, and of calls during the slow start after an outage.

No forwarder knows when an ejected destination returns. Directly after its return, all forwarders together may
send calls at its capacity times `slow_start_capacity_fraction` times `overload_multiple`, within any overload
span. The expected rates of the forwarders add up to the capacity, so each forwarder applies the same factors
to its own expected rate. Trials use `TRIAL_BUDGET_FRACTION` of this budget. The rest is for the call that
follows a successful trial.
"""

from juniperward.scheduler import tuning
from juniperward.scheduler.rate_limits import RateLimits
from juniperward.scheduler.records import Destination, Endpoint
from juniperward.scheduler.route_state import RouteState
from juniperward.scheduler.scheduler_part import SchedulerPart, SchedulerState
from juniperward.scheduler.timers import TIME_EPSILON_S
from juniperward.scheduler.traffic import recent_rate, record_call


class SlowStart(SchedulerPart):
    """Spaces trials and the calls of a slow start."""

    def __init__(self, state: SchedulerState, rate_limits: RateLimits) -> None:
        """Use the part that limits the rate of a route once its slow start has ended."""
        super().__init__(state)
        self._rate_limits = rate_limits

    def record_call(self, endpoint: Endpoint, weight: float) -> None:
        """Set the earliest time of the next call after a call or a health check.

        `weight` is the cost of the call relative to a call with one message.
        """
        destination, route = endpoint.destination, endpoint.route
        route.last_call_at = self._now
        record_call(route, self._now)
        interval = self.trial_interval if route.ejected else self.slow_start_interval
        interval_s = interval(destination, route, weight)
        if route.rate_limit_per_s is not None:
            # A rate limit counts calls, so the weight does not matter here.
            interval_s = max(interval_s, 1.0 / route.rate_limit_per_s)
        route.next_call_at = max(route.next_call_at, self._now) + interval_s
        self.bring_trial_forward(route)
        if endpoint.unhealthy:
            endpoint.next_trial_at = self._now + self.trial_interval(destination, route, weight)

    def bring_trial_forward(self, route: RouteState) -> None:
        """Limit the wait for the next trial to a jittered warm-up after the end of a Retry-After.

        The destination is expected to return when the Retry-After ends.
        """
        warm_up_s = self._settings.warm_up_s
        if self._large_fleet and route.ejected and route.retry_after_until > self._now - warm_up_s:
            warm_at = (
                route.retry_after_until + self._random.uniform(*tuning.WARM_UP_JITTER_FACTORS) * warm_up_s
            )
            route.next_call_at = min(route.next_call_at, warm_at)

    def trial_interval(self, destination: Destination, route: RouteState, weight: float) -> float:
        """Return the seconds until the next trial of an ejected route or an unhealthy endpoint."""
        if not route.ejected and not route.warming_up:
            self._remember_rate(route)
        usual_rate = self._usual_rate(destination, route)
        if self._large_fleet:
            return self._large_fleet_trial_interval(usual_rate, weight)
        return self._small_fleet_trial_interval(destination, usual_rate, weight)

    def slow_start_interval(self, destination: Destination, route: RouteState, weight: float) -> float:
        """Return the seconds until the next call of a route in slow start, or 0 if it is in none.

        Ends a slow start whose warm-up has passed.
        """
        if route.slow_start_since is None:
            return 0.0
        warm_up_s = self._settings.warm_up_s
        fraction = self._settings.slow_start_capacity_fraction
        elapsed_s = self._now - route.slow_start_since
        rate = self._usual_rate(destination, route) * ((1 + self._settings.overload_multiple) / 2)
        if elapsed_s >= warm_up_s:
            self._end(destination, route, rate)
            return 0.0
        allowed = rate * (fraction + (1 - fraction) * elapsed_s / warm_up_s)
        if self._large_fleet:
            gain = (1 - fraction) / (fraction + TIME_EPSILON_S)
            allowed = max(allowed, gain / tuning.TRIAL_BUDGET_FRACTION / warm_up_s)
        return min(weight / (allowed + TIME_EPSILON_S), warm_up_s - elapsed_s)

    def _end(self, destination: Destination, route: RouteState, rate: float) -> None:
        """End a slow start. A rate limit takes over, so that queued messages are not sent in one burst."""
        route.slow_start_since = None
        if route.rate_limit_per_s is None:
            floor = tuning.MIN_TOTAL_RATE_PER_S * self._traffic.own_fraction()
            self._rate_limits.start_limit(destination, route, max(floor, rate))

    def _remember_rate(self, route: RouteState) -> None:
        """Remember the rate as of the last delivery, as the outage since then must not lower it.

        Half of the last delivery's own contribution is subtracted.
        """
        recent = recent_rate(route, route.last_delivery_at) - 0.5 / tuning.RATE_MEMORY_S
        decayed_rate = route.rate_before_outage_per_s * tuning.RATE_BEFORE_OUTAGE_DECAY_FACTOR
        route.rate_before_outage_per_s = max(recent, decayed_rate)

    def _large_fleet_trial_interval(self, usual_rate: float, weight: float) -> float:
        settings = self._settings
        budget_factor = settings.slow_start_capacity_fraction * settings.overload_multiple
        rate = usual_rate * (budget_factor * tuning.TRIAL_BUDGET_FRACTION)
        min_s = min(settings.overload_span_s, tuning.MIN_TRIAL_INTERVAL_S)
        return max(min_s, self._random.uniform(*tuning.TRIAL_JITTER_FACTORS) * weight / rate)

    def _small_fleet_trial_interval(
        self, destination: Destination, usual_rate: float, weight: float
    ) -> float:
        settings = self._settings
        min_s = settings.overload_span_s
        if destination.listed_rate_per_s > 0 and settings.rates_listed:
            min_s = min(min_s, tuning.MIN_TRIAL_INTERVAL_S)
        rate = usual_rate * ((1 + settings.overload_multiple) / 2) * settings.slow_start_capacity_fraction
        interval_s = weight / (rate + TIME_EPSILON_S)
        return max(min_s, min(interval_s, tuning.MAX_TRIAL_INTERVAL_SPANS * settings.overload_span_s))

    def _usual_rate(self, destination: Destination, route: RouteState) -> float:
        if self._large_fleet:
            return self._traffic.expected_rate(destination, route)
        floor = tuning.MIN_TOTAL_RATE_PER_S / self._settings.instances
        return max(route.rate_before_outage_per_s, floor, self._traffic.rate_quota(destination, route))
