"""The events that a scheduler receives: endpoint list updates, messages, outcomes and timers.

Durations are in seconds. Times (`_at`) are seconds of the caller's monotonic clock. Ids are opaque to the
scheduler, which returns them unchanged in actions.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Outcome(IntEnum):
    """How an attempt or a health check ended; the simulator's protocol uses the same numbers.

    OVERLOADED means that the endpoint rejected the call as over its limit.
    """

    ERROR = 0
    OK = 1
    OVERLOADED = 2
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
    """The phase of an endpoint in the endpoint list; only READY ones are called, whatever their health."""

    DRAINING = 0
    READY = 1
    REMOVED = 2


class ListScope(IntEnum):
    """What an update of the endpoint list contains.

    DELTA: the entries that changed. FULL: the complete list. CACHED: the complete list as it was last known.
    FAILED: no entries, as the poll failed or the watch was lost.
    """

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One entry of the endpoint list.

    Attributes:
        listed_rate_per_s: calls that all forwarders together may make; 0 if the list names no rate.
    """

    endpoint: int
    destination: int
    phase: EndpointPhase = EndpointPhase.READY
    kind: int = 0
    zone: int = 0
    listed_rate_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointListUpdated:
    """The endpoint list changed or could not be read."""

    scope: ListScope
    entries: tuple[EndpointEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class PastAttempt:
    """An attempt from before a restart; `sent_at` is None if it certainly did not execute."""

    endpoint: int
    sent_at: float | None


@dataclass(frozen=True, slots=True)
class MessageAdmitted:
    """A message was accepted, or restored after a restart; it gets one final answer within `time_left_s`.

    Attributes:
        size_hint_s: not used in any decision.
        history: attempts from before a restart, the first one first.
        attempt_for_s: how long the message is not given up while it certainly did not execute; None stands
            for a fraction of `time_left_s`.
        never_attempted: restored after a restart without an attempt; such messages are sent before others.
        batch_bytes: size of the message in a call of several messages.
    """

    message: int
    class_index: int
    destination: int
    time_left_s: float
    tenant: int = 0
    ordering_key: str | None = None
    size_hint_s: float = 0.0
    history: tuple[PastAttempt, ...] = ()
    attempt_for_s: float | None = None
    never_attempted: bool = False
    batch_bytes: int = 0


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt ended.

    Attributes:
        attempt: number of the attempt among those of the message, from 0.
        message_ended: the message needs no further attempt, as it has its final answer.
        no_slot_free: the attempt was not sent because all slots were in use; not used in any decision.
        capacity_left: unused fraction of the reported limit.
        connection_table_full: the endpoint is up, but refused the connection as it accepts no further ones.
    """

    message: int
    attempt: int
    endpoint: int
    outcome: Outcome
    latency_s: float
    message_ended: bool = False
    retry_after_s: float = 0.0
    no_slot_free: bool = False
    capacity_left: float | None = None
    reported_limit_per_s: float | None = None
    connection_table_full: bool = False


@dataclass(frozen=True, slots=True)
class AnswerStarted:
    """The answer to an attempt began, which ends its timeout; not used in any decision."""

    message: int
    attempt: int
    endpoint: int


@dataclass(frozen=True, slots=True)
class MessageWithdrawn:
    """The client withdrew the message and expects no answer."""

    message: int


@dataclass(frozen=True, slots=True)
class HealthCheckFinished:
    """A health check ended; `capacity_left` is the unused fraction of the reported limit."""

    endpoint: int
    outcome: Outcome
    latency_s: float
    capacity_left: float | None = None
    reported_limit_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by the scheduler fired."""

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
