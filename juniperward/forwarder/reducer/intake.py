"""Intake: admission of messages from clients, and of those that the journal restores after a restart.

A message is accepted by way of `AcceptMessage`; once its client is answered it goes to the scheduler as
`MessageAdmitted`. Called by the reducer.
"""

from __future__ import annotations

from juniperward.forwarder.batch import item_bytes
from juniperward.forwarder.effects import (
    AcceptMessage,
    AppendRecord,
    ReplyToClient,
)
from juniperward.forwarder.events import MessageReceived
from juniperward.forwarder.model import Message
from juniperward.forwarder.records import AcceptedRecord, CompletedRecord, RecordedAttempt, RestoredMessage
from juniperward.forwarder.reducer.completion import Completion
from juniperward.forwarder.reducer.dead_letters import DeadLetters
from juniperward.forwarder.reducer.notifications import Notifications
from juniperward.forwarder.reducer.round import Round
from juniperward.forwarder.state import PendingMessage
from juniperward.forwarder.telemetry import check_invariant, increment
from juniperward.net.http_status import HttpStatus
from juniperward.scheduler import events as scheduler_events
from juniperward.scheduler.tuning import MIN_ATTEMPT_TIME_FRACTION

ADMISSION_RETRY_AFTER_S = 1.0  # after which a client that was rejected may come again
# A message expires by so much before its client's deadline: the notification has to arrive, and the clock of a
# process that has just started was seen to run 0.2 to 1.1 s ahead and then to wait for the others'. Of a short time
# it is a fraction, less than the three tenths in which a message may be given up.
NOTIFICATION_MARGIN_S = 0.3
NOTIFICATION_MARGIN_FRACTION = 0.2
# After a restart, in which no notification is overdue (1.5 s after being ready), less what one may take.
NOTIFICATION_GRACE_AFTER_RESTART_S = 1.5 - NOTIFICATION_MARGIN_S
NO_ENDPOINT = 0  # of a past attempt at an endpoint that is not listed any more


def _notification_margin_s(message: Message) -> float:
    return min(NOTIFICATION_MARGIN_S, NOTIFICATION_MARGIN_FRACTION * message.time_left_s)


class Intake:
    """Accepts messages or rejects them; owns those that are being accepted, and makes each pending message."""

    def __init__(
        self, round_: Round, completion: Completion, notifications: Notifications, dead_letters: DeadLetters
    ) -> None:
        """Accept as much as the settings' `max_open`; restored messages that are over go to the other handlers."""
        self._round = round_
        self._completion = completion
        self._notifications = notifications
        self._dead_letters = dead_letters
        # The scheduler has to know a message's size only where a call may carry several.
        self._sizes_matter = any(kind.batch_size > 1 for kind in round_.settings.kinds)

    def message_received(self, event: MessageReceived) -> None:
        """Begin to accept a new message, or answer its client at once."""
        messages, message = self._round.state.messages, event.message
        self._completion.drop_completed_ids()
        if self._is_known(message.id):
            # A client sends it again whose request crossed our closing of its connection.
            increment("duplicates_received")
            self._round.emit(ReplyToClient(event.client, HttpStatus.ACCEPTED))
            return
        reason = self._rejection(event)
        if reason is not None:
            increment(f"rejections_{reason}")
            self._round.emit(
                ReplyToClient(event.client, HttpStatus.SERVICE_UNAVAILABLE, ADMISSION_RETRY_AFTER_S)
            )
            return
        pending = self._new_message(event)
        messages.begin_accepting(pending)
        record = AcceptedRecord(message, pending.expires_at, pending.executed_at)
        self._round.emit(AcceptMessage(event.client, pending.number, record))

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

    def _is_known(self, name: str) -> bool:
        state = self._round.state
        return (
            name in state.messages.numbers or name in state.unacknowledged or name in state.messages.completed
        )

    def _rejection(self, event: MessageReceived) -> str | None:
        """Return why a message is rejected, as counters name it; None where it is accepted."""
        state, message = self._round.state, event.message
        if message.id in state.fenced_redrives:
            return "fenced"
        if message.destination not in state.directory.destinations:
            # The list may be seconds old: the client may try again, and the list may have it by then.
            return "unknown"
        if state.lifecycle.rejects_messages:
            return "stopping"
        open_messages = len(state.messages.pending) + len(state.messages.accepting)
        expired = event.received_at + message.time_left_s <= self._round.now
        return "full" if expired or open_messages >= self._round.settings.max_open else None

    def message_accepted(self, number: int, client_answered: bool) -> None:
        """Admit a journalled message to the scheduler whose client was answered; withdraw it otherwise."""
        messages = self._round.state.messages
        if not client_answered:
            withdrawn = messages.withdraw(number)
            increment("messages_withdrawn")
            self._round.emit(AppendRecord(CompletedRecord(withdrawn.message.id)))
            return
        pending = messages.accept(number)
        increment("messages_accepted")
        check_invariant(len(messages.pending) <= self._round.settings.max_open, "pending_within_max_open")
        history: tuple[scheduler_events.PastAttempt, ...] = ()
        if pending.executed_at is not None:
            history = (scheduler_events.PastAttempt(NO_ENDPOINT, pending.executed_at),)
        # The scheduler does not give it up before its first attempt in this part of its client's time.
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
                batch_bytes=item_bytes(message) if self._sizes_matter else 0,
            )
        )

    def restore(self, restored: RestoredMessage) -> None:
        """Go on with a message of the journal."""
        now, messages = self._round.now, self._round.state.messages
        increment("messages_restored")
        if restored.notification is not None:
            self._notifications.send(restored.notification)
            return
        pending = self._restored_message(restored)
        if pending.expires_at <= now or self._dead_letters.was_stored(pending):
            # One that is stored was given up; the process was killed before its outcome was journalled.
            increment("restored_overdue" if pending.expires_at <= now else "restored_dead_letters")
            self._completion.give_up(pending, None)
            return
        messages.restore(pending)
        history = tuple(self._past_attempt(recorded) for recorded in restored.history)
        self._admit(pending, pending.expires_at - now, history, attempt_until=pending.expires_at)

    def _restored_message(self, restored: RestoredMessage) -> PendingMessage:
        message, history, now = restored.message, restored.history, self._round.now
        # Right after a restart its notification may come later: all of its client's time is left for attempts.
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
