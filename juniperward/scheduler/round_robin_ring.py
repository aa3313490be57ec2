"""The ring of destinations that the deficit round robin serves in turn."""

from __future__ import annotations

from collections import deque

from juniperward.scheduler.records import Destination


class RoundRobinRing:
    """The destinations that have a queued message and are not marked unavailable.

    The backlog adds destinations. The deficit round robin advances the ring and drops destinations from it.
    """

    def __init__(self) -> None:
        """Start with an empty ring."""
        self._destinations: deque[Destination] = deque()

    def __len__(self) -> int:
        """Return how many destinations are on the ring."""
        return len(self._destinations)

    @property
    def current(self) -> Destination:
        """The destination that is being served."""
        return self._destinations[0]

    def add(self, destination: Destination) -> None:
        """Put a destination on the ring, unless it is already on it or has no queued message."""
        if destination.queue and not destination.on_ring:
            destination.on_ring = True
            self._destinations.append(destination)

    def drop_current(self, deficit_s: float) -> None:
        """Remove the current destination from the ring, and set its deficit for when it is added again."""
        destination = self._destinations.popleft()
        destination.on_ring = False
        destination.deficit_s = deficit_s

    def advance(self, quantum_s: float, max_deficit_s: float) -> None:
        """Make the next destination current, cap its deficit at the maximum, and add a quantum to it."""
        self._destinations.rotate(-1)
        destination = self._destinations[0]
        destination.deficit_s = min(destination.deficit_s, max_deficit_s) + quantum_s
