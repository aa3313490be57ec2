"""Forwarders that are killed above their memory limit, under hostile clients, faults and signals, run by seed.

`juniperward measure memory-soak` runs a number of seeds. A run draws limits, forms of hostile clients, a fault of the
endpoints and signals for one to three forwarders from its seed. Usual clients send meanwhile, and keep their
connections until a process has ended. A run passes if no forwarder went over its memory limit or ended by itself
without SIGTERM, and no rule of the protocol was broken for the usual clients.
"""

from __future__ import annotations

import contextlib
import random
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from pathlib import Path

from juniperward.benchmarks.lag_watch import LagWatch
from juniperward.benchmarks.limited_forwarder import BYTES_PER_MB, LimitedForwarder, Limits
from juniperward.benchmarks.report import Report, Row
from juniperward.benchmarks.signal_series import SignalSeries
from juniperward.benchmarks.soak_report import run_seeds
from juniperward.fakes.checker import check
from juniperward.fakes.clients import ClientOptions, Clients, Traffic
from juniperward.fakes.destination_spec import DestinationSpec, FaultMode
from juniperward.fakes.destinations import FakeDestination
from juniperward.fakes.discovery import FakeDiscovery
from juniperward.fakes.hostile_clients import Form, hostile_clients
from juniperward.fakes.load_balancer import LoadBalancer
from juniperward.fakes.records import AnyRecord, AttemptReceived, Recorder, now
from juniperward.fakes.verdict import DEFAULT_BOUNDS, Verdict

LIMITS = (Limits(32, 256), Limits(32, 1024), Limits(64, 512), Limits(64, 1024), Limits(192, 1024))
MAX_FORWARDERS = 3
RUN_S = 10.0
HOSTILE_S = 8.0
RATE_PER_S = 25.0
DEADLINE_S = 4.0
DESTINATIONS = 2
# Hostile clients hold at most a third of the descriptors; a crowd holds as many as clients may have.
USUAL_FRACTION, CROWD_FRACTION = 1 / 3, 1 / 2
CROWD_PROBABILITY = 0.3
CONNECTIONS_PER_PROCESS = 160
SETTLE_S = 1.5
MAX_REPORTED_VIOLATIONS = 3
FAULT_MODES = (FaultMode.HEALTHY, FaultMode.UNRESPONSIVE, FaultMode.REJECTING, FaultMode.FAILING)
FAULT_FRACTION = 0.5


@dataclass
class SoakResult:
    """What one run has shown.

    Attributes:
        peaks: The largest memory of each forwarder, in MB, with its limit.
        lag_s: By how much this process itself was late at most; the checks allow for it.
        problems: What must not happen; empty if the run passed.
    """

    seed: int
    limits: Limits
    forms: tuple[Form, ...]
    connections: int
    verdict: Verdict
    peaks: list[float]
    lag_s: float
    problems: list[str] = field(default_factory=list)

    def cells(self) -> Row:
        """Return the table row under COLUMNS."""
        return [
            f"{self.seed}",
            f"{self.limits.memory_mb:.0f} MB, {self.limits.sockets}",
            f"{self.connections} {', '.join(self.forms)}",
            ", ".join(f"{peak:.1f}" for peak in self.peaks),
            f"{self.verdict.submissions}",
            f"{self.verdict.accepted}",
            f"{self.verdict.rejected}",
            f"{self.verdict.unanswered}",
            f"{self.lag_s:.3f}",
            "; ".join(self.problems) or "held",
        ]


COLUMNS = [
    "seed",
    "limits",
    "hostile connections",
    "peak MB",
    "usual submissions",
    "accepted",
    "rejected",
    "unanswered",
    "own lateness s",
    "verdict",
]


