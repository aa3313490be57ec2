"""Intake: admission of messages from clients, and of messages that are restored from the journal.

`AcceptMessage` journals a message and acknowledges it to its client; then it is passed to the scheduler as
`MessageAdmitted`. Called by the reducer.
"""

from __future__ import annotations

from juniperward.forwarder.batch import batch_item_bytes
from juniperward.forwarder.effects import (
    AcceptMessage,
    AppendRecord,
    ReplyToClient,
)
from juniperward.forwarder.events import MessageReceived
from juniperward.forwarder.model import MESSAGE_OVERHEAD_BYTES, Message, message_bytes
from juniperward.forwarder.records import AcceptedRecord, CompletedRecord, RecordedAttempt, RestoredMessage
from juniperward.forwarder.reducer.completion import Completion
from juniperward.forwarder.reducer.dead_letters import DeadLetters
from juniperward.forwarder.reducer.notifications import Notifications
from juniperward.forwarder.reducer.round import Round
from juniperward.forwarder.state import PendingMessage
from juniperward.forwarder.telemetry import check_invariant, increment, record_peak
from juniperward.net.http_status import HttpStatus
from juniperward.scheduler import events as scheduler_events
from juniperward.scheduler.tuning import MIN_ATTEMPT_TIME_FRACTION

ADMISSION_RETRY_AFTER_S = 1.0
# A message expires this long before its client's deadline, to leave time for the notification, also if the
# clock runs ahead just after the process started: one was seen 0.2 to 1.1 s ahead of the others'. If the
# deadline is short, the margin is a fraction of the time until it; this fraction must be less than
# 1 - MIN_ATTEMPT_TIME_FRACTION.
MAX_NOTIFICATION_MARGIN_S = 0.3
NOTIFICATION_MARGIN_FRACTION = 0.2
# A notification that was due during the downtime is not late until 1.5 s after the process is ready again.
NOTIFICATION_GRACE_AFTER_RESTART_S = 1.5 - MAX_NOTIFICATION_MARGIN_S
# Messages that take more than this may use only a fraction of the memory for messages.
MAX_USUAL_MESSAGE_BYTES = 8192
LARGE_MESSAGES_FRACTION = 0.75
# Replaces the endpoint number of a past attempt whose endpoint is unknown or no longer listed.
NO_ENDPOINT = 0


def _notification_margin_s(message: Message) -> float:
    return min(MAX_NOTIFICATION_MARGIN_S, NOTIFICATION_MARGIN_FRACTION * message.time_left_s)


