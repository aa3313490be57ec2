"""What a round costs follows what is busy: closed destinations and further endpoints are not looked at.

Work is counted, not timed, so that the verdict is the same on every machine.
"""

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

DAY = """
shows: "a day on which destinations close and open"
seconds: 14 forwarders: {forwarders} slots: 12 max_open: 60
partners {{ count: 2 share: 0.6 workers: 2 latency: 0.06 rate: 14 batch: 5 }}
partners {{ count: 3 share: 0.4 workers: {workers} latency: 0.05 }}
traffic {{ rate: 60 clumps: 0.3 clump: 9 again: 0.7 swing: 0.4 period: 7 deadline: 8 }}
trouble {{ kind: {kind} at: 3 seconds: 4 partner: 1 partner: 3 size: 0.9 }}
"""


class CountingRouting(Routing):
    """Counts what a release looks at."""

    chosen = opened = 0

    def choose(self, destination: Destination, head: Message) -> Choice | None:
        self.chosen += 1
        return super().choose(destination, head)

    def opens_at(self, endpoint: Endpoint) -> float:
        self.opened += 1
        return super().opens_at(endpoint)


class Counting(DeliveryScheduler):
    """A scheduler whose routing counts."""

    def __init__(self, settings: SchedulerSettings, seed: int) -> None:
        super().__init__(settings, seed)
        self.routing.__class__ = CountingRouting


class Watching(DeliveryScheduler):
    """Fails as soon as a destination is off the ring though something waits there that nothing will wake."""

    def handle(self, now: float, events: Iterable[Event]) -> list[Action]:
        actions = super().handle(now, events)
        backlog, timers = self.state.backlog, self.state.round.timers
        for d in self.state.table.destinations.values():
            if not d.queue or d.on_ring:
                continue
            opens = [self.routing.opens_at(ep) for ep in d.endpoint_order if ep.phase is EndpointPhase.READY]
            at = min(opens, default=math.inf)
            assert at > now, f"{d.id} is open and off the ring"
            scheduled = timers.pending(backlog.make_ready)
            woken = any(timer.arguments == (d,) and timer.at <= at + 1e-6 for timer in scheduled)
            assert at == math.inf or woken, f"{d.id} opens at {at}, nothing wakes it"
            assert at < math.inf or d.slots_in_use or not opens, f"{d.id} waits for news that cannot come"
        return actions


class MissedEventsBacklog(Backlog):
    """A planted fault: nothing is scheduled for the moment at which a destination opens."""

    def make_ready_at(self, destination: Destination, at: float) -> None:
        pass


class MissedEvents(Watching):
    """A scheduler whose backlog is deaf."""

    def __init__(self, settings: SchedulerSettings, seed: int) -> None:
        super().__init__(settings, seed)
        self.state.backlog.__class__ = MissedEventsBacklog


class ForgetfulBacklog(Backlog):
    """A planted fault: the end of a call opens nothing."""

    def make_ready(self, destination: Destination) -> None:
        if not destination.slots_in_use or len(destination.queue) > 1:
            super().make_ready(destination)


class Forgetful(Watching):
    """A scheduler whose backlog is forgetful."""

    def __init__(self, settings: SchedulerSettings, seed: int) -> None:
        super().__init__(settings, seed)
        self.state.backlog.__class__ = ForgetfulBacklog


def sender(kind: type[DeliveryScheduler], destinations: int, workers: int) -> Any:
    classes = (MessageClass(3.0, 20.0, Idempotency.IDEMPOTENCY_KEY, 1.0, 0.3, deduplication_window_s=12.0),)
    made = kind(SchedulerSettings(classes, slots=200, max_open=100_000, kinds=(DestinationKind(),)), 1)
    entries = [
        EndpointEntry(d * workers + w, d, EndpointPhase.READY, 0, 0, 0.0)
        for d in range(destinations)
        for w in range(workers)
    ]
    made.handle(0.0, [EndpointListUpdated(ListScope.FULL, tuple(entries))])
    return made


