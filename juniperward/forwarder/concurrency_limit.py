"""Limits how many threads of a group run at once, for threads that spend their time in the interpreter.

The interpreter runs one thread at a time, and threads that are ready to run get it in turn. Hundreds of them would
delay every other thread of the process, such as the loop, at each of its system calls.
"""

from __future__ import annotations

import queue
import time
from types import TracebackType

from juniperward.forwarder.telemetry import increment

# At each of its system calls, the loop waits for the interpreter behind at most this number of threads of a group.
MAX_RUNNING_THREADS = 8
# A longer wait for a slot is counted.
MAX_WAIT_S = 0.1


class Slots(queue.SimpleQueue[None]):
    """The free slots of a limit; `put(None)` returns one.

    Attributes:
        group: Names the threads in the counter of long waits.

    """

    group = ""

    def take(self) -> None:
        """Wait for a slot and take it."""
        try:
            self.get_nowait()
        except queue.Empty:
            self._wait()

    def _wait(self) -> None:
        began = time.monotonic()
        self.get()
        if time.monotonic() - began > MAX_WAIT_S:
            increment(f"threads_late_{self.group}")


class Blocking:
    """A context in which a thread holds no slot, because it blocks."""

    def __init__(self, slots: Slots) -> None:
        """Return the slot to `slots` meanwhile."""
        self._slots = slots

    def __enter__(self) -> None:
        """Return the slot."""
        self._slots.put(None)

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Wait for a slot."""
        self._slots.take()


class ConcurrencyLimit:
    """A number of slots, of which each thread of a group holds one while it runs.

    A thread enters the limit for its whole work, and `blocking` for each call that may block.

    Attributes:
        blocking: The context for calls that may block; it must be entered with a slot.

    """

    def __init__(self, max_running: int, group: str) -> None:
        """Create `max_running` free slots; `group` names the threads in the counter of long waits."""
        self._slots = Slots()
        self._slots.group = group
        for _ in range(max_running):
            self._slots.put(None)
        self.blocking = Blocking(self._slots)

    def __enter__(self) -> None:
        """Wait for a slot."""
        self._slots.take()

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Return the slot."""
        self._slots.put(None)
