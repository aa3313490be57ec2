"""Running means and decaying rates: pure functions that the records' owners use."""

from __future__ import annotations

import math


def running_mean(mean: float | None, value: float, weight: float) -> float:
    """Return the mean with a new value; `weight` is that value's, from 0 to 1, and a first value is the mean."""
    return value if mean is None else mean + weight * (value - mean)


def decayed(rate: float, elapsed_s: float, memory_s: float) -> float:
    """Return what is left of a rate after a while; it decays to 1/e within the memory."""
    return rate * math.exp(-elapsed_s / memory_s)


def observed_fraction(elapsed_s: float, memory_s: float) -> float:
    """Return the fraction of a decaying rate that can have been observed within a while, from 0 to 1."""
    return 1 - math.exp(-elapsed_s / memory_s)
