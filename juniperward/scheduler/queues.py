"""The priority queue of messages that each destination has.

It uses only the attributes of a message that `Queueable` lists.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Generic, NamedTuple, Protocol, TypeVar


class Rank(NamedTuple):
    """The sort key of a message in its queue; the lowest rank is sent first.

    Attributes:
        attempted: False for a message restored after a restart without an attempt.
    """

    attempted: bool
    negative_weight: float
    sequence: int


class Queueable(Protocol):
    """The attributes of a message that the queue reads and writes."""

    queued: bool
    rank: Rank | None
    batch_bytes: int


Item = TypeVar("Item", bound=Queueable)


@dataclass(slots=True, eq=False)
class MessageQueue(Generic[Item]):
    """A heap of messages by rank.

    Removing a message or changing its rank leaves a stale entry, which is dropped when it reaches the top.
    """

    entries: list[tuple[Rank, Item]] = field(default_factory=list)
    length: int = 0

    def __len__(self) -> int:
        """Return the number of queued messages."""
        return self.length

    def __iter__(self) -> Iterator[Item]:
        """Iterate over the queued messages in no particular order."""
        return (item for rank, item in self.entries if item.queued and rank == item.rank)

    def put(self, item: Item, rank: Rank) -> None:
        """Add a message, or change the rank of a queued one."""
        if not item.queued:
            self.length += 1
        item.queued = True
        item.rank = rank
        heapq.heappush(self.entries, (rank, item))

    def remove(self, item: Item) -> None:
        """Remove a message if it is queued."""
        if item.queued:
            self.length -= 1
        item.queued = False

    def head(self) -> Item | None:
        """Return the first message without removing it; None if the queue is empty."""
        while self.entries:
            rank, item = self.entries[0]
            if item.queued and rank == item.rank:
                return item
            heapq.heappop(self.entries)
        return None

    def take_batch(self, limit: int, capacity_bytes: int, fits: Callable[[Item], bool]) -> list[Item]:
        """Remove and return up to `limit` messages, in order, that fit into `capacity_bytes`.

        The search ends after `limit` messages that do not fit; these stay queued.
        """
        batch: list[Item] = []
        skipped: list[Item] = []
        while len(batch) < limit and len(skipped) < limit:
            item = self.head()
            if item is None:
                break
            self.remove(item)
            if item.batch_bytes <= capacity_bytes and fits(item):
                capacity_bytes -= item.batch_bytes
                batch.append(item)
            else:
                skipped.append(item)
        for item in skipped:
            assert item.rank is not None
            self.put(item, item.rank)
        return batch
