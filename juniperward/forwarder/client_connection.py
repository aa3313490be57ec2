"""The state of one client connection, and its reads and writes with their time limits.

A connection has a thread while a request of it is read and answered (`client_session.py`), and rests without one
otherwise (`resting_clients.py`). The loop's thread writes the answers (`server.py`).
"""

from __future__ import annotations

import math
import socket
import threading
import time

from juniperward.forwarder.telemetry import check_invariant, increment
from juniperward.net import sockets
from juniperward.net.stream import Stream

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
# A read takes at most this much, so that a connection that waits for a thread holds less of its next requests.
READ_BYTES = 2048


class AnswerSignal:
    """Tells the thread that serves a connection that the loop has written an answer; it costs less than an Event."""

    def __init__(self) -> None:
        """Start cleared."""
        self._lock = threading.Lock()
        self._lock.acquire()

    def clear(self) -> None:
        """Clear the signal; must not be called while a thread waits."""
        self._lock.acquire(blocking=False)

    def set(self) -> None:
        """Set the signal; must not be called by two threads at the same time."""
        if self._lock.locked():
            self._lock.release()

    def wait(self, timeout_s: float) -> bool:
        """Wait until the signal is set, and clear it; return False after `timeout_s`."""
        return self._lock.acquire(timeout=timeout_s)


class ClientConnection:
    """A client's connection.

    It is used by one thread at a time, but for what `lock` guards, writes of the loop, `given_up` and `end_reading`.

    Attributes:
        number: Identifies the connection in events and effects.
        lock: Guards `pending_request` and changes of `idle`; whoever ends the request writes its answer.
        answered: Set when the loop has written the answer to the pending request.
        pending_request: The number of the request that waits for the reducer's answer, or None.
        idle: Whether no request has begun since the last one was answered.
        served: Whether a complete request has been read.
        close_after_answer: Whether the answer that is written next ends the connection.
        is_writable: Whether all answers so far were written whole.
        evicted: Whether the connection is being closed to make room for another.
        given_up: Whether the request that is being read is rejected, to free its memory and its thread.
        stream: What is read from the connection; None before its first request and after its last one. It refers to
            the connection, so that it is removed at the end: the memory of both is then free at once.
        is_readable: Whether that thread has seen input that nobody has read.
        readable_at: When it has seen that input (monotonic seconds).
        unparsed: What was read of a request before its parsing began.
        resumes: Whether the parsing of a request begins again, after a wait for a permit.
        is_bulky: Whether the last request was large, or came together with further ones.
        lingers: Whether input is only discarded until the connection is closed.
        linger_bytes: How many more bytes may be discarded.
        request_bytes: How many bytes were received since the connection last waited for a request.
        idle_since: When the connection was accepted or became idle after an answer (monotonic seconds).
        received_at: When bytes were last received (monotonic seconds).
        read_deadline: When the current wait for input ends (monotonic seconds).

    """

    def __init__(self, number: int, sock: socket.socket) -> None:
        """Wrap a socket that was just accepted; the time limit of the first request begins now."""
        self.number, self.sock = number, sock
        self.lock = threading.Lock()
        self.answered = AnswerSignal()
        self.pending_request: int | None = None
        self.idle = True
        self.served = False
        self.close_after_answer = False
        self.is_writable = True
        self.evicted = False
        self.given_up = False
        self.stream: Stream | None = None
        self.is_readable = False
        self.readable_at = 0.0
        self.unparsed = b""
        self.resumes = False
        self.is_bulky = False
        self.lingers = False
        self.linger_bytes = MAX_LINGER_BYTES
        self.request_bytes = 0
        self.idle_since = time.monotonic()
        self.received_at = self.idle_since
        self.read_deadline = self.idle_since + FIRST_REQUEST_TIMEOUT_S

    def receive(self, size: int, max_wait_s: float = math.inf) -> bytes:
        """Return the next bytes, empty at end of input.

        Raises TimeoutError or BlockingIOError at `read_deadline`, or after `max_wait_s`.
        """
        remaining_s = min(self.read_deadline - time.monotonic(), max_wait_s)
        if remaining_s <= 0:
            raise TimeoutError
        sockets.set_timeout(self.sock, socket.SO_RCVTIMEO, remaining_s)
        return self._received(self.sock.recv(size))

    def receive_available(self, size: int) -> bytes:
        """Return bytes that have arrived, empty at end of input; raises BlockingIOError if there are none."""
        return self._received(self.sock.recv(size, socket.MSG_DONTWAIT))

    def _received(self, data: bytes) -> bytes:
        self.received_at = time.monotonic()
        self.request_bytes += len(data)
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
        self.is_writable = False
        increment("client_answers_incomplete")
        sockets.shutdown(self.sock)
        return False

    def end_reading(self) -> None:
        """Shut down the receiving side; a request that has already arrived is still read and answered."""
        sockets.shutdown(self.sock, socket.SHUT_RD)

    def begin_linger(self) -> None:
        """Shut down the sending side; input is then discarded for a short time so that a close does not reset it."""
        check_invariant(self.pending_request is None, "no_close_before_an_answer")
        sockets.shutdown(self.sock, socket.SHUT_WR)
        self.lingers = True
        self.stream = None
        self.read_deadline = time.monotonic() + LINGER_TIMEOUT_S
