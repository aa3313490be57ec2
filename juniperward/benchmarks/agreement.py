"""The simulation against real sockets: the same scenarios under the same policies, both ways.

`juniperward measure agreement` calls `agreement`, which writes its page and returns whether both agree.
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
AGREES_WITHIN = 0.03  # of priority weight, that simulation and sockets may differ by
ORDERED_FROM = 0.01  # policies closer than this in either are not ordered
CLUSTERS_AT_ONCE = 6


@dataclass(frozen=True, slots=True)
class Comparison:
    """A scenario under a policy, on sockets and in the simulation."""

    scenario: str
    policy: str
    sockets: PlayResult
    simulation: Result

    @property
    def difference(self) -> float:
        """Priority weight on sockets above that in the simulation."""
        return self.sockets.priority_weight - self.simulation.utility

    @property
    def agrees(self) -> bool:
        """Whether both come to the same priority weight, within AGREES_WITHIN."""
        return abs(self.difference) <= AGREES_WITHIN

    def row(self) -> Row:
        """Return a row of the page's table."""
        return [
            self.scenario, self.policy, f"{self.sockets.priority_weight:.4f}", f"{self.simulation.utility:.4f}",
            f"{self.difference:+.4f}", "yes" if self.agrees else "no",
            f"{1000 * self.sockets.lateness_p99_s:.0f}", f"{self.sockets.violations}",
            f"{self.sockets.crashed}, {self.simulation.destinations_crashed}",
        ]  # fmt: skip


def compare(scenario: str, policy: str, seed: int) -> Comparison:
    """Play a scenario under a policy both ways."""
    sockets = play(scenario, policy, seed)
    text = load(SCENARIOS_FOLDER / f"{scenario}.textproto").text
    text = text.replace("again: 0.7", "again: 1.0")  # the fakes' clients always submit once more
    return Comparison(scenario, policy, sockets, run_scenario(text, f"{scenario}.textproto", policy, seed))


def ordered_differently(comparisons: list[Comparison]) -> list[str]:
    """Return the pairs of policies that simulation and sockets order differently, both by ORDERED_FROM or more."""
    found = []
    for a, b in permutations(comparisons, 2):
        if a.scenario != b.scenario:
            continue
        on_sockets = a.sockets.priority_weight - b.sockets.priority_weight
        in_simulation = a.simulation.utility - b.simulation.utility
        if on_sockets > ORDERED_FROM and in_simulation < -ORDERED_FROM:
            found.append(
                f"{a.scenario}: {a.policy} is above {b.policy} on sockets, below it in the simulation"
            )
    return found


def agreement(seed: int, out: Path, rounds: int = 0) -> bool:
    """Compare six scenarios under three policies (the first `rounds` of them, where given) and write the page."""
    report = Report("The simulation against sockets", f"juniperward measure agreement --seed {seed}", seed)
    jobs = [(scenario, policy) for scenario in SCENARIOS for policy in POLICIES][: rounds or None]
    comparisons: list[Comparison] = []
    with concurrent.futures.ProcessPoolExecutor(CLUSTERS_AT_ONCE) as pool:
        runs = [pool.submit(compare, scenario, policy, seed) for scenario, policy in jobs]
        for run in runs:
            comparisons.append(run.result())
            print(comparisons[-1].row(), flush=True)
    report.table(
        ["scenario", "policy", "priority weight on sockets", "in the simulation", "difference",
         f"within {AGREES_WITHIN:g}", "clients' own lateness p99 ms", "rules broken on sockets",
         "destinations crashed: sockets, simulation"],
        [comparison.row() for comparison in comparisons],
    )  # fmt: skip
    wrong = ordered_differently(comparisons)
    report.say("Policies in different orders: " + ("; ".join(wrong) if wrong else "none") + ".")
    report.write(out / "agreement.md")
    return not wrong and all(comparison.agrees for comparison in comparisons)
