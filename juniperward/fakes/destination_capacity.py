"""The capacity of a fake destination: its rate limit, slow start after an outage, and crash by overload.

`FakeDestination` calls these classes under its lock. Times are seconds of the clock of `records.now`, rates are in
calls per second.
"""

from __future__ import annotations

from collections import deque

from juniperward.fakes.destination_spec import DestinationSpec
from juniperward.fakes.records import now

# In slow start, a destination crashes when the calls within OVERLOAD_WINDOW_S exceed its current capacity
# multiplied by OVERLOAD_FACTOR, by more than OVERLOAD_SLACK_CALLS.
OVERLOAD_FACTOR = 2.0
OVERLOAD_WINDOW_S = 3.0
OVERLOAD_SLACK_CALLS = 10
RATE_WINDOW_S = 1.0
MIN_CAPACITY_PER_S = 0.01
MAX_SLOWDOWN_FACTOR = 20.0


class RateLimit:
    """A limit on the calls within a sliding window of RATE_WINDOW_S."""

    def __init__(self, calls_per_s: float) -> None:
        """Allow `calls_per_s` calls per second; 0 means no limit."""
        self._limit = calls_per_s
        self._calls: deque[float] = deque()

    def admit(self, at: float) -> float | None:
        """Count an allowed call and return None, or return the time from which another call is allowed."""
        if not self._limit:
            return None
        calls = self._calls
        while calls and at - calls[0] >= RATE_WINDOW_S:
            calls.popleft()
        if len(calls) >= self._limit:
            return calls[0] + RATE_WINDOW_S
        calls.append(at)
        return None


class DestinationCapacity:
    """A destination's current capacity.

    Attributes:
        recovered_at: When the latest outage ended, or None if there was none.
        crashed: Whether the destination received too many calls in slow start; it then stays down.
    """

    def __init__(self, spec: DestinationSpec) -> None:
        """Start with the full capacity of the spec."""
        self._spec = spec
        # The times of the calls within OVERLOAD_WINDOW_S.
        self._recent_calls: deque[float] = deque()
        self.recovered_at: float | None = None
        self.crashed = False

    def current_per_s(self) -> float:
        """Return the calls per second that the destination can serve now."""
        if self.crashed:
            return 0.0
        if self.recovered_at is None:
            return self._spec.capacity
        spec = self._spec
        warmed_up = min((now() - self.recovered_at) / spec.warm_up_s, 1.0)
        fraction = spec.warm_up_start_fraction + (1 - spec.warm_up_start_fraction) * warmed_up
        return spec.capacity * fraction

    def slowdown_factor(self) -> float:
        """Return the current service time as a multiple of the usual one."""
        return min(self._spec.capacity / max(self.current_per_s(), MIN_CAPACITY_PER_S), MAX_SLOWDOWN_FACTOR)

    def begin_slow_start(self) -> None:
        """Start slow start at the end of an outage."""
        self.recovered_at = now()

    def count_call(self, at: float) -> None:
        """Count a received call, served or rejected; crash if there are too many in slow start."""
        calls = self._recent_calls
        while calls and at - calls[0] > OVERLOAD_WINDOW_S:
            calls.popleft()
        calls.append(at)
        if self.recovered_at is None or at - self.recovered_at >= self._spec.warm_up_s:
            return
        max_calls = OVERLOAD_FACTOR * self.current_per_s() * OVERLOAD_WINDOW_S + OVERLOAD_SLACK_CALLS
        if len(calls) > max_calls:
            self.crashed = True
