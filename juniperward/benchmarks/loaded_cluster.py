"""A local cluster under load, its destinations, and the row of a table that says how a run went."""

from __future__ import annotations

import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from juniperward.benchmarks.local_cluster import LocalCluster
from juniperward.benchmarks.report import Row, quantile
from juniperward.fakes.destination_spec import DestinationSpec
from juniperward.fakes.verdict import Verdict

DESTINATIONS = [
    DestinationSpec(1, "booking-sites", endpoints=2, latency_s=0.06, rate_limit=120.0, batch_size=20),
    *(DestinationSpec(d, endpoints=2, latency_s=0.02 + 0.01 * d) for d in range(2, 9)),
]


VERDICT_HEAD = [
    "run", "messages", "accepted", "delivered", "notified", "rejected", "no answer", "retries",
    "fraction of priority weight", "median ms", "p99 ms", "roll s", "rules", "clients' own lateness p99 ms",
]  # fmt: skip


def verdict_row(name: str, verdict: Verdict, seconds: float, lateness: list[float]) -> Row:
    """Return a row under VERDICT_HEAD; `lateness` is that of the clients, in seconds."""
    rules = "held" if verdict.passed else f"{len(verdict.violations)} broken"
    return [
        name,
        f"{verdict.offered}",
        f"{verdict.accepted}",
        f"{verdict.delivered}",
        f"{verdict.notified}",
        f"{verdict.rejected}",
        f"{verdict.unanswered}",
        f"{verdict.retries}",
        f"{verdict.priority_weight_delivered:.4f}",
        f"{quantile(verdict.latencies_s, 0.5) * 1000:.0f}",
        f"{quantile(verdict.latencies_s, 0.99) * 1000:.0f}",
        f"{seconds:.1f}" if seconds else "-",
        rules,
        f"{quantile(lateness, 0.99) * 1000:.0f}",
    ]


def under_load(
    instances: int, rate: float, seconds: float, seed: int, during: Callable[[LocalCluster], float]
) -> tuple[Verdict, float, list[float]]:
    """Load a cluster for so long with something done amid it.

    Returns the verdict, how long that took, and the clients' lateness, in seconds.
    """
    with (
        tempfile.TemporaryDirectory(prefix="jw-") as folder,
        LocalCluster(Path(folder), instances, DESTINATIONS, seed) as cluster,
    ):
        cluster.start()
        clients = cluster.clients(rate, seconds, threads=96)
        time.sleep(2.0)
        took = during(cluster)
        clients.done.wait(seconds + 60.0)
        cluster.wait_until(lambda status: status["ready"] == instances, 60.0)
        cluster.settle(40.0)
        return cluster.verdict(), took, clients.lateness_s
