"""Two policies compared on the same scenarios and seeds, with bootstrap intervals; for tables and the report."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
import numpy.typing as npt
from scipy import stats

from juniperward.simulation.result import Result

RESAMPLES = 2000
LEAST_DEVIATION = 1e-12  # below it all differences are one, and no interval is drawn


@dataclass(frozen=True, slots=True)
class Comparison:
    """Two policies on one scenario, paired by seed; `low` to `high` contains 0.95 of the bootstrap's means."""

    scenario: str
    one: str
    other: str
    seeds: int
    mean: float  # of the differences in utility, one less other
    low: float
    high: float

    @property
    def verdict(self) -> str:
        """In words: an interval that contains 0 shows no difference."""
        if self.low <= 0 <= self.high:
            return "no difference seen"
        return f"{self.one} is better" if self.mean > 0 else f"{self.other} is better"


def compare(results: Sequence[Result], one: str, other: str) -> list[Comparison]:
    """Return a comparison for each scenario on which both policies have a seed in common."""
    comparisons = []
    for scenario in sorted({result.scenario for result in results}):
        utilities = {
            (result.policy, result.seed): result.utility for result in results if result.scenario == scenario
        }
        seeds = sorted(seed for policy, seed in utilities if policy == one and (other, seed) in utilities)
        if seeds:
            differences = np.array([utilities[one, seed] - utilities[other, seed] for seed in seeds])
            low, high = _interval(differences)
            comparisons.append(
                Comparison(scenario, one, other, len(seeds), float(differences.mean()), low, high)
            )
    return comparisons


def _interval(differences: npt.NDArray[np.float64]) -> tuple[float, float]:
    """Return the 0.95 interval of the mean; the mean itself, twice, where there is nothing to resample."""
    if len(differences) < 2 or float(differences.std()) <= LEAST_DEVIATION:
        mean = float(differences.mean())
        return mean, mean
    bootstrap = stats.bootstrap((differences,), np.mean, n_resamples=RESAMPLES, method="percentile", rng=1)
    return float(bootstrap.confidence_interval.low), float(bootstrap.confidence_interval.high)
