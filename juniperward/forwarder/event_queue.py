"""The events that threads post, and the timers of the loop."""

from __future__ import annotations

import heapq
import queue
import time

from juniperward.forwarder.events import Event, TimerEvent

MAX_EVENTS_PER_ROUND = 500


class EventQueue:
    """Any thread may post, also a signal's handler; the loop alone sets timers and waits."""

    def __init__(self) -> None:
        """Begin without events and timers."""
        self._posted: queue.SimpleQueue[Event] = queue.SimpleQueue()
        self._timers: list[tuple[float, int, TimerEvent]] = []
        self._last_timer = 0

    def post(self, event: Event) -> None:
        """Have the loop take in an event."""
        self._posted.put(event)

    def set_timer(self, at: float, event: TimerEvent) -> None:
        """Have the loop take in an event at a moment of the monotonic clock."""
        self._last_timer += 1
        heapq.heappush(self._timers, (at, self._last_timer, event))

    def wait(self, most_s: float) -> list[Event]:
        """Return the events of a round: what is posted, waited for until a timer is due, or for so long."""
        now = time.monotonic()
        until = now + most_s
        if self._timers:
            until = min(self._timers[0][0], until)
        events: list[Event] = []
        try:
            events.append(self._posted.get(timeout=max(until - now, 0.0)))
            while len(events) < MAX_EVENTS_PER_ROUND:
                events.append(self._posted.get_nowait())
        except queue.Empty:
            pass
        return events

    def due(self, now: float) -> list[Event]:
        """Return the events of timers that are due."""
        events: list[Event] = []
        while self._timers and self._timers[0][0] <= now:
            events.append(heapq.heappop(self._timers)[2])
        return events
