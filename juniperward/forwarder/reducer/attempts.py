"""The attempts in flight: their start, the outcome of each of their messages, and cancellation.

`Scheduling` starts and cancels attempts here; the reducer reports their results. Each outcome goes to the
scheduler as `AttemptFinished`; a message that it ends is passed to `Completion`.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

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
from juniperward.forwarder.model import AttemptProgress, BatchItem, Endpoint, ItemOutcome, RouteKey
from juniperward.forwarder.records import AttemptFinishedRecord
from juniperward.forwarder.reducer.completion import Completion
from juniperward.forwarder.reducer.dead_letters import DeadLetters
from juniperward.forwarder.reducer.round import Round
from juniperward.forwarder.state import AttemptInFlight, PendingMessage
from juniperward.forwarder.telemetry import check_invariant, increment, report_fault
from juniperward.scheduler.actions import StartAttempt as ScheduledAttempt
from juniperward.scheduler.events import AttemptFinished, Outcome
from juniperward.scheduler.settings import SchedulerSettings

# An attempt is not started with less time than this left until the process must exit.
MIN_ATTEMPT_TIME_BEFORE_EXIT_S = 0.9


def route_of(endpoint: Endpoint, settings: SchedulerSettings) -> RouteKey:
    """Return a Retry-After's scope: the endpoint if its kind has separate routes, else the destination."""
    return endpoint.id if settings.kind(endpoint.kind).separate_routes else endpoint.destination


