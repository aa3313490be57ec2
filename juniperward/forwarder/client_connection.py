"""One connection of a client: its state, and reads and writes within their time limits.

A thread of its own reads requests from it (`client_session.py`); the loop's thread writes answers (`server.py`).
"""

from __future__ import annotations

import socket
import threading
import time

from juniperward.forwarder.telemetry import check_invariant, increment
from juniperward.net import sockets

FIRST_REQUEST_TIMEOUT_S = (
    2.0  # from connecting, in which the first request must begin, and during a stop be complete
)
REQUEST_S = 2.0  # from its first byte, in which a request must be complete
IDLE_S = 10.0  # after which a connection without a request is closed
LINGER_S = 0.2  # to read on after a rejection, or a reset could overtake it
LINGER_BYTES = 262144  # to read on at most: some clients send 60 MB
READ_BYTES = 16384
# The kernel's time limit of a read is set a little longer than needed, and stays while it is close enough: one
# system call fewer for most reads.
LIMIT_SLACK_S = 0.02
LIMIT_TOLERANCE_S = 0.05


class ClientConnection:
    """A connection of a client. `lock` guards `pending` and who writes."""

    def __init__(self, number: int, sock: socket.socket) -> None:
        """Begin with a socket that was just accepted."""
        self.number, self.sock = number, sock
        self.lock = threading.Lock()
        self.answered = threading.Event()
        self.pending = False  # a message of it waits for the reducer's answer
        self.idle = True  # no request has begun
        self.served = (
            False  # a request of it has been read; one not served has the wait for its first request
        )
        self.close_after_answer = False  # after the present answer, as the client asked for
        self.evicted = False  # to be closed for the sake of other clients
        self.idle_since = time.monotonic()  # when it connected, or became idle after an answer
        self.read_deadline = (
            self.idle_since + FIRST_REQUEST_TIMEOUT_S
        )  # when what is being read must be complete
        self._kernel_limit_s = 0.0

    def receive(self, size: int) -> bytes:
        """Read until `read_deadline` at most; raises TimeoutError or BlockingIOError after it."""
        left_s = self.read_deadline - time.monotonic()
        if left_s <= 0:
            raise TimeoutError
        if not left_s <= self._kernel_limit_s <= left_s + LIMIT_TOLERANCE_S:
            self._kernel_limit_s = left_s + LIMIT_SLACK_S
            sockets.set_timeout(self.sock, socket.SO_RCVTIMEO, self._kernel_limit_s)
        return self.sock.recv(size)

    def write(self, data: bytes) -> bool:
        """Write a complete answer without blocking, or end the connection; return whether it was written.

        A client must not wait for the rest of an answer that is written in part.
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
        """End reading after what has arrived: a request that crosses this is still answered."""
        sockets.shutdown(self.sock, socket.SHUT_RD)

    def linger(self) -> None:
        """End writing, then read on a little: a close with bytes unread would reset the answer just written."""
        check_invariant(not self.pending, "no_close_before_an_answer")
        sockets.shutdown(self.sock, socket.SHUT_WR)
        sockets.set_timeout(self.sock, socket.SO_RCVTIMEO, LINGER_S)
        until = time.monotonic() + LINGER_S
        left_bytes = LINGER_BYTES
        try:
            while time.monotonic() < until and left_bytes > 0:
                data = self.sock.recv(READ_BYTES)
                if not data:
                    return
                left_bytes -= len(data)
        except OSError:
            pass
