"""What a scheduler is told: changes of the endpoint list, messages, ends of attempts and health checks, timers.

Durations are in seconds; moments (`_at`) are seconds of the caller's monotonic clock. Ids are opaque and come back
as they were told.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Outcome(IntEnum):
    """How an attempt or a health check ended; the numbers are those of the simulator's wire."""

    ERROR = 0
    OK = 1
    OVERLOADED = 2  # rejected as over the endpoint's limit
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7

    @property
    def never_executed(self) -> bool:
        """Whether the outcome proves that the attempt had no effect."""
        return self in (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class EndpointPhase(IntEnum):
    """What the list says of an endpoint; it says nothing of its health."""

    DRAINING = 0
    READY = 1
    GONE = 2


class ListScope(IntEnum):
    """What an update of the endpoint list holds."""

    DELTA = 0  # what has changed
    FULL = 1  # the whole list
    CACHED = 2  # the whole list as it was last known
    FAILED = 3  # nothing: the poll failed, or the watch was lost


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One entry of the endpoint list; `listed_rate` is calls a second of all forwarders, 0 where none is listed."""

    endpoint: int
    destination: int
    phase: EndpointPhase = EndpointPhase.READY
    kind: int = 0
    zone: int = 0
    listed_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointListUpdated:
    """The endpoint list has changed, or could not be had."""

    scope: ListScope
    entries: tuple[EndpointEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class PastAttempt:
    """An attempt before a restart; `sent_at` is None where it surely did not execute."""

    endpoint: int
    sent_at: float | None


@dataclass(frozen=True, slots=True)
class MessageAdmitted:
    """A message was accepted, or is back after a restart; it is owed one final answer within `time_left_s`."""

    message: int
    class_index: int
    destination: int
    time_left_s: float
    tenant: int = 0
    ordering_key: str | None = None
    size_hint_s: float = 0.0
    history: tuple[PastAttempt, ...] = ()
    attempt_for_s: float | None = (
        None  # it is not given up unattempted before; None: a share of `time_left_s`
    )
    never_attempted: bool = False  # back after a restart without an attempt: it goes before the others
    batch_bytes: int = 0  # that it takes in a call of several messages


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt ended; attempts of a message count from 0."""

    message: int
    attempt: int
    endpoint: int
    outcome: Outcome
    latency_s: float
    message_ended: bool = False  # the message is over as well
    retry_after_s: float = 0.0
    no_slot_free: bool = False
    capacity_left: float | None = None  # share of the reported limit that is left
    reported_limit_per_s: float | None = None
    connection_table_full: bool = (
        False  # of a failed connection: the endpoint runs, and takes no more of them
    )


@dataclass(frozen=True, slots=True)
class AnswerStarted:
    """The answer to an attempt has begun; its time-out no longer runs."""

    message: int
    attempt: int
    endpoint: int


@dataclass(frozen=True, slots=True)
class MessageWithdrawn:
    """The client took the message back; no answer is owed."""

    message: int


@dataclass(frozen=True, slots=True)
class HealthCheckFinished:
    """A health check ended."""

    endpoint: int
    outcome: Outcome
    latency_s: float
    capacity_left: float | None = None
    reported_limit_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the scheduler set is due."""

    token: int


Event = (
    EndpointListUpdated
    | MessageAdmitted
    | AttemptFinished
    | AnswerStarted
    | MessageWithdrawn
    | HealthCheckFinished
    | TimerFired
)