class Attempts:
    """Starts the attempts that the scheduler decides on and reports their outcomes; owns those in flight."""

    def __init__(self, round_: Round, completion: Completion, dead_letters: DeadLetters) -> None:
        """Pass ended messages to `completion` and their attempts to `dead_letters`."""
        self._round = round_
        self._completion = completion
        self._dead_letters = dead_letters

    # --- starting ---------------------------------------------------------------------------------------

    def start(self, endpoint_number: int, scheduled: Sequence[ScheduledAttempt]) -> None:
        """Send messages to an endpoint, in as many attempts as its batch size requires."""
        state = self._round.state
        exit_by = state.lifecycle.exit_by
        if exit_by is not None and self._round.now > exit_by - MIN_ATTEMPT_TIME_BEFORE_EXIT_S:
            return  # The next process restores these messages from the journal and attempts them.
        endpoint = state.directory.endpoints[endpoint_number]
        batch_size = self._round.settings.kind(endpoint.kind).batch_size
        for first in range(0, len(scheduled), batch_size):
            attempt = AttemptInFlight(state.call_numbers.next(), endpoint_number, self._round.now)
            state.attempts_in_flight[attempt.number] = attempt
            try:
                self._start_one(attempt, endpoint, scheduled[first : first + batch_size])
            except Exception as error:
                if __debug__:
                    raise
                report_fault("attempt", error)
                not_started = AttemptCancelled(attempt.number, AttemptProgress.WAITING)
                self._round.emit(SetTimer(self._round.now, not_started))

    def _start_one(
        self, attempt: AttemptInFlight, endpoint: Endpoint, scheduled: Sequence[ScheduledAttempt]
    ) -> None:
        """Start one attempt; its thread journals each message right before the message's first byte."""
        now = self._round.now
        items = tuple(self._add_message(attempt, endpoint, message) for message in scheduled)
        in_flight = len(self._round.state.attempts_in_flight)
        check_invariant(in_flight <= self._round.settings.slots, "attempts_within_slots")
        increment("attempts")
        self._round.emit(
            StartAttempt(
                attempt.number,
                attempt.endpoint,
                endpoint.host,
                endpoint.port,
                endpoint.destination,
                items,
                now + max(message.timeout_s for message in scheduled),
                endpoint.id,
                route_of(endpoint, self._round.settings),
            )
        )

    def _add_message(
        self, attempt: AttemptInFlight, endpoint: Endpoint, scheduled: ScheduledAttempt
    ) -> BatchItem:
        """Add a message to an attempt, with a timer for its deadline."""
        now, number = self._round.now, scheduled.message
        pending = self._round.state.messages.pending[number]
        check_invariant(pending.attempt_number is None, "one_attempt_at_a_time")
        check_invariant(pending.message.destination == endpoint.destination, "only_to_its_destination")
        attempt.unanswered[number] = pending.attempts
        pending.attempts += 1
        pending.attempt_number = attempt.number
        pending.attempt_started_at = now
        self._round.emit(SetTimer(now + scheduled.timeout_s, DeadlineReached(attempt.number, number)))
        return BatchItem(number, pending.message, now + scheduled.start_within_s)

    # --- outcomes ---------------------------------------------------------------------------------------

    def answered(self, event: AttemptAnswered) -> None:
        """Apply the outcomes of an attempt, also of one that was cancelled after some of it was written."""
        in_flight = self._round.state.attempts_in_flight
        attempt = in_flight.get(event.attempt_number)
        if attempt is None:
            return
        # The scheduler adapts to the first outcome of an attempt only: report a rejection first.
        rejections_first = sorted(
            event.outcomes, key=lambda item: (item.outcome is not Outcome.OVERLOADED, item.message)
        )
        for item in rejections_first:
            if item.message in attempt.unanswered:
                self._finish(attempt, _with_timeout(attempt, item))
        for message in list(attempt.unanswered):
            check_invariant(False, "every_message_of_an_attempt_ends")
            self._finish(attempt, ItemOutcome(message, Outcome.RESET))
        in_flight.pop(event.attempt_number, None)

    def _finish(self, attempt: AttemptInFlight, item: ItemOutcome) -> None:
        """Apply the outcome of one message of an attempt, and report it to the scheduler."""
        ordinal = attempt.unanswered.pop(item.message)
        endpoint = self._round.state.directory.endpoints[attempt.endpoint]
        increment(f"attempts_{item.outcome.name.lower()}")
        message_ended = item.message_ended or item.attempts_exhausted or item.outcome is Outcome.OK
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
        """Complete a message by an outcome, or leave it for another attempt."""
        executed = not item.outcome.never_executed
        pending.attempt_number = None
        if pending.never_attempted and item.written:
            pending.never_attempted = False
            increment("restored_attempted")
        if executed and not message_ended and pending.executed_at is None:
            pending.executed_at = pending.attempt_started_at
        self._dead_letters.add_attempt(pending, endpoint, item)
        if message_ended:
            self._end(pending, item)
        elif item.written:
            self._round.emit(AppendRecord(AttemptFinishedRecord(pending.message.id, executed)))

    def _end(self, pending: PendingMessage, item: ItemOutcome) -> None:
        """End a message by an answer: it is completed, or its client is notified as no attempt is left."""
        if item.attempts_exhausted:
            self._completion.remove(pending)
            self._completion.give_up(pending, None)
            return
        if item.outcome is Outcome.OK:
            increment("messages_delivered")
        self._completion.complete(pending, delivered=item.outcome is Outcome.OK)

    # --- cancellation -----------------------------------------------------------------------------------

    def deadline_reached(self, event: DeadlineReached) -> None:
        """Withdraw a message from its attempt; the other messages of the attempt may still be in time.

        The outcome is applied only afterwards: otherwise a connection that opens late could still send the
        message.
        """
        attempt = self._round.state.attempts_in_flight.get(event.attempt_number)
        if attempt is not None and event.message in attempt.unanswered:
            self._round.emit(WithdrawFromBatch(event.attempt_number, event.message))

    def item_withdrawn(self, event: BatchItemWithdrawn) -> None:
        """Time out a withdrawn message, or cancel its attempt, whose answer may have arrived before."""
        state = self._round.state
        attempt = state.attempts_in_flight.get(event.attempt_number)
        # The outcomes of a finished attempt are queued already, and they count.
        finished = event.progress is AttemptProgress.FINISHED
        if attempt is None or event.message not in attempt.unanswered or finished:
            return
        attempt.timed_out.add(event.message)
        if event.progress is AttemptProgress.WAITING:
            self._finish(attempt, ItemOutcome(event.message, Outcome.NOT_SENT, written=False))
            if not attempt.unanswered:
                del state.attempts_in_flight[event.attempt_number]
                self._round.emit(CancelAttempt(event.attempt_number))
        elif event.progress is AttemptProgress.WRITING or attempt.unanswered.keys() <= attempt.timed_out:
            # A message cannot be removed from a partly written request, so the whole attempt is cancelled.
            self.cancel(event.attempt_number)
        else:
            # The messages share one response, which must arrive before the first client deadline among them:
            # a later one counts for none of them.
            pending = state.messages.pending.get(event.message)
            cancel_at = pending.client_deadline_at if pending is not None else self._round.now
            self._finish(attempt, ItemOutcome(event.message, Outcome.TIMEOUT))
            self._round.emit(SetTimer(cancel_at, CancellationTimerFired(event.attempt_number)))

    def cancel(self, attempt_number: int) -> None:
        """Shut down an attempt's connection; `AttemptCancelled` or `AttemptAnswered` ends its messages."""
        attempt = self._round.state.attempts_in_flight.get(attempt_number)
        if attempt is not None and not attempt.cancelled:
            attempt.cancelled = True
            self._round.emit(CancelAttempt(attempt_number))

    def cancel_message(self, number: int) -> None:
        """Cancel the attempt of a message, and with it all messages of the same attempt."""
        pending = self._round.state.messages.pending.get(number)
        if pending is not None and pending.attempt_number is not None:
            self.cancel(pending.attempt_number)

    def cancelled(self, event: AttemptCancelled) -> None:
        """End the messages of an attempt that was cancelled while it waited.

        If some of it was written, `AttemptAnswered` follows, as its answer may have arrived before.
        """
        if event.progress is not AttemptProgress.WAITING:
            return
        attempt = self._round.state.attempts_in_flight.pop(event.attempt_number, None)
        if attempt is None:
            return
        for message in list(attempt.unanswered):
            self._finish(attempt, ItemOutcome(message, Outcome.NOT_SENT, written=False))


def _with_timeout(attempt: AttemptInFlight, item: ItemOutcome) -> ItemOutcome:
    """Return an outcome, TIMEOUT in place of CANCELLED for a message whose deadline was the reason."""
    if item.outcome is Outcome.CANCELLED and item.message in attempt.timed_out:
        return replace(item, outcome=Outcome.TIMEOUT)
    return item
