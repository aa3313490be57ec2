"""Connections to endpoints: reads within their time, and the connections that rest between calls."""

from __future__ import annotations

import socket
import threading
import time

from juniperward.net import sockets
from juniperward.net.stream import Stream

KEEPALIVE_SHARE = 0.9  # part of the endpoints' keepalive after which an idle connection is not used any more
LONGEST_READ_S = 60.0  # after it a read ends whatever the reducer forgot; a class with more time has more
ANSWER_TRANSFER_S = 0.5  # that an answer may take from its first byte to its last
CONNECTION_REST_S = 0.01  # after an answer, before its connection is used again: what is behind it shows


class EndpointConnection:
    """A connection to an endpoint; used by one thread at a time."""

    def __init__(
        self, sock: socket.socket, address: tuple[str, int], longest_read_s: float = LONGEST_READ_S
    ) -> None:
        """Read from a socket that is connected."""
        self.sock, self.address, self.longest_read_s = sock, address, longest_read_s
        self.stream = Stream(self._receive)
        self.used_at = time.monotonic()
        self.whole_by: float | None = None  # when the answer that has begun must be whole
        self.deadline: float | None = None  # when an answer must be whole, whether it has begun or not
        self._limited = False

    def answer_begun(self, begun: bool) -> None:
        """Note that an answer has begun, or come: it may be long in coming, but not in arriving."""
        self.whole_by = time.monotonic() + ANSWER_TRANSFER_S if begun else None

    def close(self) -> None:
        """Close it."""
        self.sock.close()

    def _receive(self, size: int) -> bytes:
        bounds = [bound for bound in (self.whole_by, self.deadline) if bound is not None]
        if bounds:
            left_s = min(bounds) - time.monotonic()
            if left_s <= 0:
                raise TimeoutError
            sockets.set_timeout(self.sock, socket.SO_RCVTIMEO, left_s)
            self._limited = True
        elif self._limited:
            sockets.set_timeout(self.sock, socket.SO_RCVTIMEO, self.longest_read_s)
            self._limited = False
        return self.sock.recv(size)


class ConnectionPool:
    """Idle connections by endpoint; any thread may call it."""

    def __init__(self, keepalive_s: float, max_idle: int) -> None:
        """Keep so many connections, for less time than the endpoints do."""
        self.keepalive_s = keepalive_s * KEEPALIVE_SHARE
        self.max_idle = max_idle
        self.idle: dict[int, list[EndpointConnection]] = {}  # in the order of their use
        self._draining: set[int] = set()
        self._lock = threading.Lock()

    def take(self, endpoint: int, address: tuple[str, int]) -> EndpointConnection | None:
        """Take the connection used most recently that has rested and is still good; where none has, the eldest."""
        while True:
            connection = self._pop(endpoint)
            if connection is None:
                return None
            rested_s = time.monotonic() - connection.used_at
            if rested_s < CONNECTION_REST_S:
                time.sleep(CONNECTION_REST_S - rested_s)
            good = connection.address == address and rested_s < self.keepalive_s
            if good and not connection.stream.buffer and sockets.is_reusable(connection.sock):
                return connection
            connection.close()

    def _pop(self, endpoint: int) -> EndpointConnection | None:
        now = time.monotonic()
        with self._lock:
            connections = self.idle.get(endpoint)
            if not connections:
                return None
            # They stand in the order of their use: only the latest few can still be resting.
            places = range(len(connections) - 1, -1, -1)
            rested = (n for n in places if now - connections[n].used_at >= CONNECTION_REST_S)
            return connections.pop(next(rested, 0))

    def put_back(self, endpoint: int, connection: EndpointConnection) -> None:
        """Let a connection rest; it is closed where its endpoint drains, and the eldest where they are many."""
        connection.used_at = time.monotonic()
        dropped = [connection]
        with self._lock:
            if endpoint not in self._draining:
                self.idle.setdefault(endpoint, []).append(connection)
                dropped = []
            if sum(map(len, self.idle.values())) > self.max_idle:
                eldest = min((idle for idle in self.idle.values() if idle), key=lambda idle: idle[0].used_at)
                dropped.append(eldest.pop(0))
        _close_all(dropped)

    def close_idle(self, endpoint: int) -> None:
        """Close the connections to an endpoint that no call is on."""
        with self._lock:
            idle = self.idle.pop(endpoint, [])
        _close_all(idle)

    def set_draining(self, endpoint: int, draining: bool) -> None:
        """Let no connections to an endpoint rest that drains."""
        with self._lock:
            if draining:
                self._draining.add(endpoint)
            else:
                self._draining.discard(endpoint)
        if draining:
            self.close_idle(endpoint)

    def sweep(self, now: float) -> None:
        """Close connections before their endpoints do."""
        old: list[EndpointConnection] = []
        with self._lock:
            for endpoint, connections in list(self.idle.items()):
                fresh = [c for c in connections if now - c.used_at < self.keepalive_s]
                old += [c for c in connections if now - c.used_at >= self.keepalive_s]
                if fresh:
                    self.idle[endpoint] = fresh
                else:
                    del self.idle[endpoint]
        _close_all(old)


def _close_all(connections: list[EndpointConnection]) -> None:
    for connection in connections:
        connection.close()
