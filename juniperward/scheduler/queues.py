"""The queue of a destination's messages, and the ring on which destinations take turns."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from juniperward.scheduler.records import Destination, Message

Rank = tuple[bool, float, int]  # place of a message in its queue; the least goes first


@dataclass(slots=True, eq=False)
class MessageQueue:
    """A priority queue; what is taken out or ranked anew leaves an entry behind that is dropped when it comes up."""

    entries: list[tuple[Rank, Message]] = field(default_factory=list)
    length: int = 0

    def __len__(self) -> int:
        """Return how many messages wait."""
        return self.length

    def __iter__(self) -> Iterator[Message]:
        """Iterate over all that wait, in no order."""
        return (message for rank, message in self.entries if message.queued and rank == message.rank)

    def put(self, message: Message, rank: Rank) -> None:
        """Take a message in, or rank it anew."""
        self.length += not message.queued
        message.queued, message.rank = True, rank
        heapq.heappush(self.entries, (rank, message))

    def remove(self, message: Message) -> None:
        """Let go of a message; nothing happens where it does not wait."""
        self.length -= message.queued
        message.queued = False

    def head(self) -> Message | None:
        """Return the first message, which stays."""
        while self.entries:
            rank, message = self.entries[0]
            if message.queued and rank == message.rank:
                return message
            heapq.heappop(self.entries)
        return None

    def take_batch(self, limit: int, room_bytes: int, fits: Callable[[Message], bool]) -> list[Message]:
        """Take out up to `limit` messages that fit, also together, in order; at most as many are passed over."""
        taken: list[Message] = []
        passed: list[Message] = []
        while len(taken) < limit and len(passed) < limit and (message := self.head()) is not None:
            self.remove(message)
            if message.batch_bytes <= room_bytes and fits(message):
                room_bytes -= message.batch_bytes
                taken.append(message)
            else:
                passed.append(message)
        for message in passed:
            assert message.rank is not None
            self.put(message, message.rank)
        return taken


class RoundRobinRing:
    """The destinations that take turns: those with a message that may go, but for closed ones."""

    def __init__(self) -> None:
        """Begin with an empty ring."""
        self._ring: deque[Destination] = deque()

    def __len__(self) -> int:
        """Return how many destinations take turns."""
        return len(self._ring)

    @property
    def current(self) -> Destination:
        """The destination whose turn it is."""
        return self._ring[0]

    def add(self, destination: Destination) -> None:
        """Put a destination on the ring that something waits for."""
        if destination.queue and not destination.on_ring:
            destination.on_ring = True
            self._ring.append(destination)

    def drop_current(self, deficit: float) -> None:
        """Take the present destination off the ring, with the deficit that it comes back with."""
        destination = self._ring.popleft()
        destination.on_ring, destination.deficit = False, deficit

    def advance(self, quantum: float, most: float) -> None:
        """Pass the turn on; the next destination's deficit, cut to `most`, gains a quantum."""
        self._ring.rotate(-1)
        destination = self._ring[0]
        destination.deficit = min(destination.deficit, most) + quantum
