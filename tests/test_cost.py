"""What a round costs follows what is busy: closed destinations and further endpoints are not looked at.

Work is counted, not timed, so that the verdict is the same on every machine.
"""

from __future__ import annotations

import math
import tracemalloc
import unittest
from collections.abc import Iterable
from typing import Any

from juniperward.lab.scenario import parse
from juniperward.lab.world import World
from juniperward.scheduler import Sender
from juniperward.scheduler import interface as i

DAY = """
shows: "a day on which destinations close and open"
seconds: 14 forwarders: {forwarders} slots: 12 max_open: 60
partners {{ count: 2 share: 0.6 workers: 2 latency: 0.06 rate: 14 batch: 5 }}
partners {{ count: 3 share: 0.4 workers: {workers} latency: 0.05 }}
traffic {{ rate: 60 clumps: 0.3 clump: 9 again: 0.7 swing: 0.4 period: 7 deadline: 8 }}
trouble {{ kind: {kind} at: 3 seconds: 4 partner: 1 partner: 3 size: 0.9 }}
"""


class Counting(Sender):
    """Counts what a release looks at."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.chosen = self.opened = 0

    def _choose(self, d: Any, head: Any) -> Any:
        self.chosen += 1
        return super()._choose(d, head)

    def _opens_at(self, ep: Any) -> float:
        self.opened += 1
        return super()._opens_at(ep)


class Watching(Sender):
    """Fails as soon as a destination is off the ring though something waits there that nothing will wake."""

    def handle(self, now: float, events: Iterable[i.Event]) -> list[i.Action]:
        actions = super().handle(now, events)
        for d in self.dests.values():
            if not d.waiting or d.on_ring:
                continue
            opens = [self._opens_at(ep) for ep in d.order if ep.phase is i.Phase.READY]
            at = min(opens, default=math.inf)
            assert at > now, f"{d.id} is open and off the ring"
            woken = any(t[2] == self._join and t[3] == (d,) and t[0] <= at + 1e-6 for t in self.due)
            assert at == math.inf or woken, f"{d.id} opens at {at}, nothing wakes it"
            assert at < math.inf or d.slots or not opens, f"{d.id} waits for news that cannot come"
        return actions


class Deaf(Watching):
    """A planted fault: nothing is scheduled for the moment at which a destination opens."""

    def _wake(self, d: Any, at: float) -> None:
        pass


class Forgetful(Watching):
    """A planted fault: the end of a call opens nothing."""

    def _join(self, d: Any) -> None:
        if not d.slots or d.waiting > 1:
            super()._join(d)


def sender(kind: type[Sender], destinations: int, workers: int) -> Any:
    classes = (i.MessageClass(3.0, 20.0, i.Effect.BY_KEY, 1.0, 0.3, window=12.0),)
    made = kind(i.Settings(classes, slots=200, max_open=100_000, kinds=(i.Kind(),)), 1)
    entries = [
        i.Endpoint(d * workers + w, d, i.Phase.READY, 0, 0, 0.0)
        for d in range(destinations)
        for w in range(workers)
    ]
    made.handle(0.0, [i.Listed(i.ListScope.FULL, tuple(entries))])
    return made


class CostTest(unittest.TestCase):
    def test_destinations_that_are_closed_cost_a_round_nothing(self) -> None:
        made = sender(Counting, 301, 1)
        for d in range(1, 301):
            made.handle(
                0.1, [i.Arrived(d, 0, d, 1000.0, 0, f"k{d}"), i.Arrived(1000 + d, 0, d, 1000.0, 0, f"l{d}")]
            )
            for a in [d, 1000 + d]:
                for n in list(made.messages[a].out):
                    made.handle(0.1, [i.Settled(a, n, d, i.Outcome.FULL, 0.01, False, 500.0)])
        made.handle(5.0, [i.TimerFired(made.token)])
        made.chosen = 0
        for n in range(50):
            made.handle(10.0 + n, [i.Arrived(5000 + n, 0, 0, 20.0, 0, f"m{n}")])
            made.handle(10.1 + n, [i.Settled(5000 + n, 0, 0, i.Outcome.OK, 0.1, True)])
        self.assertLessEqual(made.chosen, 50 * 8)  # with a look at each in each round it is some 30,000

    def test_a_release_looks_at_a_bounded_number_of_endpoints(self) -> None:
        looked = {}
        for workers in (20, 2000):
            made = sender(Counting, 1, workers)
            for n in range(200):
                made.handle(1.0 + n / 100, [i.Arrived(n, 0, 0, 20.0, 0, f"m{n}")])
                if n >= 10:
                    ((number, endpoint),) = [(k, m.last) for k, m in made.messages.items() if k == n - 10]
                    made.handle(1.0 + n / 100, [i.Settled(number, 0, endpoint, i.Outcome.OK, 0.1, True)])
            looked[workers] = made.opened / 200
            spread = {m.last for m in made.messages.values()}
            self.assertEqual(
                len(spread), len(made.messages)
            )  # calls that are out together go to different ones
        self.assertLessEqual(looked[2000], 2 * looked[20])

    def test_what_is_kept_of_an_idle_destination_is_small(self) -> None:
        """10,000 destinations with two workers each must fit into a forwarder's 32 MB beside the rest of it."""
        entries = tuple(i.Endpoint(n, n // 2, i.Phase.READY, 0, 0, 0.0) for n in range(2000))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        classes = (i.MessageClass(3.0, 20.0, i.Effect.BY_KEY, 1.0, 0.3),)
        made = Sender(i.Settings(classes, slots=200, max_open=400, kinds=(i.Kind(),)), 1)
        made.handle(0.0, [i.Listed(i.ListScope.FULL, entries)])
        self.assertLess(tracemalloc.get_traced_memory()[0] / 1000, 2000)  # bytes; it was 3,800

    def test_one_open_endpoint_among_many_closed_ones_is_found(self) -> None:
        made = sender(Sender, 1, 500)
        for ep in made.endpoints.values():
            if ep.id != 321:
                ep.bad, ep.trial_at = True, 1e9
        sent = made.handle(1.0, [i.Arrived(1, 0, 0, 20.0, 0, "k")])
        self.assertEqual([a.endpoint for a in sent if isinstance(a, i.Send)], [321])


class ClosedTest(unittest.TestCase):
    def days(self) -> Iterable[tuple[str, str]]:
        for kind in ("DOWN", "SHUT", "FAILING", "SILENT", "SLOW", "HOT", "KILL"):
            for forwarders in (2, 8):  # few nodes take the design's figures whole, many their parts
                yield kind, DAY.format(kind=kind, forwarders=forwarders, workers=40 if kind == "SHUT" else 2)

    def test_whatever_waits_is_on_the_ring_or_will_be_woken(self) -> None:
        for kind, text in self.days():
            with self.subTest(kind):
                World(parse(text, "s"), Watching, 1).run()

    def test_the_watch_sees_planted_faults(self) -> None:
        for fault in (Deaf, Forgetful):
            caught = 0
            for _, text in self.days():
                try:
                    World(parse(text, "s"), fault, 1).run()
                except AssertionError:
                    caught += 1
            self.assertGreaterEqual(caught, 2, fault)
