"""What dead letters cost live traffic: redrives beside it, and a forwarder that stores what it gives up.

`juniperward measure dead-letter-cost` calls `storage_cost` (see `measurements.py`).
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

REDRIVEN_ID_PREFIX = "kept-"  # of a redrive's message id, as the platform names it
SPOOL_BYTES = 100_000_000
WAITING = (0, 1000, 10000)  # dead letters that wait to be redriven, a run each
LOAD_S = 12.0


def storage_cost(seed: int, out: Path) -> bool:
    """Live traffic beside redrives, and what storing dead letters costs a forwarder; writes keeping.md.

    Returns True: the run reports figures and judges none.
    """
    report = Report(
        "Dead letters beside live traffic", f"juniperward measure dead-letter-cost --seed {seed}", seed
    )
    _report_live_beside_redrives(report, seed)
    _report_storing(report, seed)
    report.write(out / "keeping.md")
    return True


def _live_verdict(cluster: LocalCluster) -> Verdict:
    """Judge the live messages alone, without the redriven ones."""
    records = list(cluster.recorder.records)
    return check([r for r in records if not getattr(r, "id", "").startswith(REDRIVEN_ID_PREFIX)])


def _report_live_beside_redrives(report: Report, seed: int) -> None:
    """Live traffic's priority weight while so many dead letters wait to be redriven."""
    rows = [_live_beside_redrives(waiting, seed) for waiting in WAITING]
    report.say("Live traffic at 100 messages a second for 12 s while others wait to be sent again:")
    report.table(
        ["waiting", "of them sent meanwhile", "fraction of live priority weight", "median ms", "p99 ms"], rows
    )


def _live_beside_redrives(waiting: int, seed: int) -> Row:
    with (
        tempfile.TemporaryDirectory(prefix="jw-") as folder,
        dead_letter_cluster(Path(folder), seed) as cluster,
    ):
        _fill_spool(Path(folder) / "run" / "spool" / "n0", waiting)
        cluster.start()
        clients = cluster.clients(100.0, LOAD_S, threads=48)
        clients.done.wait(60.0)
        stats = cluster.request("kept", action="stats")
        verdict = _live_verdict(cluster)
        return [
            f"{waiting}",
            f"{stats['stands'].get('delivered', 0)}",
            f"{verdict.priority_weight_delivered:.4f}",
            f"{quantile(verdict.latencies_s, 0.5) * 1000:.0f}",
            f"{quantile(verdict.latencies_s, 0.99) * 1000:.0f}",
        ]


def _fill_spool(folder: Path, messages: int) -> None:
    """Write so many dead letters to a forwarder's spool, all given up within the last minute."""
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


def _report_storing(report: Report, seed: int) -> None:
    """What storing dead letters costs the others while a third of all messages are given up."""
    rows = [_storing(stores, seed) for stores in (False, True, False, True)]
    report.say("One forwarder at 150 messages a second, one of three destinations down all the time:")
    report.table(["dead letters", "stored", "delivered: median ms", "p99 ms", "CPU ms a message"], rows)


def _storing(stores: bool, seed: int) -> Row:
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
