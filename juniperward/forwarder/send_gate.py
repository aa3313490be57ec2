"""Whether a call may be written now: not to a draining endpoint or a paused route, nor once the process ends.

The loop closes and opens the gate; the threads that make calls look at it right before a call's first byte.
"""

from __future__ import annotations

import math
import threading

from juniperward.forwarder.effects import StartAttempt, StartHealthCheck
from juniperward.forwarder.model import RouteKey


def route_of(call: StartAttempt | StartHealthCheck) -> RouteKey:
    """Return the route that a Retry-After of the called endpoint pauses."""
    return call.destination if call.route is None else call.route


class SendGate:
    """Guards the first byte of each call; `lock` also guards the calls in flight."""

    def __init__(self) -> None:
        """Begin open."""
        self.lock = threading.Lock()
        self.draining: set[int] = set()
        self.paused_until: dict[RouteKey, float] = {}
        self.closed = False

    def is_open(self, call: StartAttempt | StartHealthCheck, now: float) -> bool:
        """Return whether a call may be written; the caller holds the lock."""
        if self.closed or call.endpoint in self.draining or now >= call.deadline:
            return False
        return now >= self.paused_until.get(route_of(call), -math.inf)

    def set_draining(self, endpoint: int, draining: bool) -> None:
        """Write no new call to an endpoint that drains or was removed, or do so again."""
        with self.lock:
            if draining:
                self.draining.add(endpoint)
            else:
                self.draining.discard(endpoint)

    def pause_route(self, route: RouteKey, until: float) -> None:
        """Write no call to a route before `until`, or before a later moment set earlier."""
        with self.lock:
            self.paused_until[route] = max(until, self.paused_until.get(route, until))

    def remove_expired_pauses(self, now: float) -> None:
        """Remove pauses that are over."""
        with self.lock:
            expired = [route for route, until in self.paused_until.items() if until <= now]
            for route in expired:
                del self.paused_until[route]

    def close(self) -> None:
        """Write no call any more: the journal's next reader might not find its record."""
        with self.lock:
            self.closed = True
