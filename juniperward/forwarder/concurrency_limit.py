"""Limits how many threads of a group run at once, for threads that spend their time in the interpreter.

The interpreter runs one thread at a time, and threads that are ready to run get it in turn. Hundreds of them would
delay every other thread of the process, such as the loop, at each of its system calls.
"""

from __future__ import annotations

import queue
from types import TracebackType

# At each of its system calls, the loop waits for the interpreter behind at most this number of threads of a group.
MAX_RUNNING_THREADS = 8


class Blocking:
    """A context in which a thread holds no slot, because it blocks."""

    def __init__(self, slots: queue.SimpleQueue[None]) -> None:
        """Return the slot to `slots` meanwhile."""
        self._slots = slots

    def __enter__(self) -> None:
        """Return the slot."""
        self._slots.put(None)

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Wait for a slot."""
        self._slots.get()


class ConcurrencyLimit:
    """A number of slots, of which each thread of a group holds one while it runs.

    A thread enters the limit for its whole work, and `blocking` for each call that may block.

    Attributes:
        blocking: The context for calls that may block; it must be entered with a slot.

    """

    def __init__(self, max_running: int) -> None:
        """Create `max_running` free slots."""
        self._slots: queue.SimpleQueue[None] = queue.SimpleQueue()
        for _ in range(max_running):
            self._slots.put(None)
        self.blocking = Blocking(self._slots)

    def __enter__(self) -> None:
        """Wait for a slot."""
        self._slots.get()

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Return the slot."""
        self._slots.put(None)
