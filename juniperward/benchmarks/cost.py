"""What a message costs the scheduler, by how much there is that it should not have to look at.

One scheduler, driven without sockets by a simulated clock: ten busy destinations, a message each millisecond,
answered after 50 ms. Beside that there are destinations that are idle or rejecting, further endpoints, or pending
messages. The slope is that of cost over size in a log-log plot: 0 where cost follows what is busy, 1 where it follows
everything.
"""

from __future__ import annotations

import heapq
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import numpy as np

from juniperward.benchmarks.report import Report
from juniperward.scheduler import DeliveryScheduler
from juniperward.scheduler.actions import SetTimer, StartAttempt
from juniperward.scheduler.events import (
    AttemptFinished,
    EndpointEntry,
    EndpointListUpdated,
    EndpointPhase,
    Event,
    ListScope,
    MessageAdmitted,
    Outcome,
    TimerFired,
)
from juniperward.scheduler.settings import DestinationKind, Idempotency, MessageClass, SchedulerSettings

BUSY_DESTINATIONS = 10
ANSWER_S = 0.05
REJECTION_S = 0.01
LONG_RETRY_AFTER_S = 1e6
MESSAGE_INTERVAL_S = 0.001
MESSAGES = 2000
PENDING_A_ROUND = 500
WARM_UP_MESSAGES = 300  # before the count begins


