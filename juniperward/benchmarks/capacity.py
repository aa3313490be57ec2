"""One forwarder's capacity on one core: what it adds to a message, by rate, with dead letters off and on.

`juniperward measure capacity` calls `capacity` (see `measurements.py`). The forwarder runs as on the platform, a
process of its own, pinned to a core; load, endpoints and discovery have the other cores. Endpoints answer at once, so
that all latency and CPU time seen is the forwarder's own.
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
from juniperward.benchmarks.errors import ForwarderStartError
from juniperward.benchmarks.ports import reserve_ports
from juniperward.benchmarks.report import Report, Row
from juniperward.fakes.discovery import FakeDiscovery, ListedEndpoint
from juniperward.fakes.histograms import LatencyHistogram
from juniperward.fakes.instant_endpoints import InstantEndpoints
from juniperward.fakes.load import LoadPlan, LoadResult, run_load
from juniperward.fakes.load_balancer import is_ready
from juniperward.fakes.records import Recorder, now

DESTINATIONS = 8
RATES_PER_S = (300.0, 600.0, 900.0, 1200.0, 1600.0, 2000.0, 2500.0, 3000.0, 3500.0)  # messages
SKIP_S = 1.0  # at the beginning of each rate, not counted: connections open
COUNTED_S = 5.0  # of each rate, after that
LOAD_PROCESSES = 3
LOAD_START_S = 1.5  # until the processes of the load run
LAST_ARRIVALS_S = 0.3  # after the load, for messages that are in flight
READY_WITHIN_S = 10.0
MAX_ADDED_S = 0.05  # p99 at the endpoint up to which a rate counts as carried
MIN_DELIVERED_FRACTION = 0.999  # of the messages sent, from which a rate counts as carried

COLUMNS = [
    "messages a second",
    "sent",
    "not accepted",
    "202 median ms",
    "202 p99 ms",
    "at the endpoint median ms",
    "p99 ms",
    "CPU ms a message",
    "MiB",
    "load late p99 ms",
    "carried",
]


@dataclass(frozen=True, slots=True)
class RateResult:
    """What was measured at one rate."""

    rate_per_s: float
    load: LoadResult  # as the clients saw it
    delivery_latency: LatencyHistogram  # from a message's schedule to its arrival at the endpoint
    cpu_s_per_message: float
    resident_bytes: int

    @property
    def carried(self) -> bool:
        """Whether the forwarder accepted and delivered all messages, with p99 within MAX_ADDED_S."""
        all_accepted = self.load.rejected + self.load.failed == 0
        all_delivered = self.delivery_latency.count >= MIN_DELIVERED_FRACTION * self.load.sent
        return all_accepted and all_delivered and self.delivery_latency.quantile(0.99) <= MAX_ADDED_S

    @property
    def verdict(self) -> str:
        """`void` where the load itself was too late, else whether the rate was carried."""
        if self.load.void:
            return "void"
        return "yes" if self.carried else "no"

    def cells(self) -> Row:
        """Return the row under COLUMNS."""
        return [
            f"{self.rate_per_s:.0f}",
            f"{self.load.sent}",
            f"{self.load.rejected + self.load.failed}",
            _quantile_ms(self.load.accepted, 0.5),
            _quantile_ms(self.load.accepted, 0.99),
            _quantile_ms(self.delivery_latency, 0.5),
            _quantile_ms(self.delivery_latency, 0.99),
            f"{1000 * self.cpu_s_per_message:.3f}",
            f"{self.resident_bytes / 2**20:.0f}",
            _quantile_ms(self.load.lateness, 0.99),
            self.verdict,
        ]


def _quantile_ms(histogram: LatencyHistogram, fraction: float) -> str:
    return f"{1000 * histogram.quantile(fraction):.1f}"


class SingleCoreForwarder:
    """A forwarder on a core of its own, with fake endpoints and discovery on the others; a context manager."""

    def __init__(self, folder: Path, dead_letters: bool = False, root: Path = ROOT) -> None:
        """Open the endpoints and the forwarder's port; `folder` gets its files, `root` has the code that it runs."""
        self._folder = folder
        self._root = root
        self._dead_letters = dead_letters
        cores = sorted(os.sched_getaffinity(0))
        self._forwarder_cores = frozenset(cores[:1])
        self._load_cores = frozenset(cores[1:])
        self._discovery = FakeDiscovery(Recorder())
        self._endpoints = InstantEndpoints(DESTINATIONS, self._load_cores)
        (self._port,) = reserve_ports(1)
        self._address: tuple[str, int] = self._port.getsockname()
        self._log = folder / "forwarder.log"

    def __enter__(self) -> SingleCoreForwarder:
        """Start the forwarder; raises ForwarderStartError with its log where it does not get ready."""
        for number, address in enumerate(self._endpoints.addresses, 1):
            self._discovery.publish(ListedEndpoint(f"s-{number}", address, number, "small-partners", 0.0))
        file = self._write_configuration()
        with self._log.open("wb") as log:
            self._child = subprocess.Popen(
                [sys.executable, "-O", "-m", "juniperward"],
                cwd=self._root,
                stderr=log,
                env={**os.environ, "ROUTER_CONFIG": str(file), "PYTHONPATH": str(self._root)},
            )
        if self._load_cores:
            os.sched_setaffinity(self._child.pid, self._forwarder_cores)
        self._wait_ready()
        return self

    def __exit__(self, *_: object) -> None:
        """End the forwarder, the endpoints and discovery."""
        self._child.terminate()
        self._child.wait(10.0)
        self._endpoints.close()
        self._port.close()
        self._discovery.close()

    def measure(
        self, rate_per_s: float, seed: int, counted_s: float = COUNTED_S, skip_s: float = SKIP_S
    ) -> RateResult:
        """Send at a rate for `skip_s` and then `counted_s` seconds; `seed` draws the moments."""
        start_at = now() + LOAD_START_S
        self._endpoints.reset(start_at + skip_s)
        plans = [
            LoadPlan(
                self._address,
                rate_per_s / LOAD_PROCESSES,
                start_at,
                skip_s + counted_s,
                skip_s,
                seed * 100 + number,
                f"{rate_per_s:.0f}.{number}",
                tuple(range(1, DESTINATIONS + 1)),
                cores=self._load_cores,
            )
            for number in range(LOAD_PROCESSES)
        ]
        cpu_before_s = processes.usage(self._child.pid)[0]
        load = run_load(plans)
        time.sleep(LAST_ARRIVALS_S)
        cpu_after_s, resident_bytes = processes.usage(self._child.pid)
        counted_cpu_s = (cpu_after_s - cpu_before_s) * counted_s / (counted_s + skip_s)
        cpu_s_per_message = counted_cpu_s / max(load.sent, 1)
        return RateResult(rate_per_s, load, self._endpoints.ages(), cpu_s_per_message, resident_bytes)

    def _write_configuration(self) -> Path:
        state = self._folder / "state"
        state.mkdir()
        configuration = {
            **BASE_CONFIGURATION,
            "name": "n0",
            "listen": f"127.0.0.1:{self._address[1]}",
            "discovery": self._discovery.address_for("n0"),
            "seed": "1",
            "state": str(state),
            "known": {"version": 0, "full": True, "servers": []},
        }
        if self._dead_letters:
            configuration["kept"] = {"spool": str(self._folder / "spool")}
        file = self._folder / "one.json"
        file.write_text(json.dumps(configuration))
        return file

    def _wait_ready(self) -> None:
        deadline = time.monotonic() + READY_WITHIN_S
        while not is_ready(self._address):
            if time.monotonic() > deadline or self._child.poll() is not None:
                raise ForwarderStartError(self._log)
            time.sleep(0.01)


