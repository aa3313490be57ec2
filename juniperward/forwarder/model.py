"""The values that all parts of a forwarder speak of: messages, endpoints, and the outcomes of attempts.

Moments are seconds of the monotonic clock. A message is decoded once; from then on it is known by a number of this
process.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from juniperward.scheduler.events import EndpointPhase, Outcome

RouteKey = (
    int | str
)  # what shares a limit: a destination, or the id of an endpoint that is a route of its own


@dataclass(frozen=True, slots=True)
class Message:
    """A client's message, decoded from whatever protocol it came by."""

    id: str
    class_index: int
    tenant: int
    destination: int
    time_left_s: float
    idempotency_key: str | None
    body: bytes
    executed_ago_s: float | None = None  # of a redrive: since it first possibly executed, before it came here


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of discovery's list; `id` is the text that discovery uses, `listed_rate` calls a second or 0."""

    id: str
    host: str
    port: int
    destination: int
    phase: EndpointPhase
    kind: int
    zone: int
    listed_rate: float


@dataclass(frozen=True, slots=True)
class BatchItem:
    """One message of an attempt; it must not be written after `start_before`."""

    message: int
    content: Message
    start_before: float = math.inf


class AttemptProgress(Enum):
    """How far an attempt's call has come; the values are the words of the trace."""

    WAITING = "waits"  # nothing of it is written: its connection is not up, or it stands in line for a thread
    WRITING = "writes"
    WRITTEN = "written"
    FINISHED = "over"  # its end is known, and on its way


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
    connection_table_full: bool = False  # the endpoint runs, and takes no more connections
    written: bool = True  # whether a byte of its call may have been written, so that the journal has it


@dataclass(frozen=True, slots=True)
class PastAttempt:
    """One attempt of a message that is given up; `outcome` is the word that stored data uses."""

    endpoint: str
    started_at: float
    outcome: str
    possibly_executed: bool


@dataclass(frozen=True, slots=True)
class OutcomeNotification:
    """The end of a message that was accepted and not delivered; without `retry_after_s` it failed."""

    id: str
    retry_after_s: float | None = None
