"""The requests of clients that wait for the reducer's answer, by number.

A request has a number of its own. The number of its connection would not do: by the time the reducer answers a
request, the connection's thread may have rejected it and have read the next one.
"""

from __future__ import annotations

import threading

from juniperward.forwarder.client_connection import ClientConnection


class PendingRequests:
    """Finds the connection of a pending request; safe to call from any thread."""

    def __init__(self) -> None:
        """Start without requests."""
        self._clients: dict[int, ClientConnection] = {}
        self._lock = threading.Lock()
        self._last_number = 0

    def __len__(self) -> int:
        """Return the number of pending requests."""
        with self._lock:
            return len(self._clients)

    def add(self, client: ClientConnection) -> int:
        """Make the request that was read last on a connection pending; return its number."""
        with self._lock:
            self._last_number += 1
            number = self._last_number
            self._clients[number] = client
        with client.lock:
            client.answered.clear()
            client.pending_request = number
        return number

    def client_of(self, number: int) -> ClientConnection | None:
        """Return the connection of a request, or None if the request is no longer pending."""
        with self._lock:
            return self._clients.get(number)

    def end(self, client: ClientConnection) -> None:
        """End the pending request of a connection; the caller holds the connection's lock and answers it."""
        number = client.pending_request
        client.pending_request = None
        if number is not None:
            with self._lock:
                del self._clients[number]
