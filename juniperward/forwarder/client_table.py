"""The places that clients' connections have: who gets one, and who leaves so that others may come."""

from __future__ import annotations

import socket
import threading
import time

from juniperward.forwarder.client_connection import ClientConnection
from juniperward.forwarder.telemetry import increment

# For how long a connection must have been idle to be let go where the table is full: after an answer, and before a
# first request.
SPARE_SERVED_S, SPARE_SILENT_S = 0.1, 0.25


class ClientTable:
    """Connections by number; any thread may call it."""

    def __init__(self, max_clients: int, max_leaving: int) -> None:
        """Hold so many connections, and so many more that are on their way out."""
        self.max_clients, self.max_leaving = max_clients, max_leaving
        self.clients: dict[int, ClientConnection] = {}
        self._lock = threading.Lock()
        self._last_number = 0

    def __len__(self) -> int:
        """Return how many connections there are."""
        with self._lock:
            return len(self.clients)

    def get(self, number: int) -> ClientConnection | None:
        """Return a connection that is still here."""
        with self._lock:
            return self.clients.get(number)

    def all(self) -> list[ClientConnection]:
        """Return all connections."""
        with self._lock:
            return list(self.clients.values())

    def add(self, sock: socket.socket) -> tuple[ClientConnection, bool]:
        """Return a connection for a socket, and whether there was a place for it."""
        with self._lock:
            self._last_number += 1
            client = ClientConnection(self._last_number, sock)
            here = len(self.clients)
            full = here >= self.max_clients and (
                here >= self.max_clients + self.max_leaving or not self._spare_one()
            )
            if not full:
                self.clients[client.number] = client
        increment("clients_accepted")
        return client, not full

    def remove(self, client: ClientConnection) -> None:
        """Give a connection's place to others."""
        with self._lock:
            self.clients.pop(client.number, None)

    def spare_one(self) -> bool:
        """Ask the connection that has been idle for the longest to leave; returns whether there was one."""
        with self._lock:
            return self._spare_one()

    def _spare_one(self) -> bool:
        now = time.monotonic()
        idle = [client for client in self.clients.values() if _may_leave(client, now)]
        if not idle:
            return False
        # One that has been answered sends again elsewhere; the first request of another would have failed.
        client = min(idle, key=lambda candidate: (not candidate.served, candidate.since))
        client.leaving = True
        increment("clients_evicted")
        client.end_reading()
        return True


def _may_leave(client: ClientConnection, now: float) -> bool:
    least_s = SPARE_SERVED_S if client.served else SPARE_SILENT_S
    return client.idle and not client.leaving and now - client.since >= least_s
