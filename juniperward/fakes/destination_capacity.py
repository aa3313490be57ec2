"""What a fake destination can take: its rate limit, its slow start after an outage, its crash when overloaded.

`FakeDestination` asks these for each call, under its lock; they know no sockets. Times are seconds of the records'
clock, rates calls a second.
"""

from __future__ import annotations

from collections import deque

from juniperward.fakes.destination_spec import DestinationSpec
from juniperward.fakes.records import now

OVERLOAD_MULTIPLE = 2.0  # in slow start, so many times its present capacity ...
OVERLOAD_SPAN_S = 3.0  # ... within so many seconds crashes a destination
OVERLOAD_SLACK_CALLS = 10  # calls beyond that which do not yet crash it
RATE_SPAN_S = 1.0  # over which the rate limit counts
LEAST_CAPACITY = 0.01  # calls a second that a service time is scaled by at least
MOST_SLOWDOWN = 20.0  # a service time grows so many times at most


class RateLimit:
    """A limit of calls within each sliding span of a second."""

    def __init__(self, calls_per_s: float) -> None:
        """Allow so many calls a second; 0 is no limit."""
        self._limit = calls_per_s
        self._calls: deque[float] = deque()

    def admit(self, at: float) -> float | None:
        """Count a call and return None, or return the moment from which another is allowed."""
        if not self._limit:
            return None
        calls = self._calls
        while calls and at - calls[0] >= RATE_SPAN_S:
            calls.popleft()
        if len(calls) >= self._limit:
            return calls[0] + RATE_SPAN_S
        calls.append(at)
        return None


class DestinationCapacity:
    """The calls a second that a destination can take now; `crashed` once too many came in slow start."""

    def __init__(self, spec: DestinationSpec) -> None:
        """Begin with all of the spec's capacity."""
        self._spec = spec
        self._recent_calls: deque[float] = deque()  # of the last OVERLOAD_SPAN_S
        self.recovered_at: float | None = None
        self.crashed = False

    def present(self) -> float:
        """Return the calls a second that the destination can take now."""
        if self.crashed:
            return 0.0
        if self.recovered_at is None:
            return self._spec.capacity
        spec = self._spec
        warmed_up = min((now() - self.recovered_at) / spec.warm_up_s, 1.0)
        fraction = spec.warm_up_start_fraction + (1 - spec.warm_up_start_fraction) * warmed_up
        return spec.capacity * fraction

    def slowdown(self) -> float:
        """Return how many times the usual a call takes now."""
        return min(self._spec.capacity / max(self.present(), LEAST_CAPACITY), MOST_SLOWDOWN)

    def begin_slow_start(self) -> None:
        """Begin slow start: an outage has ended."""
        self.recovered_at = now()

    def count_call(self, at: float) -> None:
        """Count a call, served or rejected, and crash where too many came in slow start."""
        calls = self._recent_calls
        while calls and at - calls[0] > OVERLOAD_SPAN_S:
            calls.popleft()
        calls.append(at)
        if self.recovered_at is None or at - self.recovered_at >= self._spec.warm_up_s:
            return
        bound = OVERLOAD_MULTIPLE * self.present() * OVERLOAD_SPAN_S + OVERLOAD_SLACK_CALLS
        if len(calls) > bound:
            self.crashed = True
