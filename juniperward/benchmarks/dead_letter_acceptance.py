"""Checks dead letters end to end: an outage of a destination under load, with and without kills, over many seeds.

`juniperward measure dead-letters` calls `acceptance`. Each seed has its own cluster; clusters run in parallel
processes. The report has sums over all runs, and the runs that failed.
"""

from __future__ import annotations

import concurrent.futures
import os
import random
import signal
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from juniperward.benchmarks.dead_letter_cluster import (
    COUNT_NAMES,
    dead_letter_cluster,
    judge_dead_letters,
    wait_until_settled,
)
from juniperward.benchmarks.local_cluster import LocalCluster
from juniperward.benchmarks.report import Report, Row
from juniperward.fakes.destination_spec import FaultMode

PARALLEL_RUNS = 10
DEFAULT_OUTAGE_S = 10.0
MESSAGES_PER_S = 40.0
LOAD_AFTER_OUTAGE_S = 8.0
KILL_COUNT = 6
AGENT_KILL_PROBABILITY = 0.5  # otherwise a forwarder is killed
INSTANCES = 3
SUM_NAMES = ("runs", *COUNT_NAMES, "crashed", "rules broken")
MAX_ERROR_CHARACTERS = 300
MAX_VERDICT_CHARACTERS = 1500


@dataclass(frozen=True)
class RunResult:
    """The result of one run, sent from the run's process to the one that writes the report.

    Attributes:
        seed: The seed of the run.
        fault: The fault that was injected into the destination.
        killed: The number of processes that were killed.
        counts: The number of dead letters with each outcome, by the names in COUNT_NAMES.
        rules_held: Whether the checker found no violation.
        crashed: Whether the destination crashed because it was overloaded in its slow start.
        verdict_lines: The checker's verdict as text.
    """

    seed: int
    fault: FaultMode
    killed: int
    counts: dict[str, int]
    rules_held: bool
    crashed: bool
    verdict_lines: list[str]

    @property
    def passed(self) -> bool:
        """Whether no rule was violated, the destination did not crash, and no message was lost or executed twice."""
        executed_once = not self.counts["twice"] and not self.counts["missing"]
        return self.rules_held and not self.crashed and executed_once

    def contributions(self) -> dict[str, int]:
        """Return the run's contribution to each sum of SUM_NAMES."""
        return {
            "runs": 1,
            **self.counts,
            "crashed": int(self.crashed),
            "rules broken": int(not self.rules_held),
        }


class _Summary:
    """Sums over the runs, by fault and by whether processes were killed, and a row for each failed run."""

    def __init__(self) -> None:
        self.runs = 0
        self.failed_rows: list[Row] = []
        self._sums: dict[tuple[str, str], dict[str, int]] = {}

    def add(self, result: RunResult, kills: bool) -> None:
        """Add one run; `kills` says whether processes were killed in it."""
        self.runs += 1
        case = (result.fault, "six" if kills else "none")
        sums = self._sums.setdefault(case, dict.fromkeys(SUM_NAMES, 0))
        for name, value in result.contributions().items():
            sums[name] += value
        if not result.passed:
            counts = [f"{result.counts[name]}" for name in COUNT_NAMES]
            self.failed_rows.append([f"{result.seed}", result.fault, f"{result.killed}", *counts])

    def sum_rows(self) -> list[Row]:
        """Return a row of sums for each fault, without and with kills."""
        return [
            [*case, *(f"{sums[name]}" for name in SUM_NAMES)] for case, sums in sorted(self._sums.items())
        ]


def acceptance(seed: int, out: Path, rounds: int = 8, away: float = DEFAULT_OUTAGE_S) -> bool:
    """Put a destination through an outage of `away` seconds and a slow start under load, over `rounds` seeds.

    Each seed runs twice, without and with kills. Writes kept.md, or kept-AWAY.md if `away` is not the default, to
    `out`. Returns whether all runs completed and passed.
    """
    report = _begin_report(seed, rounds, away)
    cases = [(seed + n, kills) for n in range(rounds) for kills in (False, True)]
    summary = _Summary()
    all_passed = True
    with concurrent.futures.ProcessPoolExecutor(PARALLEL_RUNS) as pool:
        runs = {pool.submit(_run, run_seed, kills, away): (run_seed, kills) for run_seed, kills in cases}
        for run in concurrent.futures.as_completed(runs):
            run_seed, kills = runs[run]
            try:
                result = run.result()
            except Exception as error:  # an aborted run is reported and counts as failed
                all_passed = False
                report.add_paragraph(
                    f"seed {run_seed}, kills {kills}: no verdict: {error!r}"[:MAX_ERROR_CHARACTERS]
                )
                continue
            all_passed &= result.passed
            summary.add(result, kills)
            if not result.passed:
                _report_failure(report, result)
            print(f"{summary.runs} of {len(cases)}", flush=True)
    _report_summary(report, summary)
    report.write(out / ("kept.md" if away == DEFAULT_OUTAGE_S else f"kept-{away:g}.md"))
    return all_passed


