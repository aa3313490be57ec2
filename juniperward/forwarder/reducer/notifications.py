"""Notifications: the final outcome of a message that was not delivered, sent until the platform acknowledges it.

Called by completion, by intake for those of before a restart, and by the reducer with acknowledgements.
"""

from __future__ import annotations

from collections.abc import Iterable

from juniperward.forwarder.effects import AppendRecord, SendNotifications
from juniperward.forwarder.model import OutcomeNotification
from juniperward.forwarder.records import CompletedRecord
from juniperward.forwarder.reducer.round import Round


class Notifications:
    """Owns the notifications that the platform has not acknowledged."""

    def __init__(self, round_: Round) -> None:
        """Begin without notifications."""
        self._round = round_

    def send(self, notification: OutcomeNotification) -> None:
        """Send a notification until the platform acknowledges it."""
        self._round.state.unacknowledged[notification.id] = notification
        self._round.emit(SendNotifications((notification,)))

    def acknowledged(self, ids: Iterable[str]) -> None:
        """Complete the messages whose notifications the platform has accepted; a second time changes nothing."""
        for message_id in ids:
            if self._round.state.unacknowledged.pop(message_id, None) is not None:
                self._round.emit(AppendRecord(CompletedRecord(message_id)))
