"""Scheduled callbacks of a scheduler, and the one timer that its caller sets for the next of them."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from typing import NamedTuple

from juniperward.scheduler.actions import SetTimer

TIME_EPSILON_S = 1e-9  # Times that differ by less than this count as equal.


class ScheduledCallback(NamedTuple):
    """A callback and its time; callbacks with equal times run in the order in which they were scheduled."""

    at: float
    sequence: int
    callback: Callable[..., None]
    arguments: tuple[object, ...]


class TimerQueue:
    """A heap of scheduled callbacks.

    Attributes:
        token: identifies the timer that was requested last.
    """

    def __init__(self) -> None:
        """Start without callbacks."""
        self._heap: list[ScheduledCallback] = []
        self._sequence = 0
        self._timer_fires_at = math.inf
        self.token = 0

    def schedule(self, at: float, callback: Callable[..., None], *arguments: object) -> None:
        """Schedule a callback with its arguments for a time."""
        self._sequence += 1
        heapq.heappush(self._heap, ScheduledCallback(at, self._sequence, callback, arguments))

    def run_expired(self, now: float) -> None:
        """Run the callbacks that are scheduled up to a time, including those added by the callbacks."""
        latest = now + TIME_EPSILON_S
        while self._heap and self._heap[0].at <= latest:
            expired = heapq.heappop(self._heap)
            expired.callback(*expired.arguments)

    def record_fired(self, token: int) -> None:
        """Record that the caller's timer fired; any timer but the latest is ignored."""
        if token == self.token:
            self._timer_fires_at = math.inf

    def request(self, now: float, resolution_s: float) -> SetTimer | None:
        """Return the timer to set, or None if the running one fires early enough or nothing is scheduled."""
        if not self._heap or self._heap[0].at >= self._timer_fires_at - TIME_EPSILON_S:
            return None
        self._timer_fires_at = self._heap[0].at
        self.token += 1
        return SetTimer(max(self._timer_fires_at - now, resolution_s), self.token)

    def pending(self, callback: Callable[..., None]) -> list[ScheduledCallback]:
        """Return the scheduled entries of a callback, in no particular order."""
        return [scheduled for scheduled in self._heap if scheduled.callback == callback]