def capacity(seed: int, out: Path, rate: float = 0.0, rounds: int = 1) -> bool:
    """By rate, dead letters off and on: the highest rate that is carried with p99 within 50 ms.

    Measures `rate` messages a second alone, or RATES_PER_S where it is 0, `rounds` times. Writes capacity.md under
    `out`. Returns True: no figure is judged.
    """
    report = Report(
        "One forwarder's capacity on one core", f"juniperward measure capacity --seed {seed}", seed
    )
    report.say(
        f"{DESTINATIONS} destinations with one endpoint each that answers at once; {LOAD_PROCESSES} processes of "
        f"load in an open loop, latencies from when a message was scheduled; the first {SKIP_S:g} s left out, "
        f"{COUNTED_S:g} s counted. Carried: all accepted and delivered, p99 at the endpoint within "
        f"{1000 * MAX_ADDED_S:.0f} ms; void: the load was late itself."
    )
    rates_per_s = (rate,) if rate else RATES_PER_S
    for dead_letters in (False, True):
        results = [
            result
            for number in range(rounds)
            for result in _measure_rates(rates_per_s, dead_letters, seed + number)
        ]
        carried = [result.rate_per_s for result in results if result.verdict == "yes"]
        highest_per_s = max(carried, default=0.0)
        report.say(
            f"Dead letters {'on' if dead_letters else 'off'}: {highest_per_s:.0f} messages a second carried."
        )
        report.table(COLUMNS, [result.cells() for result in results])
    report.write(out / "capacity.md")
    return True


def _measure_rates(rates_per_s: tuple[float, ...], dead_letters: bool, seed: int) -> list[RateResult]:
    """Measure rate after rate with one forwarder, and print each row as it comes."""
    results: list[RateResult] = []
    with (
        tempfile.TemporaryDirectory(prefix="jw-") as folder,
        SingleCoreForwarder(Path(folder), dead_letters) as forwarder,
    ):
        for rate_per_s in rates_per_s:
            results.append(forwarder.measure(rate_per_s, seed))
            print(results[-1].cells(), flush=True)
    return results