class _SoakRun:
    """The forwarders, fakes and clients of one seed."""

    def __init__(self, seed: int, folder: Path, resources: contextlib.ExitStack) -> None:
        self._seed, self._random = seed, random.Random(seed)
        self._lag = LagWatch()
        resources.callback(self._lag.close)
        self._resources = resources
        self._recorder = Recorder()
        self._limits = self._random.choice(LIMITS)
        crowd = self._random.random() < CROWD_PROBABILITY
        self._connections = int(self._limits.sockets * (CROWD_FRACTION if crowd else USUAL_FRACTION))
        self._forms = tuple(self._random.choices(tuple(Form), k=2))
        discovery = FakeDiscovery(self._recorder)
        resources.callback(discovery.close)
        self._destinations = []
        for number in range(1, DESTINATIONS + 1):
            destination = FakeDestination(DestinationSpec(number), self._recorder, seed + number)
            resources.callback(destination.close)
            discovery.publish(*destination.start())
            self._destinations.append(destination)
        self._forwarders = []
        for number in range(self._random.randint(1, MAX_FORWARDERS)):
            name = f"n{number}"
            forwarder = LimitedForwarder(
                folder / name, discovery.address_for(name), self._limits, name, self._recorder
            )
            resources.callback(forwarder.close)
            self._forwarders.append(forwarder)

    def run(self) -> SoakResult:
        """Run all of it to its end and return the result."""
        for forwarder in self._forwarders:
            forwarder.start()
        balancer = LoadBalancer({forwarder.name: forwarder.address for forwarder in self._forwarders})
        self._resources.callback(setattr, balancer, "closed", True)
        balancer.start()
        clients = self._start_usual_clients(balancer)
        began_at = now()
        for forwarder in self._forwarders:
            self._start_hostile_clients(forwarder)
        mode = self._random.choice(FAULT_MODES)
        self._destinations[0].inject_fault(mode, RUN_S / 3, FAULT_FRACTION)
        signals = [SignalSeries(forwarder, self._random.getrandbits(32)) for forwarder in self._forwarders]
        run_together([lambda each=each: each.run(began_at) for each in signals])  # type: ignore[misc]
        clients.done.wait(RUN_S + 2 * DEADLINE_S)
        time.sleep(DEADLINE_S + SETTLE_S)
        return self._result(signals)

    def _start_usual_clients(self, balancer: LoadBalancer) -> Clients:
        destinations = tuple((number, 1.0) for number in range(1, DESTINATIONS + 1))
        traffic = Traffic(RATE_PER_S * len(self._forwarders), destinations, deadline_s=DEADLINE_S)
        clients = Clients(traffic, balancer, self._recorder, self._seed, ClientOptions(threads=32))
        clients.start(RUN_S)
        return clients

    def _start_hostile_clients(self, forwarder: LimitedForwarder) -> None:
        processes = max(1, self._connections // CONNECTIONS_PER_PROCESS)
        for number in range(processes):
            form = self._forms[number % len(self._forms)]
            seed = self._random.getrandbits(24)
            self._resources.enter_context(
                hostile_clients(forwarder.address, form, self._connections // processes, HOSTILE_S, seed)
            )

    def _result(self, signals: list[SignalSeries]) -> SoakResult:
        lag_s = self._lag.longest_s
        bounds = replace(
            DEFAULT_BOUNDS,
            outcome_grace_s=DEFAULT_BOUNDS.outcome_grace_s + lag_s,
            crossing_s=DEFAULT_BOUNDS.crossing_s + lag_s,
        )
        verdict = check(list(usual_records(self._recorder.records)), bounds)
        peaks = [forwarder.peak_bytes / BYTES_PER_MB for forwarder in self._forwarders]
        result = SoakResult(self._seed, self._limits, self._forms, self._connections, verdict, peaks, lag_s)
        for forwarder, sent in zip(self._forwarders, signals, strict=True):
            result.problems += problems_of(forwarder, sent)
        for violation in verdict.violations[:MAX_REPORTED_VIOLATIONS]:
            result.problems.append(f"{violation.rule}: {violation.subject}: {violation.text}")
        return result


def problems_of(forwarder: LimitedForwarder, signals: SignalSeries) -> list[str]:
    """Return the ways in which a forwarder's processes ended that must not happen, and its unexpected errors."""
    problems = [f"{forwarder.name} exited with {code}" for code in signals.unexpected_exits]
    if forwarder.killed_for_memory:
        problems.append(f"{forwarder.name} killed for memory")
    elif forwarder.process is None or forwarder.process.poll() is not None:
        problems.append(f"{forwarder.name} ended by itself")
    problems += [line for line in forwarder.log.splitlines() if "unexpected: error" in line][:1]
    return problems


def usual_records(records: list[AnyRecord]) -> Iterator[AnyRecord]:
    """Yield the records without the attempts of hostile clients' messages, which no record submitted."""
    for record in records:
        if not (isinstance(record, AttemptReceived) and record.ids[0].startswith("hostile-")):
            yield record


def run_together(bodies: list[Callable[[], None]]) -> None:
    """Run functions on threads, and wait for their ends."""
    threads = [threading.Thread(target=body) for body in bodies]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def run_seed(seed: int) -> SoakResult:
    """Run one seed and return its result."""
    with (
        tempfile.TemporaryDirectory(prefix="jw-") as folder,
        contextlib.ExitStack() as resources,
    ):
        return _SoakRun(seed, Path(folder), resources).run()


def memory_soak(seed: int, out: Path, rounds: int = 50) -> bool:
    """Run `rounds` seeds from `seed` on; write memory-soak.md to `out`. Returns whether all of them passed."""
    report = Report(
        "Forwarders held to their memory limit",
        f"juniperward measure memory-soak --seed {seed} --rounds {rounds}",
        seed,
    )
    report.add_paragraph(
        f"Each run has one to {MAX_FORWARDERS} forwarders, killed above `memory_mb` (10^6 bytes, resident memory and "
        f"state folder together), {RATE_PER_S:g} usual messages a second each, and for {HOSTILE_S:g} s hostile "
        "clients in processes of their own, a fault of an endpoint, and signals."
    )
    return run_seeds(run_seed, range(seed, seed + rounds), report, COLUMNS, out / "memory-soak.md")
