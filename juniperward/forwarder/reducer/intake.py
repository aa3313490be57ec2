"""Messages coming in: from clients, and from the journal after a restart."""

from __future__ import annotations

from juniperward.forwarder.batch import item_bytes
from juniperward.forwarder.effects import AcceptMessage, AppendRecord, ReplyToClient
from juniperward.forwarder.events import MessageReceived
from juniperward.forwarder.model import Message, PastAttempt
from juniperward.forwarder.records import AcceptedRecord, CompletedRecord, RecordedAttempt, RestoredMessage
from juniperward.forwarder.reducer.completion import Completion
from juniperward.forwarder.reducer.round import Round
from juniperward.forwarder.state import PendingMessage
from juniperward.forwarder.telemetry import check_invariant, increment
from juniperward.scheduler import events as scheduler_events
from juniperward.scheduler.tuning import MINIMUM_ATTEMPT_FRACTION

HTTP_ACCEPTED, HTTP_UNAVAILABLE = 202, 503
ADMISSION_RETRY_AFTER_S = 1.0  # after which a client that was rejected may come again
# Seconds, and part of a message's time, by which its end comes before that time is up: the notification has to
# arrive, and the clock of a process that has just begun was seen to run 0.2 to 1.1 s ahead and then to wait for the
# others'. Of a short time it is less than the three tenths in which a message may be given up.
NOTIFICATION_MARGIN_S, NOTIFICATION_MARGIN_SHARE = 0.3, 0.2
# After a restart, in which no notification is overdue (1.5 s after being ready), less what one may take.
NOTIFICATION_GRACE_AFTER_RESTART_S = 1.5 - NOTIFICATION_MARGIN_S
NO_ENDPOINT = 0  # of a past attempt at an endpoint that is not listed any more


def _notification_margin_s(message: Message) -> float:
    return min(NOTIFICATION_MARGIN_S, NOTIFICATION_MARGIN_SHARE * message.time_left_s)


class Intake:
    """Takes messages in, or rejects them."""

    def __init__(self, round_: Round, completion: Completion) -> None:
        """Take in what the settings leave room for."""
        self._round, self._completion = round_, completion
        # The scheduler has to know a message's size only where a call may carry several.
        self._sizes_matter = any(kind.batch_size > 1 for kind in round_.settings.kinds)

    def message_received(self, event: MessageReceived) -> None:
        """Offer a new message to the journal, or answer its client at once."""
        messages, message = self._round.state.messages, event.message
        self._completion.forget_completed_ids()
        if self._is_known(message.id):
            # A client whose connection crossed with our close sends the same once more: it is ours already, or was.
            increment("duplicates_received")
            self._round.emit(ReplyToClient(event.client, HTTP_ACCEPTED))
            return
        reason = self._rejection(event)
        if reason is not None:
            increment(f"rejections_{reason}")
            self._round.emit(ReplyToClient(event.client, HTTP_UNAVAILABLE, ADMISSION_RETRY_AFTER_S))
            return
        client_deadline_at = event.received_at + message.time_left_s
        expires_at = client_deadline_at - _notification_margin_s(message)
        pending = PendingMessage(
            messages.next_number(), message, expires_at, self._round.now, client_deadline_at
        )
        if message.executed_ago_s is not None:
            pending.executed_at, pending.attempts = event.received_at - message.executed_ago_s, 1
        messages.accepting[pending.number] = pending
        messages.numbers[message.id] = pending.number
        record = AcceptedRecord(message, expires_at, pending.executed_at)
        self._round.emit(AcceptMessage(event.client, pending.number, record))

    def _is_known(self, name: str) -> bool:
        state = self._round.state
        return (
            name in state.messages.numbers or name in state.unacknowledged or name in state.messages.completed
        )

    def _rejection(self, event: MessageReceived) -> str | None:
        """Why a message is not taken in; None where it is."""
        state, message = self._round.state, event.message
        if message.id in state.messages.fenced:
            return "fenced"
        if message.destination not in state.directory.destinations:
            # The list is seconds old: one that it will name shortly must not be final for its client.
            return "unknown"
        if state.lifecycle.rejects_messages:
            return "stopping"
        open_messages = len(state.messages.pending) + len(state.messages.accepting)
        too_late = event.received_at + message.time_left_s - self._round.now <= 0
        return "full" if too_late or open_messages >= self._round.settings.max_open else None

    def message_accepted(self, number: int, client_answered: bool) -> None:
        """Hand a message to the scheduler that is journalled and whose client knows it."""
        messages = self._round.state.messages
        pending = messages.accepting.pop(number)
        if not client_answered:
            del messages.numbers[pending.message.id]
            increment("messages_withdrawn")
            self._round.emit(AppendRecord(CompletedRecord(pending.message.id)))
            return
        increment("messages_accepted")
        messages.pending[number] = pending
        check_invariant(len(messages.pending) <= self._round.settings.max_open, "pending_within_max_open")
        history: tuple[scheduler_events.PastAttempt, ...] = ()
        if pending.executed_at is not None:
            history = (scheduler_events.PastAttempt(NO_ENDPOINT, pending.executed_at),)
        # It is not given up unattempted before a part of the time that its client gave it.
        attempt_until = (
            pending.client_deadline_at - (1 - MINIMUM_ATTEMPT_FRACTION) * pending.message.time_left_s
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
        """Go on with a message that the journal has."""
        now, messages = self._round.now, self._round.state.messages
        increment("messages_restored")
        if restored.notification is not None:
            self._completion.notify(restored.notification)
            return
        pending = self._restored_message(restored)
        if pending.expires_at <= now or pending.message.id in self._completion.stored:
            # One that is stored was given up; its end is what the kill cut off.
            increment("restored_overdue" if pending.expires_at <= now else "restored_dead_letters")
            self._completion.give_up(pending, None)
            return
        messages.pending[pending.number] = pending
        messages.numbers[pending.message.id] = pending.number
        history = tuple(self._past_attempt(recorded) for recorded in restored.history)
        self._admit(pending, pending.expires_at - now, history, attempt_until=pending.expires_at)

    def _restored_message(self, restored: RestoredMessage) -> PendingMessage:
        message, history, now = restored.message, restored.history, self._round.now
        # Right after a restart its notification may come later, so that all of its client's time is there to try it.
        client_deadline_at = restored.expires_at + _notification_margin_s(message)
        expires_at = max(
            restored.expires_at, min(client_deadline_at, now + NOTIFICATION_GRACE_AFTER_RESTART_S)
        )
        number = self._round.state.messages.next_number()
        pending = PendingMessage(
            number, message, expires_at, now, client_deadline_at, not history, len(history)
        )
        executed_at = [recorded.started_at for recorded in history if recorded.possibly_executed]
        pending.executed_at = min(executed_at, default=None)
        if self._completion.stores_dead_letters:
            pending.past_attempts = [
                PastAttempt(
                    recorded.endpoint,
                    recorded.started_at,
                    "unknown" if recorded.possibly_executed else "never_ran",
                    recorded.possibly_executed,
                )
                for recorded in history
            ]
        return pending

    def _past_attempt(self, recorded: RecordedAttempt) -> scheduler_events.PastAttempt:
        endpoint = self._round.state.directory.numbers.get(recorded.endpoint, NO_ENDPOINT)
        return scheduler_events.PastAttempt(
            endpoint, recorded.started_at if recorded.possibly_executed else None
        )
