"""A pool of idle connections to endpoints.

The threads that make calls take connections and put them back (`endpoint_connections.py`); the loop closes
idle ones (`endpoint_client.py`).
"""

from __future__ import annotations

import contextlib
import threading
import time

from juniperward.forwarder.connection_reuse import ConnectionReuse
from juniperward.forwarder.endpoint_connection import NOT_LIMITED, EndpointConnection
from juniperward.net import sockets
from juniperward.net.sockets import IdleState

# An idle connection is closed after this fraction of the endpoints' keepalive time.
MAX_IDLE_KEEPALIVE_FRACTION = 0.9
# The minimum time between an answer and the next call on its connection. What an endpoint sends right behind an
# answer arrives within it, and the connection is closed without a call in doubt.
MIN_IDLE_S = 0.01


class ConnectionPool:
    """Idle connections by endpoint; safe to call from any thread.

    Attributes:
        max_idle_s: the time for which a connection may be idle and still be used.
        max_connections: the limit of idle connections, to all endpoints together.
        idle: connections by endpoint, the most recently used one last.

    """

    def __init__(
        self,
        keepalive_s: float,
        max_connections: int,
        reuse: ConnectionReuse,
        blocking: contextlib.AbstractContextManager[None] = NOT_LIMITED,
    ) -> None:
        """Start empty; `keepalive_s` is the time after which endpoints close idle connections.

        Bytes on an idle connection are reported to `reuse`; `blocking` is entered while a thread sleeps.
        """
        self._reuse = reuse
        self._blocking = blocking
        self.max_idle_s = keepalive_s * MAX_IDLE_KEEPALIVE_FRACTION
        self.max_connections = max_connections
        self.idle: dict[int, list[EndpointConnection]] = {}
        self._draining: set[int] = set()
        self._lock = threading.Lock()

    def take(self, endpoint: int, destination: int, address: tuple[str, int]) -> EndpointConnection | None:
        """Return a usable connection, or None; unusable connections that are found first are closed.

        The most recently used connection that has been idle for MIN_IDLE_S is preferred. If there is none,
        the least recently used one is taken, after a sleep until it has been idle for that time.
        """
        while True:
            connection = self._pop(endpoint)
            if connection is None:
                return None
            idle_s = time.monotonic() - connection.idle_since
            if idle_s < MIN_IDLE_S:
                with self._blocking:
                    time.sleep(MIN_IDLE_S - idle_s)
            if idle_s < self.max_idle_s and self._is_usable(connection, destination, address):
                return connection
            connection.close()

    def _is_usable(self, connection: EndpointConnection, destination: int, address: tuple[str, int]) -> bool:
        """Return whether a connection is open, has the right address and holds no stray bytes."""
        if connection.address != address:
            return False
        state = sockets.idle_state(connection.sock)
        if state is IdleState.RECEIVED or connection.stream.buffer:
            self._reuse.report_stray_bytes(destination, "between calls", address)
            return False
        return state is IdleState.SILENT

    def _pop(self, endpoint: int) -> EndpointConnection | None:
        now = time.monotonic()
        with self._lock:
            connections = self.idle.get(endpoint)
            if not connections:
                return None
            # Ordered by last use, so only the last few can have been idle for less than MIN_IDLE_S.
            for index in range(len(connections) - 1, -1, -1):
                if now - connections[index].idle_since >= MIN_IDLE_S:
                    return connections.pop(index)
            return connections.pop(0)

    def put_back(self, endpoint: int, connection: EndpointConnection) -> None:
        """Add an idle connection, or close it if its endpoint is draining.

        Above `max_connections`, the connection that has been idle for longest is closed.
        """
        connection.idle_since = time.monotonic()
        surplus = [connection]
        with self._lock:
            if endpoint not in self._draining:
                self.idle.setdefault(endpoint, []).append(connection)
                surplus = []
            if sum(map(len, self.idle.values())) > self.max_connections:
                surplus.append(self._pop_oldest())
        _close_all(surplus)

    def _pop_oldest(self) -> EndpointConnection:
        per_endpoint = (connections for connections in self.idle.values() if connections)
        oldest = min(per_endpoint, key=lambda connections: connections[0].idle_since)
        return oldest.pop(0)

    def close_idle(self, endpoint: int) -> None:
        """Close all idle connections to an endpoint."""
        with self._lock:
            connections = self.idle.pop(endpoint, [])
        _close_all(connections)

    def set_draining(self, endpoint: int, draining: bool) -> None:
        """Set whether an endpoint is draining; while it is, no idle connections to it are held."""
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
                usable = [c for c in connections if now - c.idle_since < self.max_idle_s]
                expired += [c for c in connections if now - c.idle_since >= self.max_idle_s]
                if usable:
                    self.idle[endpoint] = usable
                else:
                    del self.idle[endpoint]
        _close_all(expired)


def _close_all(connections: list[EndpointConnection]) -> None:
    for connection in connections:
        connection.close()
