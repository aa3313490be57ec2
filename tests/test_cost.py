"""Tests, by counted work, that a scheduler round does not examine closed destinations or all endpoints."""

from __future__ import annotations

import math
import tracemalloc
import unittest
from collections.abc import Iterable
from typing import Any

from juniperward.scheduler import DeliveryScheduler
from juniperward.scheduler.actions import Action, StartAttempt
from juniperward.scheduler.backlog import Backlog
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
from juniperward.scheduler.records import Destination, Endpoint, Message
from juniperward.scheduler.routing import Choice, Routing
from juniperward.scheduler.settings import DestinationKind, Idempotency, MessageClass, SchedulerSettings
from juniperward.simulation.scenario_loader import parse
from juniperward.simulation.world import World

SCENARIO_TEMPLATE = """
shows: "destinations close and open"
seconds: 14 forwarders: {forwarders} slots: 12 max_open: 60
partners {{ count: 2 share: 0.6 workers: 2 latency: 0.06 rate: 14 batch: 5 }}
partners {{ count: 3 share: 0.4 workers: {endpoints} latency: 0.05 }}
traffic {{ rate: 60 clumps: 0.3 clump: 9 again: 0.7 swing: 0.4 period: 7 deadline: 8 }}
trouble {{ kind: {kind} at: 3 seconds: 4 partner: 1 partner: 3 size: 0.9 }}
"""


class CountingRouting(Routing):
    """Counts the destinations and endpoints that are examined."""

    choose_calls = available_at_calls = 0

    def choose(self, destination: Destination, head: Message) -> Choice | None:
        self.choose_calls += 1
        return super().choose(destination, head)

    def available_at(self, endpoint: Endpoint) -> float:
        self.available_at_calls += 1
        return super().available_at(endpoint)


class CountingScheduler(DeliveryScheduler):
    """A scheduler with a `CountingRouting`."""

    def __init__(self, settings: SchedulerSettings, seed: int) -> None:
        super().__init__(settings, seed)
        self.routing.__class__ = CountingRouting


class CheckingScheduler(DeliveryScheduler):
    """Asserts after each round that a destination with waiting messages is on the ring or will be woken."""

    def handle(self, now: float, events: Iterable[Event]) -> list[Action]:
        actions = super().handle(now, events)
        backlog, timers = self.state.backlog, self.state.round.timers
        for d in self.state.table.destinations.values():
            if not d.queue or d.on_ring:
                continue
            opens = [
                self.routing.available_at(ep) for ep in d.endpoint_order if ep.phase is EndpointPhase.READY
            ]
            at = min(opens, default=math.inf)
            assert at > now, f"destination {d.id} is available but not on the ring"
            scheduled = timers.pending(backlog.make_ready)
            woken = any(timer.arguments == (d,) and timer.at <= at + 1e-6 for timer in scheduled)
            assert at == math.inf or woken, f"destination {d.id} is available at {at}, but no timer wakes it"
            assert at < math.inf or d.slots_in_use or not opens, f"destination {d.id} waits for no event"
        return actions


class MissingTimerBacklog(Backlog):
    """Injected defect: no timer is scheduled for the time at which a destination opens."""

    def make_ready_at(self, destination: Destination, at: float) -> None:
        pass


class MissingTimerScheduler(CheckingScheduler):
    """A scheduler with a `MissingTimerBacklog`."""

    def __init__(self, settings: SchedulerSettings, seed: int) -> None:
        super().__init__(settings, seed)
        self.state.backlog.__class__ = MissingTimerBacklog


class MissingWakeUpBacklog(Backlog):
    """Injected defect: a destination with a call in flight and one waiting message stays off the ring."""

    def make_ready(self, destination: Destination) -> None:
        if not destination.slots_in_use or len(destination.queue) > 1:
            super().make_ready(destination)


class MissingWakeUpScheduler(CheckingScheduler):
    """A scheduler with a `MissingWakeUpBacklog`."""

    def __init__(self, settings: SchedulerSettings, seed: int) -> None:
        super().__init__(settings, seed)
        self.state.backlog.__class__ = MissingWakeUpBacklog


def make_scheduler(kind: type[DeliveryScheduler], destinations: int, endpoints: int) -> Any:
    """Return a scheduler with the given number of destinations, and of endpoints for each."""
    classes = (MessageClass(3.0, 20.0, Idempotency.IDEMPOTENCY_KEY, 1.0, 0.3, deduplication_window_s=12.0),)
    scheduler = kind(SchedulerSettings(classes, slots=200, max_open=100_000, kinds=(DestinationKind(),)), 1)
    entries = [
        EndpointEntry(d * endpoints + e, d, EndpointPhase.READY, 0, 0, 0.0)
        for d in range(destinations)
        for e in range(endpoints)
    ]
    scheduler.handle(0.0, [EndpointListUpdated(ListScope.FULL, tuple(entries))])
    return scheduler


