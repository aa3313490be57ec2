"""Measures rolling restarts under load, against the same load without a roll.

`juniperward measure rolls` calls `rolls`.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from juniperward.benchmarks.loaded_cluster import VERDICT_HEAD, under_load, verdict_row
from juniperward.benchmarks.local_cluster import LocalCluster
from juniperward.benchmarks.report import Report

MAX_VIOLATION_CHARACTERS = 3000


class RollNotDoneError(RuntimeError):
    """A roll was paused or aborted instead of being completed."""

    def __init__(self, mode: str, why: str) -> None:
        """Name the roll's mode and the reason for it."""
        super().__init__(f"the roll was not completed; its mode is {mode}: {why}")


def _roll_with(**options: Any) -> Callable[[LocalCluster], float]:
    """Return a function that rolls a cluster with these options and returns the seconds that it took."""

    def roll_cluster(cluster: LocalCluster) -> float:
        """Roll the cluster, with an endpoint draining; raises RollNotDoneError."""
        began = time.monotonic()
        cluster.request("roll", soak=0.5, **options)
        time.sleep(1.0)
        cluster.discovery.publish(*cluster.destinations[2].listed_endpoints("Terminating", 0))
        roll = cluster.roll_end(180.0)
        if roll["mode"] != "done":
            raise RollNotDoneError(roll["mode"], roll["why"])
        return time.monotonic() - began

    return roll_cluster


def rolls(seed: int, out: Path, instances: int = 10, rate: float = 100.0) -> bool:
    """Roll a fleet under load: one instance at a time, in batches, and by SIGKILL; compare with no roll.

    Writes rolls.md to `out`. Returns whether the checker found no violation; raises RollNotDoneError.
    """
    report = Report("Rolling restarts under load", f"juniperward measure rolls --seed {seed}", seed)
    report.add_paragraph(
        f"{instances} forwarders on one machine under one agent, 8 destinations, {rate:g} messages a second "
        "from fake clients. An endpoint drains during each roll. Latency is counted from when a message was due."
    )

    cases: list[tuple[str, float, Callable[[LocalCluster], float]]] = [
        ("no roll", 45.0, lambda _: 0.0),
        ("one at a time", 45.0, _roll_with()),
        ("two at a time", 30.0, _roll_with(at_once=2, floor=instances - 2)),
        ("three at a time", 25.0, _roll_with(at_once=3, floor=instances - 3)),
        ("one at a time, SIGKILL", 45.0, _roll_with(kill=True)),
    ]
    rows, passed, baseline = [], True, 1.0
    for name, seconds, run_roll in cases:
        verdict, roll_s, lateness = under_load(instances, rate, seconds, seed, run_roll)
        baseline = verdict.priority_weight_delivered if name == "no roll" else baseline
        passed &= verdict.passed
        rows.append(
            [
                *verdict_row(name, verdict, roll_s, lateness),
                f"{verdict.priority_weight_delivered / baseline:.4f}",
            ]
        )
        print(rows[-1], flush=True)
        for violation in verdict.violations[:3]:
            report.add_paragraph("```\n" + str(violation)[:MAX_VIOLATION_CHARACTERS] + "\n```")
    report.add_table([*VERDICT_HEAD, "priority weight against no roll"], rows)
    report.write(out / "rolls.md")
    return passed
