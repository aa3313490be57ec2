"""Callbacks that are due at a moment, and the one timer that a scheduler has its caller set for the next of them."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

from juniperward.scheduler.actions import SetTimer

TIME_EPSILON_S = 1e-9  # moments that are closer than this count as one


class TimerQueue:
    """Callbacks by the moment at which they are due, those of one moment in the order scheduled."""

    def __init__(self) -> None:
        """Begin without callbacks."""
        self._due: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self._sequence = 0
        self._requested_at = math.inf  # when the caller's timer fires
        self.token = 0  # of the latest timer that was asked for

    def schedule(self, at: float, callback: Callable[..., None], *arguments: object) -> None:
        """Call back at a moment."""
        self._sequence += 1
        heapq.heappush(self._due, (at, self._sequence, callback, arguments))

    def run_expired(self, now: float) -> None:
        """Call whatever is due, also what is scheduled meanwhile."""
        while self._due and self._due[0][0] <= now + TIME_EPSILON_S:
            _, _, callback, arguments = heapq.heappop(self._due)
            callback(*arguments)

    def fired(self, token: int) -> None:
        """Note that the caller's timer fired; an older one says nothing."""
        if token == self.token:
            self._requested_at = math.inf

    def request(self, now: float, resolution_s: float) -> SetTimer | None:
        """Return the timer to ask for, or None where the one that runs is early enough."""
        if not self._due or self._due[0][0] >= self._requested_at - TIME_EPSILON_S:
            return None
        self._requested_at = self._due[0][0]
        self.token += 1
        return SetTimer(max(self._requested_at - now, resolution_s), self.token)

    def pending(self, callback: Callable[..., None]) -> list[tuple[float, tuple[object, ...]]]:
        """Return when a callback is due, and with which arguments."""
        return [(at, arguments) for at, _, scheduled, arguments in self._due if scheduled == callback]
