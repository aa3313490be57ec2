"""Independent random streams: one for each concern, so that a change in one does not affect the others."""

from __future__ import annotations

from typing import Self

import numpy as np

BLOCK_SIZE = 4096
MIN_VARIATION = 0.05  # The smallest coefficient of variation of a random time.


class RandomStream:
    """A stream of random numbers; uniform numbers are drawn in blocks, which is faster."""

    def __init__(self, sequence: np.random.SeedSequence) -> None:
        """Create the stream's own generator from a seed sequence."""
        self.source = np.random.Generator(np.random.PCG64(sequence))
        self._block: list[float] = []

    def uniform(self) -> float:
        """Return a uniformly distributed number in [0, 1)."""
        if not self._block:
            self._block = self.source.random(BLOCK_SIZE).tolist()
        return self._block.pop()

    def gamma(self, mean_s: float, variation: float) -> float:
        """Return a gamma-distributed time in seconds with this mean and coefficient of variation."""
        shape = 1.0 / max(variation, MIN_VARIATION) ** 2
        return float(self.source.gamma(shape, mean_s / shape))


class RandomStreams:
    """The streams of one run, one for each concern."""

    def __init__(self, streams: list[RandomStream]) -> None:
        """Assign the streams; their order determines which concern gets which seed."""
        self.arrivals, self.service, self.network, self.rejections, self.clients, self.schedulers = streams

    @classmethod
    def of(cls, seed: int) -> Self:
        """Return the streams derived from a seed."""
        return cls([RandomStream(sequence) for sequence in np.random.SeedSequence(seed).spawn(6)])
