"""The journal's records, and the message state that is restored from them.

Times are seconds of the monotonic clock; the journal's codec converts them to Unix time and back.
"""

from __future__ import annotations

from dataclasses import dataclass

from juniperward.forwarder.model import Message, OutcomeNotification


@dataclass(frozen=True, slots=True)
class AcceptedRecord:
    """A message was accepted; for a redrive, `executed_at` is its first possible execution or None."""

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
    """A message was given up; its notification must still be acknowledged."""

    notification: OutcomeNotification


@dataclass(frozen=True, slots=True)
class CompletedRecord:
    """A message needs no further work: it was delivered, withdrawn, or its notification was acknowledged."""

    id: str


JournalRecord = (
    AcceptedRecord | AttemptStartedRecord | AttemptFinishedRecord | OutcomeDecidedRecord | CompletedRecord
)


@dataclass(frozen=True, slots=True)
class RecordedAttempt:
    """An attempt before a restart; without a recorded outcome it counts as possibly executed."""

    endpoint: str
    started_at: float
    possibly_executed: bool = True


@dataclass(frozen=True, slots=True)
class RestoredMessage:
    """A message that the journal has no completion for; `notification` is set if its outcome is decided."""

    message: Message
    expires_at: float
    history: tuple[RecordedAttempt, ...] = ()
    notification: OutcomeNotification | None = None
