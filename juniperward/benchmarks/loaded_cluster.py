"""Runs a local cluster under load, and formats the verdict as a table row."""

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
    """Return a table row under VERDICT_HEAD.

    `seconds` is how long the roll took (0 if there was none); `lateness` has the seconds by which the clients sent
    each message late.
    """
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
    """Send `rate` messages per second to a cluster for `seconds`, and call `during` after two seconds.

    Returns the verdict, the result of `during`, and the seconds by which the clients sent each message late.
    """
    with (
        tempfile.TemporaryDirectory(prefix="jw-") as folder,
        LocalCluster(Path(folder), instances, DESTINATIONS, seed) as cluster,
    ):
        cluster.start()
        clients = cluster.clients(rate, seconds, threads=96)
        time.sleep(2.0)
        during_result_s = during(cluster)
        clients.done.wait(seconds + 60.0)
        cluster.wait_until(lambda status: status["ready"] == instances, 60.0)
        cluster.settle(40.0)
        return cluster.verdict(), during_result_s, clients.lateness_s
