"""Decides whether a call may be sent: not to a draining endpoint, not on a paused route, not during process exit.

The loop opens and closes the gate. The threads that make calls check it right before they write the first byte.
"""

from __future__ import annotations

import math
import threading

from juniperward.forwarder.effects import StartAttempt, StartHealthCheck
from juniperward.forwarder.model import RouteKey


def route_of(call: StartAttempt | StartHealthCheck) -> RouteKey:
    """Return the route that a Retry-After in the answer to a call pauses."""
    return call.destination if call.route is None else call.route


class SendGate:
    """Guards the first byte of each call; `lock` also guards the calls in flight."""

    def __init__(self) -> None:
        """Start open."""
        self.lock = threading.Lock()
        self.draining: set[int] = set()
        self.paused_until: dict[RouteKey, float] = {}
        self.closed = False

    def is_open(self, call: StartAttempt | StartHealthCheck, now: float) -> bool:
        """Return whether a call may be sent; the caller must hold the lock."""
        if self.closed or call.endpoint in self.draining or now >= call.deadline:
            return False
        return now >= self.paused_until.get(route_of(call), -math.inf)

    def set_draining(self, endpoint: int, draining: bool) -> None:
        """Block new calls to an endpoint that is draining or was removed, or allow them again."""
        with self.lock:
            if draining:
                self.draining.add(endpoint)
            else:
                self.draining.discard(endpoint)

    def pause_route(self, route: RouteKey, until: float) -> None:
        """Block calls on a route until `until`, or until a later time that was set before."""
        with self.lock:
            self.paused_until[route] = max(until, self.paused_until.get(route, until))

    def remove_expired_pauses(self, now: float) -> None:
        """Remove the pauses that have ended."""
        with self.lock:
            expired = [route for route, until in self.paused_until.items() if until <= now]
            for route in expired:
                del self.paused_until[route]

    def close(self) -> None:
        """Block all further calls, as the next process may not find their records in the journal."""
        with self.lock:
            self.closed = True
