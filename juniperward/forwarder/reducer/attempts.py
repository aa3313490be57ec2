"""Attempts: which messages travel in which, how each of them ended, and the cancelling of them."""

from __future__ import annotations

from collections.abc import Sequence

from juniperward.forwarder.effects import (
    AppendRecord,
    CancelAttempt,
    PauseRoute,
    SetTimer,
    StartAttempt,
    WithdrawFromBatch,
)
from juniperward.forwarder.events import (
    AttemptAnswered,
    AttemptCancelled,
    BatchItemWithdrawn,
    CancellationTimerFired,
    DeadlineReached,
)
from juniperward.forwarder.model import (
    AttemptProgress,
    BatchItem,
    Endpoint,
    ItemOutcome,
    PastAttempt,
    RouteKey,
)
from juniperward.forwarder.outcome_words import OUTCOME_WORDS
from juniperward.forwarder.records import AttemptFinishedRecord
from juniperward.forwarder.reducer.completion import Completion
from juniperward.forwarder.reducer.round import Round
from juniperward.forwarder.state import AttemptInFlight, PendingMessage
from juniperward.forwarder.telemetry import check_invariant, increment, report_fault
from juniperward.scheduler.actions import StartAttempt as ScheduledAttempt
from juniperward.scheduler.events import AttemptFinished, Outcome
from juniperward.scheduler.settings import SchedulerSettings

LAST_ATTEMPT_BEFORE_EXIT_S = 0.9  # before the process must end, after which no attempt is started


def route_of(endpoint: Endpoint, settings: SchedulerSettings) -> RouteKey:
    """Return what a Retry-After of an endpoint binds: its destination, or the endpoint where routes are separate."""
    return endpoint.id if settings.kind(endpoint.kind).separate_routes else endpoint.destination


