"""A connection to an endpoint, with the time limits of its reads."""

from __future__ import annotations

import contextlib
import socket
import time

from juniperward.net import sockets
from juniperward.net.stream import Stream

# The time limit of a read, unless a message class has a longer deadline.
MIN_READ_TIMEOUT_S = 60.0
# The time limit from the first byte of an answer to the last.
MAX_ANSWER_TRANSFER_S = 0.5
# The context for operations that may block, of a connection whose threads are not limited.
NOT_LIMITED: contextlib.AbstractContextManager[None] = contextlib.nullcontext()


class EndpointConnection:
    """A connection to an endpoint; used by one thread at a time.

    Attributes:
        idle_since: when the connection was opened or last put into the pool, monotonic.
        reused: whether it was taken from the pool.
        transfer_deadline: when an answer that has begun must be complete, monotonic; None before it begins.
        answer_deadline: when an answer must be complete, whenever it begins, monotonic; None for no limit.

    """

    def __init__(
        self,
        sock: socket.socket,
        address: tuple[str, int],
        read_timeout_s: float = MIN_READ_TIMEOUT_S,
        blocking: contextlib.AbstractContextManager[None] = NOT_LIMITED,
    ) -> None:
        """Use a connected socket; a read takes `read_timeout_s` at most where no deadline is set.

        `blocking` is entered for each read and write.
        """
        self._blocking = blocking
        self.sock, self.address, self.read_timeout_s = sock, address, read_timeout_s
        self.stream = Stream(self._receive)
        self.idle_since = time.monotonic()
        self.reused = False
        self.transfer_deadline: float | None = None
        self.answer_deadline: float | None = None

    def set_answer_begun(self, begun: bool) -> None:
        """Start the time limit for the transfer of an answer, or clear it while no answer has begun."""
        self.transfer_deadline = time.monotonic() + MAX_ANSWER_TRANSFER_S if begun else None

    def send(self, data: bytes) -> None:
        """Write a request; raises OSError."""
        sent_bytes = 0
        with contextlib.suppress(BlockingIOError):
            sent_bytes = self.sock.send(data, socket.MSG_DONTWAIT)
        if sent_bytes < len(data):
            with self._blocking:
                self.sock.sendall(data[sent_bytes:])

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()

    def _receive(self, size: int) -> bytes:
        """Return at most `size` bytes; raises TimeoutError or BlockingIOError at a time limit."""
        deadlines = [
            deadline for deadline in (self.transfer_deadline, self.answer_deadline) if deadline is not None
        ]
        timeout_s = min(deadlines) - time.monotonic() if deadlines else self.read_timeout_s
        if timeout_s <= 0:
            raise TimeoutError
        sockets.set_timeout(self.sock, socket.SO_RCVTIMEO, timeout_s)
        with self._blocking:
            return self.sock.recv(size)
