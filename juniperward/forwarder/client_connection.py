"""The state of one client connection, and its reads and writes with their time limits.

Each connection has a thread that reads its requests (`client_session.py`). The loop's thread writes the answers
(`server.py`).
"""

from __future__ import annotations

import socket
import threading
import time

from juniperward.forwarder.telemetry import check_invariant, increment
from juniperward.net import sockets

# The time limit from the accept of a connection to the first byte of its first request. While the forwarder stops,
# the whole first request must arrive within it.
FIRST_REQUEST_TIMEOUT_S = 2.0
# The time limit from the first byte of a request to its last.
REQUEST_TIMEOUT_S = 2.0
# The time limit from an answer to the first byte of the next request.
IDLE_TIMEOUT_S = 10.0
# Before a connection is closed, unread input is discarded within these limits. A close with unread input resets the
# connection, and the client may lose the answer. The number of bytes is limited, as some clients send 60 MB.
LINGER_TIMEOUT_S = 0.2
MAX_LINGER_BYTES = 262144
READ_BYTES = 16384


class ClientConnection:
    """A client's connection.

    Attributes:
        number: Identifies the connection in events and effects.
        lock: Guards `pending_request` and changes of `idle`; whoever ends the request writes its answer.
        answered: Set when the loop has written the answer to the pending request.
        pending_request: The number of the request that waits for the reducer's answer, or None.
        idle: Whether no request has begun since the last one was answered.
        served: Whether a complete request has been read.
        close_after_answer: Whether the answer that is written next ends the connection.
        evicted: Whether the connection is being closed to make room for another.
        given_up: Whether the request that is being read is rejected to free the memory of its body.
        idle_since: When the connection was accepted or became idle after an answer (monotonic seconds).
        received_at: When bytes were last received (monotonic seconds).
        read_deadline: When the current wait for input ends (monotonic seconds).

    """

    def __init__(self, number: int, sock: socket.socket) -> None:
        """Wrap a socket that was just accepted; the time limit of the first request begins now."""
        self.number, self.sock = number, sock
        self.lock = threading.Lock()
        self.answered = threading.Event()
        self.pending_request: int | None = None
        self.idle = True
        self.served = False
        self.close_after_answer = False
        self.evicted = False
        self.given_up = False
        self.idle_since = time.monotonic()
        self.received_at = self.idle_since
        self.read_deadline = self.idle_since + FIRST_REQUEST_TIMEOUT_S

    def receive(self, size: int) -> bytes:
        """Return the next bytes, empty at end of input; raises TimeoutError or BlockingIOError at `read_deadline`."""
        remaining_s = self.read_deadline - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError
        sockets.set_timeout(self.sock, socket.SO_RCVTIMEO, remaining_s)
        data = self.sock.recv(size)
        self.received_at = time.monotonic()
        return data

    def write(self, data: bytes) -> bool:
        """Write an answer without blocking and return whether all of it was written.

        Otherwise the connection is shut down, so that the client does not wait for the rest of a partial answer.
        """
        try:
            if self.sock.send(data, socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL) == len(data):
                return True
        except OSError:
            pass
        increment("client_answers_incomplete")
        sockets.shutdown(self.sock)
        return False

    def end_reading(self) -> None:
        """Shut down the receiving side; a request that has already arrived is still read and answered."""
        sockets.shutdown(self.sock, socket.SHUT_RD)

    def linger(self) -> None:
        """Shut down the sending side, then discard input for a short time so that a close does not reset it."""
        check_invariant(self.pending_request is None, "no_close_before_an_answer")
        sockets.shutdown(self.sock, socket.SHUT_WR)
        sockets.set_timeout(self.sock, socket.SO_RCVTIMEO, LINGER_TIMEOUT_S)
        until = time.monotonic() + LINGER_TIMEOUT_S
        remaining_bytes = MAX_LINGER_BYTES
        try:
            while time.monotonic() < until and remaining_bytes > 0:
                data = self.sock.recv(READ_BYTES)
                if not data:
                    return
                remaining_bytes -= len(data)
        except OSError:
            pass
