"""Which endpoints are unhealthy and which routes ejected, by the outcomes of calls; when they recover."""

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
NO_FAILURE = (Outcome.OK, Outcome.OVERLOADED, Outcome.NOT_SENT, Outcome.CANCELLED)


class OutlierDetection(SchedulerPart):
    """Ejects what fails or is unresponsive, and begins the recovery of what answers again."""

    def __init__(
        self,
        state: SchedulerState,
        rate_limits: RateLimits,
        slow_start: SlowStart,
        connections: Connections,
    ) -> None:
        """Have rejections cut rate limits, the slow start space trials, and full tables close connections."""
        super().__init__(state)
        self._rate_limits = rate_limits
        self._slow_start = slow_start
        self._connections = connections

    def record_attempt(self, attempt: BatchAttempt, finished: AttemptFinished) -> None:
        """Record the outcome of a call, once for all its messages."""
        # A message that was not sent shows nothing of the call that the others travelled in.
        attempt.outcome_recorded = finished.outcome is not Outcome.NOT_SENT
        if finished.outcome not in NO_FAILURE:
            # A quick error must not gain slot time: what it saved of the normal cost is charged after all.
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
            case Outcome.CONNECT_FAILED if table_full or self._was_just_reached(endpoint):
                # Calls of others get through: its connection table is full.
                self._connections.record_full_table(endpoint, table_full)
            case Outcome.ERROR | Outcome.TIMEOUT | Outcome.CONNECT_FAILED | Outcome.RESET:
                self._record_failure(endpoint, result.outcome)

    def mark_unhealthy(self, endpoint: Endpoint, reason: EjectionReason) -> None:
        """Give an endpoint trials only; with no healthy one left, its route is ejected."""
        destination, route = endpoint.destination, endpoint.route
        if not endpoint.unhealthy:
            endpoint.mark_unhealthy(self._now, reason is EjectionReason.UNRESPONSIVE)
            interval_s = self._slow_start.trial_interval(destination, route, 1.0)
            endpoint.next_trial_at = self._now + interval_s
        if all(other.unhealthy for other in destination.endpoints_on(route) if other.is_ready):
            self._eject(endpoint, reason)

    def _was_just_reached(self, endpoint: Endpoint) -> bool:
        since = self._now - self._settings.dial_timeout_s - tuning.REACHABLE_MARGIN_S
        return endpoint.last_success_at > since

    def _record_success(self, endpoint: Endpoint, sent_at: float) -> None:
        route = endpoint.route
        endpoint.last_success_at = self._now
        endpoint.record_result(answered=True, remembered=tuning.FAILURE_WINDOW_CALLS)
        self._connections.record_answer(endpoint)
        record_delivery(route, self._now, sent_at)
        # An answer from before the outage shows no recovery, unless the endpoint was only unresponsive.
        if endpoint.unhealthy and (endpoint.unresponsive or sent_at >= endpoint.unhealthy_since):
            endpoint.mark_healthy()
        if not (route.ejected or route.staggered):
            route.consecutive_faults = 0
        elif self._now >= route.retry_after_until and (endpoint.unresponsive or sent_at >= route.ejected_at):
            self._begin_recovery(endpoint)

    def _record_rejection(self, endpoint: Endpoint, sent_at: float, retry_after_s: float) -> None:
        route = endpoint.route
        # Warming up, a rejection after a delivery, or of a call before the latest cut, is its limit's edge.
        after_delivery = sent_at < route.rate_limit_cut_at or not route.consecutive_rejections
        at_edge = route.warming_up and after_delivery
        if self._rate_limits.record_rejection(endpoint, sent_at, retry_after_s):
            self._eject(endpoint, EjectionReason.REJECTS_ALL)
        if self._rejects_below_limit(endpoint) and not at_edge:
            self._record_fault(endpoint, EjectionReason.REJECTS_ALL)

    def _rejects_below_limit(self, endpoint: Endpoint) -> bool:
        """Return whether a rejection has another reason than the endpoint's limit."""
        route = endpoint.route
        if route.reported_limit_per_s > 0:
            return self._rate_limits.has_capacity_left(route)
        return route.first_delivery_at is not None or not endpoint.destination.listed_rate

    def _record_failure(self, endpoint: Endpoint, outcome: Outcome) -> None:
        endpoint.record_result(answered=False, remembered=tuning.FAILURE_WINDOW_CALLS)
        in_row = (
            tuning.WARM_UP_UNHEALTHY_CONSECUTIVE_FAILURES
            if endpoint.route.warming_up
            else tuning.UNHEALTHY_CONSECUTIVE_FAILURES
        )
        failures = endpoint.recent_results.count(False)
        if endpoint.consecutive_failures() >= in_row or failures >= tuning.UNHEALTHY_WINDOW_FAILURES:
            self.mark_unhealthy(endpoint, EjectionReason.FAILING)
        self._record_fault(endpoint, EjectionReason.FAILING, outcome is Outcome.CONNECT_FAILED)

    def _record_fault(self, endpoint: Endpoint, reason: EjectionReason, unreached: bool = False) -> None:
        """Eject or stagger a route: rule 4 binds each forwarder of a large fleet from its first failure.

        docs/design/at-size.md says why.
        """
        route = endpoint.route
        settings = self._settings
        route.consecutive_faults += 1
        idle_s = math.inf
        if route.first_delivery_at is not None:
            idle_s = self._now - route.last_delivery_at
        contact_s = tuning.RECENT_DELIVERY_SPANS * settings.overload_span_s
        in_contact = idle_s <= contact_s and not route.warming_up
        if not self._large_fleet or route.ejected or in_contact:
            return
        if unreached and self._may_be_chance(endpoint):
            return
        if self._is_outage(route, idle_s):
            self._eject(endpoint, reason)
        else:
            self._stagger(route)

    def _is_outage(self, route: RouteState, idle_s: float) -> bool:
        """Return whether a fault counts as an outage; a first one does, at random, in part of the fleet."""
        retry_after_runs = route.retry_after_until > self._now
        if route.consecutive_faults > 1 or route.warming_up or retry_after_runs:
            return True
        settings = self._settings
        may_go_on = 1.0  # probability
        if idle_s > settings.warm_up_s:
            may_go_on = settings.slow_start_capacity_fraction * settings.overload_multiple
        return self._random.random() > may_go_on

    def _stagger(self, route: RouteState) -> None:
        """Delay the next call by up to a warm-up, at random: the forwarders must not all call at once."""
        route.staggered = True
        route.ejected_at = self._now
        staggered_at = self._now + self._random.random() * self._settings.warm_up_s
        route.next_call_at = max(route.next_call_at, staggered_at)

    def _may_be_chance(self, endpoint: Endpoint) -> bool:
        """Return whether failed connections show no outage: one does not, nor do a few of many calls."""
        rate = self._traffic.expected_rate(endpoint.destination, endpoint.route)
        many_calls = rate * self._settings.overload_span_s >= tuning.UNHEALTHY_CONSECUTIVE_FAILURES
        limit = tuning.UNHEALTHY_CONSECUTIVE_FAILURES if many_calls else tuning.LOW_TRAFFIC_OUTAGE_FAULTS
        return endpoint.route.consecutive_faults < limit

    def _eject(self, endpoint: Endpoint, reason: EjectionReason) -> None:
        """Begin an outage of the endpoint's route: its messages wait, and it gets few, spaced trials."""
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
        """Begin the slow start after a trial was answered: the rate of calls grows over the warm-up."""
        destination, route = endpoint.destination, endpoint.route
        route.ejected = False
        route.staggered = False
        route.consecutive_faults = 0
        route.slow_start_since = self._now
        if self._large_fleet and route.retry_after_until > route.ejected_at:
            route.slow_start_since = route.retry_after_until  # the endpoints began to warm up then
        for other in destination.endpoints_on(route):
            other.mark_healthy()
            other.unresponsive = False
        interval_s = 0.0
        if not self._large_fleet:
            interval_s = self._slow_start.slow_start_interval(destination, route, 1.0)
        route.next_call_at = self._now + interval_s
        self._act(DestinationRecovered(destination.id))
