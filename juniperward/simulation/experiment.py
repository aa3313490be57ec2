"""Experiments: runs spread over processes, kept as they end, compared by seed.

While an experiment runs, a result is a line of JSON in `results.jsonl` of its folder, with all that is needed to
repeat it. What is there already is not run again, so an experiment that was killed goes on where it stood. Once all
has run, the same rows are written whole as `results.parquet`, for other tools.
"""

from __future__ import annotations

import concurrent.futures
import fcntl
import functools
import hashlib
import json
import os
import platform
import subprocess
import time
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np
import pyarrow
from pyarrow import parquet
from scipy import stats

from juniperward.simulation.policies import POLICIES, policy_name
from juniperward.simulation.scenario import Scenario
from juniperward.simulation.scenario_loader import parse
from juniperward.simulation.world import World

VERSION = 2  # 1 had neither the scenario's text nor where and from what it was run


@dataclass(frozen=True, slots=True)
class Result:
    """One run; times in seconds of the day, `wall` of this machine."""

    scenario: str
    digest: str  # of the scenario's text
    policy: str
    seed: int
    worth: float
    asked: int
    delivered: int
    refused: int
    failed: int
    median: float
    p99: float
    calls: int
    calls_refused: int
    second_effects: int
    waits_broken: int
    fallen: int
    lost: dict[str, float]
    by_second: list[list[float]]
    wall: float
    events: int
    text: str = ""  # of the scenario
    revision: str = ""  # of the sources; a + at its end: with changes that were not committed
    machine: str = ""
    v: int = VERSION

    @property
    def key(self) -> tuple[str, str, int]:
        """What names a run: the scenario's digest, the policy and the seed."""
        return self.digest, self.policy, self.seed


def digest(scenario: Scenario) -> str:
    """Names a scenario by what it says."""
    return hashlib.sha256(scenario.text.encode()).hexdigest()[:12]


def one(text: str, name: str, policy: str, seed: int) -> Result:
    """Run a scenario once; called in a process of its own."""
    scenario = parse(text, name)
    began = time.monotonic()
    r = World(scenario, POLICIES[policy], seed).run()
    median, p99 = (
        r.latencies_us.get_value_at_percentile(x) / 1e6 if r.delivered else 0.0 for x in (50.0, 99.0)
    )
    return Result(
        scenario.name, digest(scenario), policy, seed, r.utility, r.requested, r.delivered, r.rejected, r.failed,
        median, p99, r.calls, r.calls_rejected,
        r.duplicate_effects, r.retry_after_violations, r.destinations_crashed, r.utility_lost,
        [list(x) for x in r.by_second],
        time.monotonic() - began, r.events, text, revision(), machine(),
    )  # fmt: skip


@functools.cache
def revision() -> str:
    """What the sources are, by git; empty where that cannot be said."""
    try:
        here = str(Path(__file__).parent)
        words = ["git", "-C", here, "describe", "--always", "--abbrev=12", "--dirty=+", "--exclude=*"]
        return subprocess.run(words, capture_output=True, text=True, timeout=10.0, check=True).stdout.strip()
    except (OSError, subprocess.SubprocessError):
        return ""


def machine() -> str:
    """What an experiment runs on."""
    return f"{os.cpu_count()} cores, Python {platform.python_version()}, numpy {np.__version__}"


FIGURES = (
    "worth", "asked", "delivered", "refused", "failed", "median", "p99", "calls", "calls_refused", "second_effects",
    "waits_broken", "fallen", "lost", "by_second", "events",
)  # fmt: skip


class NoTextError(ValueError):
    """A result of an early version cannot be replayed."""

    def __init__(self) -> None:
        """Say why."""
        super().__init__("a result of version 1 has no text of its scenario: it cannot be replayed")


class ResultVersionError(ValueError):
    """A newer version wrote the results."""

    def __init__(self, file: Path, version: int) -> None:
        """Name the file and its version."""
        super().__init__(f"{file}: written by version {version}; this one reads up to {VERSION}")


def replay(result: Result) -> dict[str, tuple[Any, Any]]:
    """Run a kept result once more from its own text: what came out otherwise, then and now. Raises ValueError."""
    if not result.text:
        raise NoTextError
    again = one(result.text, f"{result.scenario}.textproto", result.policy, result.seed)
    pairs = {f: (getattr(result, f), getattr(again, f)) for f in FIGURES}
    return {f: (a, b) for f, (a, b) in pairs.items() if a != b}


def write_parquet(file: Path, results: Iterable[Result]) -> None:
    """Write results whole, in place of what was there; raises OSError."""
    rows = [{f: getattr(r, f) for f in Result.__slots__} for r in results]
    for row in rows:
        row["lost"] = [{"why": why, "share": share} for why, share in row["lost"].items()]
    fresh = file.with_suffix(".new")
    parquet.write_table(pyarrow.Table.from_pylist(rows), fresh, compression="zstd")
    fresh.replace(file)


