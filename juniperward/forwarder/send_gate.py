"""Decides whether a call may be sent: not to a draining endpoint, not on a paused route, not during process exit.

The loop opens and closes the gate. The threads that make calls check it right before they write the first byte.
"""

from __future__ import annotations

import math
import threading
from dataclasses import dataclass

from juniperward.forwarder.effects import StartAttempt, StartHealthCheck
from juniperward.forwarder.model import RouteKey

# A 429 has a Retry-After; this one is assumed if it was lost and the route had none before.
DEFAULT_RETRY_AFTER_S = 1.0
# The latest Retry-After of a route is assumed for this time.
RETRY_AFTER_MAX_AGE_S = 60.0


@dataclass(frozen=True, slots=True)
class LatestRetryAfter:
    """The Retry-After of a rejection, 0 if it had none, and when it was received, monotonic."""

    retry_after_s: float
    received_at: float


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
        self._latest_retry_after: dict[RouteKey, LatestRetryAfter] = {}
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

    def record_retry_after(self, route: RouteKey, retry_after_s: float, now: float) -> None:
        """Keep the Retry-After of a rejection, 0 if it has none."""
        with self.lock:
            self._latest_retry_after[route] = LatestRetryAfter(retry_after_s, now)

    def assumed_retry_after_s(self, route: RouteKey, is_certain: bool) -> float:
        """Return the Retry-After to assume if that of a rejection was lost; `is_certain` tells that it had one."""
        with self.lock:
            latest = self._latest_retry_after.get(route)
        if latest is not None and latest.retry_after_s > 0:
            return latest.retry_after_s
        return DEFAULT_RETRY_AFTER_S if is_certain else 0.0

    def remove_expired_pauses(self, now: float) -> None:
        """Remove the pauses that have ended, and old values of Retry-After."""
        with self.lock:
            expired = [route for route, until in self.paused_until.items() if until <= now]
            for route in expired:
                del self.paused_until[route]
            outdated = [
                route
                for route, latest in self._latest_retry_after.items()
                if latest.received_at < now - RETRY_AFTER_MAX_AGE_S
            ]
            for route in outdated:
                del self._latest_retry_after[route]

    def close(self) -> None:
        """Block all further calls, as the next process may not find their records in the journal."""
        with self.lock:
            self.closed = True
