"""A local cluster that stores dead letters, and how its dead letters ended: the measurements' common part.

`dead_letter_acceptance` and `dead_letter_cost` call these: `dead_letter_cluster` makes the cluster,
`wait_until_settled` waits for redrives to end, `judge_dead_letters` counts how each dead letter ended and adds the
redrives to what the checker judges.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from juniperward.agent.client import AgentRejectedError, AgentUnreachableError
from juniperward.benchmarks.local_cluster import LocalCluster
from juniperward.dead_letters.dead_letter import Status
from juniperward.fakes.destination_spec import DestinationSpec
from juniperward.fakes.records import Effect, SubmissionAnswered, Submitted
from juniperward.fakes.verdict import Verdict
from juniperward.settings import fleet_pb2

WARM_UP_S = 5.0
DEADLINE_S = 4.0  # of a message
COUNTED = ("kept", "once", "twice", "missing", "uncertain", "uncertain sent")


@dataclass(frozen=True)
class DeadLetterJudgement:
    """The checker's verdict on a run, and how many dead letters ended each way (keys: `COUNTED`)."""

    verdict: Verdict
    counts: dict[str, int]


def dead_letter_cluster(folder: Path, seed: int, instances: int = 3, stores: bool = True) -> LocalCluster:
    """Return a cluster, not yet started, whose messages live for four seconds.

    With `stores`, what its forwarders give up is stored as dead letters and redriven by one rule (at most 20
    redrives a message). `folder` holds its files; `seed` drives its load and faults.
    """
    destinations = [DestinationSpec(d, latency_s=0.03, warm_up_s=WARM_UP_S, concurrency=8) for d in (1, 2, 3)]
    cluster = LocalCluster(folder, instances, destinations, seed)
    cluster.base["settings"]["Services"][0] |= {"DeadlineMs": DEADLINE_S * 1000, "AimMs": 1000.0}
    cluster.base["settings"]["Invariants"] |= {"WarmWithinMs": WARM_UP_S * 1000}
    if stores:
        pace = fleet_pb2.ResendPace(first=5, step=5, most=40)
        cluster.files.dead_letters = fleet_pb2.Kept(on=True, pace=pace)
        cluster.files.dead_letters.rule.add(name="all", most_resends=20)
    return cluster


def all_dead_letters(cluster: LocalCluster) -> list[dict[str, Any]]:
    """Return every message of the dead-letter store, as the control channel lists it, page by page."""
    rows: list[dict[str, Any]] = []
    after: Any = None
    while True:
        found = cluster.request("kept", action="list", limit=500, after=after)
        rows += found["messages"]
        after = found["next"]
        if after is None:
            return rows


def wait_until_settled(cluster: LocalCluster, patience: float) -> None:
    """Wait until no dead letter that may be redriven is left, for at most `patience` seconds."""
    calm = time.monotonic()
    until = calm + patience
    while time.monotonic() < until:
        try:
            busy = cluster.request("kept", action="stats")["open"]
            if busy or any(
                r["stand"] == Status.STORED and r["kind"] != "uncertain" for r in all_dead_letters(cluster)
            ):
                calm = time.monotonic()
            elif time.monotonic() - calm > 1.0:  # longer than a spool may wait to be read into the store
                return
        except (AgentUnreachableError, AgentRejectedError):
            pass
        time.sleep(0.25)


def judge_dead_letters(cluster: LocalCluster) -> DeadLetterJudgement:
    """Return the checker's verdict, with the redrives among the clients, and how the dead letters ended."""
    rows = all_dead_letters(cluster)
    effects: dict[str, int] = {}
    for record in cluster.recorder.records:
        if isinstance(record, Effect):
            effects[record.key] = effects.get(record.key, 0) + 1
    counts = dict.fromkeys(COUNTED, 0) | {"kept": len(rows)}
    for row in rows:
        times = effects.get(row["key"], 0)
        counts["twice"] += times > 1
        if row["stand"] == Status.DELIVERED:
            counts["once"] += times == 1
            counts["missing"] += times == 0
        elif row["kind"] == "uncertain":
            counts["uncertain"] += 1
        else:
            counts["missing"] += 1
        _record_redrives(cluster, row)
    return DeadLetterJudgement(cluster.verdict(), counts)


def _record_redrives(cluster: LocalCluster, row: dict[str, Any]) -> None:
    """Record each redrive of a dead letter as a submission, so that the checker judges it with the clients'."""
    redrives = cluster.request("kept", action="show", id=row["id"])["resent"]
    for number, redrive in enumerate(redrives):
        submitted_at = redrive["claimed_at"] - time.time() + time.monotonic()
        cluster.recorder.add(
            Submitted(
                submitted_at,
                redrive["id"],
                f"{row['id']}r{number}",
                row["key"],
                "booking-update",
                row["account"],
                row["destination"],
                redrive["forwarder"],
                submitted_at,
                submitted_at + DEADLINE_S,
            )
        )
        accepted = redrive["end"] not in ("refused", "never taken")
        status = 202 if accepted else 503
        cluster.recorder.add(SubmissionAnswered(submitted_at + 0.01, redrive["id"], status))
