"""The table of client connections, with admission and eviction.

The table holds `max_clients` connections. When it is full, a new connection evicts an idle one. Evicted connections
stay in the table until they are closed, so it may exceed `max_clients` by up to `max_evicted`.
"""

from __future__ import annotations

import socket
import threading
import time
from enum import Enum

from juniperward.forwarder.client_connection import ClientConnection
from juniperward.forwarder.telemetry import increment

# The idle time after which a connection may be evicted: since its last answer, or since it was accepted if no request
# has been read.
MIN_IDLE_SERVED_S = 0.1
MIN_IDLE_UNSERVED_S = 0.25


class Capacity(Enum):
    """How a full table gets capacity for another connection.

    Attributes:
        FREED: Another connection is being closed.
        EVICT: An idle connection may be evicted.
        NONE: There is none.
    """

    FREED = "freed"
    EVICT = "evict"
    NONE = "none"


class ClientTable:
    """Client connections by number; safe to call from any thread."""

    def __init__(self, max_clients: int, max_evicted: int) -> None:
        """Create an empty table; up to `max_evicted` evicted connections are allowed beyond `max_clients`."""
        self.max_clients, self.max_evicted = max_clients, max_evicted
        self.clients: dict[int, ClientConnection] = {}
        self._lock = threading.Lock()
        self._last_number = 0

    def __len__(self) -> int:
        """Return the number of connections, including evicted ones that are not closed yet."""
        with self._lock:
            return len(self.clients)

    @property
    def is_full(self) -> bool:
        """Whether there are as many connections as may be open without evictions."""
        return len(self.clients) >= self.max_clients

    def get(self, number: int) -> ClientConnection | None:
        """Return a connection by its number, or None if it is not in the table."""
        with self._lock:
            return self.clients.get(number)

    def all(self) -> list[ClientConnection]:
        """Return a snapshot of all connections."""
        with self._lock:
            return list(self.clients.values())

    def add(self, sock: socket.socket, capacity: Capacity = Capacity.EVICT) -> tuple[ClientConnection, bool]:
        """Create a connection for a socket and return it with whether the table had room for it.

        `capacity` says what may be done for it if the table is full.
        """
        with self._lock:
            self._last_number += 1
            client = ClientConnection(self._last_number, sock)
            admitted = self._ensure_capacity(capacity)
            if admitted:
                self.clients[client.number] = client
        increment("clients_accepted")
        return client, admitted

    def remove(self, client: ClientConnection) -> None:
        """Remove a connection that has been closed."""
        with self._lock:
            self.clients.pop(client.number, None)

    def evict_one(self) -> bool:
        """Evict the connection that is the best candidate; return whether there was one."""
        with self._lock:
            return self._evict_one()

    def _ensure_capacity(self, capacity: Capacity) -> bool:
        """Return whether a connection may be added, evicting another if needed; the caller holds the lock."""
        count = len(self.clients)
        if count < self.max_clients:
            return True
        if count >= self.max_clients + self.max_evicted:
            return False
        return capacity is Capacity.FREED or (capacity is Capacity.EVICT and self._evict_one())

    def _evict_one(self) -> bool:
        now = time.monotonic()
        candidates = [client for client in self.clients.values() if _may_be_evicted(client, now)]
        if not candidates:
            return False
        # Connections that have been served go first: their clients send again elsewhere, but the first request of an
        # unserved connection would fail.
        client = min(candidates, key=lambda candidate: (not candidate.served, candidate.idle_since))
        client.evicted = True
        increment("clients_evicted")
        client.end_reading()
        return True


def _may_be_evicted(client: ClientConnection, now: float) -> bool:
    min_idle_s = MIN_IDLE_SERVED_S if client.served else MIN_IDLE_UNSERVED_S
    return client.idle and not client.lingers and not client.evicted and now - client.idle_since >= min_idle_s
