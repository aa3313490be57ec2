"""Paired comparison of two policies on the same scenarios and seeds, with bootstrap confidence intervals."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
import numpy.typing as npt
from scipy import stats

from juniperward.simulation.result import Result

RESAMPLE_COUNT = 2000
# Differences with a smaller deviation count as equal and are not resampled.
MIN_STANDARD_DEVIATION = 1e-12


@dataclass(frozen=True, slots=True)
class Comparison:
    """Two policies on one scenario, paired by seed.

    Attributes:
        mean: the mean over the seeds of the utility of `one` minus that of `other`.
        low: the lower end of the 95 % confidence interval of the mean.
        high: the upper end of that interval.

    """

    scenario: str
    one: str
    other: str
    seeds: int
    mean: float
    low: float
    high: float

    @property
    def verdict(self) -> str:
        """The result in words; there is no difference if the confidence interval contains 0."""
        if self.low <= 0 <= self.high:
            return "no difference seen"
        return f"{self.one} is better" if self.mean > 0 else f"{self.other} is better"


def compare(results: Sequence[Result], one: str, other: str) -> list[Comparison]:
    """Return a comparison for each scenario that both policies ran with at least one common seed."""
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
    """Return the 95 % confidence interval of the mean, or the mean twice if all differences are equal."""
    if len(differences) < 2 or float(differences.std()) <= MIN_STANDARD_DEVIATION:
        mean = float(differences.mean())
        return mean, mean
    bootstrap = stats.bootstrap(
        (differences,), np.mean, n_resamples=RESAMPLE_COUNT, method="percentile", rng=1
    )
    return float(bootstrap.confidence_interval.low), float(bootstrap.confidence_interval.high)
