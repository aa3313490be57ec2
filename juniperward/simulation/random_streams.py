"""Random streams: one for each concern, so that a change of one leaves what the others draw as it was."""

from __future__ import annotations

from typing import Self

import numpy as np

BLOCK = 4096  # numbers drawn at once
LEAST_VARIATION = 0.05  # coefficient of variation of a drawn time


class RandomStream:
    """A stream read in blocks, which costs a tenth of single draws."""

    def __init__(self, sequence: np.random.SeedSequence) -> None:
        """Draw from a generator of its own."""
        self.source = np.random.Generator(np.random.PCG64(sequence))
        self._block: list[float] = []

    def uniform(self) -> float:
        """Return a number from 0 to 1."""
        if not self._block:
            self._block = self.source.random(BLOCK).tolist()
        return self._block.pop()

    def gamma(self, mean_s: float, variation: float) -> float:
        """Return a time in seconds with this mean and coefficient of variation."""
        shape = 1.0 / max(variation, LEAST_VARIATION) ** 2
        return float(self.source.gamma(shape, mean_s / shape))


class RandomStreams:
    """The streams of one run; the order of the fields is that of their seeds."""

    def __init__(self, streams: list[RandomStream]) -> None:
        """Take one stream for each concern."""
        self.arrivals, self.service, self.network, self.rejections, self.clients, self.schedulers = streams

    @classmethod
    def of(cls, seed: int) -> Self:
        """Return the streams of a seed."""
        return cls([RandomStream(sequence) for sequence in np.random.SeedSequence(seed).spawn(6)])
