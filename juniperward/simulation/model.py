"""The values of the simulated world: messages, attempts, endpoints, destinations, forwarders, and a run's result."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from juniperward.scheduler.events import Event
from juniperward.simulation.recovery_budget import (
    OVERLOAD_MULTIPLE,
    OVERLOAD_SPAN_S,
    SLOW_START_FRACTION,
    WARM_UP_S,
    RecoveryBudget,
)

ONE_WAY_S = 0.002  # of the network, in the mean
LONGEST_LATENCY_US = 3_600_000_000

# Of settings and a seed, and of the world for one that `sees` it; makes what has handle(now, events) -> actions.
Policy = Callable[..., Any]


@dataclass(slots=True)
class Message:
    """A client's message, with all its tries; `first` is when it was due."""

    number: int
    partner: int
    first: float
    tries: int = 1
    done_at: float | None = None  # its first effect that its sender heard of
    ended: str = ""  # refused, failed or delivered


@dataclass(slots=True)
class Attempt:
    """A call of one or several messages to an endpoint."""

    forwarder: int
    life: int
    worker: int
    members: list[tuple[int, int]]  # message, attempt number
    sent: float
    over: bool = False


@dataclass(slots=True)
class SimulatedEndpoint:
    """One endpoint of a partner."""

    number: int
    partner: int
    busy: int = 0
    queue: deque[Attempt] = field(default_factory=deque)
    hung: list[Attempt] = field(
        default_factory=list
    )  # that a silent endpoint has accepted, and never answers

    @property
    def accepted(self) -> int:
        """Attempts that it has and has not answered."""
        return self.busy + len(self.queue) + len(self.hung)


@dataclass(slots=True)
class Partner:
    """A partner's state; `mode` is a trouble's kind or empty."""

    number: int
    kind: int
    spec: Any
    weight: float
    workers: list[SimulatedEndpoint] = field(default_factory=list)
    mode: str = ""
    size: float = 1.0
    until: float = 0.0
    back_at: float | None = None
    fallen: bool = False
    span: deque[float] = field(default_factory=deque)
    pushes: deque[float] = field(default_factory=deque)
    calls: int = 0
    refused: int = 0
    effects: dict[int, float] = field(default_factory=dict)  # by message, the latest last

    def take(self, message: int, now: float, window: float, memory: float) -> bool:
        """Have a call take effect unless it repeats one within the window; return whether it is a second effect.

        What is older than `memory` seconds is forgotten: no message lives for so long.
        """
        before = self.effects.pop(message, None)
        repeat = before is not None and now - before < window
        self.effects[message] = before if repeat and before is not None else now
        while self.effects and now - next(iter(self.effects.values())) > memory:
            del self.effects[next(iter(self.effects))]
        return before is not None and not repeat

    @property
    def batch(self) -> int:
        """Messages that one call carries at most."""
        return max(int(self.spec.batch), 1)

    def capacity(self) -> float:
        """Return the calls a second that it serves when warm."""
        spec = self.spec
        return float(spec.rate or spec.workers * spec.at_once / spec.latency)

    @property
    def budget(self) -> RecoveryBudget:
        """What it bears while it is cold."""
        return RecoveryBudget(
            self.capacity(), SLOW_START_FRACTION, WARM_UP_S, OVERLOAD_MULTIPLE, OVERLOAD_SPAN_S
        )

    def present(self, now: float) -> float:
        """Return the calls a second that it serves now."""
        if self.fallen:
            return 0.0
        if self.back_at is None:
            return self.capacity()
        return self.budget.present_capacity(now - self.back_at)


@dataclass(slots=True)
class Forwarder:
    """A policy and what is held for it; `life` counts its starts."""

    number: int
    scheduler: Any
    life: int = 0
    up: bool = True
    held: dict[int, tuple[Message, float]] = field(
        default_factory=dict
    )  # by its own number: message, expires
    attempts: dict[int, int] = field(default_factory=dict)
    out: dict[tuple[int, int], Attempt] = field(default_factory=dict)
    waits: dict[int, float] = field(default_factory=dict)  # told, by partner
    last: int = 0
    inbox: list[Event] = field(default_factory=list)
    due: bool = False  # it will look at its inbox at this moment

    def die(self) -> list[Message]:
        """End its process; return what its journal has, which comes back with its next life."""
        held = [message for message, _ in self.held.values()]
        self.up, self.life, self.due, self.inbox = False, self.life + 1, False, []
        self.held, self.attempts, self.out, self.waits = {}, {}, {}, {}
        return held


def _latencies() -> HdrHistogram:
    return HdrHistogram(1, LONGEST_LATENCY_US, 3)


@dataclass(slots=True)
class RunResult:
    """What a run came to; worth is what was delivered of what was asked for, from 0 to 1."""

    asked: int = 0
    delivered: int = 0
    refused: int = 0
    failed: int = 0
    unended: int = 0
    worth: float = 0.0
    lost: dict[str, float] = field(default_factory=dict)  # worth lost, by why
    latencies: Any = field(default_factory=_latencies)  # microseconds
    calls: int = 0
    calls_refused: int = 0
    second_effects: int = 0
    waits_broken: int = 0
    fallen: int = 0
    by_second: list[tuple[float, float]] = field(
        default_factory=list
    )  # asked and delivered worth, by second due
    events: int = 0