class Attempts:
    """Starts attempts that the scheduler asks for, and brings them to their end."""

    def __init__(self, round_: Round, completion: Completion) -> None:
        """End messages by way of the completion."""
        self._round, self._completion = round_, completion

    # --- starting ---------------------------------------------------------------------------------------

    def start(self, endpoint_number: int, scheduled: Sequence[ScheduledAttempt]) -> None:
        """Start calls to an endpoint with messages that the scheduler lets share one, as far as a batch goes."""
        state = self._round.state
        exit_by = state.lifecycle.exit_by
        if exit_by is not None and self._round.now > exit_by - LAST_ATTEMPT_BEFORE_EXIT_S:
            return  # it could not end in this process; the journal has the message for the next one
        endpoint = state.directory.endpoints[endpoint_number]
        batch_size = self._round.settings.kind(endpoint.kind).batch_size
        for first in range(0, len(scheduled), batch_size):
            attempt = AttemptInFlight(state.attempts.next_number(), endpoint_number, self._round.now)
            state.attempts.in_flight[attempt.number] = attempt
            try:
                self._start_one(attempt, endpoint, scheduled[first : first + batch_size])
            except Exception as error:
                if __debug__:
                    raise
                report_fault("attempt", error)
                not_begun = AttemptCancelled(attempt.number, AttemptProgress.WAITING)
                self._round.emit(SetTimer(self._round.now, not_begun))

    def _start_one(
        self, attempt: AttemptInFlight, endpoint: Endpoint, scheduled: Sequence[ScheduledAttempt]
    ) -> None:
        """Make a call; its thread journals the attempts right before their first byte."""
        now, state = self._round.now, self._round.state
        items = []
        for asked in scheduled:
            pending = state.messages.pending[asked.message]
            check_invariant(pending.attempt_number is None, "one_attempt_at_a_time")
            check_invariant(pending.message.destination == endpoint.destination, "only_to_its_destination")
            attempt.unanswered[asked.message] = pending.attempts
            pending.attempts += 1
            pending.attempt_number, pending.attempt_started_at = attempt.number, now
            items.append(BatchItem(asked.message, pending.message, now + asked.start_within_s))
            deadline = DeadlineReached(attempt.number, asked.message)
            self._round.emit(SetTimer(now + asked.timeout_s, deadline))
        check_invariant(len(state.attempts.in_flight) <= self._round.settings.slots, "attempts_within_slots")
        increment("attempts")
        self._round.emit(
            StartAttempt(
                attempt.number,
                attempt.endpoint,
                endpoint.host,
                endpoint.port,
                endpoint.destination,
                tuple(items),
                now + max(asked.timeout_s for asked in scheduled),
                endpoint.id,
                route_of(endpoint, self._round.settings),
            )
        )

    # --- ending -----------------------------------------------------------------------------------------

    def answered(self, event: AttemptAnswered) -> None:
        """Take in the outcomes of an attempt."""
        in_flight = self._round.state.attempts.in_flight
        attempt = in_flight.get(event.attempt_number)
        if attempt is None:
            return  # cancelled meanwhile
        # What the scheduler learns from is the first outcome it hears of: the rejections among them, if any.
        rejections_first = sorted(
            event.outcomes, key=lambda item: (item.outcome is not Outcome.OVERLOADED, item.message)
        )
        for item in rejections_first:
            if item.message in attempt.unanswered:
                self._finish(attempt, item)
        for message in list(attempt.unanswered):
            check_invariant(False, "every_message_of_an_attempt_ends")
            self._finish(attempt, ItemOutcome(message, Outcome.RESET))
        in_flight.pop(event.attempt_number, None)

    def _finish(self, attempt: AttemptInFlight, item: ItemOutcome) -> None:
        """End a message's part of an attempt."""
        ordinal = attempt.unanswered.pop(item.message)
        endpoint = self._round.state.directory.endpoints[attempt.endpoint]
        increment(f"attempts_{item.outcome.name.lower()}")
        message_ended = item.message_ended or item.outcome is Outcome.OK
        pending = self._round.state.messages.pending.get(item.message)
        if pending is not None:
            self._finish_pending(pending, endpoint, item, message_ended)
        if item.retry_after_s > 0:
            until = self._round.now + item.retry_after_s
            self._round.emit(PauseRoute(route_of(endpoint, self._round.settings), until))
        self._round.notify_scheduler(
            AttemptFinished(
                item.message,
                ordinal,
                attempt.endpoint,
                item.outcome,
                self._round.now - attempt.started_at,
                message_ended,
                item.retry_after_s,
                item.no_slot_free,
                item.capacity_left,
                item.reported_limit_per_s,
                item.connection_table_full,
            )
        )

    def _finish_pending(
        self, pending: PendingMessage, endpoint: Endpoint, item: ItemOutcome, message_ended: bool
    ) -> None:
        """Note an outcome with the message that it ends, or that is attempted again."""
        executed = not item.outcome.never_executed
        pending.attempt_number = None
        if pending.never_attempted and item.written:
            pending.never_attempted = False
            increment("restored_attempted")
        if executed and not message_ended and pending.executed_at is None:
            pending.executed_at = pending.attempt_started_at
        if self._completion.stores_dead_letters:
            word = OUTCOME_WORDS[item.outcome]
            past = PastAttempt(endpoint.id, pending.attempt_started_at, word, executed)
            pending.past_attempts.append(past)
        if item.outcome is Outcome.OK:
            increment("messages_delivered")
        if message_ended:
            self._completion.complete(pending, delivered=item.outcome is Outcome.OK)
        elif item.written:
            self._round.emit(AppendRecord(AttemptFinishedRecord(pending.message.id, executed)))

    # --- cancelling -------------------------------------------------------------------------------------

    def deadline_reached(self, event: DeadlineReached) -> None:
        """The time of one message is up: others of the same call may still wait.

        It is withdrawn from the call first, or a connection that comes up late would carry it after its end.
        """
        attempt = self._round.state.attempts.in_flight.get(event.attempt_number)
        if attempt is not None and event.message in attempt.unanswered:
            self._round.emit(WithdrawFromBatch(event.attempt_number, event.message))

    def item_withdrawn(self, event: BatchItemWithdrawn) -> None:
        """End a message whose time is up, by how far its call had come."""
        state = self._round.state
        attempt = state.attempts.in_flight.get(event.attempt_number)
        finished = event.progress is AttemptProgress.FINISHED  # what was answered in time counts as answered
        if attempt is None or event.message not in attempt.unanswered or finished:
            return
        pending = state.messages.pending.get(event.message)
        client_deadline_at = pending.client_deadline_at if pending is not None else self._round.now
        self._finish(attempt, self._unanswered(event.message, event.progress, Outcome.TIMEOUT))
        if not attempt.unanswered:
            del state.attempts.in_flight[event.attempt_number]
            self._round.emit(CancelAttempt(event.attempt_number))
        elif event.progress is AttemptProgress.WRITING:
            # Half a call cannot lose one of its messages: what is not written whole yet is cancelled whole.
            self.cancel(event.attempt_number)
        elif event.progress is AttemptProgress.WRITTEN:
            # A call has one fate: past the time of one of its messages an answer was seen to count for none of them.
            self._round.emit(SetTimer(client_deadline_at, CancellationTimerFired(event.attempt_number)))

    def cancel(self, attempt_number: int) -> None:
        """Close an attempt's connection first; how far it had come says what that means for its messages."""
        attempt = self._round.state.attempts.in_flight.get(attempt_number)
        if attempt is not None and not attempt.cancelled:
            attempt.cancelled = True
            self._round.emit(CancelAttempt(attempt_number))

    def cancel_message(self, number: int) -> None:
        """Cancel the attempt of a message; one connection, one fate: the others of the call are cancelled with it."""
        pending = self._round.state.messages.pending.get(number)
        if pending is not None and pending.attempt_number is not None:
            self.cancel(pending.attempt_number)

    def cancelled(self, event: AttemptCancelled) -> None:
        """A call that was not begun has not executed, and one whose end is on its way ends so."""
        if event.progress is AttemptProgress.FINISHED:
            return
        attempt = self._round.state.attempts.in_flight.pop(event.attempt_number, None)
        for message in list(attempt.unanswered) if attempt is not None else ():
            assert attempt is not None
            self._finish(attempt, self._unanswered(message, event.progress, Outcome.CANCELLED))

    @staticmethod
    def _unanswered(message: int, progress: AttemptProgress, outcome: Outcome) -> ItemOutcome:
        written = progress is not AttemptProgress.WAITING
        return ItemOutcome(message, outcome if written else Outcome.NOT_SENT, written=written)
