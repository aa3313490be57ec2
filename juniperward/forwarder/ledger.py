"""Rebuilds the messages that are not completed from the journal's records.

The journal applies its records in order and then reads `by_id`.
"""

from __future__ import annotations

from dataclasses import replace

from juniperward.forwarder.model import Message
from juniperward.forwarder.records import (
    AcceptedRecord,
    AttemptFinishedRecord,
    AttemptStartedRecord,
    CompletedRecord,
    JournalRecord,
    OutcomeDecidedRecord,
    RecordedAttempt,
    RestoredMessage,
)


class IncompleteMessages:
    """The messages that are not completed; `by_id` has them in the order accepted."""

    def __init__(self) -> None:
        """Start without messages."""
        self.by_id: dict[str, RestoredMessage] = {}

    def apply(self, record: JournalRecord) -> None:
        """Apply the next record; a record of a completed message has no effect."""
        match record:
            case AcceptedRecord(message=message, expires_at=expires_at, executed_at=executed_at):
                # The deduplication window of a redrive starts at its execution before it became a dead letter.
                earlier = (RecordedAttempt("", executed_at),) if executed_at is not None else ()
                self.by_id[message.id] = RestoredMessage(message, expires_at, earlier)
            case CompletedRecord(id=message_id):
                self.by_id.pop(message_id, None)
            case OutcomeDecidedRecord(notification=notification):
                # Only the notification remains to be sent, so the message needs no content.
                message = Message(notification.id, 0, 0, 0, 0.0, None, b"")
                self.by_id[notification.id] = RestoredMessage(message, 0.0, (), notification)
            case AttemptStartedRecord(id=message_id, started_at=started_at, endpoint=endpoint):
                restored = self.by_id.get(message_id)
                if restored is not None:
                    history = (*restored.history, RecordedAttempt(endpoint, started_at))
                    self.by_id[message_id] = replace(restored, history=history)
            case AttemptFinishedRecord(id=message_id, possibly_executed=possibly_executed):
                restored = self.by_id.get(message_id)
                if restored is not None and restored.history:
                    last = replace(restored.history[-1], possibly_executed=possibly_executed)
                    self.by_id[message_id] = replace(restored, history=(*restored.history[:-1], last))
