"""Experiments: runs of scenarios under policies over seeds, spread over processes and stored as they end.

What is in the experiment's folder already is not run again, so an experiment that was killed goes on where it stood
(`result_store`). A stored result has all that is needed to repeat it. Called by the command line, the search and the
benchmarks.
"""

from __future__ import annotations

import concurrent.futures
import functools
import hashlib
import os
import platform
import subprocess
import time
from collections.abc import Callable, Sequence
from concurrent.futures.process import BrokenProcessPool
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any, NamedTuple

import numpy as np

from juniperward.simulation.model import RunResult
from juniperward.simulation.policies import POLICIES
from juniperward.simulation.result import Result, RunKey
from juniperward.simulation.result_store import ResultStore
from juniperward.simulation.scenario import Scenario
from juniperward.simulation.scenario_loader import parse
from juniperward.simulation.world import World

MICROSECONDS = 1e6
POOL_ATTEMPTS = 2  # the second for the runs of a process that died
GIT_TIMEOUT_S = 10.0
# What may differ between two runs of one key, or names the run; all else must come out the same.
NOT_REPLAYED = frozenset(
    {"scenario", "digest", "policy", "seed", "wall_time_s", "scenario_text", "revision", "machine", "version"}
)


class NoScenarioTextError(ValueError):
    """A result of an early version cannot be replayed."""

    def __init__(self) -> None:
        """Say why."""
        super().__init__("a result of version 1 has no text of its scenario: it cannot be replayed")


class Difference(NamedTuple):
    """A figure that came out otherwise in a replay."""

    stored: Any
    replayed: Any


@dataclass(frozen=True, slots=True)
class Run:
    """One run of an experiment."""

    scenario: Scenario
    policy: str
    seed: int

    @property
    def key(self) -> RunKey:
        """What names its result."""
        return RunKey(digest(self.scenario), self.policy, self.seed)


@dataclass(frozen=True, slots=True)
class ExperimentPlan:
    """What an experiment runs: each scenario under each policy with each seed."""

    scenarios: Sequence[Scenario]
    policies: Sequence[str]
    seeds: Sequence[int]
    processes: int | None = None  # runs at once; None: one a core

    def runs(self) -> list[Run]:
        """Return all runs, by scenario, policy and seed."""
        return [
            Run(scenario, policy, seed)
            for scenario in self.scenarios
            for policy in self.policies
            for seed in self.seeds
        ]


OnProgress = Callable[[int, int, Result], None]  # runs done, runs planned, the result of the run that ended


def _no_progress(_done: int, _planned: int, _result: Result) -> None:
    pass


def digest(scenario: Scenario) -> str:
    """Return a name of a scenario by its text."""
    return hashlib.sha256(scenario.text.encode()).hexdigest()[:12]


def run_scenario(text: str, name: str, policy: str, seed: int) -> Result:
    """Run a scenario once, from its text; `name` is its file's. Called in a process of its own."""
    scenario = parse(text, name)
    began = time.monotonic()
    run = World(scenario, POLICIES[policy], seed).run()
    return Result(
        scenario=scenario.name,
        digest=digest(scenario),
        policy=policy,
        seed=seed,
        utility=run.utility,
        requested=run.requested,
        delivered=run.delivered,
        rejected=run.rejected,
        failed=run.failed,
        median_s=_latency_s(run, 50.0),
        p99_s=_latency_s(run, 99.0),
        calls=run.calls,
        calls_rejected=run.calls_rejected,
        duplicate_effects=run.duplicate_effects,
        retry_after_violations=run.retry_after_violations,
        destinations_crashed=run.destinations_crashed,
        utility_lost=run.utility_lost,
        by_second=[list(second) for second in run.by_second],
        wall_time_s=time.monotonic() - began,
        events=run.events,
        scenario_text=text,
        revision=revision(),
        machine=machine(),
    )


def _latency_s(run: RunResult, percentile: float) -> float:
    if not run.delivered:
        return 0.0
    return float(run.latencies_us.get_value_at_percentile(percentile) / MICROSECONDS)


@functools.cache
def revision() -> str:
    """Return what the sources are, by git; empty where that cannot be said."""
    command = ["git", "-C", str(Path(__file__).parent), "describe"]
    command += ["--always", "--abbrev=12", "--dirty=+", "--exclude=*"]
    try:
        done = subprocess.run(command, capture_output=True, text=True, timeout=GIT_TIMEOUT_S, check=True)
    except (OSError, subprocess.SubprocessError):
        return ""
    return done.stdout.strip()


def machine() -> str:
    """Return what an experiment runs on."""
    return f"{os.cpu_count()} cores, Python {platform.python_version()}, numpy {np.__version__}"


def replay(result: Result) -> dict[str, Difference]:
    """Run a stored result once more from its own text; return the fields that came out otherwise.

    Raises:
        NoScenarioTextError: the result has no text of its scenario.

    """
    if not result.scenario_text:
        raise NoScenarioTextError
    again = run_scenario(result.scenario_text, f"{result.scenario}.textproto", result.policy, result.seed)
    compared = [field.name for field in fields(Result) if field.name not in NOT_REPLAYED]
    pairs = {name: Difference(getattr(result, name), getattr(again, name)) for name in compared}
    return {name: pair for name, pair in pairs.items() if pair.stored != pair.replayed}


def sweep(folder: Path, plan: ExperimentPlan, on_progress: OnProgress = _no_progress) -> list[Result]:
    """Run what is not in the folder yet, and return the results of all planned runs.

    A run whose process dies is repeated once.

    Raises:
        ExperimentRunningError: another experiment writes to the folder.
        OSError: of the folder's files.
        BrokenProcessPool: a process died again.

    """
    runs = plan.runs()
    with ResultStore(folder) as store:
        for attempt in range(1, POOL_ATTEMPTS + 1):
            missing = [run for run in runs if run.key not in store.results]
            if not missing:
                break
            try:
                _run_all(missing, store, plan, on_progress)
            except BrokenProcessPool:
                if attempt == POOL_ATTEMPTS:
                    raise
        store.write_parquet()
        return [store.results[run.key] for run in runs]


def _run_all(
    missing: Sequence[Run], store: ResultStore, plan: ExperimentPlan, on_progress: OnProgress
) -> None:
    """Run the missing ones in processes, and store each as it ends."""
    planned = len(plan.runs())
    done = planned - len(missing)
    with concurrent.futures.ProcessPoolExecutor(plan.processes) as pool:
        futures = [
            pool.submit(
                run_scenario, run.scenario.text, f"{run.scenario.name}.textproto", run.policy, run.seed
            )
            for run in missing
        ]
        for future in concurrent.futures.as_completed(futures):
            result = future.result()
            store.add(result)
            done += 1
            on_progress(done, planned, result)