class CostTest(unittest.TestCase):
    def test_destinations_that_are_closed_cost_a_round_nothing(self) -> None:
        made = sender(Counting, 301, 1)
        for d in range(1, 301):
            made.handle(
                0.1,
                [
                    MessageAdmitted(d, 0, d, 1000.0, 0, f"k{d}"),
                    MessageAdmitted(1000 + d, 0, d, 1000.0, 0, f"l{d}"),
                ],
            )
            for a in [d, 1000 + d]:
                for n in list(made.state.backlog.messages[a].in_flight):
                    made.handle(0.1, [AttemptFinished(a, n, d, Outcome.OVERLOADED, 0.01, False, 500.0)])
        made.handle(5.0, [TimerFired(made.timer_token)])
        made.routing.chosen = 0
        for n in range(50):
            made.handle(10.0 + n, [MessageAdmitted(5000 + n, 0, 0, 20.0, 0, f"m{n}")])
            made.handle(10.1 + n, [AttemptFinished(5000 + n, 0, 0, Outcome.OK, 0.1, True)])
        self.assertLessEqual(
            made.routing.chosen, 50 * 8
        )  # with a look at each in each round it is some 30,000

    def test_a_release_looks_at_a_bounded_number_of_endpoints(self) -> None:
        looked = {}
        for workers in (20, 2000):
            made = sender(Counting, 1, workers)
            for n in range(200):
                made.handle(1.0 + n / 100, [MessageAdmitted(n, 0, 0, 20.0, 0, f"m{n}")])
                if n >= 10:
                    ((number, endpoint),) = [
                        (k, m.last_endpoint) for k, m in made.state.backlog.messages.items() if k == n - 10
                    ]
                    made.handle(1.0 + n / 100, [AttemptFinished(number, 0, endpoint, Outcome.OK, 0.1, True)])
            looked[workers] = made.routing.opened / 200
            spread = {m.last_endpoint for m in made.state.backlog.messages.values()}
            self.assertEqual(
                len(spread), len(made.state.backlog.messages)
            )  # calls that are out together go to different ones
        self.assertLessEqual(looked[2000], 2 * looked[20])

    def test_state_of_an_idle_destination_is_small(self) -> None:
        """10,000 destinations with two workers each must fit into a forwarder's 32 MB beside the rest of it."""
        entries = tuple(EndpointEntry(n, n // 2, EndpointPhase.READY, 0, 0, 0.0) for n in range(2000))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        classes = (MessageClass(3.0, 20.0, Idempotency.IDEMPOTENCY_KEY, 1.0, 0.3),)
        made = DeliveryScheduler(
            SchedulerSettings(classes, slots=200, max_open=400, kinds=(DestinationKind(),)), 1
        )
        made.handle(0.0, [EndpointListUpdated(ListScope.FULL, entries)])
        self.assertLess(tracemalloc.get_traced_memory()[0] / 1000, 2000)  # bytes; it was 3,800

    def test_one_open_endpoint_among_many_closed_ones_is_found(self) -> None:
        made = sender(DeliveryScheduler, 1, 500)
        for ep in made.state.table.endpoints.values():
            if ep.id != 321:
                ep.unhealthy, ep.next_trial_at = True, 1e9
        sent = made.handle(1.0, [MessageAdmitted(1, 0, 0, 20.0, 0, "k")])
        self.assertEqual([a.endpoint for a in sent if isinstance(a, StartAttempt)], [321])


class ClosedTest(unittest.TestCase):
    def days(self) -> Iterable[tuple[str, str]]:
        for kind in ("DOWN", "SHUT", "FAILING", "SILENT", "SLOW", "HOT", "KILL"):
            for forwarders in (2, 8):  # few nodes take the design's figures whole, many their parts
                yield kind, DAY.format(kind=kind, forwarders=forwarders, workers=40 if kind == "SHUT" else 2)

    def test_pending_messages_are_on_the_ring_or_have_a_timer(self) -> None:
        for kind, text in self.days():
            with self.subTest(kind):
                World(parse(text, "s"), Watching, 1).run()

    def test_the_invariant_check_detects_planted_faults(self) -> None:
        for fault in (MissedEvents, Forgetful):
            caught = 0
            for _, text in self.days():
                try:
                    World(parse(text, "s"), fault, 1).run()
                except AssertionError:
                    caught += 1
            self.assertGreaterEqual(caught, 2, fault)
