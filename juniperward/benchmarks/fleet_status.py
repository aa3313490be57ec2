"""How long `fleet status` takes, and what an agent costs."""

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

UNRESPONSIVE_COUNTS = (0, 1, 10)  # instances stopped while `fleet status` is timed
LIMIT_S = 1.0  # the longest `fleet status` may take with all instances well
UNRESPONSIVE_LIMIT_S = 1.5  # and with some unresponsive, for which the agent waits
START_TIMEOUT_S = 120.0  # of all instances
SEEN_TIMEOUT_S = 30.0  # until the agent has seen which do not answer
CPU_SPAN_S = 10.0  # over which the agent's CPU is measured


def status(seed: int, out: Path, sizes: tuple[int, ...] = (10, 100), times: int = 20) -> bool:
    """Measure `fleet status` with all instances well, with one and ten unresponsive; and what the agent costs."""
    report = Report(
        "fleet status, and what an agent costs", f"juniperward measure status --seed {seed}", seed
    )
    report.say("The whole command, from its process's start to its end; CPU is that of the agent over 10 s.")
    rows: list[Row] = []
    good = True
    for size in sizes:
        with tempfile.TemporaryDirectory(prefix="jw-") as folder:
            patience = ClusterOptions(settings={"patience": {"silent": 2.0, "start": 60.0, "stop": 4.0}})
            with LocalCluster(Path(folder), size, DESTINATIONS[:2], seed, patience) as cluster:
                began = time.monotonic()
                cluster.start(ready=False)
                cluster.wait_until(_ready_instances(size), START_TIMEOUT_S)
                up = time.monotonic() - began
                for unresponsive in UNRESPONSIVE_COUNTS:
                    row, worst = _with_unresponsive(cluster, unresponsive, times)
                    rows.append([f"{size}", *row, f"{up:.1f}"])
                    good &= worst < (UNRESPONSIVE_LIMIT_S if unresponsive else LIMIT_S)
                _resume(cluster)
    report.table(
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
    return good


def _with_unresponsive(cluster: LocalCluster, unresponsive: int, times: int) -> tuple[Row, float]:
    """Stop the first `unresponsive` instances and time `fleet status`; return the row's cells and the worst time."""
    for name in cluster.names[:unresponsive]:
        os.kill(cluster.instance(name)["pid"], signal.SIGSTOP)
    cluster.wait_until(_unresponsive_instances(unresponsive), SEEN_TIMEOUT_S)
    durations_s = [_timed_status(cluster) for _ in range(times)]
    before = cluster.request("agent")
    time.sleep(CPU_SPAN_S)
    after = cluster.request("agent")
    cpu = (after["cpu_seconds"] - before["cpu_seconds"]) / CPU_SPAN_S
    row = [
        f"{unresponsive}", f"{statistics.median(durations_s):.2f}", f"{max(durations_s):.2f}",
        f"{after['resident_bytes'] / 2**20:.0f}", f"{100 * cpu:.1f}",
    ]  # fmt: skip
    return row, max(durations_s)


def _ready_instances(count: int) -> Callable[[FleetStatus], bool]:
    """Return whether so many instances are ready."""
    return lambda status: status["ready"] == count


def _unresponsive_instances(count: int) -> Callable[[FleetStatus], bool]:
    """Return whether so many instances do not answer; `silent` is the status's word."""
    return lambda status: sum(row["state"] == "silent" for row in status["instances"]) == count


def _resume(cluster: LocalCluster) -> None:
    """Let the instances that were stopped run again."""
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
