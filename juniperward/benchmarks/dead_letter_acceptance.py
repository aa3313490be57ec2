"""The acceptance run of dead letters: an outage under load, with and without kills, over many seeds.

`juniperward measure dead-letters` calls `acceptance` (see `measurements.py`); it runs a cluster of its own for
each seed, in processes side by side, and writes one page of sums and of the runs that failed.
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
    COUNTED,
    dead_letter_cluster,
    judge_dead_letters,
    wait_until_settled,
)
from juniperward.benchmarks.local_cluster import LocalCluster
from juniperward.benchmarks.report import Report, Row
from juniperward.fakes.destination_spec import FaultMode

PARALLEL_RUNS = 10
DEFAULT_OUTAGE_S = 10.0
LOAD_PER_S = 40.0  # messages
LOAD_AFTER_OUTAGE_S = 8.0
KILLS = 6  # of a run with kills
AGENT_KILL_PROBABILITY = 0.5  # otherwise a forwarder is killed
INSTANCES = 3
SUMMED = ("runs", *COUNTED, "crashed", "rules broken")
MAX_ERROR_CHARACTERS = 300
MAX_VERDICT_CHARACTERS = 1500


@dataclass(frozen=True)
class RunResult:
    """How one run ended; it crosses from the run's process to the report's."""

    seed: int
    fault: FaultMode
    killed: int  # processes
    counts: dict[str, int]  # dead letters that ended each way, by the names of COUNTED
    rules_held: bool  # by the checker
    crashed: bool  # the destination, overloaded in its slow start
    verdict_lines: list[str]

    @property
    def passed(self) -> bool:
        """Whether no rule broke, the destination stood the redrives, and each effect happened once."""
        executed_once = not self.counts["twice"] and not self.counts["missing"]
        return self.rules_held and not self.crashed and executed_once

    def summands(self) -> dict[str, int]:
        """Return what the run adds to each of SUMMED."""
        return {
            "runs": 1,
            **self.counts,
            "crashed": int(self.crashed),
            "rules broken": int(not self.rules_held),
        }


class _Summary:
    """Sums of the runs by fault and kills, and a row for each run that failed."""

    def __init__(self) -> None:
        self.runs = 0
        self.failed_rows: list[Row] = []
        self._sums: dict[tuple[str, str], dict[str, int]] = {}

    def add(self, result: RunResult, kills: bool) -> None:
        """Add one run to the sums of its fault."""
        self.runs += 1
        case = (result.fault, "six" if kills else "none")
        sums = self._sums.setdefault(case, dict.fromkeys(SUMMED, 0))
        for name, value in result.summands().items():
            sums[name] += value
        if not result.passed:
            counts = [f"{result.counts[name]}" for name in COUNTED]
            self.failed_rows.append([f"{result.seed}", result.fault, f"{result.killed}", *counts])

    def sum_rows(self) -> list[Row]:
        """Return a row of sums for each fault, without and with kills."""
        return [[*case, *(f"{sums[name]}" for name in SUMMED)] for case, sums in sorted(self._sums.items())]


def acceptance(seed: int, out: Path, rounds: int = 8, away: float = DEFAULT_OUTAGE_S) -> bool:
    """A destination has an outage of `away` seconds under load and recovers in slow start, over `rounds` seeds.

    Each seed runs once without kills and once with. Writes kept.md (or kept-AWAY.md) under `out`; returns True if
    every run ended and none failed.
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
            except Exception as error:  # a run that could not be ended is reported, and counts as a failure
                all_passed = False
                report.say(f"seed {run_seed}, kills {kills}: no verdict: {error!r}"[:MAX_ERROR_CHARACTERS])
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
    report.say(
        f"Three forwarders, 40 messages a second that live for 4 s; one of three destinations is down, failing or "
        f"rejecting for {away:g} s and comes back warming up. With kills, agent or a forwarder is killed by SIGKILL "
        f"six times while redrives go on. {PARALLEL_RUNS} runs at a time."
    )
    return report


def _report_failure(report: Report, result: RunResult) -> None:
    lines = "\n".join(result.verdict_lines)[:MAX_VERDICT_CHARACTERS]
    report.say(f"seed {result.seed}, {result.fault}, kills {result.killed}:\n\n```\n{lines}\n```")


def _report_summary(report: Report, summary: _Summary) -> None:
    report.say("Sums over all seeds:")
    report.table(["fault", "kills", *SUMMED], summary.sum_rows())
    if summary.failed_rows:
        report.say("Runs in which something was not as it must be:")
        report.table(["seed", "fault", "kills", *COUNTED], summary.failed_rows)


def _run(seed: int, kills: bool, outage_s: float) -> RunResult:
    """Run one cluster through an outage; `seed` chooses the fault, the pauses and what is killed."""
    generator = random.Random(seed)
    with (
        tempfile.TemporaryDirectory(prefix="jw-") as folder,
        dead_letter_cluster(Path(folder), seed, INSTANCES) as cluster,
    ):
        cluster.start()
        clients = cluster.clients(LOAD_PER_S, outage_s + LOAD_AFTER_OUTAGE_S, threads=48)
        time.sleep(2.0)
        fault = _cause_outage(cluster, generator, outage_s)
        killed = _kill_processes(cluster, generator, KILLS) if kills else 0
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
    """Inject a fault into destination 1, return it once the destination is healthy again."""
    fault = generator.choice([FaultMode.DOWN, FaultMode.FAILING, FaultMode.REJECTING])
    cluster.destinations[1].inject_fault(fault, outage_s, fraction=0.9)
    recovery_at = time.monotonic() + outage_s
    while time.monotonic() < recovery_at:
        time.sleep(generator.uniform(0.5, 2.0))
    cluster.destinations[1].inject_fault(FaultMode.HEALTHY)
    return fault


def _kill_processes(cluster: LocalCluster, generator: random.Random, kills: int) -> int:
    """Kill the agent (and start it again) or a forwarder by SIGKILL, so many times; return the number."""
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
