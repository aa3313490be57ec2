"""The outcome of a redrive, which the forwarder records in its spool and the redriver in the store."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RedriveResult(StrEnum):
    """The result of a redrive; the values are those of the control channel, the spool and the store."""

    PENDING = "held"  # The forwarder accepted the redrive, and its outcome is not decided yet.
    UNKNOWN = "unknown"  # The forwarder never accepted the redrive or no longer knows its outcome.
    DELIVERED = "delivered"
    UNDELIVERABLE = "undeliverable"
    DEFERRED = "deferred"
    REJECTED = "refused"  # The forwarder rejected the submission.
    NEVER_ACCEPTED = "never taken"
    SETTLED = "settled"  # An operator settled the message.


@dataclass(frozen=True, slots=True)
class RedriveOutcome:
    """The outcome of a redrive.

    Attributes:
        result: a value of RedriveResult, as it was written.
        executed_at: Unix time at which the message may first have executed; None if it cannot have.
    """

    result: str
    executed_at: float | None = None
