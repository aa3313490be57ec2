"""How long `fleet status` takes, and what an agent costs."""

from __future__ import annotations

import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from juniperward.benchmarks.loaded_cluster import DESTINATIONS
from juniperward.benchmarks.local_cluster import ROOT, ClusterOptions, LocalCluster
from juniperward.benchmarks.report import Report, Row

SILENT_COUNTS = (0, 1, 10)  # instances stopped while `fleet status` is timed
LIMIT_S = 1.0  # the longest `fleet status` may take with all instances well
SILENT_LIMIT_S = 1.5  # and with some silent, whose agent waits for them
CPU_SPAN_S = 10.0  # over which the agent's CPU is measured


def status(seed: int, out: Path, sizes: tuple[int, ...] = (10, 100), times: int = 20) -> bool:
    """How long `fleet status` takes, with all instances well and with one and ten silent; what the agent costs."""
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
                cluster.until(lambda s, n=size: s["ready"] == n, 120.0)
                up = time.monotonic() - began
                for silent in SILENT_COUNTS:
                    row, worst = _with_silent(cluster, silent, times)
                    rows.append([f"{size}", *row, f"{up:.1f}"])
                    good &= worst < (SILENT_LIMIT_S if silent else LIMIT_S)
                _resume(cluster)
    report.table(
        [
            "instances",
            "silent",
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


def _with_silent(cluster: LocalCluster, silent: int, times: int) -> tuple[Row, float]:
    """Stop the first `silent` instances, time `fleet status` so often; return the row's cells and the worst time."""
    for name in cluster.names[:silent]:
        os.kill(cluster.row(name)["pid"], signal.SIGSTOP)
    cluster.until(lambda s, n=silent: sum(r["state"] == "silent" for r in s["instances"]) == n, 30.0)
    taken = [_timed_status(cluster) for _ in range(times)]
    before = cluster.ask("agent")
    time.sleep(CPU_SPAN_S)
    after = cluster.ask("agent")
    cpu = (after["cpu_seconds"] - before["cpu_seconds"]) / CPU_SPAN_S
    row = [
        f"{silent}", f"{statistics.median(taken):.2f}", f"{max(taken):.2f}",
        f"{after['resident_bytes'] / 2**20:.0f}", f"{100 * cpu:.1f}",
    ]  # fmt: skip
    return row, max(taken)


def _resume(cluster: LocalCluster) -> None:
    """Let the instances that were stopped run again."""
    for name in cluster.names[: max(SILENT_COUNTS)]:
        pid = cluster.row(name)["pid"]
        if pid is not None:
            os.kill(pid, signal.SIGCONT)


def _timed_status(cluster: LocalCluster) -> float:
    began = time.monotonic()
    subprocess.run(
        [sys.executable, "-m", "juniperward", "fleet", "status", "-a", str(cluster.socket), "-o", "json"],
        cwd=ROOT, stdout=subprocess.DEVNULL, check=True,
    )  # fmt: skip
    return time.monotonic() - began
