"""What a scheduler receives: endpoint list updates, messages, outcomes of attempts and health checks, timers.

Durations are in seconds; moments (`_at`) are seconds of the caller's monotonic clock. Ids are opaque and come
back unchanged in actions.
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
    """Whether the list lets an endpoint be called; it says nothing of its health."""

    DRAINING = 0
    READY = 1
    REMOVED = 2


class ListScope(IntEnum):
    """What an update of the endpoint list contains."""

    DELTA = 0  # what has changed
    FULL = 1  # the complete list
    CACHED = 2  # the complete list as it was last known
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
    """The endpoint list has changed, or could not be read."""

    scope: ListScope
    entries: tuple[EndpointEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class PastAttempt:
    """An attempt before a restart; `sent_at` is None where it surely did not execute."""

    endpoint: int
    sent_at: float | None


@dataclass(frozen=True, slots=True)
class MessageAdmitted:
    """A message was accepted, or is back after a restart; it gets one final answer within `time_left_s`."""

    message: int
    class_index: int
    destination: int
    time_left_s: float
    tenant: int = 0
    ordering_key: str | None = None
    size_hint_s: float = 0.0  # no decision reads it
    history: tuple[PastAttempt, ...] = ()
    # While it surely has not executed it is not given up before; None: a fraction of `time_left_s`.
    attempt_for_s: float | None = None
    never_attempted: bool = False  # back after a restart without an attempt: it goes before the others
    batch_bytes: int = 0  # its size in a call of several messages


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
    no_slot_free: bool = False  # of an attempt that was not sent; no decision reads it
    capacity_left: float | None = None  # fraction of the reported limit
    reported_limit_per_s: float | None = None
    connection_table_full: bool = False  # of a failed connection: the endpoint runs, but accepts no more


@dataclass(frozen=True, slots=True)
class AnswerStarted:
    """The answer to an attempt has begun, and its time-out no longer runs; no decision reads it."""

    message: int
    attempt: int
    endpoint: int


@dataclass(frozen=True, slots=True)
class MessageWithdrawn:
    """The client withdrew the message, and expects no answer."""

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
    """A timer that the scheduler had set has fired."""

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
