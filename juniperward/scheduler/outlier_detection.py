"""Which endpoints and routes are unhealthy, by the outcomes and the silence of their calls."""

import math

from juniperward.scheduler import tuning
from juniperward.scheduler.actions import DestinationEjected, DestinationRecovered, EjectionReason
from juniperward.scheduler.events import AttemptFinished, HealthCheckFinished, Outcome
from juniperward.scheduler.rate_limits import RateLimits
from juniperward.scheduler.records import BatchAttempt, Endpoint
from juniperward.scheduler.retries import may_retry
from juniperward.scheduler.scheduler_part import SchedulerPart, SchedulerState
from juniperward.scheduler.slow_start import SlowStart
from juniperward.scheduler.timers import TIME_EPSILON_S

Result = AttemptFinished | HealthCheckFinished
NO_FAILURE = (Outcome.OK, Outcome.OVERLOADED, Outcome.NOT_SENT, Outcome.CANCELLED)


class OutlierDetection(SchedulerPart):
    """Ejects what fails or is unresponsive, and begins the recovery of what answers again."""

    def __init__(self, state: SchedulerState, rate_limits: RateLimits, slow_start: SlowStart) -> None:
        """Have rejections cut rate limits, and the slow start space trials."""
        super().__init__(state)
        self._rate_limits, self._slow_start = rate_limits, slow_start

    def record_attempt(self, attempt: BatchAttempt, finished: AttemptFinished) -> None:
        """Take in the outcome of a call, once for all its messages."""
        attempt.outcome_recorded = (
            finished.outcome is not Outcome.NOT_SENT
        )  # tells nothing of the others' call
        if finished.outcome not in NO_FAILURE:
            # A quick error must not earn turns: what it saved of the normal cost is charged after all.
            normal_s = self._latency.expected_s(self._backlog.messages[finished.message])
            attempt.endpoint.destination.deficit_s -= max(0.0, finished.latency_s - normal_s)
        self.record_outcome(attempt.endpoint, finished, attempt.sent_at)

    def record_outcome(self, endpoint: Endpoint, result: Result, sent_at: float) -> None:
        """Take in the outcome of a call or a health check."""
        limit, left = result.reported_limit_per_s, result.capacity_left
        if limit is not None and left is not None and 0 < limit < math.inf:
            endpoint.route.record_load_report(limit, left, tuning.LATENCY_MEAN_WEIGHT)
        table_full = isinstance(result, AttemptFinished) and result.connection_table_full
        retry_after_s = result.retry_after_s if isinstance(result, AttemptFinished) else 0.0
        reached_at = self._now - self._settings.dial_timeout_s - 1.0
        match result.outcome:
            case Outcome.OK:
                self._record_success(endpoint, sent_at)
            case Outcome.OVERLOADED:
                self._record_rejection(endpoint, sent_at, retry_after_s)
            case Outcome.CONNECT_FAILED if table_full or endpoint.last_success_at > reached_at:
                self._record_full_table(endpoint, table_full)
            case Outcome.ERROR | Outcome.TIMEOUT | Outcome.CONNECT_FAILED | Outcome.RESET:
                self._record_failure(endpoint, result.outcome)

    def _record_success(self, endpoint: Endpoint, sent_at: float) -> None:
        route = endpoint.route
        endpoint.record_success(self._now, tuning.KEEPALIVE_RISE, tuning.RECENT_CALLS)
        route.record_delivery(self._now, sent_at, tuning.RATE_MEMORY_S)
        # No recovery is shown by an answer from before the outage, but for one that was unresponsive.
        if endpoint.unhealthy and (endpoint.unresponsive or sent_at >= endpoint.unhealthy_since):
            endpoint.mark_healthy()
        if not (route.ejected or route.staggered):
            route.consecutive_faults = 0
        elif self._now >= route.retry_after_until and (endpoint.unresponsive or sent_at >= route.ejected_at):
            self._begin_recovery(endpoint)

    def _record_rejection(self, endpoint: Endpoint, sent_at: float, retry_after_s: float) -> None:
        route = endpoint.route
        # Warming up, what follows a delivery or was sent before the latest cut is the edge of its limit.
        after_delivery = sent_at < route.rate_limit_cut_at or not route.consecutive_rejections
        at_edge = route.slow_start_since is not None and after_delivery
        if self._rate_limits.record_rejection(endpoint, sent_at, retry_after_s):
            self._eject(endpoint, EjectionReason.REJECTS_ALL)
        other_reason = route.first_delivery_at is not None or not endpoint.destination.listed_rate
        if route.reported_limit_per_s > 0:
            other_reason = self._traffic.has_capacity_left(route)
        if other_reason and not at_edge:
            self._record_fault(endpoint, EjectionReason.REJECTS_ALL)

    def _record_full_table(self, endpoint: Endpoint, told: bool) -> None:
        """Others get through: its connection table is full. Use the open ones, open no more for a while."""
        endpoint.open_connections = endpoint.connections_needed(self._settings)
        endpoint.keepalive_factor *= tuning.KEEPALIVE_CUT
        away_s = tuning.RETRY_FIRST_S * self._random.random() if told else self._settings.dial_timeout_s
        endpoint.no_new_connection_until = self._now + away_s

    def _record_failure(self, endpoint: Endpoint, outcome: Outcome) -> None:
        endpoint.record_failure(tuning.RECENT_CALLS)
        in_row, failures = endpoint.failures_in_row(), endpoint.recent.count(False)
        warming = endpoint.route.slow_start_since is not None
        if in_row >= (2 if warming else tuning.FAILURES_IN_ROW) or failures >= tuning.RECENT_FAILURES:
            self._mark_unhealthy(endpoint, EjectionReason.FAILING)
        self._record_fault(endpoint, EjectionReason.FAILING, outcome is Outcome.CONNECT_FAILED)

    def _record_fault(self, endpoint: Endpoint, reason: EjectionReason, unreached: bool = False) -> None:
        """Rule 4 binds each forwarder of a large fleet from its first failure (docs/design/at-size.md)."""
        route, settings = endpoint.route, self._settings
        route.consecutive_faults += 1
        warming = route.slow_start_since is not None
        idle_s = self._now - route.last_delivery_at if route.first_delivery_at is not None else math.inf
        in_contact = idle_s <= tuning.RECENT_CONTACT_SPANS * settings.overload_span_s and not warming
        if (
            not self._large_fleet
            or route.ejected
            or in_contact
            or (unreached and self._may_be_chance(endpoint))
        ):
            return
        cold_share = settings.slow_start_capacity_fraction * settings.overload_multiple
        keeping = 1.0 if idle_s <= settings.warm_up_s else cold_share
        certain = route.consecutive_faults > 1 or warming or route.retry_after_until > self._now
        if certain or self._random.random() > keeping:
            self._eject(endpoint, reason)
            return
        route.staggered, route.ejected_at = True, self._now
        staggered_at = self._now + self._random.random() * settings.warm_up_s
        route.next_call_at = max(route.next_call_at, staggered_at)

    def _may_be_chance(self, endpoint: Endpoint) -> bool:
        """One failed connection tells of no outage, nor do a few where there are calls enough to tell by."""
        rate = self._traffic.expected_rate(endpoint.destination, endpoint.route)
        enough_calls = rate * self._settings.overload_span_s >= tuning.FAILURES_IN_ROW
        return endpoint.route.consecutive_faults < (tuning.FAILURES_IN_ROW if enough_calls else 2)

    def _mark_unhealthy(self, endpoint: Endpoint, reason: EjectionReason) -> None:
        route = endpoint.route
        if not endpoint.unhealthy:
            endpoint.mark_unhealthy(self._now, reason is EjectionReason.UNRESPONSIVE)
            interval_s = self._slow_start.trial_interval(endpoint.destination, route, 1.0)
            endpoint.next_trial_at = self._now + interval_s
        if all(other.unhealthy for other in endpoint.destination.endpoints_on(route) if other.is_ready):
            self._eject(endpoint, reason)

    def _eject(self, endpoint: Endpoint, reason: EjectionReason) -> None:
        """An outage of the endpoint's route: from here on few, spaced trials; its messages are held."""
        destination, route = endpoint.destination, endpoint.route
        if route.ejected:
            return
        weight = self._random.random() if self._large_fleet else 1.0
        first_s = self._slow_start.trial_interval(destination, route, weight)
        route.ejected, route.ejected_at, route.slow_start_since = True, self._now, None
        route.next_call_at = max(route.next_call_at, self._now + first_s)
        if self._large_fleet:
            route.next_call_at = max(route.next_call_at, route.retry_after_until + first_s)
        self._slow_start.bring_trial_forward(route)
        self._act(DestinationEjected(destination.id, reason))

    def _begin_recovery(self, endpoint: Endpoint) -> None:
        """A trial was answered: calls are let through at a rate that grows over the warm-up."""
        destination, route = endpoint.destination, endpoint.route
        route.ejected, route.staggered, route.consecutive_faults = False, False, 0
        # The warm-up began where a Retry-After ended.
        told = self._large_fleet and route.retry_after_until > route.ejected_at
        route.slow_start_since = route.retry_after_until if told else self._now
        for other in destination.endpoints_on(route):
            other.mark_healthy()
            other.unresponsive = False
        ramp_s = 0.0 if self._large_fleet else self._slow_start.slow_start_interval(destination, route, 1.0)
        route.next_call_at = self._now + ramp_s
        self._act(DestinationRecovered(destination.id))

    def check_overdue(self, attempt: BatchAttempt) -> None:
        """Silence: several calls in flight for longer than they should be, and no answer meanwhile."""
        endpoint, destination = attempt.endpoint, attempt.endpoint.destination
        if attempt.serial not in endpoint.in_flight:
            return
        attempt.overdue = True
        self._backlog.make_ready(destination)
        limit_s, age_s = self._latency.overdue_after_s(destination), self._now - attempt.sent_at
        overdue = sum(1 for other in endpoint.in_flight.values() if other.overdue)
        overtaken = endpoint.route.last_delivery_at > attempt.sent_at + limit_s / 2
        lost = overtaken and age_s >= tuning.LOST_CALL_FACTOR * limit_s - TIME_EPSILON_S
        may_cancel = self._settings.cancellation and not attempt.cancelled
        if lost and may_cancel and self._may_retry_all(attempt):
            # Later ones were answered: this one's connection is lost, or its endpoint where none was there.
            self._backlog.cancel(attempt)
            if endpoint.last_success_at <= attempt.sent_at:
                self._mark_unhealthy(endpoint, EjectionReason.UNRESPONSIVE)
        unanswered = endpoint.last_success_at <= self._now - limit_s + TIME_EPSILON_S
        if overdue >= tuning.UNRESPONSIVE_CALLS and unanswered and not endpoint.unhealthy:
            self._mark_unhealthy(endpoint, EjectionReason.UNRESPONSIVE)
        if endpoint.route.ejected:
            self._backlog.make_ready_at(destination, self._now)
        self._schedule(self._now + limit_s / 2, self.check_overdue, attempt)

    def free_a_slot(self) -> None:
        """Silent destinations must not hold all slots: cancel the call least likely to be answered."""
        candidates = [attempt for attempt in self._backlog.in_flight.values() if self._may_cancel(attempt)]
        if self._settings.cancellation and candidates:
            attempt = min(candidates, key=lambda candidate: (candidate.sent_at, candidate.serial))
            self._backlog.cancel(attempt)
            # Or cancelling would wipe out the evidence of silence.
            self._mark_unhealthy(attempt.endpoint, EjectionReason.UNRESPONSIVE)

    def _may_cancel(self, attempt: BatchAttempt) -> bool:
        endpoint = attempt.endpoint
        may_answer = not endpoint.unhealthy and endpoint.last_success_at >= attempt.sent_at
        if not attempt.overdue or attempt.cancelled or may_answer:
            return False
        last_resort_s = tuning.LAST_RESORT_FACTOR * self._latency.overdue_after_s(endpoint.destination)
        return self._now - attempt.sent_at >= last_resort_s or self._may_retry_all(attempt)

    def _may_retry_all(self, attempt: BatchAttempt) -> bool:
        messages = self._backlog.messages
        return all(may_retry(messages[number], self._now) for number in attempt.members)
