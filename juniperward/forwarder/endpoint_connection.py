"""One connection to an endpoint, and the time limits of reads on it."""

from __future__ import annotations

import socket
import time

from juniperward.net import sockets
from juniperward.net.stream import Stream

MIN_READ_TIMEOUT_S = (
    60.0  # after it a read ends in any case; it is longer where a class has a longer deadline
)
ANSWER_TRANSFER_S = 0.5  # that an answer may take from its first byte to its last


class EndpointConnection:
    """A connection to an endpoint; used by one thread at a time."""

    def __init__(
        self, sock: socket.socket, address: tuple[str, int], read_timeout_s: float = MIN_READ_TIMEOUT_S
    ) -> None:
        """Read from a socket that is connected, and whose kernel timeout of a read is `read_timeout_s`."""
        self.sock, self.address, self.read_timeout_s = sock, address, read_timeout_s
        self.stream = Stream(self._receive)
        self.idle_since = time.monotonic()
        self.reused = False  # an earlier call has had an answer on it
        self.complete_by: float | None = None  # for an answer that has begun
        self.deadline: float | None = None  # for an answer, whether it has begun or not
        self._has_short_timeout = False

    def limit_transfer(self, begun: bool) -> None:
        """Limit the time of an answer once it has begun: it may be long in coming, but not in arriving."""
        self.complete_by = time.monotonic() + ANSWER_TRANSFER_S if begun else None

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()

    def _receive(self, size: int) -> bytes:
        """Read some bytes; raises TimeoutError or BlockingIOError once the time is up."""
        deadlines = [deadline for deadline in (self.complete_by, self.deadline) if deadline is not None]
        if deadlines:
            left_s = min(deadlines) - time.monotonic()
            if left_s <= 0:
                raise TimeoutError
            sockets.set_timeout(self.sock, socket.SO_RCVTIMEO, left_s)
            self._has_short_timeout = True
        elif self._has_short_timeout:
            sockets.set_timeout(self.sock, socket.SO_RCVTIMEO, self.read_timeout_s)
            self._has_short_timeout = False
        return self.sock.recv(size)
