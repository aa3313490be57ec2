"""The journal's records, and what they say together of a message that is not completed.

Moments are seconds of the monotonic clock; the journal's codec turns them into Unix time and back.
"""

from __future__ import annotations

from dataclasses import dataclass

from juniperward.forwarder.model import Message, OutcomeNotification


@dataclass(frozen=True, slots=True)
class AcceptedRecord:
    """A message was accepted; of a redrive `executed_at` says when it first possibly executed."""

    message: Message
    expires_at: float
    executed_at: float | None = None


@dataclass(frozen=True, slots=True)
class AttemptStartedRecord:
    """The first byte of a message's attempt is about to be written."""

    id: str
    started_at: float
    endpoint: str


@dataclass(frozen=True, slots=True)
class AttemptFinishedRecord:
    """The latest attempt of a message ended."""

    id: str
    possibly_executed: bool


@dataclass(frozen=True, slots=True)
class OutcomeDecidedRecord:
    """A message is given up; only its notification is left to be acknowledged."""

    notification: OutcomeNotification


@dataclass(frozen=True, slots=True)
class CompletedRecord:
    """A message is completed: delivered, or its notification acknowledged."""

    id: str


JournalRecord = (
    AcceptedRecord | AttemptStartedRecord | AttemptFinishedRecord | OutcomeDecidedRecord | CompletedRecord
)


@dataclass(frozen=True, slots=True)
class RecordedAttempt:
    """An attempt before a restart; one without a recorded outcome possibly executed."""

    endpoint: str
    started_at: float
    possibly_executed: bool = True


@dataclass(frozen=True, slots=True)
class RestoredMessage:
    """What the journal says of a message that is not completed."""

    message: Message
    expires_at: float
    history: tuple[RecordedAttempt, ...] = ()
    notification: OutcomeNotification | None = None
