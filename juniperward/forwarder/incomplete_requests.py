"""Limits how many requests may be awaited at once, each with a thread and with memory for the largest body.

A client chooses how long a request is and how slowly it arrives. A thread asks for a permit before it waits for the
rest of a request. Without one the connection queues up, holding no more than what was read at once. While connections
queue up, the requests that have been awaited for longest are given up, at a limited rate: each costs the interpreter
time that other clients need.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable

from juniperward.forwarder.client_connection import ClientConnection
from juniperward.forwarder.telemetry import increment, record_peak

# A connection that has queued up may be given up for a new one once it is this old.
MIN_AGE_S = 0.5
# At each check at most so many requests are given up.
MAX_GIVEN_UP_AT_ONCE = 25


class IncompleteRequests:
    """Permits to wait for the rest of a request; safe to call from any thread."""

    def __init__(self, max_waiting: int, resume: Callable[[ClientConnection], None]) -> None:
        """Give up to `max_waiting` permits; `resume` has a thread serve a connection that queued up for one."""
        self._max_waiting, self._resume = max_waiting, resume
        self._lock = threading.Lock()
        # Connections with a permit, the longest wait first; and those that were told to end their wait.
        self._waiting: dict[ClientConnection, None] = {}
        self._given_up: set[ClientConnection] = set()
        self._queued: deque[ClientConnection] = deque()

    @property
    def waiting(self) -> int:
        """The number of permits that are in use."""
        return len(self._waiting) + len(self._given_up)

    def begin(self, client: ClientConnection) -> bool:
        """Get a permit for the request that a connection is reading; return whether it has one."""
        if client in self._waiting:
            return True
        with self._lock:
            if self._queued or self.waiting >= self._max_waiting:
                return False
            self._permit(client)
        return True

    def queue(self, client: ClientConnection) -> None:
        """Resume a connection once there is a permit for it; those that have been served before go first."""
        with self._lock:
            if client.served:
                self._queued.appendleft(client)
            else:
                self._queued.append(client)
        self._resume_next()

    def end(self, client: ClientConnection) -> None:
        """Return the permit of a connection, if it has one, at the end of its request."""
        if client not in self._waiting and client not in self._given_up:
            return
        with self._lock:
            self._waiting.pop(client, None)
            self._given_up.discard(client)
        self._resume_next()

    def check(self, now: float) -> None:
        """Give up requests for those that queue up, and those that queued up for too long; called periodically."""
        with self._lock:
            expired = [client for client in self._queued if client.read_deadline <= now]
            for client in expired:
                self._queued.remove(client)
            needed = min(len(self._queued), MAX_GIVEN_UP_AT_ONCE)
            ended = [self._take_oldest() for _ in range(min(needed, len(self._waiting)))]
        if ended or expired:
            increment("requests_given_up", len(ended) + len(expired))
        for client in ended:
            client.end_reading()
        for client in expired:
            client.given_up = True
            self._resume(client)

    @property
    def has_queued(self) -> bool:
        """Whether a connection waits for a permit."""
        return bool(self._queued)

    def free_capacity(self, now: float) -> bool:
        """Give up the oldest of the connections that queue up, for a new one; return whether that was possible."""
        with self._lock:
            if not self._queued or now - self._queued[0].idle_since < MIN_AGE_S:
                return False
            client = self._queued.popleft()
        increment("requests_given_up")
        client.given_up = True
        self._resume(client)
        return True

    def _permit(self, client: ClientConnection) -> None:
        self._waiting[client] = None
        record_peak("incomplete_requests", self.waiting)

    def _take_oldest(self) -> ClientConnection:
        client = next(iter(self._waiting))
        del self._waiting[client]
        self._given_up.add(client)
        # Its thread must not ask for another permit in between.
        client.given_up = True
        return client

    def _resume_next(self) -> None:
        """Give the free permits to the connections that queue up."""
        resumed: list[ClientConnection] = []
        with self._lock:
            while self._queued and self.waiting < self._max_waiting:
                client = self._queued.popleft()
                self._permit(client)
                resumed.append(client)
        for client in resumed:
            self._resume(client)
