"""Experiments: scenarios run under policies over seeds, in several processes.

Each result is stored as soon as its run ends (`result_store`), and stored runs are not repeated, so an
interrupted experiment resumes. A stored result contains everything that a replay needs.
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

MICROSECONDS_PER_S = 1e6
MAX_POOL_ATTEMPTS = 2  # The second attempt repeats the runs that were lost when a process died.
GIT_TIMEOUT_S = 10.0
# Fields of a result that identify the run or may differ in a replay; all others must be equal.
FIELDS_NOT_COMPARED = frozenset(
    {"scenario", "digest", "policy", "seed", "wall_time_s", "scenario_text", "revision", "machine", "version"}
)


class NoScenarioTextError(ValueError):
    """A result of version 1 cannot be replayed because it does not contain its scenario."""

    def __init__(self) -> None:
        """Describe the problem in the message."""
        super().__init__("cannot replay a result of version 1: it does not contain the text of its scenario")


class Difference(NamedTuple):
    """The values of a field that differs between a stored result and its replay."""

    stored: Any
    replayed: Any


@dataclass(frozen=True, slots=True)
class Run:
    """One run of an experiment: a scenario under a policy with a seed."""

    scenario: Scenario
    policy: str
    seed: int

    @property
    def key(self) -> RunKey:
        """The key under which its result is stored."""
        return RunKey(digest(self.scenario), self.policy, self.seed)


@dataclass(frozen=True, slots=True)
class ExperimentPlan:
    """The runs of an experiment: each scenario under each policy with each seed.

    Attributes:
        processes: the number of runs at once; None for one per core.

    """

    scenarios: Sequence[Scenario]
    policies: Sequence[str]
    seeds: Sequence[int]
    processes: int | None = None

    def runs(self) -> list[Run]:
        """Return all runs, ordered by scenario, policy and seed."""
        return [
            Run(scenario, policy, seed)
            for scenario in self.scenarios
            for policy in self.policies
            for seed in self.seeds
        ]


OnProgress = Callable[[int, int, Result], None]  # (runs done, runs planned, latest result)


def _no_progress(_done: int, _planned: int, _result: Result) -> None:
    pass


def digest(scenario: Scenario) -> str:
    """Return a short hash of the scenario's text, which identifies it in stored results."""
    return hashlib.sha256(scenario.text.encode()).hexdigest()[:12]


def run_scenario(text: str, name: str, policy: str, seed: int) -> Result:
    """Run a scenario, given as text, once; `name` is its file name. Runs in a worker process."""
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
    return float(run.latencies_us.get_value_at_percentile(percentile) / MICROSECONDS_PER_S)


@functools.cache
def revision() -> str:
    """Return the git revision of the sources, with "+" for uncommitted changes; empty if git cannot tell."""
    command = ["git", "-C", str(Path(__file__).parent), "describe"]
    command += ["--always", "--abbrev=12", "--dirty=+", "--exclude=*"]
    try:
        done = subprocess.run(command, capture_output=True, text=True, timeout=GIT_TIMEOUT_S, check=True)
    except (OSError, subprocess.SubprocessError):
        return ""
    return done.stdout.strip()


def machine() -> str:
    """Return a description of this machine and its versions of Python and numpy."""
    return f"{os.cpu_count()} cores, Python {platform.python_version()}, numpy {np.__version__}"


def replay(result: Result) -> dict[str, Difference]:
    """Repeat the run of a stored result; return the fields that differ, by name.

    Raises:
        NoScenarioTextError: the result does not contain the text of its scenario.

    """
    if not result.scenario_text:
        raise NoScenarioTextError
    again = run_scenario(result.scenario_text, f"{result.scenario}.textproto", result.policy, result.seed)
    compared = [field.name for field in fields(Result) if field.name not in FIELDS_NOT_COMPARED]
    pairs = {name: Difference(getattr(result, name), getattr(again, name)) for name in compared}
    return {name: pair for name, pair in pairs.items() if pair.stored != pair.replayed}


def sweep(folder: Path, plan: ExperimentPlan, on_progress: OnProgress = _no_progress) -> list[Result]:
    """Run the planned runs that have no result in `folder` yet, and return the results of all planned runs.

    If a worker process dies, the unfinished runs are started once more.

    Raises:
        ExperimentRunningError: another experiment writes to the folder.
        OSError: a file in the folder cannot be read or written.
        BrokenProcessPool: a worker process died a second time.

    """
    runs = plan.runs()
    with ResultStore(folder) as store:
        for attempt in range(1, MAX_POOL_ATTEMPTS + 1):
            missing = [run for run in runs if run.key not in store.results]
            if not missing:
                break
            try:
                _run_all(missing, store, plan, on_progress)
            except BrokenProcessPool:
                if attempt == MAX_POOL_ATTEMPTS:
                    raise
        store.write_parquet()
        return [store.results[run.key] for run in runs]


def _run_all(
    missing: Sequence[Run], store: ResultStore, plan: ExperimentPlan, on_progress: OnProgress
) -> None:
    """Run the `missing` runs in worker processes, and store each result as soon as its run ends."""
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
