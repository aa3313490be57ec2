"""Tests of the load that a fleet puts on a destination in slow start, simulated and with real processes."""

from __future__ import annotations

import tempfile
import time
import unittest
from collections import deque
from collections.abc import Iterator, Sequence
from pathlib import Path

from juniperward.benchmarks.cluster_files import ACCOUNTS
from juniperward.benchmarks.local_cluster import LocalCluster
from juniperward.benchmarks.slow_start import play_all, slow_start
from juniperward.fakes.clients import ClientOptions, Clients, Traffic
from juniperward.fakes.destination_spec import DestinationSpec, FaultMode
from juniperward.fakes.records import AttemptReceived, Record, Submitted
from juniperward.scheduler import DeliveryScheduler
from juniperward.scheduler.actions import EjectionReason
from juniperward.scheduler.outlier_detection import OutlierDetection
from juniperward.scheduler.records import Endpoint
from juniperward.scheduler.settings import SchedulerSettings
from juniperward.simulation.recovery_budget import RecoveryBudget, with_chance_margin
from juniperward.simulation.recovery_cases import CASES, Outage, RecoveryCase
from juniperward.simulation.recovery_load import LoadSpan
from juniperward.simulation.recovery_simulation import RecoverySimulation
from juniperward.simulation.scenario_loader import parse
from juniperward.simulation.world import World

BUDGET = RecoveryBudget(
    capacity_per_s=10.0, slow_start_fraction=0.18, warm_up_s=10.0, overload_multiple=2.0, overload_span_s=3.0
)
OVERLOADED = """
shows: "one destination that crashes"
seconds: 5 forwarders: 1 slots: 8 max_open: 50
partners { count: 1 share: 1 workers: 1 latency: 0.05 rate: 2 }
traffic { rate: 1 }
"""


class BudgetTest(unittest.TestCase):
    def test_the_budget_is_multiple_times_current_capacity_times_span(self) -> None:
        self.assertAlmostEqual(BUDGET.expected_calls(0.0), 2.0 * 0.18 * 10.0 * 3.0)
        self.assertAlmostEqual(BUDGET.expected_calls(5.0), 2.0 * (0.18 + 0.82 / 2) * 10.0 * 3.0)
        self.assertAlmostEqual(BUDGET.expected_calls(10.0), 60.0)
        self.assertAlmostEqual(BUDGET.expected_calls(99.0), 60.0)

    def test_the_margin_is_two_square_roots_and_two_calls(self) -> None:
        self.assertAlmostEqual(with_chance_margin(16.0), 16.0 + 8.0 + 2.0)
        self.assertAlmostEqual(BUDGET.max_calls(10.0), with_chance_margin(60.0))

    def test_the_mean_over_the_span_is_never_above_the_capacity_at_its_end(self) -> None:
        for tenths in range(100):
            since_recovery_s = tenths / 10.0
            self.assertLessEqual(
                BUDGET.max_calls_by_mean(since_recovery_s), BUDGET.max_calls(since_recovery_s) + 1e-9
            )
        capacities = [BUDGET.current_capacity_per_s(7.0 + n / 1000.0) for n in range(-3000, 1)]
        mean = sum(capacities) / len(capacities)
        self.assertAlmostEqual(BUDGET.max_calls_by_mean(7.0), with_chance_margin(2.0 * mean * 3.0), places=3)

    def test_an_overload_with_over_two_thirds_notified_calls_violates_the_invariant(self) -> None:
        self.assertFalse(LoadSpan(1.0, 30, 20, 29.0).violates_invariant)
        self.assertTrue(LoadSpan(1.0, 30, 21, 29.0).violates_invariant)
        self.assertFalse(LoadSpan(1.0, 29, 29, 29.0).violates_invariant)

    def test_a_simulated_destination_crashes_with_the_first_call_over_the_budget(self) -> None:
        world = World(parse(OVERLOADED, "overloaded.textproto"), DeliveryScheduler, 1)
        destination = world.destinations[0]
        destination.recovered_s, world.timeline.now = 0.0, 1.0
        max_calls = int(destination.budget.max_calls(1.0))
        for n in range(max_calls):
            world.service.rejection(destination, destination.endpoints[0])
            self.assertFalse(destination.crashed, n)
        self.assertEqual(max_calls, 8)  # N = 2 x 3 s x 2/s x 0.262
        world.service.rejection(destination, destination.endpoints[0])
        self.assertTrue(destination.crashed)


class NoDetection(OutlierDetection):
    """Injected defect: ignores failures and ejects no endpoint."""

    def _record_fault(self, endpoint: Endpoint, reason: EjectionReason, unreached: bool = False) -> None:
        pass

    def _eject(self, endpoint: Endpoint, reason: EjectionReason) -> None:
        pass


class UndetectingScheduler(DeliveryScheduler):
    """A scheduler that detects no outages."""

    def __init__(self, settings: SchedulerSettings, seed: int) -> None:
        super().__init__(settings, seed)
        self.outlier_detection.__class__ = NoDetection


