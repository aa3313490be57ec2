"""The memory of messages from the end of their request to the reducer's answer.

The reducer may be late, so that the messages in its queue are more than the threads that have read them. What finds
no room is rejected.
"""

from __future__ import annotations

import threading

from juniperward.forwarder.model import Message, message_bytes
from juniperward.forwarder.telemetry import record_peak


class RequestBudget:
    """Reservations of messages by the numbers of their requests; safe to call from any thread."""

    def __init__(self, max_bytes: int) -> None:
        """Allow `max_bytes` for all messages together."""
        self._max_bytes = max_bytes
        self._lock = threading.Lock()
        self._reserved_bytes = 0
        self._lengths: dict[int, int] = {}

    @property
    def reserved_bytes(self) -> int:
        """What is reserved for all messages together, in bytes."""
        return self._reserved_bytes

    def reserve(self, number: int, message: Message) -> bool:
        """Reserve a message until `release` is called for its request; return whether there was room for it."""
        length = message_bytes(message)
        with self._lock:
            if self._reserved_bytes + length > self._max_bytes:
                return False
            self._lengths[number] = length
            self._reserved_bytes += length
            record_peak("request_bytes", self._reserved_bytes)
        return True

    def release(self, number: int) -> None:
        """Free the reservation of a message that the reducer has answered."""
        with self._lock:
            self._reserved_bytes -= self._lengths.pop(number, 0)
