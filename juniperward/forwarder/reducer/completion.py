"""The end of messages: what is journalled and forgotten, notifications to the platform, and dead letters."""

from __future__ import annotations

from collections.abc import Iterable

from juniperward.dead_letters.ownership import is_redrive_id, is_stored
from juniperward.forwarder.effects import (
    AppendRecord,
    RecordRedriveOutcome,
    SendNotifications,
    StoreDeadLetter,
)
from juniperward.forwarder.model import OutcomeNotification
from juniperward.forwarder.records import CompletedRecord, OutcomeDecidedRecord
from juniperward.forwarder.reducer.round import Round
from juniperward.forwarder.state import PendingMessage
from juniperward.forwarder.telemetry import increment

MAX_COMPLETED_IDS = 8192  # ids of messages that are over: 1.5 MiB


def is_redrive(pending: PendingMessage) -> bool:
    """Return whether a message is a dead letter that is sent again."""
    return is_redrive_id(pending.message.id)


class Completion:
    """Ends messages; `stored` are those that were stored as dead letters before a restart."""

    def __init__(self, round_: Round, stores_dead_letters: bool, stored: frozenset[str]) -> None:
        """Store what is given up as dead letters, or not."""
        self._round = round_
        self.stores_dead_letters = stores_dead_letters
        self.stored = stored

    def forget(self, pending: PendingMessage) -> None:
        """Forget a message that is over, but for its id: a late copy of it must not be taken for a new one."""
        messages = self._round.state.messages
        del messages.pending[pending.number]
        del messages.numbers[pending.message.id]
        if not is_redrive(pending):  # a redrive that was handed back comes again under its id
            messages.completed[pending.message.id] = self._round.now

    def forget_completed_ids(self) -> None:
        """Forget the ids of which no copy could still be in time."""
        completed = self._round.state.messages.completed
        longest_s = max(message_class.deadline_s for message_class in self._round.settings.classes)
        while completed:
            name, ended_at = next(iter(completed.items()))
            if len(completed) <= MAX_COMPLETED_IDS and self._round.now < ended_at + longest_s:
                return
            del completed[name]

    def complete(self, pending: PendingMessage, delivered: bool) -> None:
        """End a message that an endpoint has answered for good."""
        self.forget(pending)
        if self.stores_dead_letters and is_redrive(pending):
            outcome = "delivered" if delivered else "undeliverable"
            self._round.emit(RecordRedriveOutcome(pending.message.id, outcome, pending.executed_at))
        self._round.emit(AppendRecord(CompletedRecord(pending.message.id)))

    def give_up(self, pending: PendingMessage, retry_after_s: float | None) -> None:
        """Give a message up: a rejection with `retry_after_s`, else a failure."""
        now, message = self._round.now, pending.message
        may_store = self.stores_dead_letters and not is_redrive(pending)
        if may_store and is_stored(pending.expires_at - now, retry_after_s):
            retry_after_s = None  # it is stored: its client must not bring it a second time
        increment("messages_failed" if retry_after_s is None else "messages_rejected")
        if self.stores_dead_letters and is_redrive(pending):
            outcome = "undeliverable" if retry_after_s is None else "deferred"
            self._round.emit(RecordRedriveOutcome(message.id, outcome, pending.executed_at))
        elif self.stores_dead_letters and retry_after_s is None and message.id not in self.stored:
            self._store(pending)
        notification = OutcomeNotification(message.id, retry_after_s)
        self._round.emit(AppendRecord(OutcomeDecidedRecord(notification)))
        self.notify(notification)

    def _store(self, pending: PendingMessage) -> None:
        endpoints = self._round.state.directory.endpoints.values()
        destination = pending.message.destination
        names = sorted(endpoint.id for endpoint in endpoints if endpoint.destination == destination)
        attempts = tuple(pending.past_attempts)
        self._round.emit(
            StoreDeadLetter(pending.message, pending.received_at, self._round.now, attempts, tuple(names))
        )

    def notify(self, notification: OutcomeNotification) -> None:
        """Send a notification until the platform acknowledges it."""
        self._round.state.unacknowledged[notification.id] = notification
        self._round.emit(SendNotifications((notification,)))

    def acknowledge(self, ids: Iterable[str]) -> None:
        """Take in that the platform has notifications."""
        for name in ids:
            if self._round.state.unacknowledged.pop(name, None) is not None:
                self._round.emit(AppendRecord(CompletedRecord(name)))
