"""The values of the simulated world: messages, attempts, endpoints, destinations, forwarders, and a run's result."""

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

ONE_WAY_S = 0.002  # of the network, in the mean
LONGEST_LATENCY_US = 3_600_000_000

# Of settings and a seed, and of an observation for one that has an `observation_type`; makes what has
# handle(now, events) -> actions.
Policy = Callable[..., Any]


class MessageOutcome(StrEnum):
    """How a message ended for its client; the values are the reasons in stored results' `lost`."""

    UNFINISHED = "no end"
    DELIVERED = "delivered"
    FAILED = "failed"
    REJECTED = "refused"  # no forwarder was up, or its time was over
    REJECTED_AT_LIMIT = "refused door"  # its forwarder had as many messages as it may
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
    """A client's message, with all its submissions."""

    number: int
    destination: int
    arrived_s: float
    submissions: int = 1
    delivered_s: float | None = None  # when its client heard of its first effect
    outcome: MessageOutcome = MessageOutcome.UNFINISHED


class Member(NamedTuple):
    """A message within an attempt, by its forwarder's numbers."""

    message: int
    attempt: int


@dataclass(slots=True)
class Attempt:
    """A call of one or several messages to an endpoint."""

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
    unanswered: list[Attempt] = field(default_factory=list)  # accepted while unresponsive

    @property
    def outstanding(self) -> int:
        """Attempts that it has accepted and has not answered."""
        return self.in_service + len(self.queue) + len(self.unanswered)


@dataclass(slots=True)
class SimulatedDestination:
    """A destination's state; `group` is what it can do, `fault` the injected fault that lasts now."""

    number: int
    kind: int  # the index of its group
    group: DestinationGroup
    traffic_weight: float
    endpoints: list[SimulatedEndpoint] = field(default_factory=list)
    fault: FaultKind = FaultKind.NONE
    fault_magnitude: float = 1.0
    fault_ends_s: float = 0.0
    returned_s: float | None = None  # from its last outage
    crashed: bool = False  # overloaded in slow start; it does not return
    accepted_at: deque[float] = field(default_factory=deque)  # calls that count against its rate limit
    reached_at: deque[float] = field(default_factory=deque)  # all calls of the last overload span
    effects: dict[int, float] = field(default_factory=dict)  # time by message, the latest last

    def apply_effect(self, message: int, now: float, window_s: float, memory_s: float) -> bool:
        """Have a call take effect unless it repeats one within the window; return whether it is a duplicate effect.

        What is older than `memory_s` is forgotten: no message lives for so long.
        """
        before = self.effects.pop(message, None)
        within_window = before is not None and now - before < window_s
        self.effects[message] = before if before is not None and within_window else now
        while self.effects and now - next(iter(self.effects.values())) > memory_s:
            del self.effects[next(iter(self.effects))]
        return before is not None and not within_window

    @property
    def budget(self) -> RecoveryBudget:
        """What it bears in slow start."""
        return RecoveryBudget(
            self.group.capacity_per_s, SLOW_START_FRACTION, WARM_UP_S, OVERLOAD_MULTIPLE, OVERLOAD_SPAN_S
        )

    def since_return_s(self, now: float) -> float | None:
        """Return seconds since its return while it is in slow start, else None."""
        if self.returned_s is None or now - self.returned_s >= WARM_UP_S:
            return None
        return now - self.returned_s

    def present_capacity(self, now: float) -> float:
        """Return the calls a second that it serves now."""
        if self.crashed:
            return 0.0
        if self.returned_s is None:
            return self.group.capacity_per_s
        return self.budget.present_capacity(now - self.returned_s)


@dataclass(slots=True)
class PendingMessage:
    """A message that a forwarder has accepted, and how many attempts of it were started."""

    message: Message
    attempts: int = 0


@dataclass(slots=True)
class SimulatedForwarder:
    """A policy and what its process has; `incarnation` counts its ends."""

    number: int
    policy: Any = None
    incarnation: int = 0
    up: bool = True
    pending: dict[int, PendingMessage] = field(default_factory=dict)  # by its own numbers
    in_flight: dict[Member, Attempt] = field(default_factory=dict)
    retry_after_until: dict[int, float] = field(default_factory=dict)  # by destination
    last_number: int = 0
    inbox: list[Event] = field(default_factory=list)
    round_scheduled: bool = False

    def end_process(self) -> list[Message]:
        """End its process; return what its journal has, which is submitted again after its restart."""
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
    """Messages that came in one second, and the utility of their deliveries."""

    requested: float
    utility: float


def _latencies() -> HdrHistogram:
    return HdrHistogram(1, LONGEST_LATENCY_US, 3)


@dataclass(slots=True)
class RunResult:
    """What a run came to; `utility` is the mean over all messages, from 0 to 1."""

    requested: int = 0
    delivered: int = 0
    rejected: int = 0
    failed: int = 0
    unfinished: int = 0
    utility: float = 0.0
    utility_lost: dict[str, float] = field(default_factory=dict)  # by reason
    latencies_us: Any = field(default_factory=_latencies)
    calls: int = 0
    calls_rejected: int = 0
    duplicate_effects: int = 0
    retry_after_violations: int = 0  # rounds that sent to a destination within its Retry-After
    destinations_crashed: int = 0
    by_second: list[SecondUtility] = field(default_factory=list)  # by the second of the messages' arrival
    events: int = 0  # that the timeline ran
