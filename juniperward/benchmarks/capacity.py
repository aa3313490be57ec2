"""Measures the throughput of one forwarder on one core, and the latency it adds, with dead letters off and on.

`juniperward measure capacity` calls `capacity`. The forwarder runs as a process pinned to one core; load, endpoints
and discovery use the other cores. Endpoints answer at once, so all measured latency and CPU time is the forwarder's.
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
RATES_PER_S = (300.0, 600.0, 900.0, 1200.0, 1600.0, 2000.0, 2500.0, 3000.0, 3500.0)
WARM_UP_S = 1.0  # connections are opened in this time, which is left out of the results
COUNTED_S = 5.0
LOAD_PROCESSES = 3
LOAD_START_S = 1.5  # time for the load processes to start
IN_FLIGHT_WAIT_S = 0.3  # time for the last messages to arrive after the load has ended
READY_TIMEOUT_S = 10.0
# The forwarder sustains a rate if both limits hold.
MAX_DELIVERY_P99_S = 0.05
MIN_DELIVERED_FRACTION = 0.999

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
    """What was measured at one rate.

    Attributes:
        rate_per_s: The messages sent per second.
        load: The answers as the clients saw them.
        delivery_latency: The times from when a message was scheduled to its arrival at the endpoint.
        cpu_s_per_message: The forwarder's CPU time per message.
        resident_bytes: The forwarder's resident memory at the end.
    """

    rate_per_s: float
    load: LoadResult
    delivery_latency: LatencyHistogram
    cpu_s_per_message: float
    resident_bytes: int

    @property
    def carried(self) -> bool:
        """Whether all messages were accepted, and delivered within the limits of a sustained rate."""
        all_accepted = self.load.rejected + self.load.failed == 0
        all_delivered = self.delivery_latency.count >= MIN_DELIVERED_FRACTION * self.load.sent
        return all_accepted and all_delivered and self.delivery_latency.quantile(0.99) <= MAX_DELIVERY_P99_S

    @property
    def verdict(self) -> str:
        """`void` if the load fell behind its schedule, else `yes` or `no`: whether the rate was carried."""
        if self.load.void:
            return "void"
        return "yes" if self.carried else "no"

    def cells(self) -> Row:
        """Return the table row under COLUMNS."""
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
    """A context manager: a forwarder on one core, with fake endpoints and discovery on the others."""

    def __init__(self, folder: Path, dead_letters: bool = False, root: Path = ROOT) -> None:
        """Open the endpoints and reserve the forwarder's port.

        The forwarder's files go to `folder`; it runs the code below `root`.
        """
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
        """Start the forwarder; raises ForwarderStartError if it is not ready within READY_TIMEOUT_S."""
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
        """Stop the forwarder, the endpoints and discovery."""
        self._child.terminate()
        self._child.wait(10.0)
        self._endpoints.close()
        self._port.close()
        self._discovery.close()

    def measure(
        self, rate_per_s: float, seed: int, counted_s: float = COUNTED_S, warm_up_s: float = WARM_UP_S
    ) -> RateResult:
        """Send at a rate for `warm_up_s` and then `counted_s` seconds; `seed` determines the arrival times."""
        start_at = now() + LOAD_START_S
        self._endpoints.reset(start_at + warm_up_s)
        plans = [
            LoadPlan(
                self._address,
                rate_per_s / LOAD_PROCESSES,
                start_at,
                warm_up_s + counted_s,
                warm_up_s,
                seed * 100 + number,
                f"{rate_per_s:.0f}.{number}",
                tuple(range(1, DESTINATIONS + 1)),
                cores=self._load_cores,
            )
            for number in range(LOAD_PROCESSES)
        ]
        cpu_before_s = processes.usage(self._child.pid)[0]
        load = run_load(plans)
        time.sleep(IN_FLIGHT_WAIT_S)
        cpu_after_s, resident_bytes = processes.usage(self._child.pid)
        counted_cpu_s = (cpu_after_s - cpu_before_s) * counted_s / (counted_s + warm_up_s)
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
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not is_ready(self._address):
            if time.monotonic() > deadline or self._child.poll() is not None:
                raise ForwarderStartError(self._log)
            time.sleep(0.01)


def capacity(seed: int, out: Path, rate: float = 0.0, rounds: int = 1) -> bool:
    """Measure each rate of RATES_PER_S, or only `rate` unless it is 0, with dead letters off and on.

    Repeats this `rounds` times and writes capacity.md to `out`. Always returns True: no result counts as a failure.
    """
    report = Report(
        "One forwarder's capacity on one core", f"juniperward measure capacity --seed {seed}", seed
    )
    report.add_paragraph(
        f"{DESTINATIONS} destinations with one endpoint each that answers at once; {LOAD_PROCESSES} processes of "
        f"load in an open loop, latencies from when a message was scheduled; the first {WARM_UP_S:g} s left out, "
        f"{COUNTED_S:g} s counted. Carried: all accepted and delivered, p99 at the endpoint within "
        f"{1000 * MAX_DELIVERY_P99_S:.0f} ms; void: the load fell behind its schedule."
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
        report.add_paragraph(
            f"Dead letters {'on' if dead_letters else 'off'}: {highest_per_s:.0f} messages a second carried."
        )
        report.add_table(COLUMNS, [result.cells() for result in results])
    report.write(out / "capacity.md")
    return True


def _measure_rates(rates_per_s: tuple[float, ...], dead_letters: bool, seed: int) -> list[RateResult]:
    """Measure the rates in turn with one forwarder, and print each row."""
    results: list[RateResult] = []
    with (
        tempfile.TemporaryDirectory(prefix="jw-") as folder,
        SingleCoreForwarder(Path(folder), dead_letters) as forwarder,
    ):
        for rate_per_s in rates_per_s:
            results.append(forwarder.measure(rate_per_s, seed))
            print(results[-1].cells(), flush=True)
    return results
