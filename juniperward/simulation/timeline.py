"""Event queue in simulated time, which runs scheduled actions in the order of their times."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from typing import Any


class Timeline:
    """A heap of scheduled actions; times are in simulated seconds."""

    def __init__(self) -> None:
        """Start at time 0 without scheduled actions."""
        self.now = 0.0
        self.actions_run = 0
        self._serial = 0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, when: float, action: Callable[..., None], *args: Any) -> None:
        """Schedule an action at time `when`; actions of the same time run in the order of scheduling."""
        self._serial += 1
        heapq.heappush(self._heap, (when, self._serial, action, args))

    def after(self, delay_s: float, action: Callable[..., None], *args: Any) -> None:
        """Schedule an action `delay_s` seconds after now."""
        self.at(self.now + delay_s, action, *args)

    def run(self, until: float) -> None:
        """Run the actions scheduled up to and including time `until`."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, action, args = heapq.heappop(heap)
            action(*args)
            self.actions_run += 1

    def run_before(self, end: float) -> None:
        """Run the actions scheduled before time `end`."""
        self.run(math.nextafter(end, -math.inf))
