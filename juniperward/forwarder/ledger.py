"""What the records of a journal say together: the messages that are not over."""

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
    """Messages that are not over, by id, in the order accepted."""

    def __init__(self) -> None:
        """Begin without messages."""
        self.open: dict[str, RestoredMessage] = {}

    def apply(self, record: JournalRecord) -> None:
        """Take in the next record; one of a message that is over already says nothing."""
        match record:
            case AcceptedRecord(message=message, expires_at=expires_at, executed_at=executed_at):
                # A redrive's earlier life comes first in its history: the deduplication window counts from there.
                earlier = (RecordedAttempt("", executed_at),) if executed_at is not None else ()
                self.open[message.id] = RestoredMessage(message, expires_at, earlier)
            case CompletedRecord(id=name):
                self.open.pop(name, None)
            case OutcomeDecidedRecord(notification=notification):
                # What it was is not kept any more: only its end is still owed.
                message = Message(notification.id, 0, 0, 0, 0.0, None, b"")
                self.open[notification.id] = RestoredMessage(message, 0.0, (), notification)
            case AttemptStartedRecord(id=name, started_at=started_at, endpoint=endpoint):
                if (restored := self.open.get(name)) is not None:
                    history = (*restored.history, RecordedAttempt(endpoint, started_at))
                    self.open[name] = replace(restored, history=history)
            case AttemptFinishedRecord(id=name, possibly_executed=possibly_executed):
                if (restored := self.open.get(name)) is not None and restored.history:
                    last = replace(restored.history[-1], possibly_executed=possibly_executed)
                    self.open[name] = replace(restored, history=(*restored.history[:-1], last))
