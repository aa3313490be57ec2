"""The loop's input: posted events and timers."""

from __future__ import annotations

import heapq
import queue
import time

from juniperward.forwarder.events import Event, TimerEvent
from juniperward.forwarder.telemetry import increment

MAX_EVENTS_PER_ROUND = 500
# A timer that fires later than this is counted: the loop is overloaded, or gets too little of the processor.
MAX_TIMER_DELAY_S = 0.1


class EventQueue:
    """Any thread or signal handler may post events; only the loop's thread may set timers and wait."""

    def __init__(self) -> None:
        """Start without events and timers."""
        self._posted: queue.SimpleQueue[Event] = queue.SimpleQueue()
        self._timers: list[tuple[float, int, TimerEvent]] = []
        self._last_timer = 0

    def post(self, event: Event) -> None:
        """Add an event to the loop's next round."""
        self._posted.put(event)

    def set_timer(self, at: float, event: TimerEvent) -> None:
        """Add an event to the loop's first round after a time of the monotonic clock."""
        self._last_timer += 1
        heapq.heappush(self._timers, (at, self._last_timer, event))

    def wait(self, timeout_s: float) -> list[Event]:
        """Wait for an event, a timer or `timeout_s`; return up to MAX_EVENTS_PER_ROUND posted events."""
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
        """Remove the expired timers and return their events, the earliest first."""
        events: list[Event] = []
        while self._timers and self._timers[0][0] <= now:
            at, _, event = heapq.heappop(self._timers)
            if now - at > MAX_TIMER_DELAY_S:
                increment("timers_late")
            events.append(event)
        return events
