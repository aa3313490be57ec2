"""A local cluster that stores dead letters, and the check of their outcomes.

`dead_letter_cluster` creates the cluster, `wait_until_settled` waits until no redrive is pending, and
`judge_dead_letters` counts the outcomes of the dead letters and has the checker judge the redrives too.
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
MESSAGE_DEADLINE_S = 4.0
MIN_SETTLED_S = 1.0  # longer than a spooled message takes to appear in the store
COUNT_NAMES = ("kept", "once", "twice", "missing", "uncertain", "uncertain sent")


@dataclass(frozen=True)
class DeadLetterJudgement:
    """The checker's verdict on a run, and the number of dead letters by outcome (the names in COUNT_NAMES)."""

    verdict: Verdict
    counts: dict[str, int]


def dead_letter_cluster(folder: Path, seed: int, instances: int = 3, stores: bool = True) -> LocalCluster:
    """Return a cluster, not yet started, whose messages have a deadline of MESSAGE_DEADLINE_S.

    With `stores`, messages that its forwarders give up are stored as dead letters, and one rule redrives each of
    them up to 20 times. The cluster's files go to `folder`; `seed` is that of its load and faults.
    """
    destinations = [DestinationSpec(d, latency_s=0.03, warm_up_s=WARM_UP_S, concurrency=8) for d in (1, 2, 3)]
    cluster = LocalCluster(folder, instances, destinations, seed)
    cluster.base["settings"]["Services"][0] |= {"DeadlineMs": MESSAGE_DEADLINE_S * 1000, "AimMs": 1000.0}
    cluster.base["settings"]["Invariants"] |= {"WarmWithinMs": WARM_UP_S * 1000}
    if stores:
        pace = fleet_pb2.ResendPace(first=5, step=5, most=40)
        cluster.files.dead_letters = fleet_pb2.Kept(on=True, pace=pace)
        cluster.files.dead_letters.rule.add(name="all", most_resends=20)
    return cluster


def all_dead_letters(cluster: LocalCluster) -> list[dict[str, Any]]:
    """Return all messages of the dead-letter store, as the agent's API lists them."""
    rows: list[dict[str, Any]] = []
    after: Any = None
    while True:
        page = cluster.request("kept", action="list", limit=500, after=after)
        rows += page["messages"]
        after = page["next"]
        if after is None:
            return rows


def wait_until_settled(cluster: LocalCluster, timeout_s: float) -> None:
    """Wait until no dead letter is left to redrive, for at most `timeout_s` seconds; a timeout raises nothing."""
    settled_since = time.monotonic()
    deadline = settled_since + timeout_s
    while time.monotonic() < deadline:
        try:
            busy = cluster.request("kept", action="stats")["open"]
            if busy or any(
                row["stand"] == Status.STORED and row["kind"] != "uncertain"
                for row in all_dead_letters(cluster)
            ):
                settled_since = time.monotonic()
            elif time.monotonic() - settled_since > MIN_SETTLED_S:
                return
        except (AgentUnreachableError, AgentRejectedError):
            pass
        time.sleep(0.25)


def judge_dead_letters(cluster: LocalCluster) -> DeadLetterJudgement:
    """Return the checker's verdict on all submissions and redrives, and the outcomes of the dead letters."""
    rows = all_dead_letters(cluster)
    effects: dict[str, int] = {}
    for record in cluster.recorder.records:
        if isinstance(record, Effect):
            effects[record.key] = effects.get(record.key, 0) + 1
    counts = dict.fromkeys(COUNT_NAMES, 0) | {"kept": len(rows)}
    for row in rows:
        effect_count = effects.get(row["key"], 0)
        counts["twice"] += effect_count > 1
        if row["stand"] == Status.DELIVERED:
            counts["once"] += effect_count == 1
            counts["missing"] += effect_count == 0
        elif row["kind"] == "uncertain":
            counts["uncertain"] += 1
        else:
            counts["missing"] += 1
        _record_redrives(cluster, row)
    return DeadLetterJudgement(cluster.verdict(), counts)


def _record_redrives(cluster: LocalCluster, row: dict[str, Any]) -> None:
    """Record each redrive of a dead letter as a submission, so that the checker judges it like one of a client."""
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
                submitted_at + MESSAGE_DEADLINE_S,
            )
        )
        accepted = redrive["end"] not in ("refused", "never taken")
        status = 202 if accepted else 503
        cluster.recorder.add(SubmissionAnswered(submitted_at + 0.01, redrive["id"], status))
