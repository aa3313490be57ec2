"""Simulated time: scheduled actions, run in the order of their moments; every simulated part schedules on it."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from typing import Any


class Timeline:
    """A heap of scheduled actions; times are seconds of the simulated day."""

    def __init__(self) -> None:
        """Begin at 0 with nothing scheduled."""
        self.now = 0.0
        self.actions_run = 0
        self._serial = 0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, when: float, action: Callable[..., None], *args: Any) -> None:
        """Schedule an action at a moment; those of one moment run in the order of these calls."""
        self._serial += 1
        heapq.heappush(self._heap, (when, self._serial, action, args))

    def after(self, delay_s: float, action: Callable[..., None], *args: Any) -> None:
        """Schedule an action so many seconds after now."""
        self.at(self.now + delay_s, action, *args)

    def run(self, until: float) -> None:
        """Run all that is scheduled up to `until`, that moment included."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, action, args = heapq.heappop(heap)
            action(*args)
            self.actions_run += 1

    def run_before(self, end: float) -> None:
        """Run all that is scheduled earlier than `end`."""
        self.run(math.nextafter(end, -math.inf))