class SchedulerRig:
    """A scheduler and its simulated surroundings."""

    def __init__(self, destinations: int, endpoints: int) -> None:
        """Begin with so many destinations, and so many endpoints of each."""
        classes = (
            MessageClass(3.0, 20.0, Idempotency.IDEMPOTENCY_KEY, 1.0, 0.3, deduplication_window_s=12.0),
        )
        self.scheduler = DeliveryScheduler(
            SchedulerSettings(classes, slots=200, max_open=10**7, kinds=(DestinationKind(),)), 1
        )
        self.random = random.Random(1)
        self.now = 0.0
        self.serial = 0  # of messages and scheduled events
        self.cpu_s = 0.0  # spent in the scheduler
        self.delivered = 0
        self.attempts: dict[int, int] = {}  # by message: the number of its latest
        self.scheduled: list[tuple[float, int, Event]] = []  # a heap
        self.rejecting: set[int] = set()  # destinations that reject all, with a long Retry-After
        self.unresponsive: set[int] = set()  # destinations that answer nothing
        entries = tuple(
            EndpointEntry(n, n // endpoints, EndpointPhase.READY, 0, 0, 0.0)
            for n in range(destinations * endpoints)
        )
        self.endpoints_per_destination = endpoints
        self.handle([EndpointListUpdated(ListScope.FULL, entries)])

    def handle(self, events: list[Event]) -> None:
        """Give the scheduler a round of events, and carry out what it decides."""
        began = time.process_time()
        actions = self.scheduler.handle(self.now, events)
        self.cpu_s += time.process_time() - began
        for action in actions:
            match action:
                case StartAttempt(message=message, endpoint=endpoint):
                    self._attempt(message, endpoint)
                case SetTimer(delay_s=delay_s, token=token):
                    self._schedule(delay_s, TimerFired(token))

    def _attempt(self, message: int, endpoint: int) -> None:
        """Schedule the end of an attempt, as its destination answers."""
        number = self.attempts[message] = self.attempts.get(message, -1) + 1
        destination = endpoint // self.endpoints_per_destination
        if destination in self.rejecting:
            self._schedule(
                REJECTION_S,
                AttemptFinished(
                    message, number, endpoint, Outcome.OVERLOADED, REJECTION_S, False, LONG_RETRY_AFTER_S
                ),
            )
        elif destination not in self.unresponsive:
            self._schedule(ANSWER_S, AttemptFinished(message, number, endpoint, Outcome.OK, ANSWER_S, True))

    def _schedule(self, delay_s: float, event: Event) -> None:
        """Have an event come later."""
        self.serial += 1
        heapq.heappush(self.scheduled, (self.now + delay_s, self.serial, event))

    def message(self, destination: int, lifetime_s: float = 20.0) -> Event:
        """Return the event of a new message for a destination."""
        self.serial += 1
        return MessageAdmitted(self.serial, 0, destination, lifetime_s, 0, f"k{self.serial}")

    def run(self, messages: int) -> float:
        """Deliver so many messages to the busy destinations; return CPU microseconds each."""
        self.cpu_s = 0.0
        self.delivered = 0
        while self.delivered < messages:
            self.now += MESSAGE_INTERVAL_S
            events: list[Event] = [self.message(self.random.randrange(BUSY_DESTINATIONS))]
            while self.scheduled and self.scheduled[0][0] <= self.now:
                event = heapq.heappop(self.scheduled)[2]
                self.delivered += isinstance(event, AttemptFinished) and event.message_ended
                events.append(event)
            self.handle(events)
        return 1e6 * self.cpu_s / messages


def _with_idle_destinations(size: int) -> SchedulerRig:
    return SchedulerRig(BUSY_DESTINATIONS + size, 2)


def _with_rejecting_destinations(size: int) -> SchedulerRig:
    rig = SchedulerRig(BUSY_DESTINATIONS + size, 2)
    rig.rejecting = set(range(BUSY_DESTINATIONS, BUSY_DESTINATIONS + size))
    for destination in rig.rejecting:
        rig.handle([rig.message(destination, 1e9), rig.message(destination, 1e9)])
    return rig


def _with_endpoints(size: int) -> SchedulerRig:
    return SchedulerRig(BUSY_DESTINATIONS, size)


def _with_pending_messages(size: int) -> SchedulerRig:
    rig = SchedulerRig(BUSY_DESTINATIONS + 1, 2)
    rig.unresponsive = {BUSY_DESTINATIONS}
    for first in range(0, size, PENDING_A_ROUND):
        count = min(PENDING_A_ROUND, size - first)
        rig.handle([rig.message(BUSY_DESTINATIONS, 1e6) for _ in range(count)])
    return rig


@dataclass(frozen=True, slots=True)
class Case:
    """What there is more and more of, how a rig with so much of it is built, and the sizes that are measured."""

    name: str
    build: Callable[[int], SchedulerRig]
    sizes: tuple[int, ...]

    def measure(self, messages: int) -> list[float]:
        """Return CPU microseconds a message, by size."""
        figures = []
        for size in self.sizes:
            rig = self.build(size)
            rig.run(WARM_UP_MESSAGES)
            figures.append(rig.run(messages))
        return figures


CASES = (
    Case("idle destinations", _with_idle_destinations, (10, 100, 1000, 10000)),
    Case(
        "rejecting destinations, two messages pending for each", _with_rejecting_destinations, (10, 100, 1000)
    ),
    Case("endpoints of each destination", _with_endpoints, (2, 20, 200, 2000)),
    Case("messages pending for an unresponsive destination", _with_pending_messages, (10, 100, 1000, 10000)),
)


def cost(seed: int, out: Path, rounds: int = MESSAGES) -> bool:
    """Cost for a message by size of each kind, with the slope of the log-log plot."""
    report = Report("What a message costs the scheduler", f"juniperward measure cost --rounds {rounds}", seed)
    rows = []
    for case in CASES:
        figures = case.measure(rounds)
        slope = float(np.polyfit(np.log(case.sizes), np.log(figures), 1)[0])
        by_size = zip(case.sizes, figures, strict=True)
        figures_text = ", ".join(f"{size:,}: {figure:.0f}" for size, figure in by_size)
        rows.append([case.name, figures_text, f"{slope:.2f}"])
    report.table(["what there is more and more of", "CPU microseconds a message, by size", "slope"], rows)
    report.write(out / "cost.md")
    return True
