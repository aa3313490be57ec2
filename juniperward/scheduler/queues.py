"""A priority queue of messages.

It knows of a message only what `Queueable` names. Each destination's record has one; the backlog puts messages in,
the scheduler's decisions take them out.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Generic, NamedTuple, Protocol, TypeVar


class Rank(NamedTuple):
    """Place of a message in its queue; the least goes first."""

    attempted: bool  # False for a message that came back from a restart without an attempt
    negative_weight: float
    sequence: int


class Queueable(Protocol):
    """What the queue reads and writes of a message."""

    queued: bool
    rank: Rank | None
    batch_bytes: int


Item = TypeVar("Item", bound=Queueable)


@dataclass(slots=True, eq=False)
class MessageQueue(Generic[Item]):
    """A heap of messages by rank.

    What is removed or ranked anew leaves an entry behind, which is dropped when it comes to the top.
    """

    entries: list[tuple[Rank, Item]] = field(default_factory=list)
    length: int = 0

    def __len__(self) -> int:
        """Return how many messages wait."""
        return self.length

    def __iter__(self) -> Iterator[Item]:
        """Iterate over all that wait, in no order."""
        return (item for rank, item in self.entries if item.queued and rank == item.rank)

    def put(self, item: Item, rank: Rank) -> None:
        """Add a message, or rank it anew."""
        if not item.queued:
            self.length += 1
        item.queued = True
        item.rank = rank
        heapq.heappush(self.entries, (rank, item))

    def remove(self, item: Item) -> None:
        """Remove a message; nothing happens where it does not wait."""
        if item.queued:
            self.length -= 1
        item.queued = False

    def head(self) -> Item | None:
        """Return the first message, which stays."""
        while self.entries:
            rank, item = self.entries[0]
            if item.queued and rank == item.rank:
                return item
            heapq.heappop(self.entries)
        return None

    def take_batch(self, limit: int, capacity_bytes: int, fits: Callable[[Item], bool]) -> list[Item]:
        """Remove and return up to `limit` messages, in order, that fit into a call of `capacity_bytes`.

        At most `limit` messages that do not fit are passed over; they stay queued.
        """
        batch: list[Item] = []
        passed_over: list[Item] = []
        while len(batch) < limit and len(passed_over) < limit:
            item = self.head()
            if item is None:
                break
            self.remove(item)
            if item.batch_bytes <= capacity_bytes and fits(item):
                capacity_bytes -= item.batch_bytes
                batch.append(item)
            else:
                passed_over.append(item)
        for item in passed_over:
            assert item.rank is not None
            self.put(item, item.rank)
        return batch
