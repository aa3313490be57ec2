"""Running means and exponentially decaying rates, as pure functions."""

from __future__ import annotations

import math


def running_mean(mean: float | None, value: float, weight: float) -> float:
    """Return the exponential moving average after a new value.

    `weight` is the weight of the new value, from 0 to 1. If `mean` is None, the value is the mean.
    """
    return value if mean is None else mean + weight * (value - mean)


def decayed(rate: float, elapsed_s: float, memory_s: float) -> float:
    """Return a rate after it has decayed for `elapsed_s`; it falls to 1/e within `memory_s`."""
    return rate * math.exp(-elapsed_s / memory_s)


def observed_fraction(elapsed_s: float, memory_s: float) -> float:
    """Return the fraction of a steady rate that a decaying rate shows after `elapsed_s`, from 0 to 1."""
    return 1 - math.exp(-elapsed_s / memory_s)