class FleetTest(unittest.TestCase):
    def test_the_same_seed_gives_the_same_run(self) -> None:
        case = RecoveryCase(Outage.UNRESPONSIVE, rate_listed=True, batch_size=20, half_idle=True)
        self.assertEqual(RecoverySimulation(case, 30, 5).run(), RecoverySimulation(case, 30, 5).run())
        self.assertNotEqual(RecoverySimulation(case, 30, 5).run(), RecoverySimulation(case, 30, 6).run())

    def test_no_notified_fleet_crashes_a_destination_in_slow_start(self) -> None:
        """Runs a subset of the cases, sizes and seeds of `juniperward measure slow-start`."""
        results = play_all(CASES, (1, 3, 30, 230), range(1, 3))
        violations = [
            (r.case.name, r.forwarders, r.seed, r.first_overload) for r in results if r.violates_invariant
        ]
        self.assertEqual(violations, [])
        notified = [r for r in results if r.forwarders == 230 and r.case.outage is not Outage.UNRESPONSIVE]
        self.assertTrue(all(r.notified >= 5 for r in notified), min(r.notified for r in notified))
        self.assertTrue(all(r.delivered for r in results))

    def test_refused_connections_notify_200_forwarders_as_failures_do(self) -> None:
        """Each forwarder makes few calls: detection must not need several failures at an endpoint."""
        for listed in (False, True):
            for seed in range(1, 9):
                result = RecoverySimulation(RecoveryCase(Outage.DOWN, listed), 200, seed).run()
                self.assertFalse(result.violates_invariant, (listed, seed, result.first_overload))

    def test_forwarders_do_not_flush_their_queues_after_short_rejections(self) -> None:
        """After rejections too short for an ejection, a learned rate limit must pace waiting messages."""
        for seed in (15, 19, 36):
            result = RecoverySimulation(RecoveryCase(Outage.REJECTING), 20, seed).run()
            self.assertIsNone(result.first_overload, seed)

    def test_a_fleet_that_detects_no_outage_violates_the_invariant(self) -> None:
        for outage in (
            Outage.FAILING,
            Outage.UNRESPONSIVE,
            Outage.REJECTING,
            Outage.REJECTING_WITH_RETRY_AFTER,
            Outage.DOWN,
        ):
            results = [
                RecoverySimulation(RecoveryCase(outage), 200, seed, UndetectingScheduler).run()
                for seed in range(1, 7)
            ]
            self.assertGreater(sum(result.violates_invariant for result in results), 2, outage)

    def test_the_measurement_writes_its_page_and_returns_whether_the_invariant_held(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            invariant_held = slow_start(1, Path(folder), 1)
            page = (Path(folder) / "cold-return.md").read_text()
        self.assertIn("juniperward measure slow-start --rounds 1", page)
        self.assertEqual(invariant_held, "**broken**" not in page)


def calls_since(records: Sequence[Record], recovered_at: float) -> list[float]:
    """Return the sorted times of the calls since the recovery."""
    return sorted(r.at for r in records if isinstance(r, AttemptReceived) and r.at >= recovered_at)


def overloaded_spans(
    calls: list[float], recovered_at: float, budget: RecoveryBudget
) -> Iterator[tuple[float, int, float]]:
    """Yield each span over the budget: its end in seconds after recovery, its calls, and the maximum."""
    recent: deque[float] = deque()
    for at in calls:
        recent.append(at)
        while recent[0] <= at - budget.overload_span_s:
            recent.popleft()
        max_calls = budget.max_calls(at - recovered_at)
        if len(recent) > max_calls and at - recovered_at < budget.warm_up_s:
            yield at - recovered_at, len(recent), max_calls


class ProcessesTest(unittest.TestCase):
    """Real forwarders on loopback, with one destination that has an outage of 5 s."""

    FORWARDERS = 8
    SPEC = DestinationSpec(1, latency_s=0.03, rate_limit=20.0)
    RATE_PER_S = 18.0

    def check_recovery_from(self, mode: FaultMode) -> None:
        folder = tempfile.TemporaryDirectory(prefix="jw-")
        self.addCleanup(folder.cleanup)
        cluster = LocalCluster(Path(folder.name), self.FORWARDERS, [self.SPEC])
        self.addCleanup(cluster.close)
        cluster.base["settings"]["Instances"] = self.FORWARDERS
        cluster.base["settings"]["Invariants"] |= {
            "ColdShare": self.SPEC.warm_up_start_fraction,
            "WarmWithinMs": self.SPEC.warm_up_s * 1e3,
        }
        cluster.start()
        destination = cluster.destinations[1]
        traffic = Traffic(self.RATE_PER_S, ((1, 1.0),), ACCOUNTS, deadline_s=8.0)
        clients = Clients(
            traffic, cluster.load_balancer, cluster.recorder, cluster.seed, ClientOptions(threads=48)
        )
        clients.start(14.0)
        time.sleep(3.0)  # normal load, before an outage of fixed length
        destination.inject_fault(mode)
        time.sleep(5.0)
        destination.inject_fault(FaultMode.HEALTHY)
        assert destination.capacity.recovered_at is not None
        self.assertTrue(clients.done.wait(40.0))
        cluster.settle(40.0)
        verdict = cluster.verdict()
        self.assertTrue(verdict.passed, "\n".join(verdict.lines()))
        records = list(cluster.recorder.records)
        senders = {r.forwarder for r in records if isinstance(r, Submitted)}
        self.assertEqual(len(senders), self.FORWARDERS)
        calls = calls_since(records, destination.capacity.recovered_at)
        self.assertGreater(len(calls), 20)
        budget = RecoveryBudget(
            self.SPEC.capacity, self.SPEC.warm_up_start_fraction, self.SPEC.warm_up_s, 2.0, 3.0
        )
        self.assertEqual(list(overloaded_spans(calls, destination.capacity.recovered_at, budget)), [])
        self.assertFalse(destination.capacity.crashed)

    def test_eight_processes_stay_within_the_budget_after_failures(self) -> None:
        self.check_recovery_from(FaultMode.FAILING)

    def test_eight_processes_stay_within_the_budget_after_refused_connections(self) -> None:
        self.check_recovery_from(FaultMode.DOWN)


if __name__ == "__main__":
    unittest.main()
