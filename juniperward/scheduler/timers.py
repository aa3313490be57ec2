"""Scheduled callbacks, and the one timer that a scheduler has its caller set for the next of them."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from typing import NamedTuple

from juniperward.scheduler.actions import SetTimer

TIME_EPSILON_S = 1e-9  # moments that are closer than this count as one


class ScheduledCallback(NamedTuple):
    """A callback and its moment; those of one moment go in the order scheduled."""

    at: float
    sequence: int
    callback: Callable[..., None]
    arguments: tuple[object, ...]


class TimerQueue:
    """A heap of scheduled callbacks."""

    def __init__(self) -> None:
        """Begin without callbacks."""
        self._heap: list[ScheduledCallback] = []
        self._sequence = 0
        self._requested_at = math.inf  # when the caller's timer fires
        self.token = 0  # of the latest timer that was requested

    def schedule(self, at: float, callback: Callable[..., None], *arguments: object) -> None:
        """Call back at a moment, with these arguments."""
        self._sequence += 1
        heapq.heappush(self._heap, ScheduledCallback(at, self._sequence, callback, arguments))

    def run_expired(self, now: float) -> None:
        """Call what is scheduled up to a moment, including what the callbacks schedule meanwhile."""
        latest = now + TIME_EPSILON_S
        while self._heap and self._heap[0].at <= latest:
            expired = heapq.heappop(self._heap)
            expired.callback(*expired.arguments)

    def record_fired(self, token: int) -> None:
        """Record that the caller's timer fired; an older one than the latest is ignored."""
        if token == self.token:
            self._requested_at = math.inf

    def request(self, now: float, resolution_s: float) -> SetTimer | None:
        """Return the timer to set, or None where the one that runs fires early enough."""
        if not self._heap or self._heap[0].at >= self._requested_at - TIME_EPSILON_S:
            return None
        self._requested_at = self._heap[0].at
        self.token += 1
        return SetTimer(max(self._requested_at - now, resolution_s), self.token)

    def pending(self, callback: Callable[..., None]) -> list[ScheduledCallback]:
        """Return when a callback is scheduled, and with which arguments."""
        return [scheduled for scheduled in self._heap if scheduled.callback == callback]
