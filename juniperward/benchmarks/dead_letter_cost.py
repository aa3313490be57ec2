"""Measures what dead letters cost live traffic: redrives at the same time, and storing messages that are given up.

`juniperward measure dead-letter-cost` calls `storage_cost`.
"""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

from juniperward.agent import processes
from juniperward.benchmarks.dead_letter_cluster import dead_letter_cluster
from juniperward.benchmarks.local_cluster import LocalCluster
from juniperward.benchmarks.report import Report, Row, quantile
from juniperward.dead_letters.spool import Spool
from juniperward.dead_letters.spool_format import SpooledAttempt, SpooledMessage
from juniperward.fakes.checker import check
from juniperward.fakes.destination_spec import FaultMode
from juniperward.fakes.verdict import Verdict
from juniperward.scheduler.settings import Idempotency

REDRIVE_ID_PREFIX = "kept-"  # begins the message id of each redrive
SPOOL_BYTES = 100_000_000
BACKLOG_SIZES = (0, 1000, 10000)  # dead letters that wait to be redriven, one run for each size
LOAD_S = 12.0


def storage_cost(seed: int, out: Path) -> bool:
    """Measure live traffic during redrives, and a forwarder's CPU time with dead letters off and on.

    Writes keeping.md to `out`. Always returns True: no result counts as a failure.
    """
    report = Report(
        "Dead letters beside live traffic", f"juniperward measure dead-letter-cost --seed {seed}", seed
    )
    _report_live_traffic(report, seed)
    _report_storage(report, seed)
    report.write(out / "keeping.md")
    return True


def _live_verdict(cluster: LocalCluster) -> Verdict:
    """Return the checker's verdict on the live messages, without redrives."""
    records = list(cluster.recorder.records)
    return check([r for r in records if not getattr(r, "id", "").startswith(REDRIVE_ID_PREFIX)])


def _report_live_traffic(report: Report, seed: int) -> None:
    """Report the priority weight and latency of live traffic for each of BACKLOG_SIZES."""
    rows = [_measure_live_traffic(backlog, seed) for backlog in BACKLOG_SIZES]
    report.add_paragraph(
        "Live traffic at 100 messages a second for 12 s while dead letters wait to be redriven:"
    )
    report.add_table(
        ["waiting", "of them sent meanwhile", "fraction of live priority weight", "median ms", "p99 ms"], rows
    )


def _measure_live_traffic(backlog: int, seed: int) -> Row:
    with (
        tempfile.TemporaryDirectory(prefix="jw-") as folder,
        dead_letter_cluster(Path(folder), seed) as cluster,
    ):
        _fill_spool(Path(folder) / "run" / "spool" / "n0", backlog)
        cluster.start()
        clients = cluster.clients(100.0, LOAD_S, threads=48)
        clients.done.wait(60.0)
        stats = cluster.request("kept", action="stats")
        verdict = _live_verdict(cluster)
        return [
            f"{backlog}",
            f"{stats['stands'].get('delivered', 0)}",
            f"{verdict.priority_weight_delivered:.4f}",
            f"{quantile(verdict.latencies_s, 0.5) * 1000:.0f}",
            f"{quantile(verdict.latencies_s, 0.99) * 1000:.0f}",
        ]


def _fill_spool(folder: Path, messages: int) -> None:
    """Write dead letters that were given up within the last minute to a forwarder's spool."""
    spool = Spool(folder, SPOOL_BYTES)
    for number in range(messages):
        spool.append(_spooled_message(number))
    spool.close()


def _spooled_message(number: int) -> SpooledMessage:
    given_up_at = time.time() - 60.0 + number * 1e-4
    destination = 1 + number % 3
    return SpooledMessage(
        f"w{number}",
        "booking-update",
        "valiya-cluster",
        destination,
        f"kw{number}",
        b"x" * 50,
        given_up_at - 4,
        given_up_at,
        (SpooledAttempt("s-2-0", given_up_at, "full", False),),
        Idempotency.IDEMPOTENCY_KEY,
        12.0,
        tuple(f"s-{destination}-{endpoint}" for endpoint in (0, 1)),
    )


def _report_storage(report: Report, seed: int) -> None:
    """Report latency and CPU time with dead letters off and on while one of three destinations is down."""
    rows = [_measure_storage(stores, seed) for stores in (False, True, False, True)]
    report.add_paragraph(
        "One forwarder at 150 messages a second, with one of three destinations down throughout:"
    )
    report.add_table(["dead letters", "stored", "delivered: median ms", "p99 ms", "CPU ms a message"], rows)


def _measure_storage(stores: bool, seed: int) -> Row:
    with (
        tempfile.TemporaryDirectory(prefix="jw-") as folder,
        dead_letter_cluster(Path(folder), seed, 1, stores) as cluster,
    ):
        cluster.start()
        cluster.destinations[1].inject_fault(FaultMode.DOWN)
        pid = cluster.request("inspect", ["n0"])["status"]["pid"]
        cpu_before_s = processes.usage(pid)[0]
        clients = cluster.clients(150.0, LOAD_S, threads=64)
        clients.done.wait(60.0)
        time.sleep(5.0)
        cpu_s = processes.usage(pid)[0] - cpu_before_s
        verdict = _live_verdict(cluster)
        stored = cluster.request("inspect", ["n0"])["status"]["kept"]
        return [
            "on" if stores else "off",
            f"{stored}",
            f"{quantile(verdict.latencies_s, 0.5) * 1000:.1f}",
            f"{quantile(verdict.latencies_s, 0.99) * 1000:.1f}",
            f"{1000 * cpu_s / verdict.offered:.2f}",
        ]
