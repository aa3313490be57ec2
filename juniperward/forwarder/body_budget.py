"""The memory that incomplete bodies of client requests may take together.

A client chooses how long a body is and how slowly it arrives. A body is reserved here before the wait for its missing
bytes. Where the budget is exhausted, the bodies that have been awaited for longest are given up, so that slow clients
make way for others.
"""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from juniperward.forwarder.client_connection import ClientConnection
from juniperward.forwarder.telemetry import increment
from juniperward.net.http_head import MAX_BODY_BYTES

# The fraction of the process's memory limit. The rest is for the interpreter, threads, heads and pending messages.
MEMORY_FRACTION = 1 / 8
MIN_BUDGET_BYTES = 8 * MAX_BODY_BYTES


def body_budget_bytes(memory_limit_bytes: int) -> int:
    """Return the size of the budget, in bytes, for a limit on the process's memory."""
    return max(int(memory_limit_bytes * MEMORY_FRACTION), MIN_BUDGET_BYTES)


class BodyBudget:
    """Reservations of connections that wait for a body; safe to call from any thread."""

    def __init__(self, max_bytes: int) -> None:
        """Allow bodies of `max_bytes` together."""
        self._max_bytes = max_bytes
        self._lock = threading.Lock()
        # The lengths of the bodies in bytes, the one awaited for longest first.
        self._lengths: dict[ClientConnection, int] = {}

    @property
    def reserved_bytes(self) -> int:
        """The lengths of all reserved bodies together, in bytes."""
        with self._lock:
            return sum(self._lengths.values())

    @contextmanager
    def reserved(self, client: ClientConnection, length: int) -> Iterator[None]:
        """Reserve a body for the time of the context, giving up others if needed."""
        with self._lock:
            self._give_up_oldest(self._max_bytes - length)
            self._lengths[client] = length
        try:
            yield
        finally:
            with self._lock:
                self._lengths.pop(client, None)

    def _give_up_oldest(self, allowed_bytes: int) -> None:
        """End the oldest reservations until at most `allowed_bytes` are left; the caller holds the lock."""
        total_bytes = sum(self._lengths.values())
        while self._lengths and total_bytes > allowed_bytes:
            client = next(iter(self._lengths))
            total_bytes -= self._lengths.pop(client)
            client.given_up = True
            client.end_reading()
            increment("bodies_given_up")
