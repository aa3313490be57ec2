"""Kills the agent at random moments of rolls, and checks the fleet afterwards.

`juniperward measure chaos` calls `chaos`.
"""

from __future__ import annotations

import random
import signal
import statistics
import tempfile
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from juniperward.agent import processes
from juniperward.agent.client import AgentUnreachableError
from juniperward.benchmarks.loaded_cluster import DESTINATIONS, VERDICT_HEAD, verdict_row
from juniperward.benchmarks.local_cluster import ClusterOptions, LocalCluster
from juniperward.benchmarks.report import Report
from juniperward.fleet.model import Process

MAX_VIOLATION_CHARACTERS = 3000
FLEET_SETTINGS = {"patience": {"silent": 1.0, "start": 8.0, "stop": 2.0}}
BATCH_S = 10.0
# The probability that a round stops an instance by SIGSTOP.
STOP_PROBABILITY = 0.25


class _Load:
    """A continuous load: batches of clients, one after the other, until `end` is called."""

    def __init__(self, cluster: LocalCluster, rate: float) -> None:
        self._cluster, self._rate = cluster, rate
        self._end = threading.Event()
        self._batches = [cluster.clients(rate, BATCH_S, threads=64, name="c0-")]
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        number = 1
        while not self._end.is_set():
            self._batches[-1].done.wait(BATCH_S + 2.0)
            if not self._end.is_set():
                self._batches.append(
                    self._cluster.clients(self._rate, BATCH_S, threads=64, name=f"c{number}-")
                )
            number += 1

    def end(self) -> None:
        """Start no further batch, and wait for those that run."""
        self._end.set()
        self._thread.join(15.0)
        for batch in self._batches:
            batch.done.wait(40.0)

    def lateness(self) -> list[float]:
        """Return by how many seconds the clients sent each message late."""
        return [late_s for batch in self._batches for late_s in batch.lateness_s]


@dataclass(slots=True)
class _Counts:
    """How often each fault and event occurred; `restarts_s` has the duration of each restart of the agent."""

    stops: int = 0
    rolls_done: int = 0
    pauses: int = 0
    restarts_s: list[float] = field(default_factory=list)


class _ChaosRun:
    """Kills the agent and stops instances at random moments of rolls."""

    def __init__(self, cluster: LocalCluster, instances: int, seed: int) -> None:
        self.counts = _Counts()
        self._cluster, self._instances = cluster, instances
        self._random = random.Random(seed)
        self._stopped: Process | None = None

    def round(self) -> bool:
        """Keep a roll under way, perhaps stop an instance, then kill and restart the agent.

        Returns False, with nothing done, if the agent does not answer.
        """
        try:
            status = self._cluster.request("status")
        except AgentUnreachableError:
            return False
        self._keep_rolling(status["roll"])
        if self._random.random() < STOP_PROBABILITY:
            self._stop_one([row for row in status["instances"] if row["state"] == "ready"])
        time.sleep(self._random.uniform(0.05, 1.5))
        self._cluster.kill_agent()
        time.sleep(self._random.uniform(0.0, 0.5))
        began = time.monotonic()
        self._cluster.start_agent()
        self.counts.restarts_s.append(time.monotonic() - began)
        return True

    def _keep_rolling(self, roll: dict[str, Any] | None) -> None:
        if roll is None or roll["over"]:
            self.counts.rolls_done += roll is not None and roll["mode"] == "done"
            floor = self._instances - 3
            self._cluster.request("roll", soak=0.0, drain=2.0, at_once=2, floor=floor, soak_most=1.0)
        elif roll["mode"] == "paused":
            self.counts.pauses += 1
            self._cluster.request("roll_resume")

    def _stop_one(self, ready: list[dict[str, Any]]) -> None:
        """Stop a ready instance by SIGSTOP, unless one is stopped already."""
        if ready and (self._stopped is None or not processes.alive(self._stopped)):
            self._stopped = processes.identify(self._random.choice(ready)["pid"])
            if self._stopped is not None:
                self.counts.stops += processes.send_signal(self._stopped, signal.SIGSTOP)


def chaos(seed: int, out: Path, rounds: int = 50, instances: int = 10, rate: float = 60.0) -> bool:
    """Kill the agent `rounds` times at random moments of rolls, with at most one instance stopped by SIGSTOP.

    Writes chaos.md to `out`. Returns whether the checker found no violation and exactly `instances` processes run
    at the end.
    """
    command = f"juniperward measure chaos --seed {seed} --rounds {rounds}"
    report = Report("The agent killed amid rolls", command, seed)
    report.add_paragraph(
        f"{instances} forwarders under load at {rate:g} messages a second; roll after roll, while a random one is "
        f"stopped by SIGSTOP and the agent is killed by SIGKILL at random moments, {rounds} times, and started again."
    )
    with (
        tempfile.TemporaryDirectory(prefix="jw-") as folder,
        LocalCluster(
            Path(folder), instances, DESTINATIONS, seed, ClusterOptions(settings=FLEET_SETTINGS)
        ) as cluster,
    ):
        cluster.start()
        load, run = _Load(cluster, rate), _ChaosRun(cluster, instances, seed)
        kills = 0
        while kills < rounds:
            kills += run.round()
        load.end()
        _settle(cluster, instances)
        verdict = cluster.verdict()
        running = processes.find_instances(str(cluster.folder / "run"))
    report.add_table(VERDICT_HEAD, [verdict_row("chaos", verdict, 0.0, load.lateness())])
    _report_counts(report, run.counts, kills, len(running))
    for violation in verdict.violations[:5]:
        report.add_paragraph("```\n" + str(violation)[:MAX_VIOLATION_CHARACTERS] + "\n```")
    report.write(out / "chaos.md")
    return verdict.passed and len(running) == instances


def _settle(cluster: LocalCluster, instances: int) -> None:
    """Wait for the last roll to end, and have unresponsive instances killed and restarted."""
    cluster.roll_end(90.0)
    for row in cluster.request("status")["instances"]:
        if row["state"] == "silent":
            cluster.request("kill", [row["name"]])
    cluster.wait_until(lambda status: status["ready"] == instances, 90.0)
    cluster.settle(60.0)


def _report_counts(report: Report, counts: _Counts, kills: int, running: int) -> None:
    head = [
        "agent killed",
        "instances stopped by SIGSTOP",
        "rolls ended",
        "pauses",
        "agent back, median s",
        "worst s",
        "processes of the fleet at the end",
    ]
    row = [
        f"{kills}",
        f"{counts.stops}",
        f"{counts.rolls_done}",
        f"{counts.pauses}",
        f"{statistics.median(counts.restarts_s):.2f}",
        f"{max(counts.restarts_s):.2f}",
        f"{running}",
    ]
    report.add_table(head, [row])
