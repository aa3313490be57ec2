"""The scheduler's part of a round: passes events to the scheduler, and its actions to the handlers."""

from __future__ import annotations

from dataclasses import dataclass

from juniperward.forwarder.effects import SetTimer, WithdrawFromBatch, WriteLog
from juniperward.forwarder.events import SchedulerTimerFired
from juniperward.forwarder.reducer.attempts import Attempts
from juniperward.forwarder.reducer.completion import Completion
from juniperward.forwarder.reducer.endpoint_list import EndpointList
from juniperward.forwarder.reducer.health_checks import HealthChecks
from juniperward.forwarder.reducer.round import Round
from juniperward.forwarder.telemetry import check_invariant, increment, report_fault
from juniperward.scheduler import DeliveryScheduler
from juniperward.scheduler import actions as scheduler_actions

# After an error, the scheduler is called again with this delay.
RETRY_AFTER_ERROR_S = 0.05


@dataclass(frozen=True, slots=True)
class Handlers:
    """The handlers that execute the scheduler's actions."""

    attempts: Attempts
    health_checks: HealthChecks
    completion: Completion
    endpoint_list: EndpointList


class Scheduling:
    """Executes the scheduler's actions; owns no state."""

    def __init__(self, round_: Round, scheduler: DeliveryScheduler, handlers: Handlers) -> None:
        """Pass the actions of `scheduler` to `handlers`."""
        self._round = round_
        self._scheduler = scheduler
        self._handlers = handlers

    def decide(self) -> None:
        """Pass the round's events to the scheduler and execute its actions."""
        to_start: dict[tuple[int, int], list[scheduler_actions.StartAttempt]] = {}  # by endpoint and batch
        for action in self._actions():
            if isinstance(action, scheduler_actions.StartAttempt):
                to_start.setdefault((action.endpoint, action.batch), []).append(action)
            else:
                self._execute(action)
        # Attempts are started last, after all that the same round gives up, cancels or closes.
        for (endpoint, _), scheduled in to_start.items():
            self._handlers.attempts.start(endpoint, scheduled)

    def _actions(self) -> list[scheduler_actions.Action]:
        """Return the scheduler's actions; after an error, those before it and a timer to call it again."""
        try:
            return self._scheduler.handle(self._round.now, self._round.scheduler_events)
        except Exception as error:
            if __debug__:
                raise
            report_fault("scheduler", error)
            retry_timer = scheduler_actions.SetTimer(RETRY_AFTER_ERROR_S, self._scheduler.timer_token)
            return [*self._scheduler.pending_actions, retry_timer]

    def _execute(self, action: scheduler_actions.Action) -> None:
        match action:
            case scheduler_actions.Reject(message=number, retry_after_s=retry_after_s):
                self._give_up(number, retry_after_s)
            case scheduler_actions.Fail(message=number):
                self._give_up(number, None)
            case scheduler_actions.CancelAttempt(message=number):
                self._handlers.attempts.cancel_message(number)
            case scheduler_actions.SetTimer(delay_s=delay_s, token=token):
                self._round.emit(SetTimer(self._round.now + delay_s, SchedulerTimerFired(token)))
            case scheduler_actions.CloseIdleConnections():
                pass  # No connection is kept behind its call.
            case scheduler_actions.PollEndpointList():
                self._handlers.endpoint_list.watch()
            case scheduler_actions.StartHealthCheck(endpoint=endpoint):
                self._handlers.health_checks.start(endpoint)
            case scheduler_actions.DestinationEjected(destination=destination, reason=reason):
                self._round.emit(
                    WriteLog("destination ejected", (("destination", destination), ("reason", reason.value)))
                )
            case scheduler_actions.DestinationRecovered(destination=destination):
                self._round.emit(WriteLog("destination recovered", (("destination", destination),)))

    def _give_up(self, number: int, retry_after_s: float | None) -> None:
        """Give up a message.

        An attempt in flight is not cancelled and still gets an outcome, but must not be written any more.
        """
        pending = self._round.state.messages.pending.get(number)
        if pending is None:
            check_invariant(False, "one_final_answer")
            return
        if pending.never_attempted:
            increment("restored_never_attempted")
        if pending.attempt_number is not None:
            self._round.emit(WithdrawFromBatch(pending.attempt_number, number))
        self._handlers.completion.remove(pending)
        self._handlers.completion.give_up(pending, retry_after_s)
