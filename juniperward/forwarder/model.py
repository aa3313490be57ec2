"""The values that all parts of a forwarder share: messages, endpoints, and the outcomes of attempts.

Moments are seconds of the monotonic clock. A message is decoded once; from then on it is known by a number of this
process.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from juniperward.forwarder.stored_outcomes import StoredOutcome
from juniperward.scheduler.events import EndpointPhase, Outcome

# What shares a rate limit: a destination, or the id of an endpoint that is a route of its own.
RouteKey = int | str


@dataclass(frozen=True, slots=True)
class Message:
    """A client's message, decoded from the protocol that it came by."""

    id: str
    class_index: int
    tenant: int
    destination: int
    time_left_s: float
    idempotency_key: str | None
    body: bytes
    executed_ago_s: float | None = (
        None  # of a redrive: since it first possibly executed, when it was received
    )


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of discovery's list; `id` is discovery's, `listed_rate_per_s` attempts, or 0."""

    id: str
    host: str
    port: int
    destination: int
    phase: EndpointPhase
    kind: int
    zone: int
    listed_rate_per_s: float


@dataclass(frozen=True, slots=True)
class BatchItem:
    """One message of an attempt; it must not be written after `start_before`."""

    message: int
    content: Message
    start_before: float = math.inf


class AttemptProgress(Enum):
    """How far an attempt has come; the values are those of the trace."""

    WAITING = "waits"  # nothing of it is written: its connection is not open, or it waits for a thread
    WRITING = "writes"
    WRITTEN = "written"
    FINISHED = "over"  # its outcomes are known, and posted


@dataclass(frozen=True, slots=True)
class ItemOutcome:
    """How one message of an attempt ended."""

    message: int
    outcome: Outcome
    retry_after_s: float = 0.0
    no_slot_free: bool = False
    message_ended: bool = False
    capacity_left: float | None = None
    reported_limit_per_s: float | None = None
    connection_table_full: bool = False  # the endpoint runs, and accepts no more connections
    written: bool = True  # a byte of it may have been written, and so the journal has it


@dataclass(frozen=True, slots=True)
class PastAttempt:
    """One attempt of a message that is given up."""

    endpoint: str
    started_at: float
    outcome: StoredOutcome
    possibly_executed: bool


@dataclass(frozen=True, slots=True)
class OutcomeNotification:
    """The final outcome of an accepted message that was not delivered: failed, or rejected with `retry_after_s`."""

    id: str
    retry_after_s: float | None = None
