"""Limits how many threads of a group run at once, for threads that spend their time in the interpreter.

The interpreter runs one thread at a time, and threads that are ready to run get it in turn. Hundreds of them would
delay every other thread of the process, such as the loop, at each of its system calls.
"""

from __future__ import annotations

import queue
import threading
import time
from collections import deque
from types import TracebackType

from juniperward.forwarder.telemetry import increment

# At each of its system calls, the loop waits for the interpreter behind at most this number of threads of a group.
MAX_RUNNING_THREADS = 8
# A longer wait for a slot is counted.
MAX_WAIT_S = 0.1


class Slots:
    """The free slots of a limit, for threads in the order in which they ask.

    A slot that becomes free goes to the thread that has waited for longest: otherwise threads that give back a slot
    and take the next one would leave none to those that wait.

    Attributes:
        group: Names the threads in the counter of long waits.

    """

    def __init__(self, free: int = 0, group: str = "") -> None:
        """Start with a number of free slots."""
        self.group = group
        self._free: queue.SimpleQueue[None] = queue.SimpleQueue()
        for _ in range(free):
            self._free.put(None)
        # A locked lock for each thread that waits; it is released when the thread has its slot.
        self._waiting: deque[threading.Lock] = deque()

    def put(self) -> None:
        """Return a slot."""
        self._free.put(None)
        if self._waiting:
            self._pass_on()

    def take(self) -> None:
        """Wait for a slot and take it."""
        turn = self.try_take()
        if turn is not None:
            began = time.monotonic()
            turn.acquire()
            if time.monotonic() - began > MAX_WAIT_S:
                increment(f"threads_late_{self.group}")

    def try_take(self) -> threading.Lock | None:
        """Take a free slot and return None, or queue up and return the lock that is released with the slot."""
        if not self._waiting:
            try:
                return self._free.get_nowait()
            except queue.Empty:
                pass
        turn = threading.Lock()
        turn.acquire()
        self._waiting.append(turn)
        # A slot that was returned before the thread queued up would else wait for the next one.
        self._pass_on()
        return turn

    def _pass_on(self) -> None:
        """Give free slots to the threads that have waited for longest."""
        while self._waiting:
            try:
                self._free.get_nowait()
            except queue.Empty:
                return
            try:
                turn = self._waiting.popleft()
            except IndexError:
                # Another thread has passed on to the last one; a thread that queues up now does not see this slot.
                self._free.put(None)
                continue
            turn.release()


class Blocking:
    """A context in which a thread holds no slot, because it blocks."""

    def __init__(self, slots: Slots) -> None:
        """Return the slot to `slots` meanwhile."""
        self._slots = slots

    def __enter__(self) -> None:
        """Return the slot."""
        self._slots.put()

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
        self._slots = Slots(max_running, group)
        self.blocking = Blocking(self._slots)

    def __enter__(self) -> None:
        """Wait for a slot."""
        self._slots.take()

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Return the slot."""
        self._slots.put()
