"""Measures how the scheduler's CPU time per message grows with state that the message does not concern.

A scheduler is driven without sockets by a simulated clock: ten busy destinations get a message each millisecond and
answer it after 50 ms. Each case adds idle or rejecting destinations, endpoints, or pending messages. The report gives
the slope of CPU time over their number in a log-log plot: 0 if CPU time is constant, 1 if it is proportional.
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
PENDING_PER_ROUND = 500
WARM_UP_MESSAGES = 300


class SchedulerRig:
    """A scheduler with a simulated clock, simulated destinations and timers.

    Attributes:
        scheduler: The scheduler under test.
        random: Chooses the destination of each message.
        now: The simulated time in seconds.
        serial: The latest number given to a message or a scheduled event.
        cpu_s: The CPU time spent in the scheduler since the latest `run` began.
        delivered: The messages delivered since the latest `run` began.
        attempts: The number of the latest attempt, by message.
        scheduled: A heap of events that are due later: time, serial number, event.
        rejecting: Destinations that reject every attempt with a long Retry-After.
        unresponsive: Destinations that never answer.
    """

    def __init__(self, destinations: int, endpoints: int) -> None:
        """Create a scheduler and give it a list of `destinations` with `endpoints` each."""
        classes = (
            MessageClass(3.0, 20.0, Idempotency.IDEMPOTENCY_KEY, 1.0, 0.3, deduplication_window_s=12.0),
        )
        self.scheduler = DeliveryScheduler(
            SchedulerSettings(classes, slots=200, max_open=10**7, kinds=(DestinationKind(),)), 1
        )
        self.random = random.Random(1)
        self.now = 0.0
        self.serial = 0
        self.cpu_s = 0.0
        self.delivered = 0
        self.attempts: dict[int, int] = {}
        self.scheduled: list[tuple[float, int, Event]] = []
        self.rejecting: set[int] = set()
        self.unresponsive: set[int] = set()
        entries = tuple(
            EndpointEntry(n, n // endpoints, EndpointPhase.READY, 0, 0, 0.0)
            for n in range(destinations * endpoints)
        )
        self.endpoints_per_destination = endpoints
        self.handle([EndpointListUpdated(ListScope.FULL, entries)])

    def handle(self, events: list[Event]) -> None:
        """Pass events to the scheduler and simulate the actions that it returns."""
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
        """Schedule the answer to an attempt; an unresponsive destination gives none."""
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
        self.serial += 1
        heapq.heappush(self.scheduled, (self.now + delay_s, self.serial, event))

    def message(self, destination: int, lifetime_s: float = 20.0) -> Event:
        """Return the event that admits a new message for a destination."""
        self.serial += 1
        return MessageAdmitted(self.serial, 0, destination, lifetime_s, 0, f"k{self.serial}")

    def run(self, messages: int) -> float:
        """Send to the busy destinations until `messages` are delivered; return the CPU microseconds per message."""
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
    for first in range(0, size, PENDING_PER_ROUND):
        count = min(PENDING_PER_ROUND, size - first)
        rig.handle([rig.message(BUSY_DESTINATIONS, 1e6) for _ in range(count)])
    return rig


@dataclass(frozen=True, slots=True)
class Case:
    """One kind of state: its name in the report, a function that builds a rig with `size` of it, and the sizes."""

    name: str
    build: Callable[[int], SchedulerRig]
    sizes: tuple[int, ...]

    def measure(self, messages: int) -> list[float]:
        """Return the CPU microseconds per message for each of `sizes`."""
        costs_us = []
        for size in self.sizes:
            rig = self.build(size)
            rig.run(WARM_UP_MESSAGES)
            costs_us.append(rig.run(messages))
        return costs_us


CASES = (
    Case("idle destinations", _with_idle_destinations, (10, 100, 1000, 10000)),
    Case(
        "rejecting destinations, two messages pending for each", _with_rejecting_destinations, (10, 100, 1000)
    ),
    Case("endpoints of each destination", _with_endpoints, (2, 20, 200, 2000)),
    Case("messages pending for an unresponsive destination", _with_pending_messages, (10, 100, 1000, 10000)),
)


def cost(seed: int, out: Path, rounds: int = MESSAGES) -> bool:
    """Measure all CASES over `rounds` messages each, and write cost.md to `out`; always returns True."""
    report = Report("What a message costs the scheduler", f"juniperward measure cost --rounds {rounds}", seed)
    rows = []
    for case in CASES:
        costs_us = case.measure(rounds)
        slope = float(np.polyfit(np.log(case.sizes), np.log(costs_us), 1)[0])
        by_size = zip(case.sizes, costs_us, strict=True)
        costs_text = ", ".join(f"{size:,}: {cost_us:.0f}" for size, cost_us in by_size)
        rows.append([case.name, costs_text, f"{slope:.2f}"])
    report.add_table(["what there is more and more of", "CPU microseconds a message, by size", "slope"], rows)
    report.write(out / "cost.md")
    return True
