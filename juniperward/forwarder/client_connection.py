"""One connection of a client: its state, and reads and writes within their time."""

from __future__ import annotations

import socket
import threading
import time

from juniperward.forwarder.telemetry import check_invariant, increment
from juniperward.net import sockets

FIRST_REQUEST_S = 2.0  # from connecting, in which the first request must begin, and during a stop be whole
REQUEST_S = 2.0  # from its first byte, in which a request must be whole
IDLE_S = 10.0  # after which a connection that nothing comes on is closed
LINGER_S = 0.2  # to read on after a rejection, or a reset could overtake it
LINGER_BYTES = 262144  # nor further than this: some send 60 MB
READ_BYTES = 16384
# The kernel's limit of a read is set to a little more than the time that is left, and kept while it is near enough.
LIMIT_SLACK_S, LIMIT_TOLERANCE_S = 0.02, 0.05


class ClientConnection:
    """A connection of a client. `lock` guards `pending` and who writes."""

    def __init__(self, number: int, sock: socket.socket) -> None:
        """Begin with a socket that was accepted just now."""
        self.number, self.sock = number, sock
        self.lock = threading.Lock()
        self.answered = threading.Event()
        self.pending = False  # a message of it waits for the reducer's answer
        self.idle = True
        self.served = False  # it has had an answer; a fresh one is owed the wait for its first request
        self.close = False  # as the client asked
        self.leaving = False  # to be closed for others' sake
        self.since = time.monotonic()  # of connecting, or of the latest answer
        self.read_by = self.since + FIRST_REQUEST_S  # when what is being read must be whole
        self._limit_s = 0.0  # as the kernel has it

    def receive(self, size: int) -> bytes:
        """Read within the time that is left; raises TimeoutError or BlockingIOError after it."""
        left_s = self.read_by - time.monotonic()
        if left_s <= 0:
            raise TimeoutError
        if not left_s <= self._limit_s <= left_s + LIMIT_TOLERANCE_S:
            self._limit_s = left_s + LIMIT_SLACK_S
            sockets.limit(self.sock, socket.SO_RCVTIMEO, self._limit_s)
        return self.sock.recv(size)

    def write(self, data: bytes) -> bool:
        """Write an answer whole, or end the connection: a client must not wait for the rest of one."""
        try:
            if self.sock.send(data, socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL) == len(data):
                return True
        except OSError:
            pass
        increment("answers_cut")
        sockets.shut(self.sock)
        return False

    def end_reading(self) -> None:
        """End reading once what has come is read: a request that crosses this is still answered."""
        sockets.shut(self.sock, socket.SHUT_RD)

    def linger(self) -> None:
        """End our side, then read on a little: closing with bytes unread resets what was just written."""
        check_invariant(not self.pending, "no_close_before_an_answer")
        sockets.shut(self.sock, socket.SHUT_WR)
        sockets.limit(self.sock, socket.SO_RCVTIMEO, LINGER_S)
        until, left = time.monotonic() + LINGER_S, LINGER_BYTES
        try:
            while time.monotonic() < until and left > 0 and (data := self.sock.recv(READ_BYTES)):
                left -= len(data)
        except OSError:
            pass
