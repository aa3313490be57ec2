"""What may be written now: nothing to endpoints that drain, to routes that are held, or once the process ends."""

from __future__ import annotations

import math
import threading

from juniperward.forwarder.effects import StartAttempt, StartHealthCheck
from juniperward.forwarder.model import RouteKey


def route_of(call: StartAttempt | StartHealthCheck) -> RouteKey:
    """Return what a Retry-After of the called endpoint binds."""
    return call.destination if call.route is None else call.route


class SendGate:
    """Asked right before the first byte of a call is written, under its `lock`."""

    def __init__(self) -> None:
        """Begin open."""
        self.lock = threading.Lock()
        self.draining: set[int] = set()
        self.held_until: dict[RouteKey, float] = {}
        self.closed = False

    def is_open(self, call: StartAttempt | StartHealthCheck, now: float) -> bool:
        """Return whether a call may be written; the caller holds the lock."""
        if self.closed or call.endpoint in self.draining or now >= call.deadline:
            return False
        return now >= self.held_until.get(route_of(call), -math.inf)

    def set_draining(self, endpoint: int, draining: bool) -> None:
        """Write nothing new to an endpoint that drains or is gone."""
        with self.lock:
            if draining:
                self.draining.add(endpoint)
            else:
                self.draining.discard(endpoint)

    def hold(self, route: RouteKey, until: float) -> None:
        """Write nothing to a route before a moment."""
        with self.lock:
            self.held_until[route] = max(until, self.held_until.get(route, until))

    def sweep(self, now: float) -> None:
        """Forget holds that are over."""
        with self.lock:
            for route in [route for route, until in self.held_until.items() if until <= now]:
                del self.held_until[route]

    def close(self) -> None:
        """Let nothing through any more: what is written from here on, the journal's next reader might not find."""
        with self.lock:
            self.closed = True
