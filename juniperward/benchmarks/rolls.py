"""Rolling restarts under load, beside the same load without."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from juniperward.benchmarks.loaded_cluster import VERDICT_HEAD, under_load, verdict_row
from juniperward.benchmarks.local_cluster import LocalCluster
from juniperward.benchmarks.report import Report

VIOLATION_CHARACTERS = 3000  # of one in a report


class RollNotDoneError(RuntimeError):
    """A roll did not come to its end."""

    def __init__(self, mode: str, why: str) -> None:
        """Name the roll's mode, and why it is in it."""
        super().__init__(f"the roll is {mode}: {why}")


def rolls(seed: int, out: Path, instances: int = 10, rate: float = 100.0) -> bool:
    """Rolls of ten under load, by SIGTERM and SIGKILL and in batches, beside the same load without."""
    report = Report("Rolling restarts under load", f"juniperward measure rolls --seed {seed}", seed)
    report.add_paragraph(
        f"{instances} forwarders on one machine under one agent, 8 destinations, {rate:g} messages a second by the "
        "fakes. An endpoint drains amid each roll. Latency counts from when a message was due."
    )

    def rolled(**options: Any) -> Callable[[LocalCluster], float]:
        def during(cluster: LocalCluster) -> float:
            began = time.monotonic()
            cluster.request("roll", soak=0.5, **options)
            time.sleep(1.0)
            cluster.discovery.publish(*cluster.destinations[2].listed("Terminating", 0))
            found = cluster.roll_end(180.0)
            if found["mode"] != "done":
                raise RollNotDoneError(found["mode"], found["why"])
            return time.monotonic() - began

        return during

    cases: list[tuple[str, float, Callable[[LocalCluster], float]]] = [
        ("no roll", 45.0, lambda _: 0.0),
        ("one at a time", 45.0, rolled()),
        ("two at a time", 30.0, rolled(at_once=2, floor=instances - 2)),
        ("three at a time", 25.0, rolled(at_once=3, floor=instances - 3)),
        ("one at a time, SIGKILL", 45.0, rolled(kill=True)),
    ]
    rows, good, base = [], True, 1.0
    for name, seconds, during in cases:
        verdict, took, lateness = under_load(instances, rate, seconds, seed, during)
        base = verdict.priority_weight_delivered if name == "no roll" else base
        good &= verdict.passed
        rows.append(
            [*verdict_row(name, verdict, took, lateness), f"{verdict.priority_weight_delivered / base:.4f}"]
        )
        print(rows[-1], flush=True)
        for violation in verdict.violations[:3]:
            report.add_paragraph("```\n" + str(violation)[:VIOLATION_CHARACTERS] + "\n```")
    report.add_table([*VERDICT_HEAD, "priority weight against no roll"], rows)
    report.write(out / "rolls.md")
    return good
