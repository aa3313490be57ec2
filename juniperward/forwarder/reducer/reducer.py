"""The reducer: takes in what happened in a round and returns what to do; it knows no clock, no thread and no I/O.

Which message goes where and when is decided by the scheduler; the reducer keeps what sockets and journal need
beside it. The loop calls it on one thread.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from juniperward.forwarder import events
from juniperward.forwarder.effects import Effect
from juniperward.forwarder.reducer.attempts import Attempts
from juniperward.forwarder.reducer.completion import Completion
from juniperward.forwarder.reducer.endpoint_list import EndpointList
from juniperward.forwarder.reducer.health_checks import HealthChecks
from juniperward.forwarder.reducer.intake import Intake
from juniperward.forwarder.reducer.round import Round
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
    """The only place where a forwarder's state changes."""

    def __init__(
        self,
        settings: SchedulerSettings,
        seed: int,
        stores_dead_letters: bool = False,
        stored: frozenset[str] = frozenset(),
    ) -> None:
        """Begin empty; `stored` are dead letters from before a restart that the journal may still have."""
        self.settings = settings
        self.scheduler = DeliveryScheduler(settings, seed)
        self.state = ForwarderState()
        round_ = self._round = Round(settings, self.state)
        self._completion = Completion(round_, stores_dead_letters, stored)
        self._intake = Intake(round_, self._completion)
        self._attempts = Attempts(round_, self._completion)
        self._health_checks = HealthChecks(round_)
        self._endpoint_list = EndpointList(round_)
        self._control: Control | None = None
        self._shutdown = Shutdown(round_)
        handlers = Handlers(self._attempts, self._health_checks, self._completion, self._endpoint_list)
        self._scheduling = Scheduling(round_, self.scheduler, handlers)

    @property
    def effects(self) -> list[Effect]:
        """The effects of the present round so far, for a caller that met an error in `reduce`."""
        return self._round.effects

    def reduce(self, now: float, happened: Iterable[events.Event]) -> list[Effect]:
        """Take in all events of a round; the effects are to be carried out in their order."""
        self._round.begin(now)
        for event in happened:
            try:
                self._take_in(event)
            except Exception as error:  # one event must not take the others of its round along
                if __debug__:
                    raise
                report_fault(type(event).__name__, error)
        if self._round.scheduler_events:
            self._scheduling.decide()
        return self._round.effects

    def finished(self, now: float, alone: bool = True) -> bool:
        """Return whether a forwarder that was told to end may exit; `alone`: no client is connected."""
        return self._shutdown.may_exit(now, alone)

    def _take_in(self, event: events.Event) -> None:
        match event:
            case events.MessageReceived():
                self._intake.message_received(event)
            case events.MessageAccepted(message=number, client_told=client_told):
                self._intake.message_accepted(number, client_told)
            case events.JournalReplayed(messages=messages):
                for restored in messages:
                    self._intake.restore(restored)
            case events.NotificationAcknowledged(ids=ids):
                self._completion.acknowledge(ids)
            case events.SchedulerTimerFired(token=token):
                self._round.tell_scheduler(TimerFired(token))
            case events.ShutdownRequested():
                self._shutdown.requested(event)
            case events.ControlRequested():
                self._control_handler().requested(event)
            case _:
                self._take_in_of_endpoints(event)

    def _control_handler(self) -> Control:
        from juniperward.forwarder.reducer.control import Control  # not loaded where no channel is open

        if self._control is None:
            self._control = Control(self._round, self.scheduler)
        return self._control

    def _take_in_of_endpoints(self, event: events.EndpointEvent) -> None:
        match event:
            case events.AttemptAnswered():
                self._attempts.answered(event)
            case events.DeadlineReached():
                self._attempts.deadline_reached(event)
            case events.BatchItemWithdrawn():
                self._attempts.item_withdrawn(event)
            case events.CancellationDue(attempt_number=number):
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