class CostTest(unittest.TestCase):
    def test_closed_destinations_are_not_examined_in_a_round(self) -> None:
        scheduler = make_scheduler(CountingScheduler, 301, 1)
        for d in range(1, 301):
            scheduler.handle(
                0.1,
                [
                    MessageAdmitted(d, 0, d, 1000.0, 0, f"k{d}"),
                    MessageAdmitted(1000 + d, 0, d, 1000.0, 0, f"l{d}"),
                ],
            )
            for message in [d, 1000 + d]:
                for attempt in list(scheduler.state.backlog.messages[message].in_flight):
                    scheduler.handle(
                        0.1, [AttemptFinished(message, attempt, d, Outcome.OVERLOADED, 0.01, False, 500.0)]
                    )
        scheduler.handle(5.0, [TimerFired(scheduler.timer_token)])
        scheduler.routing.choose_calls = 0
        for n in range(50):
            scheduler.handle(10.0 + n, [MessageAdmitted(5000 + n, 0, 0, 20.0, 0, f"m{n}")])
            scheduler.handle(10.1 + n, [AttemptFinished(5000 + n, 0, 0, Outcome.OK, 0.1, True)])
        # Examining each closed destination in each round would take about 30,000 calls.
        self.assertLessEqual(scheduler.routing.choose_calls, 50 * 8)

    def test_a_release_examines_a_bounded_number_of_endpoints(self) -> None:
        examined_per_release = {}
        for endpoints in (20, 2000):
            scheduler = make_scheduler(CountingScheduler, 1, endpoints)
            for n in range(200):
                scheduler.handle(1.0 + n / 100, [MessageAdmitted(n, 0, 0, 20.0, 0, f"m{n}")])
                if n >= 10:
                    ((number, endpoint),) = [
                        (k, m.last_endpoint)
                        for k, m in scheduler.state.backlog.messages.items()
                        if k == n - 10
                    ]
                    scheduler.handle(
                        1.0 + n / 100, [AttemptFinished(number, 0, endpoint, Outcome.OK, 0.1, True)]
                    )
            examined_per_release[endpoints] = scheduler.routing.available_at_calls / 200
            # Concurrent calls go to different endpoints.
            used = {m.last_endpoint for m in scheduler.state.backlog.messages.values()}
            self.assertEqual(len(used), len(scheduler.state.backlog.messages))
        self.assertLessEqual(examined_per_release[2000], 2 * examined_per_release[20])

    def test_state_of_an_idle_destination_is_small(self) -> None:
        """10,000 destinations with two endpoints each must fit into the 32 MB of a forwarder."""
        entries = tuple(EndpointEntry(n, n // 2, EndpointPhase.READY, 0, 0, 0.0) for n in range(2000))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        classes = (MessageClass(3.0, 20.0, Idempotency.IDEMPOTENCY_KEY, 1.0, 0.3),)
        scheduler = DeliveryScheduler(
            SchedulerSettings(classes, slots=200, max_open=400, kinds=(DestinationKind(),)), 1
        )
        scheduler.handle(0.0, [EndpointListUpdated(ListScope.FULL, entries)])
        bytes_per_destination = tracemalloc.get_traced_memory()[0] / 1000
        self.assertLess(bytes_per_destination, 2000)

    def test_one_open_endpoint_among_many_closed_ones_is_found(self) -> None:
        scheduler = make_scheduler(DeliveryScheduler, 1, 500)
        for endpoint in scheduler.state.table.endpoints.values():
            if endpoint.id != 321:
                endpoint.unhealthy, endpoint.next_trial_at = True, 1e9
        actions = scheduler.handle(1.0, [MessageAdmitted(1, 0, 0, 20.0, 0, "k")])
        self.assertEqual([a.endpoint for a in actions if isinstance(a, StartAttempt)], [321])


class WakeUpTest(unittest.TestCase):
    def scenarios(self) -> Iterable[tuple[str, str]]:
        """Yield the kind of fault and the text of each scenario, for small and for larger fleets."""
        for kind in ("DOWN", "SHUT", "FAILING", "SILENT", "SLOW", "HOT", "KILL"):
            endpoints = 40 if kind == "SHUT" else 2
            for forwarders in (2, 8):
                yield kind, SCENARIO_TEMPLATE.format(kind=kind, forwarders=forwarders, endpoints=endpoints)

    def test_pending_messages_are_on_the_ring_or_have_a_timer(self) -> None:
        for kind, text in self.scenarios():
            with self.subTest(kind):
                World(parse(text, "s"), CheckingScheduler, 1).run()

    def test_the_checks_detect_injected_defects(self) -> None:
        for scheduler_type in (MissingTimerScheduler, MissingWakeUpScheduler):
            detected = 0
            for _, text in self.scenarios():
                try:
                    World(parse(text, "s"), scheduler_type, 1).run()
                except AssertionError:
                    detected += 1
            self.assertGreaterEqual(detected, 2, scheduler_type)