class Intake:
    """Accepts or rejects messages; creates each `PendingMessage`, and owns those that are being accepted."""

    def __init__(
        self, round_: Round, completion: Completion, notifications: Notifications, dead_letters: DeadLetters
    ) -> None:
        """Accept up to `max_open` messages; pass restored messages that have ended to the other handlers."""
        self._round = round_
        self._completion = completion
        self._notifications = notifications
        self._dead_letters = dead_letters
        # The scheduler needs the sizes of messages only where an attempt may have several.
        self._batches_enabled = any(kind.batch_size > 1 for kind in round_.settings.kinds)

    def message_received(self, event: MessageReceived) -> None:
        """Begin to accept a new message; reply at once to a duplicate, or to one that is rejected."""
        messages, message_id = self._round.state.messages, event.message.id
        self._completion.drop_completed_ids()
        if self._has_ended(message_id):
            self._answer_duplicate(event)
            return
        reason = self._rejection(event)
        if reason is not None:
            increment(f"rejections_{reason}")
            self._round.emit(
                ReplyToClient(event.request, HttpStatus.SERVICE_UNAVAILABLE, ADMISSION_RETRY_AFTER_S)
            )
            return
        known = messages.find(message_id)
        if known is None:
            self._begin_accepting(event)
        elif known.number in messages.accepting:
            # Whether this request is a duplicate is known once the earlier request has been answered.
            messages.duplicates.setdefault(known.number, []).append(event)
        else:
            self._answer_duplicate(event)

    def _begin_accepting(self, event: MessageReceived) -> None:
        pending = self._new_message(event)
        self._round.state.messages.begin_accepting(pending)
        record = AcceptedRecord(event.message, pending.expires_at, pending.executed_at)
        self._round.emit(AcceptMessage(event.request, pending.number, record))

    def _answer_duplicate(self, event: MessageReceived) -> None:
        """Answer a request for an accepted message; clients repeat one if its connection closed without an answer."""
        increment("duplicates_received")
        self._round.emit(ReplyToClient(event.request, HttpStatus.ACCEPTED))

    def _new_message(self, event: MessageReceived) -> PendingMessage:
        message = event.message
        client_deadline_at = event.received_at + message.time_left_s
        expires_at = client_deadline_at - _notification_margin_s(message)
        number = self._round.state.messages.sequence.next()
        pending = PendingMessage(number, message, expires_at, self._round.now, client_deadline_at)
        if message.executed_ago_s is not None:
            pending.executed_at = event.received_at - message.executed_ago_s
            pending.attempts = 1
        return pending

    def _has_ended(self, message_id: str) -> bool:
        state = self._round.state
        return message_id in state.unacknowledged or message_id in state.messages.completed

    def _rejection(self, event: MessageReceived) -> str | None:
        """Return the reason for a rejection, as a counter's suffix, or None if the message is accepted or known."""
        state, message = self._round.state, event.message
        known = state.messages.find(message.id)
        if known is not None:
            # A 202 to another message with the same id would lose it; its client may send it under a new id.
            return None if message.is_copy_of(known.message) else "conflict"
        if message.id in state.fenced_redrives:
            return "fenced"
        if message.destination not in state.directory.destinations:
            # The endpoint list may lag behind by seconds; the client may retry.
            return "unknown"
        if state.lifecycle.rejects_messages:
            return "stopping"
        open_messages = len(state.messages.pending) + len(state.messages.accepting)
        expired = event.received_at + message.time_left_s <= self._round.now
        if expired or open_messages >= self._round.settings.max_open:
            return "full"
        return None if self._fits_memory(message) else "memory"

    def _fits_memory(self, message: Message) -> bool:
        """Return whether there is memory for another message; large ones leave a part of it to the others."""
        state = self._round.state
        needed_bytes = message_bytes(message)
        notifications_bytes = len(state.unacknowledged) * MESSAGE_OVERHEAD_BYTES
        used_bytes = state.messages.content_bytes + notifications_bytes + needed_bytes
        fraction = 1.0 if needed_bytes <= MAX_USUAL_MESSAGE_BYTES else LARGE_MESSAGES_FRACTION
        if used_bytes > fraction * self._round.message_limits.message_bytes:
            return False
        record_peak("message_bytes", used_bytes)
        return True

    def message_accepted(self, number: int, client_answered: bool) -> None:
        """Pass a journalled message to the scheduler; withdraw it if its client could not be answered.

        Duplicates that have arrived meanwhile are answered alike, or the first of them is accepted in its place.
        """
        messages = self._round.state.messages
        duplicates = messages.duplicates.pop(number, [])
        if not client_answered:
            withdrawn = messages.withdraw(number)
            increment("messages_withdrawn")
            self._round.emit(AppendRecord(CompletedRecord(withdrawn.message.id)))
            for duplicate in duplicates:
                self.message_received(duplicate)
            return
        for duplicate in duplicates:
            self._answer_duplicate(duplicate)
        pending = messages.accept(number)
        increment("messages_accepted")
        check_invariant(len(messages.pending) <= self._round.settings.max_open, "pending_within_max_open")
        history: tuple[scheduler_events.PastAttempt, ...] = ()
        if pending.executed_at is not None:
            history = (scheduler_events.PastAttempt(NO_ENDPOINT, pending.executed_at),)
        # The scheduler does not give up an unattempted message before this time.
        attempt_until = (
            pending.client_deadline_at - (1 - MIN_ATTEMPT_TIME_FRACTION) * pending.message.time_left_s
        )
        self._admit(pending, max(pending.expires_at - self._round.now, 0.0), history, attempt_until)

    def _admit(
        self,
        pending: PendingMessage,
        time_left_s: float,
        history: tuple[scheduler_events.PastAttempt, ...],
        attempt_until: float,
    ) -> None:
        message = pending.message
        self._round.notify_scheduler(
            scheduler_events.MessageAdmitted(
                pending.number,
                message.class_index,
                message.destination,
                time_left_s,
                message.tenant,
                message.idempotency_key,
                history=history,
                attempt_for_s=attempt_until - self._round.now,
                never_attempted=pending.never_attempted,
                batch_bytes=batch_item_bytes(message) if self._batches_enabled else 0,
            )
        )

    def restore(self, restored: RestoredMessage) -> None:
        """Resume a message that was restored from the journal, or send its notification."""
        now, messages = self._round.now, self._round.state.messages
        increment("messages_restored")
        if restored.notification is not None:
            self._notifications.send(restored.notification)
            return
        pending = self._restored_message(restored)
        if pending.expires_at <= now or self._dead_letters.was_stored(pending):
            # A stored message was given up by a process that was killed before it journalled the outcome.
            increment("restored_overdue" if pending.expires_at <= now else "restored_dead_letters")
            self._completion.give_up(pending, None)
            return
        messages.restore(pending)
        history = tuple(self._past_attempt(recorded) for recorded in restored.history)
        self._admit(pending, pending.expires_at - now, history, attempt_until=pending.expires_at)

    def _restored_message(self, restored: RestoredMessage) -> PendingMessage:
        message, history, now = restored.message, restored.history, self._round.now
        # Right after a restart the notification may be later, so attempts may use the margin too.
        client_deadline_at = restored.expires_at + _notification_margin_s(message)
        expires_at = max(
            restored.expires_at, min(client_deadline_at, now + NOTIFICATION_GRACE_AFTER_RESTART_S)
        )
        number = self._round.state.messages.sequence.next()
        pending = PendingMessage(
            number, message, expires_at, now, client_deadline_at, not history, len(history)
        )
        executed_at = [recorded.started_at for recorded in history if recorded.possibly_executed]
        pending.executed_at = min(executed_at, default=None)
        self._dead_letters.restore_attempts(pending, history)
        return pending

    def _past_attempt(self, recorded: RecordedAttempt) -> scheduler_events.PastAttempt:
        endpoint = self._round.state.directory.numbers.get(recorded.endpoint, NO_ENDPOINT)
        return scheduler_events.PastAttempt(
            endpoint, recorded.started_at if recorded.possibly_executed else None
        )
