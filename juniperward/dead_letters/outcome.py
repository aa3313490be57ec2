"""The outcome of one redrive: a forwarder records it in its spool, the redriver writes it into the store."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RedriveResult(StrEnum):
    """What became of a redrive; the values are those of the control channel, the spool and the store."""

    PENDING = "held"  # the forwarder has it and goes on with it
    UNKNOWN = "unknown"  # the forwarder never accepted it, or does not remember
    DELIVERED = "delivered"
    UNDELIVERABLE = "undeliverable"
    DEFERRED = "deferred"
    REJECTED = "refused"  # at the forwarder's front door
    NEVER_ACCEPTED = "never taken"
    SETTLED = "settled"  # by a person


@dataclass(frozen=True, slots=True)
class RedriveOutcome:
    """A redrive's result, and when it first may have executed (Unix time; None: never)."""

    result: str  # one of RedriveResult, as it was written
    executed_at: float | None = None
