"""Measures the duration of `juniperward fleet status`, and the memory and CPU time of an agent.

`juniperward measure status` calls `status`.
"""

from __future__ import annotations

import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from juniperward.benchmarks.cluster_files import ROOT
from juniperward.benchmarks.loaded_cluster import DESTINATIONS
from juniperward.benchmarks.local_cluster import ClusterOptions, FleetStatus, LocalCluster
from juniperward.benchmarks.report import Report, Row

UNRESPONSIVE_COUNTS = (0, 1, 10)  # instances stopped by SIGSTOP while `fleet status` is timed
MAX_STATUS_S = 1.0
MAX_STATUS_WITH_UNRESPONSIVE_S = 1.5  # the agent waits for the answers of unresponsive instances
START_TIMEOUT_S = 120.0
UNRESPONSIVE_SEEN_TIMEOUT_S = 30.0
AGENT_CPU_PERIOD_S = 10.0


def status(seed: int, out: Path, sizes: tuple[int, ...] = (10, 100), times: int = 20) -> bool:
    """Time `fleet status` `times` times for each size of the fleet and each of UNRESPONSIVE_COUNTS.

    Writes status.md to `out`. Returns whether each call stayed within its limit.
    """
    report = Report(
        "fleet status, and what an agent costs", f"juniperward measure status --seed {seed}", seed
    )
    report.add_paragraph(
        "The whole command, from its process's start to its end; CPU is that of the agent over 10 s."
    )
    rows: list[Row] = []
    passed = True
    for size in sizes:
        with tempfile.TemporaryDirectory(prefix="jw-") as folder:
            options = ClusterOptions(settings={"patience": {"silent": 2.0, "start": 60.0, "stop": 4.0}})
            with LocalCluster(Path(folder), size, DESTINATIONS[:2], seed, options) as cluster:
                began = time.monotonic()
                cluster.start(ready=False)
                cluster.wait_until(_ready_instances(size), START_TIMEOUT_S)
                ready_after_s = time.monotonic() - began
                for unresponsive in UNRESPONSIVE_COUNTS:
                    row, longest_s = _with_unresponsive(cluster, unresponsive, times)
                    rows.append([f"{size}", *row, f"{ready_after_s:.1f}"])
                    passed &= longest_s < (MAX_STATUS_WITH_UNRESPONSIVE_S if unresponsive else MAX_STATUS_S)
                _resume(cluster)
    report.add_table(
        [
            "instances",
            "unresponsive",
            "status median s",
            "worst s",
            "agent MiB",
            "agent CPU %",
            "all ready after s",
        ],
        rows,
    )
    report.write(out / "status.md")
    return passed


def _with_unresponsive(cluster: LocalCluster, unresponsive: int, times: int) -> tuple[Row, float]:
    """Stop the first `unresponsive` instances and time `fleet status`; return the row and the longest time."""
    for name in cluster.names[:unresponsive]:
        os.kill(cluster.instance(name)["pid"], signal.SIGSTOP)
    cluster.wait_until(_unresponsive_instances(unresponsive), UNRESPONSIVE_SEEN_TIMEOUT_S)
    durations_s = [_timed_status(cluster) for _ in range(times)]
    before = cluster.request("agent")
    time.sleep(AGENT_CPU_PERIOD_S)
    after = cluster.request("agent")
    cpu_fraction = (after["cpu_seconds"] - before["cpu_seconds"]) / AGENT_CPU_PERIOD_S
    row = [
        f"{unresponsive}", f"{statistics.median(durations_s):.2f}", f"{max(durations_s):.2f}",
        f"{after['resident_bytes'] / 2**20:.0f}", f"{100 * cpu_fraction:.1f}",
    ]  # fmt: skip
    return row, max(durations_s)


def _ready_instances(count: int) -> Callable[[FleetStatus], bool]:
    """Return a condition of the status: `count` instances are ready."""
    return lambda status: status["ready"] == count


def _unresponsive_instances(count: int) -> Callable[[FleetStatus], bool]:
    """Return a condition of the status: `count` instances do not answer (state `silent`)."""
    return lambda status: sum(row["state"] == "silent" for row in status["instances"]) == count


def _resume(cluster: LocalCluster) -> None:
    """Continue the instances that were stopped."""
    for name in cluster.names[: max(UNRESPONSIVE_COUNTS)]:
        pid = cluster.instance(name)["pid"]
        if pid is not None:
            os.kill(pid, signal.SIGCONT)


def _timed_status(cluster: LocalCluster) -> float:
    began = time.monotonic()
    subprocess.run(
        [sys.executable, "-m", "juniperward", "fleet", "status", "-a", str(cluster.socket), "-o", "json"],
        cwd=ROOT, stdout=subprocess.DEVNULL, check=True,
    )  # fmt: skip
    return time.monotonic() - began
