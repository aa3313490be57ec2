"""Simulated time: what is to happen, in the order of its moments."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class Timeline:
    """A heap of moments; times are seconds of the simulated day."""

    def __init__(self) -> None:
        """Begin at 0 with nothing to happen."""
        self.now = 0.0
        self.happened = 0
        self._serial = 0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, when: float, act: Callable[..., None], *args: Any) -> None:
        """Have something happen at a moment; what is due together happens in the order asked."""
        self._serial += 1
        heapq.heappush(self._heap, (when, self._serial, act, args))

    def after(self, delay_s: float, act: Callable[..., None], *args: Any) -> None:
        """Have something happen so long after now."""
        self.at(self.now + delay_s, act, *args)

    def run(self, until: float) -> None:
        """Let all happen that is due by then."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, act, args = heapq.heappop(heap)
            act(*args)
            self.happened += 1
