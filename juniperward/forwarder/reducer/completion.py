"""The end of a message: an endpoint gave it a final response, or it is given up.

Called by `Attempts` with responses, by `Scheduling` with messages that the scheduler gives up, and by
`Intake`. It journals the outcome and passes the message to `DeadLetters` and `Notifications`.
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

MAX_COMPLETED_IDS = 8192  # These take about 1.5 MiB of memory.


class Completion:
    """Removes ended messages from the table; owns the ids of completed messages."""

    def __init__(self, round_: Round, notifications: Notifications, dead_letters: DeadLetters) -> None:
        """Pass ended messages to `notifications` and `dead_letters`."""
        self._round = round_
        self._notifications = notifications
        self._dead_letters = dead_letters

    def remove(self, pending: PendingMessage) -> None:
        """Remove an ended message; keep its id, so that a late duplicate is not accepted as a new message."""
        messages = self._round.state.messages
        messages.remove(pending)
        # A redrive that was deferred is submitted again under the same id.
        if not is_redrive(pending):
            messages.add_completed(pending.message.id, self._round.now)

    def drop_completed_ids(self) -> None:
        """Drop ids older than the longest deadline, and the oldest ids beyond the limits."""
        messages = self._round.state.messages
        completed = messages.completed
        max_bytes = self._round.message_limits.completed_id_bytes
        longest_deadline_s = max(message_class.deadline_s for message_class in self._round.settings.classes)
        while completed:
            message_id, completed_at = next(iter(completed.items()))
            fits = len(completed) <= MAX_COMPLETED_IDS and messages.completed_bytes <= max_bytes
            if fits and self._round.now < completed_at + longest_deadline_s:
                return
            messages.drop_completed(message_id)

    def complete(self, pending: PendingMessage, delivered: bool) -> None:
        """Complete a message that has a final response from an endpoint."""
        self.remove(pending)
        self._dead_letters.answered(pending, delivered)
        self._round.emit(AppendRecord(CompletedRecord(pending.message.id)))

    def give_up(self, pending: PendingMessage, retry_after_s: float | None) -> None:
        """Reject a message with `retry_after_s`, or fail it if that is None; its client is notified."""
        retry_after_s = self._dead_letters.retry_after_s(pending, retry_after_s)
        increment("messages_failed" if retry_after_s is None else "messages_rejected")
        self._dead_letters.given_up(pending, retry_after_s)
        notification = OutcomeNotification(pending.message.id, retry_after_s)
        self._round.emit(AppendRecord(OutcomeDecidedRecord(notification)))
        self._notifications.send(notification)
