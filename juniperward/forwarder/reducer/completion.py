"""Completion: the end of a message, whether an endpoint answered it for good or it is given up.

Called by attempts with answers, by scheduling with what the scheduler gives up, and by intake. It journals the
outcome and has dead letters and notifications do their part.
"""

from __future__ import annotations

from juniperward.forwarder.effects import AppendRecord
from juniperward.forwarder.model import OutcomeNotification
from juniperward.forwarder.records import CompletedRecord, OutcomeDecidedRecord
from juniperward.forwarder.reducer.dead_letters import DeadLetters, is_redrive
from juniperward.forwarder.reducer.notifications import Notifications
from juniperward.forwarder.reducer.round import Round
from juniperward.forwarder.state import PendingMessage
from juniperward.forwarder.telemetry import increment

MAX_COMPLETED_IDS = 8192  # 1.5 MiB


class Completion:
    """Removes messages from the table; owns the ids of those that are completed."""

    def __init__(self, round_: Round, notifications: Notifications, dead_letters: DeadLetters) -> None:
        """Notify of outcomes by `notifications` and store by `dead_letters`."""
        self._round = round_
        self._notifications = notifications
        self._dead_letters = dead_letters

    def remove(self, pending: PendingMessage) -> None:
        """Remove a message that is over, but for its id: a late copy of it must not be accepted as a new one."""
        messages = self._round.state.messages
        messages.remove(pending)
        if not is_redrive(pending):  # a redrive that was handed back comes again under its id
            messages.completed[pending.message.id] = self._round.now

    def drop_completed_ids(self) -> None:
        """Drop the ids of which no copy could still be in time, and the oldest beyond MAX_COMPLETED_IDS."""
        completed = self._round.state.messages.completed
        longest_deadline_s = max(message_class.deadline_s for message_class in self._round.settings.classes)
        while completed:
            message_id, completed_at = next(iter(completed.items()))
            if len(completed) <= MAX_COMPLETED_IDS and self._round.now < completed_at + longest_deadline_s:
                return
            del completed[message_id]

    def complete(self, pending: PendingMessage, delivered: bool) -> None:
        """Complete a message that an endpoint has answered for good."""
        self.remove(pending)
        self._dead_letters.answered(pending, delivered)
        self._round.emit(AppendRecord(CompletedRecord(pending.message.id)))

    def give_up(self, pending: PendingMessage, retry_after_s: float | None) -> None:
        """Decide the outcome of a message that is given up: a rejection with `retry_after_s`, else a failure."""
        retry_after_s = self._dead_letters.retry_after_s(pending, retry_after_s)
        increment("messages_failed" if retry_after_s is None else "messages_rejected")
        self._dead_letters.given_up(pending, retry_after_s)
        notification = OutcomeNotification(pending.message.id, retry_after_s)
        self._round.emit(AppendRecord(OutcomeDecidedRecord(notification)))
        self._notifications.send(notification)