def read_parquet(file: Path) -> list[Result]:
    """The results of a file, of this version or an older one; raises OSError or ValueError."""
    found = []
    for row in parquet.read_table(file).to_pylist():
        if row["v"] > VERSION:
            raise ResultVersionError(file, row["v"])
        row["lost"] = {x["why"]: x["share"] for x in row["lost"]}
        known = {k: v for k, v in row.items() if k in Result.__slots__}
        found.append(Result(**{**known, "policy": policy_name(row["policy"])}))
    return found


class ExperimentRunningError(Exception):
    """Another experiment writes to this folder."""

    def __init__(self, folder: Path) -> None:
        """Name the folder."""
        super().__init__(f"{folder}: another experiment writes there")


class Results:
    """The folder of an experiment; one writer."""

    def __init__(self, folder: Path) -> None:
        """Read what is there, and hold the folder; raises ExperimentRunningError or OSError."""
        folder.mkdir(parents=True, exist_ok=True)
        self.file = folder / "results.jsonl"
        self.handle = self.file.open("a+b")
        try:
            fcntl.flock(self.handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self.handle.close()
            raise ExperimentRunningError(folder) from None
        self.found: dict[tuple[str, str, int], Result] = {}
        good = 0
        self.handle.seek(0)
        for line in self.handle:
            result = _decode(line)
            if result is None:
                break  # torn by a kill: it is run again
            self.found[result.key] = result
            good += len(line)
        self.handle.truncate(good)
        self.handle.seek(good)

    def add(self, result: Result) -> None:
        """Keep a result; raises OSError."""
        text = json.dumps({f: getattr(result, f) for f in Result.__slots__}).encode()
        self.handle.write(b"%08x %s\n" % (zlib.crc32(text), text))
        self.handle.flush()
        os.fsync(self.handle.fileno())
        self.found[result.key] = result

    def close(self) -> None:
        """Let go of the folder."""
        self.handle.close()


def _decode(line: bytes) -> Result | None:
    try:
        total, text = line.rstrip(b"\n").split(b" ", 1)
        if not line.endswith(b"\n") or int(total, 16) != zlib.crc32(text):
            return None
        row: dict[str, Any] = json.loads(text)
        known = {k: v for k, v in row.items() if k in Result.__slots__}
        known["policy"] = policy_name(known["policy"])
        return Result(**known) if row["v"] <= VERSION else None
    except (ValueError, TypeError, KeyError):
        return None


def sweep(
    folder: Path, scenarios: Iterable[Scenario], policies: Iterable[str], seeds: Iterable[int],
    processes: int | None = None,
    on_progress: Callable[[int, int, Result], None] = lambda _done, _total, _result: None,
) -> list[Result]:  # fmt: skip
    """Run what is not there yet; all results that were asked for. A run whose process dies is tried once more.

    `on_progress` is called after each run with the runs done, the runs asked for, and the run's result.
    """
    asked = [(s, p, n) for s in scenarios for p in policies for n in seeds]
    results = Results(folder)
    try:
        for attempt in range(2):
            left = [(s, p, n) for s, p, n in asked if (digest(s), p, n) not in results.found]
            if not left:
                break
            try:
                _run(left, results, processes, len(asked), on_progress)
            except concurrent.futures.process.BrokenProcessPool:
                if attempt:
                    raise
        write_parquet(folder / "results.parquet", results.found.values())
        return [results.found[digest(s), p, n] for s, p, n in asked]
    finally:
        results.close()


def _run(
    left: list[tuple[Scenario, str, int]], results: Results, processes: int | None, total: int,
    on_progress: Callable[[int, int, Result], None],
) -> None:  # fmt: skip
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        runs = [pool.submit(one, s.text, f"{s.name}.textproto", p, n) for s, p, n in left]
        for run in concurrent.futures.as_completed(runs):
            result = run.result()
            results.add(result)
            on_progress(total - len(left) + len([r for r in runs if r.done()]), total, result)


@dataclass(frozen=True, slots=True)
class Comparison:
    """Two policies on one scenario, paired by seed; the interval holds 0.95 of the bootstrap's means."""

    scenario: str
    one: str
    other: str
    seeds: int
    mean: float
    low: float
    high: float

    @property
    def says(self) -> str:
        """In words: an interval that holds 0 shows no difference."""
        if self.low <= 0 <= self.high:
            return "no difference seen"
        return f"{self.one} is better" if self.mean > 0 else f"{self.other} is better"


def compare(results: list[Result], one_: str, other: str) -> list[Comparison]:
    """For each scenario, how much more worth one policy keeps than the other."""
    found = []
    for scenario in sorted({r.scenario for r in results}):
        worth = {(r.policy, r.seed): r.worth for r in results if r.scenario == scenario}
        seeds = sorted(n for p, n in worth if p == one_ and (other, n) in worth)
        if not seeds:
            continue
        differences = np.array([worth[one_, n] - worth[other, n] for n in seeds])
        mean = float(differences.mean())
        low = high = mean
        if len(seeds) > 1 and float(differences.std()) > 1e-12:
            made = stats.bootstrap((differences,), np.mean, n_resamples=2000, method="percentile", rng=1)
            low, high = float(made.confidence_interval.low), float(made.confidence_interval.high)
        found.append(Comparison(scenario, one_, other, len(seeds), mean, low, high))
    return found
