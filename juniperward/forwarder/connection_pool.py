"""Idle connections to endpoints, between a call that has had its answer and the next one.

Threads take a connection for a call and put it back after it (`endpoint_connections.py`); the loop has idle ones
closed (`endpoint_client.py`).
"""

from __future__ import annotations

import threading
import time

from juniperward.forwarder.endpoint_connection import EndpointConnection
from juniperward.net import sockets

KEEPALIVE_FRACTION = 0.9  # of the endpoints' keepalive: an idle connection is not used after it
MIN_IDLE_S = (
    0.01  # after an answer, before its connection is used again: bytes behind the answer show by then
)


class ConnectionPool:
    """Idle connections by endpoint; any thread may call it."""

    def __init__(self, keepalive_s: float, max_idle: int) -> None:
        """Hold at most `max_idle` connections, each for less time than the endpoints' `keepalive_s`."""
        self.keepalive_s = keepalive_s * KEEPALIVE_FRACTION
        self.max_idle = max_idle
        self.idle: dict[int, list[EndpointConnection]] = {}  # of an endpoint, the most recently used one last
        self._draining: set[int] = set()
        self._lock = threading.Lock()

    def take(self, endpoint: int, address: tuple[str, int]) -> EndpointConnection | None:
        """Return a connection that can be used, None where there is none.

        The most recently used one that has been idle for MIN_IDLE_S goes first; where none has, the oldest does
        after a short sleep. Connections that can no longer be used are closed on the way.
        """
        while True:
            connection = self._pop(endpoint)
            if connection is None:
                return None
            idle_s = time.monotonic() - connection.idle_since
            if idle_s < MIN_IDLE_S:
                time.sleep(MIN_IDLE_S - idle_s)
            if idle_s < self.keepalive_s and _is_usable(connection, address):
                connection.reused = True
                return connection
            connection.close()

    def _pop(self, endpoint: int) -> EndpointConnection | None:
        now = time.monotonic()
        with self._lock:
            connections = self.idle.get(endpoint)
            if not connections:
                return None
            # They are in the order of their use: only the last few can have been idle for less than MIN_IDLE_S.
            for index in range(len(connections) - 1, -1, -1):
                if now - connections[index].idle_since >= MIN_IDLE_S:
                    return connections.pop(index)
            return connections.pop(0)

    def put_back(self, endpoint: int, connection: EndpointConnection) -> None:
        """Add an idle connection; it is closed where its endpoint drains, the oldest where there are too many."""
        connection.idle_since = time.monotonic()
        surplus = [connection]
        with self._lock:
            if endpoint not in self._draining:
                self.idle.setdefault(endpoint, []).append(connection)
                surplus = []
            if sum(map(len, self.idle.values())) > self.max_idle:
                surplus.append(self._pop_oldest())
        _close_all(surplus)

    def _pop_oldest(self) -> EndpointConnection:
        per_endpoint = (connections for connections in self.idle.values() if connections)
        oldest = min(per_endpoint, key=lambda connections: connections[0].idle_since)
        return oldest.pop(0)

    def close_idle(self, endpoint: int) -> None:
        """Close the idle connections to an endpoint."""
        with self._lock:
            connections = self.idle.pop(endpoint, [])
        _close_all(connections)

    def set_draining(self, endpoint: int, draining: bool) -> None:
        """Have no idle connections to an endpoint while it drains."""
        with self._lock:
            if draining:
                self._draining.add(endpoint)
            else:
                self._draining.discard(endpoint)
        if draining:
            self.close_idle(endpoint)

    def close_expired(self, now: float) -> None:
        """Close the connections that have been idle for too long, before their endpoints do."""
        expired: list[EndpointConnection] = []
        with self._lock:
            for endpoint, connections in list(self.idle.items()):
                usable = [c for c in connections if now - c.idle_since < self.keepalive_s]
                expired += [c for c in connections if now - c.idle_since >= self.keepalive_s]
                if usable:
                    self.idle[endpoint] = usable
                else:
                    del self.idle[endpoint]
        _close_all(expired)


def _is_usable(connection: EndpointConnection, address: tuple[str, int]) -> bool:
    """Return whether the next answer on a connection will be that of the next call."""
    is_same_address = connection.address == address
    return is_same_address and not connection.stream.buffer and sockets.is_reusable(connection.sock)


def _close_all(connections: list[EndpointConnection]) -> None:
    for connection in connections:
        connection.close()
