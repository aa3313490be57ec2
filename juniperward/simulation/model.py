"""Data model of the simulation: messages, attempts, endpoints, destinations, forwarders and results."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from juniperward.scheduler.events import Event
from juniperward.simulation.recovery_budget import (
    OVERLOAD_MULTIPLE,
    OVERLOAD_SPAN_S,
    SLOW_START_FRACTION,
    WARM_UP_S,
    RecoveryBudget,
)
from juniperward.simulation.scenario import DestinationGroup, FaultKind

MEAN_ONE_WAY_S = 0.002  # mean network delay in one direction
MAX_LATENCY_US = 3_600_000_000

# Called with scheduler settings and a seed, and with an observation if it has an `observation_type`; returns
# an object with the method handle(now, events) -> actions.
Policy = Callable[..., Any]


class MessageOutcome(StrEnum):
    """The outcome of a message for its client; the values are keys of `lost` in stored results."""

    UNFINISHED = "no end"
    DELIVERED = "delivered"
    FAILED = "failed"
    REJECTED = "refused"  # No forwarder was up, or the deadline had passed.
    REJECTED_AT_LIMIT = "refused door"  # The forwarder had reached its limit of pending messages.
    REJECTED_BY_POLICY = "refused held"

    @property
    def rejected(self) -> bool:
        """Whether the client got a rejection."""
        return self in (
            MessageOutcome.REJECTED,
            MessageOutcome.REJECTED_AT_LIMIT,
            MessageOutcome.REJECTED_BY_POLICY,
        )


@dataclass(slots=True)
class Message:
    """A client's message; it keeps its number when it is submitted again."""

    number: int
    destination: int
    arrived_s: float
    submissions: int = 1
    delivered_s: float | None = None  # When the client learned of the first delivery.
    outcome: MessageOutcome = MessageOutcome.UNFINISHED


class Member(NamedTuple):
    """A message in an attempt: the forwarder's message number, and the number of this attempt for it."""

    message: int
    attempt: int


@dataclass(slots=True)
class Attempt:
    """A call to an endpoint that carries one or several messages."""

    forwarder: int
    incarnation: int
    endpoint: int
    members: list[Member]
    sent_s: float
    finished: bool = False


@dataclass(slots=True)
class SimulatedEndpoint:
    """One endpoint of a destination."""

    number: int
    destination: int
    in_service: int = 0
    queue: deque[Attempt] = field(default_factory=deque)
    unanswered: list[Attempt] = field(default_factory=list)  # attempts accepted while it is unresponsive

    @property
    def outstanding(self) -> int:
        """The number of attempts that it has accepted and not answered."""
        return self.in_service + len(self.queue) + len(self.unanswered)


@dataclass(slots=True)
class SimulatedDestination:
    """The state of a destination.

    Attributes:
        kind: the index of its group in the scenario.
        fault: the injected fault that is active now.
        recovered_s: the end of its last outage; None before the first.
        crashed: whether it was overloaded in slow start; it never recovers.
        accepted_at: the times of the calls that count against its rate limit.
        reached_at: the times of all calls within the last OVERLOAD_SPAN_S.
        effects: the time of a message's effect by message number, oldest first.

    """

    number: int
    kind: int
    group: DestinationGroup
    traffic_weight: float
    endpoints: list[SimulatedEndpoint] = field(default_factory=list)
    fault: FaultKind = FaultKind.NONE
    fault_magnitude: float = 1.0
    fault_ends_s: float = 0.0
    recovered_s: float | None = None
    crashed: bool = False
    accepted_at: deque[float] = field(default_factory=deque)
    reached_at: deque[float] = field(default_factory=deque)
    effects: dict[int, float] = field(default_factory=dict)

    def apply_effect(self, message: int, now: float, window_s: float, memory_s: float) -> bool:
        """Apply the effect of a call, unless it repeats an earlier call within `window_s`.

        Return whether the effect is a duplicate. Effects older than `memory_s`, which is longer than any
        message can be pending, are forgotten.
        """
        before = self.effects.pop(message, None)
        within_window = before is not None and now - before < window_s
        self.effects[message] = before if before is not None and within_window else now
        while self.effects and now - next(iter(self.effects.values())) > memory_s:
            del self.effects[next(iter(self.effects))]
        return before is not None and not within_window

    @property
    def budget(self) -> RecoveryBudget:
        """The load that it withstands in slow start."""
        return RecoveryBudget(
            self.group.capacity_per_s, SLOW_START_FRACTION, WARM_UP_S, OVERLOAD_MULTIPLE, OVERLOAD_SPAN_S
        )

    def since_recovery_s(self, now: float) -> float | None:
        """Return the seconds since its recovery while it is in slow start, else None."""
        if self.recovered_s is None or now - self.recovered_s >= WARM_UP_S:
            return None
        return now - self.recovered_s

    def current_capacity_per_s(self, now: float) -> float:
        """Return its capacity at `now`, in calls per second."""
        if self.crashed:
            return 0.0
        if self.recovered_s is None:
            return self.group.capacity_per_s
        return self.budget.current_capacity_per_s(now - self.recovered_s)


@dataclass(slots=True)
class PendingMessage:
    """A message that a forwarder has accepted, and the number of attempts started for it."""

    message: Message
    attempts: int = 0


@dataclass(slots=True)
class SimulatedForwarder:
    """The state of a forwarder.

    Attributes:
        incarnation: the number of times that its process has ended.
        pending: accepted messages, by the forwarder's message number.
        retry_after_until: the end of the last Retry-After, by destination number.

    """

    number: int
    policy: Any = None
    incarnation: int = 0
    up: bool = True
    pending: dict[int, PendingMessage] = field(default_factory=dict)
    in_flight: dict[Member, Attempt] = field(default_factory=dict)
    retry_after_until: dict[int, float] = field(default_factory=dict)
    last_number: int = 0
    inbox: list[Event] = field(default_factory=list)
    round_scheduled: bool = False

    def end_process(self) -> list[Message]:
        """End the process and clear its state; return its journaled messages."""
        journaled = [pending.message for pending in self.pending.values()]
        self.up = False
        self.incarnation += 1
        self.round_scheduled = False
        self.inbox = []
        self.pending = {}
        self.in_flight = {}
        self.retry_after_until = {}
        return journaled


class SecondUtility(NamedTuple):
    """The number of messages that arrived in one second, and the total utility of their deliveries."""

    requested: float
    utility: float


def _latencies() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, 3)


@dataclass(slots=True)
class RunResult:
    """The result of a run.

    Attributes:
        utility: the mean over all messages, from 0 to 1.
        utility_lost: the mean utility lost per message, by reason.
        retry_after_violations: the rounds that sent to a destination within its Retry-After.
        by_second: sums by the second in which the messages arrived.
        events: the number of actions that the timeline ran.

    """

    requested: int = 0
    delivered: int = 0
    rejected: int = 0
    failed: int = 0
    unfinished: int = 0
    utility: float = 0.0
    utility_lost: dict[str, float] = field(default_factory=dict)
    latencies_us: Any = field(default_factory=_latencies)
    calls: int = 0
    calls_rejected: int = 0
    duplicate_effects: int = 0
    retry_after_violations: int = 0
    destinations_crashed: int = 0
    by_second: list[SecondUtility] = field(default_factory=list)
    events: int = 0
