"""Notifications: the final outcomes of undelivered messages, sent until the platform acknowledges them.

Called by `Completion`, by `Intake` with notifications that are restored, and by the reducer with
acknowledgements.
"""

from __future__ import annotations

from collections.abc import Iterable

from juniperward.forwarder.effects import AppendRecord, SendNotifications
from juniperward.forwarder.model import OutcomeNotification
from juniperward.forwarder.records import CompletedRecord
from juniperward.forwarder.reducer.round import Round


class Notifications:
    """Sends notifications; owns those that the platform has not acknowledged."""

    def __init__(self, round_: Round) -> None:
        """Start without notifications."""
        self._round = round_

    def send(self, notification: OutcomeNotification) -> None:
        """Send a notification until the platform acknowledges it."""
        self._round.state.unacknowledged[notification.id] = notification
        self._round.emit(SendNotifications((notification,)))

    def acknowledged(self, ids: Iterable[str]) -> None:
        """Complete the messages of acknowledged notifications; a repeated acknowledgement changes nothing."""
        for message_id in ids:
            if self._round.state.unacknowledged.pop(message_id, None) is not None:
                self._round.emit(AppendRecord(CompletedRecord(message_id)))
