"""The table of clients' connections: which one gets a place, and which one is evicted for it.

Used by `server.py` only. A table has `max_clients` places; connections that were evicted keep theirs until they are
closed, up to `max_evicted` beside the table.
"""

from __future__ import annotations

import socket
import threading
import time

from juniperward.forwarder.client_connection import ClientConnection
from juniperward.forwarder.telemetry import increment

# For how long a connection must have been idle to be evicted from a full table.
MIN_IDLE_SERVED_S = 0.1  # after an answer
MIN_IDLE_UNSERVED_S = 0.25  # before a first request


class ClientTable:
    """Connections by number; any thread may call it."""

    def __init__(self, max_clients: int, max_evicted: int) -> None:
        """Begin empty; `max_evicted` is how many may be closing beside `max_clients`."""
        self.max_clients, self.max_evicted = max_clients, max_evicted
        self.clients: dict[int, ClientConnection] = {}
        self._lock = threading.Lock()
        self._last_number = 0

    def __len__(self) -> int:
        """Return how many connections there are."""
        with self._lock:
            return len(self.clients)

    def get(self, number: int) -> ClientConnection | None:
        """Return a connection, None where it has been removed."""
        with self._lock:
            return self.clients.get(number)

    def all(self) -> list[ClientConnection]:
        """Return all connections."""
        with self._lock:
            return list(self.clients.values())

    def add(self, sock: socket.socket) -> tuple[ClientConnection, bool]:
        """Return a connection for a socket, and whether it got a place."""
        with self._lock:
            self._last_number += 1
            client = ClientConnection(self._last_number, sock)
            has_place = self._has_place()
            if has_place:
                self.clients[client.number] = client
        increment("clients_accepted")
        return client, has_place

    def remove(self, client: ClientConnection) -> None:
        """Free a connection's place."""
        with self._lock:
            self.clients.pop(client.number, None)

    def evict_one(self) -> bool:
        """Have the connection close that has been idle for the longest; return whether there was one to evict."""
        with self._lock:
            return self._evict_one()

    def _has_place(self) -> bool:
        """Return whether another connection may be added, if need be after an eviction; the lock is held."""
        count = len(self.clients)
        if count < self.max_clients:
            return True
        if count >= self.max_clients + self.max_evicted:
            return False
        return self._evict_one()

    def _evict_one(self) -> bool:
        now = time.monotonic()
        candidates = [client for client in self.clients.values() if _may_be_evicted(client, now)]
        if not candidates:
            return False
        # A client that has been answered sends again elsewhere; the first request of another would have failed.
        client = min(candidates, key=lambda candidate: (not candidate.served, candidate.idle_since))
        client.evicted = True
        increment("clients_evicted")
        client.end_reading()
        return True


def _may_be_evicted(client: ClientConnection, now: float) -> bool:
    min_idle_s = MIN_IDLE_SERVED_S if client.served else MIN_IDLE_UNSERVED_S
    return client.idle and not client.evicted and now - client.idle_since >= min_idle_s
