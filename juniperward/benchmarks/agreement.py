"""Compares the simulation with real forwarders on sockets: the same scenarios under the same policies.

`juniperward measure agreement` calls `agreement`.
"""

from __future__ import annotations

import concurrent.futures
from dataclasses import dataclass
from itertools import permutations
from pathlib import Path

from juniperward.benchmarks.report import Report, Row
from juniperward.benchmarks.scenario_player import PlayResult, play
from juniperward.simulation.experiment import run_scenario
from juniperward.simulation.result import Result
from juniperward.simulation.scenario_loader import SCENARIOS_FOLDER, load

SCENARIOS = ("calm", "outage", "fast-errors", "shut", "silent", "overload")
POLICIES = ("juniperward", "round-robin", "no-retry")
MAX_WEIGHT_DIFFERENCE = 0.03  # between the fractions of priority weight on sockets and in the simulation
MIN_ORDERED_DIFFERENCE = 0.01  # two policies whose priority weights are closer than this count as equal
MAX_PARALLEL_CLUSTERS = 6


@dataclass(frozen=True, slots=True)
class Comparison:
    """The results of one scenario under one policy, on sockets and in the simulation."""

    scenario: str
    policy: str
    sockets: PlayResult
    simulation: Result

    @property
    def difference(self) -> float:
        """The priority weight on sockets minus that in the simulation."""
        return self.sockets.priority_weight - self.simulation.utility

    @property
    def agrees(self) -> bool:
        """Whether the two priority weights differ by at most MAX_WEIGHT_DIFFERENCE."""
        return abs(self.difference) <= MAX_WEIGHT_DIFFERENCE

    def row(self) -> Row:
        """Return the comparison's row of the report's table."""
        return [
            self.scenario, self.policy, f"{self.sockets.priority_weight:.4f}", f"{self.simulation.utility:.4f}",
            f"{self.difference:+.4f}", "yes" if self.agrees else "no",
            f"{1000 * self.sockets.lateness_p99_s:.0f}", f"{self.sockets.violations}",
            f"{self.sockets.crashed}, {self.simulation.destinations_crashed}",
        ]  # fmt: skip


def compare(scenario: str, policy: str, seed: int) -> Comparison:
    """Run a scenario under a policy on sockets and in the simulation."""
    sockets = play(scenario, policy, seed)
    text = load(SCENARIOS_FOLDER / f"{scenario}.textproto").text
    text = text.replace("again: 0.7", "again: 1.0")  # the fake clients always resubmit
    return Comparison(scenario, policy, sockets, run_scenario(text, f"{scenario}.textproto", policy, seed))


def ordered_differently(comparisons: list[Comparison]) -> list[str]:
    """Return a line for each pair of policies that sockets and the simulation rank in opposite order.

    A pair counts if the policies differ by more than MIN_ORDERED_DIFFERENCE in both.
    """
    reversed_pairs = []
    for first, second in permutations(comparisons, 2):
        if first.scenario != second.scenario:
            continue
        on_sockets = first.sockets.priority_weight - second.sockets.priority_weight
        in_simulation = first.simulation.utility - second.simulation.utility
        if on_sockets > MIN_ORDERED_DIFFERENCE and in_simulation < -MIN_ORDERED_DIFFERENCE:
            reversed_pairs.append(
                f"{first.scenario}: {first.policy} is above {second.policy} on sockets, below it in the simulation"
            )
    return reversed_pairs


def agreement(seed: int, out: Path, rounds: int = 0) -> bool:
    """Compare all SCENARIOS under all POLICIES, or the first `rounds` pairs unless it is 0.

    Writes agreement.md to `out`. Returns whether all comparisons agree and all policies are ranked alike.
    """
    report = Report("The simulation against sockets", f"juniperward measure agreement --seed {seed}", seed)
    jobs = [(scenario, policy) for scenario in SCENARIOS for policy in POLICIES][: rounds or None]
    comparisons: list[Comparison] = []
    with concurrent.futures.ProcessPoolExecutor(MAX_PARALLEL_CLUSTERS) as pool:
        runs = [pool.submit(compare, scenario, policy, seed) for scenario, policy in jobs]
        for run in runs:
            comparisons.append(run.result())
            print(comparisons[-1].row(), flush=True)
    report.add_table(
        ["scenario", "policy", "priority weight on sockets", "in the simulation", "difference",
         f"within {MAX_WEIGHT_DIFFERENCE:g}", "clients' own lateness p99 ms", "rules broken on sockets",
         "destinations crashed: sockets, simulation"],
        [comparison.row() for comparison in comparisons],
    )  # fmt: skip
    ranked_differently = ordered_differently(comparisons)
    report.add_paragraph(
        "Policies in different orders: "
        + ("; ".join(ranked_differently) if ranked_differently else "none")
        + "."
    )
    report.write(out / "agreement.md")
    return not ranked_differently and all(comparison.agrees for comparison in comparisons)
