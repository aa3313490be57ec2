"""Tables of an experiment: utilities, comparisons, violations and the results of each policy.

The tables are typed rows, for the HTML report, or Markdown, for docs/measurements/.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from juniperward.simulation.comparison import Comparison, compare
from juniperward.simulation.result import Result

REFERENCE_POLICY = "juniperward"
BEST_UTILITY_TOLERANCE = 5e-5  # A utility this close to the best of its row counts as the best too.
MIN_SHOWN_DIFFERENCE = 0.002  # Markdown tables leave out comparisons with a smaller difference


@dataclass(frozen=True, slots=True)
class UtilityCell:
    """A mean utility as text, and whether it is the best of its row."""

    text: str
    best: bool


@dataclass(frozen=True, slots=True)
class UtilityRow:
    """The mean utilities on one scenario, in the order of the policies."""

    scenario: str
    cells: list[UtilityCell]


@dataclass(frozen=True, slots=True)
class ViolationRow:
    """The number of violations of each invariant by a policy, over all its runs."""

    policy: str
    destinations_crashed: int
    duplicate_effects: int
    retry_after_violations: int


@dataclass(frozen=True, slots=True)
class PolicyRow:
    """The results of a policy's runs of one scenario, formatted as text."""

    policy: str
    median_s: str
    p99_s: str
    calls_per_message: str
    calls_rejected: str
    utility_lost: str


def policies_of(results: Sequence[Result]) -> list[str]:
    """Return the policies, in the order of their first results."""
    return list(dict.fromkeys(result.policy for result in results))


def scenarios_of(results: Sequence[Result]) -> list[str]:
    """Return the scenarios' names, in the order of their first results."""
    return list(dict.fromkeys(result.scenario for result in results))


def utility_table(results: Sequence[Result]) -> list[UtilityRow]:
    """Return the mean utility of each policy on each scenario."""
    policies = policies_of(results)
    rows = []
    for scenario in scenarios_of(results):
        means = [_mean_utility(results, scenario, policy) for policy in policies]
        best = max(means)
        rows.append(
            UtilityRow(
                scenario,
                [UtilityCell(f"{mean:.4f}", mean >= best - BEST_UTILITY_TOLERANCE) for mean in means],
            )
        )
    return rows


def _mean_utility(results: Sequence[Result], scenario: str, policy: str) -> float:
    utilities = [
        result.utility for result in results if result.scenario == scenario and result.policy == policy
    ]
    return float(np.mean(utilities)) if utilities else 0.0


def comparisons(results: Sequence[Result]) -> list[Comparison]:
    """Compare the reference policy with every other policy on every scenario."""
    others = [policy for policy in policies_of(results) if policy != REFERENCE_POLICY]
    return [comparison for other in others for comparison in compare(results, REFERENCE_POLICY, other)]


def violation_table(results: Sequence[Result]) -> list[ViolationRow]:
    """Return the violations of each policy, summed over its runs."""
    rows = []
    for policy in policies_of(results):
        runs = [result for result in results if result.policy == policy]
        rows.append(
            ViolationRow(
                policy,
                sum(run.destinations_crashed for run in runs),
                sum(run.duplicate_effects for run in runs),
                sum(run.retry_after_violations for run in runs),
            )
        )
    return rows


def policy_table(results: Sequence[Result], policies: Sequence[str]) -> list[PolicyRow]:
    """Return the results of each policy on one scenario; `results` are those of that scenario."""
    return [_policy_row([run for run in results if run.policy == policy], policy) for policy in policies]


def _policy_row(runs: Sequence[Result], policy: str) -> PolicyRow:
    lost: dict[str, float] = {}
    for run in runs:
        for reason, fraction in run.utility_lost.items():
            lost[reason] = lost.get(reason, 0.0) + fraction / len(runs)
    greatest_first = sorted(lost.items(), key=lambda loss: -loss[1])
    requested = max(sum(run.requested for run in runs), 1)
    return PolicyRow(
        policy,
        f"{np.mean([run.median_s for run in runs]):.3f}",
        f"{np.mean([run.p99_s for run in runs]):.2f}",
        f"{sum(run.calls for run in runs) / requested:.2f}",
        f"{sum(run.calls_rejected for run in runs)}",
        ", ".join(f"{reason} {fraction:.4f}" for reason, fraction in greatest_first),
    )


# --- Markdown ----------------------------------------------------------------------------------------------


def markdown(results: Sequence[Result]) -> str:
    """Return the tables of utility, comparisons and violations as Markdown."""
    sections = [
        _markdown_utility(results),
        _markdown_comparisons(results),
        _markdown_violations(results),
    ]
    return "\n\n".join("\n".join(lines) for lines in sections) + "\n"


def _markdown_row(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def _markdown_header(cells: Sequence[str]) -> list[str]:
    return [_markdown_row(cells), _markdown_row(["---"] * len(cells))]


def _markdown_utility(results: Sequence[Result]) -> list[str]:
    lines = _markdown_header(["scenario", *policies_of(results)])
    for row in utility_table(results):
        cells = [f"**{cell.text}**" if cell.best else cell.text for cell in row.cells]
        lines.append(_markdown_row([row.scenario, *cells]))
    return lines


def _markdown_comparisons(results: Sequence[Result]) -> list[str]:
    lines = _markdown_header(["scenario", "other policy", "ours more by", "0.95 interval", "verdict"])
    for comparison in comparisons(results):
        if abs(comparison.mean) >= MIN_SHOWN_DIFFERENCE:
            interval = f"{comparison.low:+.4f} to {comparison.high:+.4f}"
            mean = f"{comparison.mean:+.4f}"
            lines.append(
                _markdown_row([comparison.scenario, comparison.other, mean, interval, comparison.verdict])
            )
    return lines


def _markdown_violations(results: Sequence[Result]) -> list[str]:
    lines = _markdown_header(
        ["policy", "destinations crashed", "duplicate effects", "Retry-After violations"]
    )
    for row in violation_table(results):
        counts = (row.destinations_crashed, row.duplicate_effects, row.retry_after_violations)
        lines.append(_markdown_row([row.policy, *map(str, counts)]))
    return lines
