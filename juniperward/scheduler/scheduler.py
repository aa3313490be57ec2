"""The scheduler: creates the parts that make the decisions, and passes events to them.

The forwarder's reducer, the simulator's adapter and the simulation call `handle`, and execute the actions
that it returns in their order.
"""

from __future__ import annotations

from collections.abc import Iterable

from juniperward.scheduler.actions import Action
from juniperward.scheduler.admission import Admission
from juniperward.scheduler.batching import Batching
from juniperward.scheduler.connections import Connections
from juniperward.scheduler.deficit_round_robin import DeficitRoundRobin
from juniperward.scheduler.endpoint_polling import EndpointPolling
from juniperward.scheduler.events import (
    AttemptFinished,
    EndpointListUpdated,
    Event,
    HealthCheckFinished,
    ListScope,
    MessageAdmitted,
    MessageWithdrawn,
    Outcome,
    TimerFired,
)
from juniperward.scheduler.idle_expiry import IdleExpiry
from juniperward.scheduler.outlier_detection import OutlierDetection
from juniperward.scheduler.overdue_calls import OverdueCalls
from juniperward.scheduler.rate_limits import RateLimits
from juniperward.scheduler.retries import Retries
from juniperward.scheduler.routing import Routing
from juniperward.scheduler.scheduler_part import SchedulerState
from juniperward.scheduler.settings import SchedulerSettings
from juniperward.scheduler.slow_start import SlowStart


class DeliveryScheduler:
    """Makes the decisions of one forwarder, without a clock, I/O or global state."""

    def __init__(self, settings: SchedulerSettings, seed: int) -> None:
        """Create a scheduler without messages and endpoints; equal seeds and events give equal actions."""
        state = SchedulerState(settings, seed)
        self.state = state
        self.rate_limits = RateLimits(state)
        self.slow_start = SlowStart(state, self.rate_limits)
        self.admission = Admission(state)
        self.retries = Retries(state, self.admission.give_up)
        self.connections = Connections(state)
        self.outlier_detection = OutlierDetection(state, self.rate_limits, self.slow_start, self.connections)
        self.overdue_calls = OverdueCalls(state, self.outlier_detection)
        self.batching = Batching(state, self.slow_start, self.overdue_calls, self.connections)
        self.routing = Routing(
            state, self.slow_start, self.batching, self.connections, self.admission.give_up
        )
        self.round_robin = DeficitRoundRobin(state, self.overdue_calls, self.routing, self.batching)
        self.endpoint_polling = EndpointPolling(state)
        self.idle_expiry = IdleExpiry(state)

    def handle(self, now: float, events: Iterable[Event]) -> list[Action]:
        """Apply the events of a round and return the actions to execute; `now` must never decrease."""
        round_ = self.state.round
        self.state.begin_round(now)
        for event in events:
            self._dispatch(event)
        round_.timers.run_expired(now)
        self.round_robin.release()
        timer = round_.timers.request(now, round_.settings.timer_resolution_s)
        if timer is not None:
            round_.actions.append(timer)
        return round_.actions

    @property
    def pending_actions(self) -> list[Action]:
        """The actions of the current round so far, for a caller whose `handle` raised an error."""
        return self.state.round.actions

    @property
    def timer_token(self) -> int:
        """The token of the timer that was requested last."""
        return self.state.round.timers.token

    def _dispatch(self, event: Event) -> None:
        match event:
            case MessageAdmitted():
                self._message_admitted(event)
            case AttemptFinished():
                self._attempt_finished(event)
            case TimerFired(token=token):
                self.state.round.timers.record_fired(token)
            case EndpointListUpdated():
                self._endpoint_list_updated(event)
            case HealthCheckFinished():
                self._health_check_finished(event)
            case MessageWithdrawn(message=number):
                self._message_withdrawn(number)

    def _message_withdrawn(self, number: int) -> None:
        message = self.state.backlog.messages.get(number)
        if message is not None:
            self.state.backlog.end(message)

    def _message_admitted(self, event: MessageAdmitted) -> None:
        message = self.admission.admit(event)
        if message is None:
            return
        if event.history:
            self.retries.resume(message, event.history)
        if not message.ended:
            self.state.backlog.enqueue(message)
            self.admission.shed_load()

    def _attempt_finished(self, event: AttemptFinished) -> None:
        backlog = self.state.backlog
        message = backlog.messages.get(event.message)
        attempt = message.in_flight.pop(event.attempt, None) if message else None
        if message is None or attempt is None:
            return
        if backlog.release_slot(message, attempt):
            self.connections.record_call_end(attempt.endpoint)
            self.idle_expiry.record_call_end(attempt.endpoint.destination)
        self.rate_limits.record_retry_after(attempt.endpoint.route, event.retry_after_s)
        self.retries.record_outcome(message, event)
        if event.outcome is Outcome.OK:
            self.state.latency.record(message, event.latency_s)
        if not attempt.outcome_recorded:
            self.outlier_detection.record_attempt(attempt, event)
        if event.message_ended or message.ended:
            backlog.end(message)
        else:
            self.retries.after_attempt(message, event)

    def _health_check_finished(self, event: HealthCheckFinished) -> None:
        endpoint = self.state.table.endpoints.get(event.endpoint)
        if endpoint is not None:
            sent_at = self.state.round.now - event.latency_s
            self.outlier_detection.record_outcome(endpoint, event, sent_at)
            self.state.backlog.make_ready(endpoint.destination)

    def _endpoint_list_updated(self, event: EndpointListUpdated) -> None:
        self.endpoint_polling.record_update(event.scope)
        if event.scope is ListScope.FAILED:
            return
        for destination in self.state.table.apply(event):
            self.state.backlog.make_ready(destination)
        self.idle_expiry.prune()
