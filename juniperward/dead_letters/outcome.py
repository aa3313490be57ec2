"""The outcome of a redrive, which the forwarder records in its spool and the redriver in the store."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RedriveResult(StrEnum):
    """The result of a redrive; the values are those of the control channel, the spool and the store.

    Attributes:
        PENDING: the forwarder accepted the redrive and has not decided it yet.
        UNKNOWN: the forwarder never accepted the redrive or no longer knows its outcome.
        REJECTED: the forwarder rejected the redrive when it was submitted.
        SETTLED: an operator stated the outcome.
    """

    PENDING = "held"
    UNKNOWN = "unknown"
    DELIVERED = "delivered"
    UNDELIVERABLE = "undeliverable"
    DEFERRED = "deferred"
    REJECTED = "refused"
    NEVER_ACCEPTED = "never taken"
    SETTLED = "settled"


@dataclass(frozen=True, slots=True)
class RedriveOutcome:
    """The outcome of a redrive.

    Attributes:
        result: a value of RedriveResult, as it was written.
        executed_at: Unix time at which the message may first have executed; None if it cannot have.
    """

    result: str
    executed_at: float | None = None