def _begin_report(seed: int, rounds: int, away: float) -> Report:
    command = f"juniperward measure dead-letters --seed {seed} --rounds {rounds} --away {away:g}"
    report = Report("Dead letters after an outage", command, seed)
    report.add_paragraph(
        f"Three forwarders, 40 messages a second with a deadline of 4 s; one of three destinations is down, failing "
        f"or rejecting for {away:g} s and then recovers in slow start. With kills, the agent or a forwarder is "
        f"killed by SIGKILL, six times during the redrives. {PARALLEL_RUNS} runs at a time."
    )
    return report


def _report_failure(report: Report, result: RunResult) -> None:
    lines = "\n".join(result.verdict_lines)[:MAX_VERDICT_CHARACTERS]
    report.add_paragraph(f"seed {result.seed}, {result.fault}, kills {result.killed}:\n\n```\n{lines}\n```")


def _report_summary(report: Report, summary: _Summary) -> None:
    report.add_paragraph("Sums over all seeds:")
    report.add_table(["fault", "kills", *SUM_NAMES], summary.sum_rows())
    if summary.failed_rows:
        report.add_paragraph("Failed runs:")
        report.add_table(["seed", "fault", "kills", *COUNT_NAMES], summary.failed_rows)


def _run(seed: int, kills: bool, outage_s: float) -> RunResult:
    """Run one cluster through an outage; `seed` determines the fault, the pauses and which processes are killed."""
    generator = random.Random(seed)
    with (
        tempfile.TemporaryDirectory(prefix="jw-") as folder,
        dead_letter_cluster(Path(folder), seed, INSTANCES) as cluster,
    ):
        cluster.start()
        clients = cluster.clients(MESSAGES_PER_S, outage_s + LOAD_AFTER_OUTAGE_S, threads=48)
        time.sleep(2.0)
        fault = _cause_outage(cluster, generator, outage_s)
        killed = _kill_processes(cluster, generator, KILL_COUNT) if kills else 0
        clients.done.wait(60.0)
        cluster.wait_until(lambda status: status["ready"] == INSTANCES, 30.0)
        cluster.settle()
        wait_until_settled(cluster, 50.0 + outage_s)
        judgement = judge_dead_letters(cluster)
        return RunResult(
            seed=seed,
            fault=fault,
            killed=killed,
            counts=judgement.counts,
            rules_held=judgement.verdict.passed,
            crashed=cluster.destinations[1].capacity.crashed,
            verdict_lines=judgement.verdict.lines(),
        )


def _cause_outage(cluster: LocalCluster, generator: random.Random, outage_s: float) -> FaultMode:
    """Inject a random fault into destination 1, wait until it is over, and return it."""
    fault = generator.choice([FaultMode.DOWN, FaultMode.FAILING, FaultMode.REJECTING])
    cluster.destinations[1].inject_fault(fault, outage_s, fraction=0.9)
    recovery_at = time.monotonic() + outage_s
    while time.monotonic() < recovery_at:
        time.sleep(generator.uniform(0.5, 2.0))
    cluster.destinations[1].inject_fault(FaultMode.HEALTHY)
    return fault


def _kill_processes(cluster: LocalCluster, generator: random.Random, kills: int) -> int:
    """Kill the agent (and restart it) or a forwarder by SIGKILL, `kills` times; return `kills`."""
    for _ in range(kills):
        time.sleep(generator.uniform(0.2, 1.5))
        if generator.random() < AGENT_KILL_PROBABILITY:
            cluster.kill_agent()
            cluster.start_agent()
        else:
            _kill_forwarder(cluster, generator.choice(cluster.names))
    return kills


def _kill_forwarder(cluster: LocalCluster, name: str) -> None:
    if name in cluster.pids:
        os.kill(cluster.pids[name], signal.SIGKILL)
