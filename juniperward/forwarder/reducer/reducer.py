"""The reducer: turns the events of a round into effects, without clock, threads or I/O of its own.

The scheduler decides where and when each message is sent; the reducer owns all other state of the forwarder.
It dispatches each event to the handler for it. The loop calls it on one thread.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from juniperward.forwarder import events
from juniperward.forwarder.effects import Effect
from juniperward.forwarder.reducer.attempts import Attempts
from juniperward.forwarder.reducer.completion import Completion
from juniperward.forwarder.reducer.dead_letters import DeadLetters
from juniperward.forwarder.reducer.endpoint_list import EndpointList
from juniperward.forwarder.reducer.health_checks import HealthChecks
from juniperward.forwarder.reducer.intake import Intake
from juniperward.forwarder.reducer.notifications import Notifications
from juniperward.forwarder.reducer.round import NO_LIMITS, MessageLimits, Round
from juniperward.forwarder.reducer.scheduling import Handlers, Scheduling
from juniperward.forwarder.reducer.shutdown import Shutdown
from juniperward.forwarder.state import ForwarderState
from juniperward.forwarder.telemetry import report_fault
from juniperward.scheduler import DeliveryScheduler
from juniperward.scheduler.events import TimerFired
from juniperward.scheduler.settings import SchedulerSettings

if TYPE_CHECKING:
    from juniperward.forwarder.reducer.control import Control


class Reducer:
    """Owns a forwarder's state; no other code changes it."""

    def __init__(
        self,
        settings: SchedulerSettings,
        seed: int,
        stores_dead_letters: bool = False,
        stored_ids: frozenset[str] = frozenset(),
        message_limits: MessageLimits = NO_LIMITS,
    ) -> None:
        """Start without messages; `stored_ids` are the ids of messages already stored as dead letters."""
        self.settings = settings
        self.scheduler = DeliveryScheduler(settings, seed)
        self.state = ForwarderState()
        round_ = self._round = Round(settings, self.state, message_limits)
        dead_letters = DeadLetters(round_, stores_dead_letters, stored_ids)
        self._notifications = Notifications(round_)
        completion = Completion(round_, self._notifications, dead_letters)
        self._intake = Intake(round_, completion, self._notifications, dead_letters)
        self._attempts = Attempts(round_, completion, dead_letters)
        self._health_checks = HealthChecks(round_)
        self._endpoint_list = EndpointList(round_)
        self._control: Control | None = None
        self._shutdown = Shutdown(round_)
        handlers = Handlers(self._attempts, self._health_checks, completion, self._endpoint_list)
        self._scheduling = Scheduling(round_, self.scheduler, handlers)

    @property
    def effects(self) -> list[Effect]:
        """The effects of the current round so far, for a caller that caught an error of `reduce`."""
        return self._round.effects

    def reduce(self, now: float, round_events: Iterable[events.Event]) -> list[Effect]:
        """Apply the events of a round; return the effects, which must be performed in order."""
        self._round.begin(now)
        for event in round_events:
            try:
                self._dispatch(event)
            except Exception as error:
                if __debug__:
                    raise
                # The other events of the round are still applied.
                report_fault(type(event).__name__, error)
        if self._round.scheduler_events:
            self._scheduling.decide()
        return self._round.effects

    def may_exit(self, now: float, no_clients: bool = True) -> bool:
        """Return whether a requested shutdown is finished without clients, or has reached its deadline."""
        return self._shutdown.may_exit(now, no_clients)

    def _dispatch(self, event: events.Event) -> None:
        match event:
            case events.MessageReceived():
                self._intake.message_received(event)
            case events.MessageAccepted(message=number, client_answered=client_answered):
                self._intake.message_accepted(number, client_answered)
            case events.JournalReplayed(messages=messages):
                for restored in messages:
                    self._intake.restore(restored)
            case events.NotificationAcknowledged(ids=ids):
                self._notifications.acknowledged(ids)
            case events.SchedulerTimerFired(token=token):
                self._round.notify_scheduler(TimerFired(token))
            case events.ShutdownRequested():
                self._shutdown.requested(event)
            case events.ControlRequested():
                self._control_handler().requested(event)
            case _:
                self._dispatch_endpoint_event(event)

    def _control_handler(self) -> Control:
        from juniperward.forwarder.reducer.control import Control  # loaded only if the channel is used

        if self._control is None:
            self._control = Control(self._round, self.scheduler, self._shutdown)
        return self._control

    def _dispatch_endpoint_event(self, event: events.EndpointEvent) -> None:
        match event:
            case events.AttemptAnswered():
                self._attempts.answered(event)
            case events.DeadlineReached():
                self._attempts.deadline_reached(event)
            case events.BatchItemWithdrawn():
                self._attempts.item_withdrawn(event)
            case events.CancellationTimerFired(attempt_number=number):
                self._attempts.cancel(number)
            case events.AttemptCancelled():
                self._attempts.cancelled(event)
            case events.HealthCheckAnswered():
                self._health_checks.answered(event)
            case events.EndpointsUpdated():
                self._endpoint_list.updated(event)
            case events.WatchLost():
                self._endpoint_list.watch_lost(event)
            case events.DiscoveryAddressChanged(address=address):
                self._endpoint_list.address_changed(address)
