"""The loop's input: events that threads post, and timers."""

from __future__ import annotations

import heapq
import queue
import time

from juniperward.forwarder.events import Event, TimerEvent

MAX_EVENTS_PER_ROUND = 500


class EventQueue:
    """Any thread may post, and a signal handler too; the loop alone sets timers and waits."""

    def __init__(self) -> None:
        """Begin without events and timers."""
        self._posted: queue.SimpleQueue[Event] = queue.SimpleQueue()
        self._timers: list[tuple[float, int, TimerEvent]] = []
        self._last_timer = 0

    def post(self, event: Event) -> None:
        """Add an event to the loop's next round."""
        self._posted.put(event)

    def set_timer(self, at: float, event: TimerEvent) -> None:
        """Add an event to the loop's round at a moment of the monotonic clock."""
        self._last_timer += 1
        heapq.heappush(self._timers, (at, self._last_timer, event))

    def wait(self, timeout_s: float) -> list[Event]:
        """Return the posted events, at most MAX_EVENTS_PER_ROUND; wait for one up to a timer or `timeout_s`."""
        now = time.monotonic()
        until = now + timeout_s
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

    def expired_timers(self, now: float) -> list[Event]:
        """Return the events of timers that have expired, the earliest first."""
        events: list[Event] = []
        while self._timers and self._timers[0][0] <= now:
            events.append(heapq.heappop(self._timers)[2])
        return events
