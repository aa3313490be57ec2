"""Evolutionary search for scenarios on which a policy does badly, which are stored as regression tests.

Scenarios are ranked by regret, the utility that a policy loses compared with the oracle on the same scenario
and seed, so that scenarios which are hard for every policy do not count as failures. A violated invariant
counts for more than any loss of utility.
"""

from __future__ import annotations

import concurrent.futures
import random
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from google.protobuf import text_format

from juniperward.simulation.experiment import run_scenario
from juniperward.simulation.scenario_generator import (
    FILE_NAME,
    generate,
    message_of,
    mutate,
    reductions,
    valid_text,
)
from juniperward.simulation.scenario_loader import FAULT_KIND_CODES, fault_messages

POPULATION_SIZE = 8  # New scenarios are mutated from this many of the worst ones.
BATCH_SIZE = 16  # The number of scenarios between two selections of the population.
GENERATED_FRACTION = 0.3  # The fraction of the scenarios that are generated instead of mutated.
RETAINED_REGRET_FRACTION = 0.8  # A reduced scenario must keep this fraction of the regret.
VIOLATION_REGRET = 10.0
SEED_LIMIT = 10_000
MAX_MINIMIZATION_RUNS = 120


@dataclass(frozen=True, slots=True)
class Finding:
    """A scenario with the results of a policy and of the oracle on it."""

    text: str
    seed: int
    utility: float
    oracle_utility: float
    violations: int

    @property
    def regret(self) -> float:
        """The utility lost compared with the oracle, plus VIOLATION_REGRET for each violation."""
        return max(self.oracle_utility - self.utility, 0.0) + VIOLATION_REGRET * self.violations


Evaluation = Callable[[str, str, int], Finding]  # (scenario text, policy, seed) -> finding
OnProgress = Callable[[int, Finding], None]  # (scenarios run, worst finding so far)


def _no_progress(_done: int, _worst: Finding) -> None:
    pass


def evaluate(text: str, policy: str, seed: int) -> Finding:
    """Run a scenario under a policy and under the oracle."""
    result = run_scenario(text, FILE_NAME, policy, seed)
    oracle = run_scenario(text, FILE_NAME, "oracle", seed)
    return Finding(text, seed, result.utility, oracle.utility, result.violations)


def search(
    policy: str,
    rounds: int,
    seed: int,
    processes: int | None = None,
    on_progress: OnProgress = _no_progress,
) -> list[Finding]:
    """Run `rounds` scenarios in batches; return the findings with the largest regret, the worst first.

    Each batch is partly mutated from the worst scenarios so far. The result depends on the seed, but not on
    the number of processes.
    """
    source = random.Random(seed)
    worst: list[Finding] = []
    done = 0
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        while done < rounds:
            texts = _next_batch(worst, source, min(BATCH_SIZE, rounds - done))
            seeds = [source.randrange(1, SEED_LIMIT) for _ in texts]
            worst += pool.map(evaluate, texts, [policy] * len(texts), seeds)
            worst = sorted(worst, key=lambda finding: -finding.regret)[:POPULATION_SIZE]
            done += len(texts)
            on_progress(done, worst[0])
    return worst


def _next_batch(worst: list[Finding], source: random.Random, count: int) -> list[str]:
    """Return the texts of `count` valid scenarios, generated or mutated from the worst findings."""
    texts: list[str] = []
    while len(texts) < count:
        generated = not worst or source.random() < GENERATED_FRACTION
        message = generate(source) if generated else mutate(source.choice(worst).text, source)
        text = valid_text(message)
        if text is not None:
            texts.append(text)
    return texts


def minimize(
    finding: Finding,
    policy: str,
    evaluation: Evaluation = evaluate,
    max_runs: int = MAX_MINIMIZATION_RUNS,
) -> Finding:
    """Reduce a scenario in at most `max_runs` runs, keeping RETAINED_REGRET_FRACTION of its regret."""
    min_regret = RETAINED_REGRET_FRACTION * finding.regret
    best: Finding = finding
    runs = 0
    while runs < max_runs:
        smaller: Finding | None = None
        for text in reductions(best.text):
            candidate = evaluation(text, policy, best.seed)
            runs += 1
            if candidate.regret >= min_regret:
                smaller = candidate
                break
            if runs >= max_runs:
                break
        if smaller is None:
            break
        best = smaller
    return best


def save(finding: Finding, policy: str, folder: Path) -> Path:
    """Write a finding as a new scenario file, named after its faults; return the file. Raises OSError."""
    message = message_of(finding.text)
    message.shows = _description(finding, policy)
    text = str(text_format.MessageToString(message))
    kinds = {FAULT_KIND_CODES.Name(fault.kind).lower() for fault in fault_messages(message)}
    folder.mkdir(parents=True, exist_ok=True)
    file = _free_file(folder, "-".join(sorted(kinds)) or "load")
    file.write_text(text)
    return file


def _description(finding: Finding, policy: str) -> str:
    description = (
        f"found by the search: {policy} has utility {finding.utility:.3f} with seed {finding.seed}, "
        f"the oracle {finding.oracle_utility:.3f}"
    )
    if finding.violations:
        description += f"; {finding.violations} invariants violated"
    return description


def _free_file(folder: Path, stem: str) -> Path:
    number = 1
    while (folder / f"{stem}-{number}.textproto").exists():
        number += 1
    return folder / f"{stem}-{number}.textproto"
