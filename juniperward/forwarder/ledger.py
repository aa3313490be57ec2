"""What the records of a journal say together: the messages that are not completed.

The journal applies the records in their order and reads `open` at the end.
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


class Ledger:
    """Messages that are not completed, by id, in the order accepted."""

    def __init__(self) -> None:
        """Begin without messages."""
        self.open: dict[str, RestoredMessage] = {}

    def apply(self, record: JournalRecord) -> None:
        """Apply the next record; one of a completed message changes nothing."""
        match record:
            case AcceptedRecord(message=message, expires_at=expires_at, executed_at=executed_at):
                # A redrive was attempted before it was stored: its deduplication window counts from then.
                earlier = (RecordedAttempt("", executed_at),) if executed_at is not None else ()
                self.open[message.id] = RestoredMessage(message, expires_at, earlier)
            case CompletedRecord(id=message_id):
                self.open.pop(message_id, None)
            case OutcomeDecidedRecord(notification=notification):
                # Its content is not needed any more: only its notification is left to send.
                message = Message(notification.id, 0, 0, 0, 0.0, None, b"")
                self.open[notification.id] = RestoredMessage(message, 0.0, (), notification)
            case AttemptStartedRecord(id=message_id, started_at=started_at, endpoint=endpoint):
                restored = self.open.get(message_id)
                if restored is not None:
                    history = (*restored.history, RecordedAttempt(endpoint, started_at))
                    self.open[message_id] = replace(restored, history=history)
            case AttemptFinishedRecord(id=message_id, possibly_executed=possibly_executed):
                restored = self.open.get(message_id)
                if restored is not None and restored.history:
                    last = replace(restored.history[-1], possibly_executed=possibly_executed)
                    self.open[message_id] = replace(restored, history=(*restored.history[:-1], last))
