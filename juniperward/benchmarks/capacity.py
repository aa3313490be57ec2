"""One forwarder's capacity on one core: what it adds to a message, by rate, with dead letters off and on.

The forwarder runs as on the platform, a process of its own, pinned to a core; load, endpoints and discovery have the
other cores. Workers answer at once, so that all there is to see is the forwarder's own.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from juniperward.agent import processes
from juniperward.benchmarks.cluster_files import BASE_CONFIGURATION, ROOT
from juniperward.benchmarks.ports import reserve_ports
from juniperward.benchmarks.report import Report
from juniperward.fakes.discovery import FakeDiscovery, ListedEndpoint
from juniperward.fakes.histograms import LatencyHistogram
from juniperward.fakes.instant_endpoints import InstantEndpoints
from juniperward.fakes.load import LoadPlan, LoadResult, play
from juniperward.fakes.load_balancer import is_ready
from juniperward.fakes.records import Recorder, now

DESTINATIONS = 8
SKIP_S = 1.0  # seconds left out, in which connections open
COUNTED_S = 5.0  # of each rate, beside that
SENDERS = 3  # processes
MOST_ADDED_S = 0.05  # seconds of p99 up to which a rate counts as carried


@dataclass(frozen=True, slots=True)
class Step:
    """One rate: what was seen, the ages at endpoints, CPU seconds a message, resident bytes."""

    rate: float
    seen: LoadResult
    ages: LatencyHistogram
    cpu: float
    memory: float

    @property
    def carried(self) -> bool:
        """Whether the forwarder accepted and delivered it all, with p99 within MOST_ADDED_S."""
        whole = self.seen.rejected + self.seen.failed == 0 and self.ages.count >= 0.999 * self.seen.sent
        return whole and self.ages.quantile(0.99) <= MOST_ADDED_S

    def cells(self) -> list[str]:
        """A row of a table: milliseconds."""
        s = self.seen
        figures = [f"{1000 * h.quantile(q):.1f}" for h in (s.accepted, self.ages) for q in (0.5, 0.99)]
        return [
            f"{self.rate:.0f}", f"{s.sent}", f"{s.rejected + s.failed}", *figures, f"{1000 * self.cpu:.3f}",
            f"{self.memory / 2**20:.0f}", f"{1000 * s.lateness.quantile(0.99):.1f}",
            "void" if s.void else "yes" if self.carried else "no",
        ]  # fmt: skip


HEAD = [
    "messages a second", "sent", "not accepted", "202 median ms", "202 p99 ms", "at the endpoint median ms", "p99 ms",
    "CPU ms a message", "MiB", "load late p99 ms", "carried",
]  # fmt: skip


class Bench:
    """A forwarder on a core of its own, with its world; a context."""

    def __init__(self, folder: Path, dead_letters: bool = False, root: Path = ROOT) -> None:
        """Take the first core for the forwarder and the others for its world; `root` has its code."""
        self.folder, self.root = folder, root
        self.dead_letters = dead_letters
        cores = sorted(os.sched_getaffinity(0))
        self.own, self.others = frozenset(cores[:1]), frozenset(cores[1:])
        self.discovery = FakeDiscovery(Recorder())
        self.sinks = InstantEndpoints(DESTINATIONS, self.others)
        (self.port,) = reserve_ports(1)
        self.address: tuple[str, int] = self.port.getsockname()

    def __enter__(self) -> Bench:
        """Start the forwarder; raises RuntimeError with its log where it does not get ready."""
        for n, address in enumerate(self.sinks.addresses, 1):
            self.discovery.publish(ListedEndpoint(f"s-{n}", address, n, "small-partners", 0.0))
        state = self.folder / "state"
        state.mkdir()
        config = {
            **BASE_CONFIGURATION, "name": "n0", "listen": f"127.0.0.1:{self.address[1]}",
            "discovery": self.discovery.address_for("n0"), "seed": "1", "state": str(state),
            "known": {"version": 0, "full": True, "servers": []},
        }  # fmt: skip
        if self.dead_letters:
            config["kept"] = {"spool": str(self.folder / "spool")}
        file = self.folder / "one.json"
        file.write_text(json.dumps(config))
        with (self.folder / "forwarder.log").open("wb") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-O", "-m", "juniperward"], cwd=self.root, stderr=log,
                env={**os.environ, "ROUTER_CONFIG": str(file), "PYTHONPATH": str(self.root)},
            )  # fmt: skip
        if self.others:
            os.sched_setaffinity(self.child.pid, self.own)
        until = time.monotonic() + 10.0
        while not is_ready(self.address):
            if time.monotonic() > until or self.child.poll() is not None:
                raise RuntimeError((self.folder / "forwarder.log").read_text()[-2000:])
            time.sleep(0.01)
        return self

    def __exit__(self, *_: object) -> None:
        """End the forwarder and its world."""
        self.child.terminate()
        self.child.wait(10.0)
        self.sinks.close()
        self.port.close()
        self.discovery.close()

    def step(self, rate: float, seed: int, seconds: float = COUNTED_S, skip: float = SKIP_S) -> Step:
        """Send at a rate for so long."""
        start = now() + 1.5  # until the processes of the load are there
        self.sinks.reset(start + skip)
        plans = [
            LoadPlan(self.address, rate / SENDERS, start, skip + seconds, skip, seed * 100 + n, f"{rate:.0f}.{n}",
                 tuple(range(1, DESTINATIONS + 1)), cores=self.others)
            for n in range(SENDERS)
        ]  # fmt: skip
        before = processes.usage(self.child.pid)[0]
        seen = play(plans)
        time.sleep(0.3)  # what is on its way still comes
        cpu, memory = processes.usage(self.child.pid)
        counted = seconds / (seconds + skip)
        return Step(rate, seen, self.sinks.ages(), (cpu - before) * counted / max(seen.sent, 1), memory)


def capacity(seed: int, out: Path, rate: float = 0.0, rounds: int = 1) -> bool:
    """By rate, dead letters off and on in turn; the most that is carried with p99 within 50 ms."""
    command = f"juniperward measure capacity --seed {seed}"
    report = Report("One forwarder's capacity on one core", command, seed)
    report.say(
        f"{DESTINATIONS} destinations with one endpoint each that answers at once; {SENDERS} processes of load in an "
        f"open loop, latencies from when a message was scheduled; the first {SKIP_S:g} s left out, {COUNTED_S:g} s "
        f"counted. Carried: all accepted and delivered, p99 at the endpoint within {1000 * MOST_ADDED_S:.0f} ms; "
        f"void: the load was late itself."
    )
    rates = [rate] if rate else [300.0, 600.0, 900.0, 1200.0, 1600.0, 2000.0, 2500.0, 3000.0, 3500.0]
    for dead_letters in (False, True):
        rows, most = [], 0.0
        for number in range(rounds):
            with (
                tempfile.TemporaryDirectory(prefix="jw-") as folder,
                Bench(Path(folder), dead_letters) as bench,
            ):
                for r in rates:
                    step = bench.step(r, seed + number)
                    rows.append(step.cells())
                    print(rows[-1], flush=True)
                    most = max(most, r if step.carried and not step.seen.void else 0.0)
        report.say(f"Dead letters {'on' if dead_letters else 'off'}: {most:.0f} messages a second carried.")
        report.table(HEAD, rows)
    report.write(out / "capacity.md")
    return True
