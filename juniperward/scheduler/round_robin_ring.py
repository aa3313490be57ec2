"""The ring of the destinations that the deficit round robin serves one after the other."""

from __future__ import annotations

from collections import deque

from juniperward.scheduler.records import Destination


class RoundRobinRing:
    """The destinations with a message that may go, but for closed ones.

    The backlog adds destinations, the deficit round robin advances the ring and drops them.
    """

    def __init__(self) -> None:
        """Begin with an empty ring."""
        self._destinations: deque[Destination] = deque()

    def __len__(self) -> int:
        """Return how many destinations are on the ring."""
        return len(self._destinations)

    @property
    def current(self) -> Destination:
        """The destination that is served now."""
        return self._destinations[0]

    def add(self, destination: Destination) -> None:
        """Put a destination with a queued message on the ring."""
        if destination.queue and not destination.on_ring:
            destination.on_ring = True
            self._destinations.append(destination)

    def drop_current(self, deficit_s: float) -> None:
        """Remove the current destination, and set the deficit with which it comes back."""
        destination = self._destinations.popleft()
        destination.on_ring = False
        destination.deficit_s = deficit_s

    def advance(self, quantum_s: float, max_deficit_s: float) -> None:
        """Go on to the next destination; its deficit, cut to a maximum, gains a quantum."""
        self._destinations.rotate(-1)
        destination = self._destinations[0]
        destination.deficit_s = min(destination.deficit_s, max_deficit_s) + quantum_s
