"""The search for failures: random scenarios, guided by what a policy loses on them, and stored as regressions.

What counts is regret: how much less utility a policy has than the oracle on the same scenario and seed. A scenario on
which nobody could do better is a hard one, not a failure. A violated invariant counts for more than any utility.
Called by `juniperward simulate search`.
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

POPULATION = 8  # scenarios that the next ones are made from
PART = 16  # scenarios that are played between two choices of the population
GENERATED_FRACTION = 0.3  # of the scenarios, made from nothing
RETAINED_REGRET = 0.8  # fraction of its regret that a smaller scenario must have
VIOLATION_REGRET = 10.0
SEED_LIMIT = 10_000
MAX_MINIMIZATION_RUNS = 120


@dataclass(frozen=True, slots=True)
class Finding:
    """A scenario and what a policy came to on it."""

    text: str
    seed: int
    utility: float
    oracle_utility: float
    violations: int

    @property
    def regret(self) -> float:
        """Utility that could have been had; VIOLATION_REGRET for each violated invariant."""
        return max(self.oracle_utility - self.utility, 0.0) + VIOLATION_REGRET * self.violations


Evaluation = Callable[[str, str, int], Finding]  # of a scenario's text, a policy and a seed
OnProgress = Callable[[int, Finding], None]  # scenarios played, the worst finding so far


def _no_progress(_done: int, _worst: Finding) -> None:
    pass


def evaluate(text: str, policy: str, seed: int) -> Finding:
    """Play a scenario under a policy and under the oracle."""
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
    """Play `rounds` scenarios in parts, each part made from the worst so far; return these, the worst first.

    The same seed finds the same scenarios, however many processes play them.
    """
    source = random.Random(seed)
    worst: list[Finding] = []
    done = 0
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        while done < rounds:
            texts = _next_part(worst, source, min(PART, rounds - done))
            seeds = [source.randrange(1, SEED_LIMIT) for _ in texts]
            worst += pool.map(evaluate, texts, [policy] * len(texts), seeds)
            worst = sorted(worst, key=lambda finding: -finding.regret)[:POPULATION]
            done += len(texts)
            on_progress(done, worst[0])
    return worst


def _next_part(worst: list[Finding], source: random.Random, count: int) -> list[str]:
    """Return `count` scenarios' texts, generated or made from the worst findings."""
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
    """Make a scenario smaller for as long as it has RETAINED_REGRET of its regret; play `max_runs` at the most."""
    least_regret = RETAINED_REGRET * finding.regret
    best: Finding = finding
    runs = 0
    while runs < max_runs:
        smaller: Finding | None = None
        for text in reductions(best.text):
            candidate = evaluation(text, policy, best.seed)
            runs += 1
            if candidate.regret >= least_regret:
                smaller = candidate
                break
            if runs >= max_runs:
                break
        if smaller is None:
            break
        best = smaller
    return best


def save(finding: Finding, policy: str, folder: Path) -> Path:
    """Store a finding as a scenario file, named by its faults; return the file. Raises OSError."""
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
