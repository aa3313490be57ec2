"""What a message costs the decision module, by how much there is that it should not have to look at.

One module, driven without sockets by a clock of its own: ten busy destinations, a message each millisecond, answered
after 50 ms. Beside that there are destinations that are idle or closed, further workers, or held messages. The slope
is that of cost over size in a log-log plot: 0 where cost follows what is busy, 1 where it follows everything.
"""

from __future__ import annotations

import heapq
import random
import time
from collections.abc import Callable
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

BUSY = 10
ANSWER = 0.05
MESSAGES = 2000
WARM = 300  # messages before the count begins


class Drive:
    """A module and its simulated surroundings; `spent` is CPU seconds within it, `answered` messages delivered."""

    def __init__(self, destinations: int, workers: int) -> None:
        """Begin with so many destinations, and so many endpoints of each."""
        classes = (
            MessageClass(3.0, 20.0, Idempotency.IDEMPOTENCY_KEY, 1.0, 0.3, deduplication_window_s=12.0),
        )
        self.module = DeliveryScheduler(
            SchedulerSettings(classes, slots=200, max_open=10**7, kinds=(DestinationKind(),)), 1
        )
        self.dice = random.Random(1)
        self.now, self.number, self.spent, self.answered = 0.0, 0, 0.0, 0
        self.tries: dict[int, int] = {}
        self.coming: list[tuple[float, int, Event]] = []
        self.closed: set[int] = set()  # these refuse all, and tell to wait for long
        self.mute: set[int] = set()  # these answer nothing
        entries = tuple(
            EndpointEntry(n, n // workers, EndpointPhase.READY, 0, 0, 0.0)
            for n in range(destinations * workers)
        )
        self.workers = workers
        self.tell([EndpointListUpdated(ListScope.FULL, entries)])

    def tell(self, events: list[Event]) -> None:
        """One round."""
        began = time.process_time()
        actions = self.module.handle(self.now, events)
        self.spent += time.process_time() - began
        for a in actions:
            match a:
                case StartAttempt(message=message, endpoint=endpoint):
                    n = self.tries[message] = self.tries.get(message, -1) + 1
                    where = endpoint // self.workers
                    if where in self.closed:
                        refusal = AttemptFinished(message, n, endpoint, Outcome.OVERLOADED, 0.01, False, 1e6)
                        self.at(0.01, refusal)
                    elif where not in self.mute:
                        self.at(ANSWER, AttemptFinished(message, n, endpoint, Outcome.OK, ANSWER, True))
                case SetTimer(delay_s=delay, token=token):
                    self.at(delay, TimerFired(token))

    def at(self, delay: float, event: Event) -> None:
        """Have an event come later."""
        self.number += 1
        heapq.heappush(self.coming, (self.now + delay, self.number, event))

    def arrive(self, destination: int, lifetime_s: float = 20.0) -> Event:
        """A message for a destination."""
        self.number += 1
        return MessageAdmitted(self.number, 0, destination, lifetime_s, 0, f"k{self.number}")

    def run(self, messages: int) -> float:
        """Deliver so many to the busy ones; CPU microseconds each."""
        self.spent = self.answered = 0
        while self.answered < messages:
            self.now += 0.001
            events: list[Event] = [self.arrive(self.dice.randrange(BUSY))]
            while self.coming and self.coming[0][0] <= self.now:
                event = heapq.heappop(self.coming)[2]
                self.answered += isinstance(event, AttemptFinished) and event.message_ended
                events.append(event)
            self.tell(events)
        return 1e6 * self.spent / messages


def _idle(size: int) -> Drive:
    return Drive(BUSY + size, 2)


def _closed(size: int) -> Drive:
    made = Drive(BUSY + size, 2)
    made.closed = set(range(BUSY, BUSY + size))
    for d in made.closed:
        made.tell([made.arrive(d, 1e9), made.arrive(d, 1e9)])
    return made


def _workers(size: int) -> Drive:
    return Drive(BUSY, size)


def _pending(size: int) -> Drive:
    made = Drive(BUSY + 1, 2)
    made.mute = {BUSY}
    for first in range(0, size, 500):
        made.tell([made.arrive(BUSY, 1e6) for _ in range(min(500, size - first))])
    return made


CASES: tuple[tuple[str, Callable[[int], Drive], tuple[int, ...]], ...] = (
    ("idle destinations", _idle, (10, 100, 1000, 10000)),
    ("closed destinations, two messages held for each", _closed, (10, 100, 1000)),
    ("workers of each destination", _workers, (2, 20, 200, 2000)),
    ("messages pending for a silent destination", _pending, (10, 100, 1000, 10000)),
)  # fmt: skip


def cost(seed: int, out: Path, rounds: int = MESSAGES) -> bool:
    """Cost for a message by size of each kind, with the slope of the log-log plot."""
    report = Report(
        "What a message costs the decision module", f"juniperward measure cost --rounds {rounds}", seed
    )
    rows = []
    for name, build, sizes in CASES:
        figures = []
        for size in sizes:
            drive = build(size)
            drive.run(WARM)
            figures.append(drive.run(rounds))
        slope = float(np.polyfit(np.log(sizes), np.log(figures), 1)[0])
        figures_text = ", ".join(f"{s:,}: {f:.0f}" for s, f in zip(sizes, figures, strict=True))
        rows.append([name, figures_text, f"{slope:.2f}"])
    report.table(["what there is more and more of", "CPU microseconds a message, by size", "slope"], rows)
    report.write(out / "cost.md")
    return True
