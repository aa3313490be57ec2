"""A connection to an endpoint for one call, with the time limits of its reads."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from juniperward.forwarder.telemetry import increment
from juniperward.net import sockets
from juniperward.net.http_head import MAX_BODY_BYTES, MAX_HEAD_BYTES
from juniperward.net.sockets import IdleState
from juniperward.net.stream import Stream

# The time limit of a read, unless a message class has a longer deadline.
MIN_READ_TIMEOUT_S = 60.0
# The time limit from the first byte of an answer to the last.
MAX_ANSWER_TRANSFER_S = 0.5
# What is read of an answer at once; a longer answer needs a permit.
READ_BYTES = 4096
MAX_LARGE_ANSWERS = 16
# A wait for a permit looks this often whether its call was cancelled.
PERMIT_POLL_INTERVAL_S = 0.02
# No more than this is kept of what was received; a longer answer is not read.
MAX_RECEIVED_BYTES = MAX_HEAD_BYTES + MAX_BODY_BYTES
# The context for operations that may block, of a connection whose threads are not limited.
NOT_LIMITED: contextlib.AbstractContextManager[None] = contextlib.nullcontext()


class LargeAnswers:
    """Permits to receive an answer that is longer than what is read at once; safe to call from any thread."""

    def __init__(self, max_answers: int) -> None:
        """Give up to `max_answers` permits at the same time."""
        self._permits = threading.BoundedSemaphore(max_answers)

    def begin(self, timeout_s: float, is_cancelled: Callable[[], bool]) -> None:
        """Wait for a permit; raises TimeoutError if there is none in time, or `is_cancelled` returns true."""
        deadline = time.monotonic() + timeout_s
        while not self._permits.acquire(timeout=PERMIT_POLL_INTERVAL_S):
            if is_cancelled():
                raise TimeoutError
            if time.monotonic() >= deadline:
                increment("answers_without_memory")
                raise TimeoutError

    def end(self) -> None:
        """Return a permit."""
        self._permits.release()


DEFAULT_LARGE_ANSWERS = LargeAnswers(MAX_LARGE_ANSWERS)


@dataclass(frozen=True, slots=True)
class AnswerLimits:
    """What limits the reads of the answers of all connections.

    Attributes:
        read_timeout_s: How long a read takes at most where no deadline is set.
        large_answers: Permits for large answers.
        blocking: Is entered for each read and write.
    """

    read_timeout_s: float = MIN_READ_TIMEOUT_S
    large_answers: LargeAnswers = DEFAULT_LARGE_ANSWERS
    blocking: contextlib.AbstractContextManager[None] = NOT_LIMITED


DEFAULT_ANSWER_LIMITS = AnswerLimits()


class EarlyBytesError(OSError):
    """The endpoint sent something, or ended the connection, before the last byte of the request was written.

    Attributes:
        request_begun: Whether some of the request had been written, so that what was received may refer to it.
    """

    def __init__(self, request_begun: bool) -> None:
        """Create the error with its message."""
        super().__init__("sent or closed before the end of the request")
        self.request_begun = request_begun


class EndpointConnection:
    """A connection for one call to an endpoint; used by one thread.

    All that is received on it is the answer to that call.

    Attributes:
        received: What was received so far, up to MAX_RECEIVED_BYTES.
        cancelled: Whether the call was given up; set by another thread, which also shuts the socket down.
        on_incomplete: Is called before each wait for the rest of an answer that has begun.
        retry_after_s: The Retry-After of an incomplete answer that was heeded, 0 if there was none.
        paused_at: When that was, monotonic.
        transfer_deadline: When an answer that has begun must be complete, monotonic; None before it begins.
        answer_deadline: When an answer must be complete, whenever it begins, monotonic; None for no limit.

    """

    def __init__(
        self, sock: socket.socket, address: tuple[str, int], limits: AnswerLimits = DEFAULT_ANSWER_LIMITS
    ) -> None:
        """Use a connected socket; `limits` are shared with other connections."""
        self.sock, self.address, self._limits = sock, address, limits
        self._blocking = limits.blocking
        self.stream = Stream(self._receive, READ_BYTES)
        self.received = bytearray()
        self.cancelled = False
        self.on_incomplete: Callable[[], object] | None = None
        self.retry_after_s = self.paused_at = 0.0
        self._has_permit = False
        self.transfer_deadline: float | None = None
        self.answer_deadline: float | None = None

    def set_answer_begun(self, begun: bool) -> None:
        """Start the time limit for the transfer of an answer, or clear it while no answer has begun."""
        self.transfer_deadline = time.monotonic() + MAX_ANSWER_TRANSFER_S if begun else None

    def send(self, data: bytes) -> None:
        """Write a request.

        Raises:
            EarlyBytesError: if the endpoint has sent something or ended the connection before the last byte, which
                is then not written.
            OSError: if writing fails.

        """
        self._check_silent(request_begun=False)
        sent_bytes = 0
        with contextlib.suppress(BlockingIOError):
            sent_bytes = self.sock.send(data, socket.MSG_DONTWAIT)
        if sent_bytes < len(data):
            with self._blocking:
                self.sock.sendall(data[sent_bytes:-1])
                self._check_silent(request_begun=True)
                self.sock.sendall(data[-1:])

    def _check_silent(self, request_begun: bool) -> None:
        if sockets.idle_state(self.sock) is not IdleState.SILENT:
            raise EarlyBytesError(request_begun)

    def receive_available(self) -> None:
        """Add to `received` what has arrived and was not read, as far as one read returns it."""
        with contextlib.suppress(OSError):
            self.received += self.sock.recv(READ_BYTES, socket.MSG_DONTWAIT)

    def close(self) -> None:
        """Close the socket."""
        self.end_answer()
        self.sock.close()

    def _receive(self, size: int) -> bytes:
        """Return at most `size` bytes; raises TimeoutError or BlockingIOError at a time limit."""
        if self.received and self.on_incomplete is not None:
            self.on_incomplete()
        if len(self.received) >= READ_BYTES and not self._has_permit:
            with self._blocking:
                self._limits.large_answers.begin(self._remaining_s(), lambda: self.cancelled)
            self._has_permit = True
        sockets.set_timeout(self.sock, socket.SO_RCVTIMEO, self._remaining_s())
        with self._blocking:
            data = self.sock.recv(size)
        self.received += data[: MAX_RECEIVED_BYTES - len(self.received)]
        return data

    def _remaining_s(self) -> float:
        """Return how long a read may take; raises TimeoutError at a time limit."""
        deadlines = [
            deadline for deadline in (self.transfer_deadline, self.answer_deadline) if deadline is not None
        ]
        timeout_s = min(deadlines) - time.monotonic() if deadlines else self._limits.read_timeout_s
        if timeout_s <= 0:
            raise TimeoutError
        return timeout_s

    def end_answer(self) -> None:
        """Return the permit for a large answer, once the answer is not held any more."""
        self.received.clear()
        if self._has_permit:
            self._has_permit = False
            self._limits.large_answers.end()
