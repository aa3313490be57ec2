"""The value types that all parts of a forwarder share: messages, endpoints, and the outcomes of attempts.

Times are seconds of the monotonic clock. Integer fields named `message` and `endpoint` are numbers that the
reducer assigned, which are valid in this process only.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from enum import Enum

from juniperward.forwarder.stored_outcomes import StoredOutcome
from juniperward.scheduler.events import EndpointPhase, Outcome

# The scope of a Retry-After: a destination's number, or the id of an endpoint whose kind has separate routes.
RouteKey = int | str


@dataclass(frozen=True, slots=True)
class Message:
    """A client's message.

    Attributes:
        class_index: The index of the message class in the settings.
        tenant: The index of the tenant in the settings.
        time_left_s: The time until the client's deadline, when the message was received.
        executed_ago_s: For a redrive, the time since its first attempt that was possibly executed, when it
            was received; None if there was none.
    """

    id: str
    class_index: int
    tenant: int
    destination: int
    time_left_s: float
    idempotency_key: str | None
    body: bytes
    executed_ago_s: float | None = None

    def is_copy_of(self, other: Message) -> bool:
        """Return whether both are the same message, whose times may differ as it was sent twice."""
        return replace(self, time_left_s=other.time_left_s, executed_ago_s=other.executed_ago_s) == other


# The objects of a message take this much beside its texts and its body.
MESSAGE_OVERHEAD_BYTES = 512


def message_bytes(message: Message) -> int:
    """Return the memory that a message takes, in bytes; what is shared with other messages does not count."""
    key_length = len(message.idempotency_key or "")
    return len(message.body) + key_length + len(message.id) + MESSAGE_OVERHEAD_BYTES


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An entry of discovery's list; `id` is discovery's, and `listed_rate_per_s` is 0 if none is listed."""

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
    """A message of an attempt; its first byte must not be written after `start_before`."""

    message: int
    content: Message
    start_before: float = math.inf


class AttemptProgress(Enum):
    """The progress of an attempt; the values are part of the trace's format."""

    WAITING = "waits"  # Nothing is written: the attempt waits for a thread or a connection.
    WRITING = "writes"
    WRITTEN = "written"
    FINISHED = "over"  # The answer was read; the outcomes were posted to the event queue, or soon will be.


@dataclass(frozen=True, slots=True)
class ItemOutcome:
    """The outcome of one message of an attempt.

    Attributes:
        retry_after_s: The response's Retry-After, or 0.
        no_slot_free: Whether the response says that no slot was free (X-Over-Slots).
        message_ended: Whether the response is final, so that the message must not be attempted again.
        capacity_left: The unused fraction of the reported limit, or None.
        reported_limit_per_s: The rate limit that the endpoint reported, or None.
        connection_table_full: Whether the endpoint runs but accepts no more connections.
        written: Whether the journal has the attempt, as it must before a byte of the message is written.
        attempts_exhausted: Whether the message must not be attempted again, and its client must be notified.
    """

    message: int
    outcome: Outcome
    retry_after_s: float = 0.0
    no_slot_free: bool = False
    message_ended: bool = False
    capacity_left: float | None = None
    reported_limit_per_s: float | None = None
    connection_table_full: bool = False
    written: bool = True
    attempts_exhausted: bool = False


@dataclass(frozen=True, slots=True)
class PastAttempt:
    """An ended attempt, as it is stored with a dead letter."""

    endpoint: str
    started_at: float
    outcome: StoredOutcome
    possibly_executed: bool


@dataclass(frozen=True, slots=True)
class OutcomeNotification:
    """The outcome of an undelivered message: rejected with `retry_after_s`, or failed if that is None."""

    id: str
    retry_after_s: float | None = None
