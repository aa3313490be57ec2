"""Marks endpoints unhealthy and ejects routes by the outcomes of their calls, and ends ejections."""

import math

from juniperward.scheduler import tuning
from juniperward.scheduler.actions import DestinationEjected, DestinationRecovered, EjectionReason
from juniperward.scheduler.connections import Connections
from juniperward.scheduler.events import AttemptFinished, HealthCheckFinished, Outcome
from juniperward.scheduler.rate_limits import RateLimits
from juniperward.scheduler.records import BatchAttempt, Endpoint
from juniperward.scheduler.route_state import RouteState
from juniperward.scheduler.scheduler_part import SchedulerPart, SchedulerState
from juniperward.scheduler.slow_start import SlowStart
from juniperward.scheduler.traffic import record_delivery, record_load_report

Result = AttemptFinished | HealthCheckFinished
NON_FAILURE_OUTCOMES = (Outcome.OK, Outcome.OVERLOADED, Outcome.NOT_SENT, Outcome.CANCELLED)


class OutlierDetection(SchedulerPart):
    """Ejects failing and unresponsive routes, and begins the slow start of a route that answers again."""

    def __init__(
        self,
        state: SchedulerState,
        rate_limits: RateLimits,
        slow_start: SlowStart,
        connections: Connections,
    ) -> None:
        """Use the parts that cut rate limits, space trials and count connections."""
        super().__init__(state)
        self._rate_limits = rate_limits
        self._slow_start = slow_start
        self._connections = connections

    def record_attempt(self, attempt: BatchAttempt, finished: AttemptFinished) -> None:
        """Record the outcome of a call, which all its messages share."""
        # A message that was not sent says nothing about the call, so the outcome of another one is recorded.
        attempt.outcome_recorded = finished.outcome is not Outcome.NOT_SENT
        if finished.outcome not in NON_FAILURE_OUTCOMES:
            # The expected slot time was charged at the start. A failure that took longer is charged the
            # excess, and a quicker one gets no refund: a destination must not gain slot time by quick errors.
            normal_s = self._latency.expected_s(self._backlog.messages[finished.message])
            attempt.endpoint.destination.deficit_s -= max(0.0, finished.latency_s - normal_s)
        self.record_outcome(attempt.endpoint, finished, attempt.sent_at)

    def record_outcome(self, endpoint: Endpoint, result: Result, sent_at: float) -> None:
        """Record the outcome of a call or a health check."""
        limit_per_s = result.reported_limit_per_s
        capacity_left = result.capacity_left
        if limit_per_s is not None and capacity_left is not None and 0 < limit_per_s < math.inf:
            record_load_report(endpoint.route, limit_per_s, capacity_left)
        table_full = isinstance(result, AttemptFinished) and result.connection_table_full
        retry_after_s = result.retry_after_s if isinstance(result, AttemptFinished) else 0.0
        match result.outcome:
            case Outcome.OK:
                self._record_success(endpoint, sent_at)
            case Outcome.OVERLOADED:
                self._record_rejection(endpoint, sent_at, retry_after_s)
            case Outcome.CONNECT_FAILED if table_full or self._is_reachable(endpoint):
                # A reachable endpoint that refuses a connection has a full connection table.
                self._connections.record_full_table(endpoint, table_full)
            case Outcome.ERROR | Outcome.TIMEOUT | Outcome.CONNECT_FAILED | Outcome.RESET:
                self._record_failure(endpoint, result.outcome)

    def mark_unhealthy(self, endpoint: Endpoint, reason: EjectionReason) -> None:
        """Limit an endpoint to trials, and eject its route if no ready endpoint of it is healthy."""
        destination, route = endpoint.destination, endpoint.route
        if not endpoint.unhealthy:
            endpoint.mark_unhealthy(self._now, reason is EjectionReason.UNRESPONSIVE)
            interval_s = self._slow_start.trial_interval(destination, route, 1.0)
            endpoint.next_trial_at = self._now + interval_s
        if all(other.unhealthy for other in destination.endpoints_on(route) if other.is_ready):
            self._eject(endpoint, reason)

    def _is_reachable(self, endpoint: Endpoint) -> bool:
        since = self._now - self._settings.dial_timeout_s - tuning.REACHABLE_MARGIN_S
        return endpoint.last_success_at > since

    def _record_success(self, endpoint: Endpoint, sent_at: float) -> None:
        route = endpoint.route
        endpoint.last_success_at = self._now
        endpoint.record_result(answered=True, remembered=tuning.FAILURE_WINDOW_CALLS)
        self._connections.record_answer(endpoint)
        record_delivery(route, self._now, sent_at)
        # An answer to a call from before the outage shows no recovery, unless the endpoint was unresponsive.
        if endpoint.unhealthy and (endpoint.unresponsive or sent_at >= endpoint.unhealthy_since):
            endpoint.mark_healthy()
        if not (route.ejected or route.staggered):
            route.consecutive_faults = 0
        elif self._now >= route.retry_after_until and (endpoint.unresponsive or sent_at >= route.ejected_at):
            self._begin_recovery(endpoint)

    def _record_rejection(self, endpoint: Endpoint, sent_at: float, retry_after_s: float) -> None:
        route = endpoint.route
        # During the warm-up, a rejection is expected at the rate limit: the first one after a delivery, and
        # those of calls that were sent before the latest cut.
        after_delivery = sent_at < route.rate_limit_cut_at or not route.consecutive_rejections
        at_limit = route.warming_up and after_delivery
        if self._rate_limits.record_rejection(endpoint, sent_at, retry_after_s):
            self._eject(endpoint, EjectionReason.REJECTS_ALL)
        if self._is_rejected_below_limit(endpoint) and not at_limit:
            self._record_fault(endpoint, EjectionReason.REJECTS_ALL)

    def _is_rejected_below_limit(self, endpoint: Endpoint) -> bool:
        """Return whether a rejection has another cause than the endpoint's rate limit."""
        route = endpoint.route
        if route.reported_limit_per_s > 0:
            return self._rate_limits.has_capacity_left(route)
        return route.first_delivery_at is not None or not endpoint.destination.listed_rate_per_s

    def _record_failure(self, endpoint: Endpoint, outcome: Outcome) -> None:
        endpoint.record_result(answered=False, remembered=tuning.FAILURE_WINDOW_CALLS)
        threshold = (
            tuning.WARM_UP_UNHEALTHY_CONSECUTIVE_FAILURES
            if endpoint.route.warming_up
            else tuning.UNHEALTHY_CONSECUTIVE_FAILURES
        )
        failures = endpoint.recent_results.count(False)
        if endpoint.consecutive_failures() >= threshold or failures >= tuning.UNHEALTHY_WINDOW_FAILURES:
            self.mark_unhealthy(endpoint, EjectionReason.FAILING)
        self._record_fault(endpoint, EjectionReason.FAILING, outcome is Outcome.CONNECT_FAILED)

    def _record_fault(self, endpoint: Endpoint, reason: EjectionReason, connect_failed: bool = False) -> None:
        """Count a fault, and eject or stagger the route in a large fleet without a recent delivery.

        If each of many forwarders waited for several failures, their calls together would overload a
        recovering destination; docs/design/at-size.md says why.
        """
        route = endpoint.route
        settings = self._settings
        route.consecutive_faults += 1
        since_delivery_s = math.inf
        if route.first_delivery_at is not None:
            since_delivery_s = self._now - route.last_delivery_at
        recent_s = tuning.RECENT_DELIVERY_SPANS * settings.overload_span_s
        recently_delivered = since_delivery_s <= recent_s and not route.warming_up
        if not self._large_fleet or route.ejected or recently_delivered:
            return
        if connect_failed and self._may_be_isolated(endpoint):
            return
        if self._is_outage(route, since_delivery_s):
            self._eject(endpoint, reason)
        else:
            self._stagger(route)

    def _is_outage(self, route: RouteState, since_delivery_s: float) -> bool:
        """Return whether a fault counts as an outage; a first one does so in a random part of the fleet."""
        retry_after_runs = route.retry_after_until > self._now
        if route.consecutive_faults > 1 or route.warming_up or retry_after_runs:
            return True
        settings = self._settings
        continue_probability = 1.0
        if since_delivery_s > settings.warm_up_s:
            continue_probability = settings.slow_start_capacity_fraction * settings.overload_multiple
        return self._random.random() > continue_probability

    def _stagger(self, route: RouteState) -> None:
        """Delay the next call by a random part of the warm-up, to spread the calls of the forwarders."""
        route.staggered = True
        route.ejected_at = self._now
        staggered_at = self._now + self._random.random() * self._settings.warm_up_s
        route.next_call_at = max(route.next_call_at, staggered_at)

    def _may_be_isolated(self, endpoint: Endpoint) -> bool:
        """Return whether failed connections are too few to show an outage, given the traffic of the route."""
        rate = self._traffic.expected_rate(endpoint.destination, endpoint.route)
        many_calls = rate * self._settings.overload_span_s >= tuning.UNHEALTHY_CONSECUTIVE_FAILURES
        limit = tuning.UNHEALTHY_CONSECUTIVE_FAILURES if many_calls else tuning.LOW_TRAFFIC_OUTAGE_FAULTS
        return endpoint.route.consecutive_faults < limit

    def _eject(self, endpoint: Endpoint, reason: EjectionReason) -> None:
        """Eject the endpoint's route: its messages wait, and only spaced trials are sent."""
        destination, route = endpoint.destination, endpoint.route
        if route.ejected:
            return
        weight = self._random.random() if self._large_fleet else 1.0
        first_s = self._slow_start.trial_interval(destination, route, weight)
        route.ejected = True
        route.ejected_at = self._now
        route.slow_start_since = None
        route.next_call_at = max(route.next_call_at, self._now + first_s)
        if self._large_fleet:
            route.next_call_at = max(route.next_call_at, route.retry_after_until + first_s)
        self._slow_start.bring_trial_forward(route)
        self._act(DestinationEjected(destination.id, reason))

    def _begin_recovery(self, endpoint: Endpoint) -> None:
        """End an ejection and begin the slow start, in which the rate of calls grows over the warm-up."""
        destination, route = endpoint.destination, endpoint.route
        route.ejected = False
        route.staggered = False
        route.consecutive_faults = 0
        route.slow_start_since = self._now
        if self._large_fleet and route.retry_after_until > route.ejected_at:
            # The endpoints began to warm up when the Retry-After ended.
            route.slow_start_since = route.retry_after_until
        for other in destination.endpoints_on(route):
            other.mark_healthy()
            other.unresponsive = False
        interval_s = 0.0
        if not self._large_fleet:
            interval_s = self._slow_start.slow_start_interval(destination, route, 1.0)
        route.next_call_at = self._now + interval_s
        self._act(DestinationRecovered(destination.id))
