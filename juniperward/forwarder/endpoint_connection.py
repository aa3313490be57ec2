"""A connection to an endpoint, with the time limits of its reads."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from dataclasses import dataclass

from juniperward.forwarder.connection_reuse import DoubtWindow
from juniperward.forwarder.telemetry import increment
from juniperward.net import sockets
from juniperward.net.http_errors import IncompleteMessageError
from juniperward.net.stream import CLOSED_BY_PEER, Stream

# The time limit of a read, unless a message class has a longer deadline.
MIN_READ_TIMEOUT_S = 60.0
# The time limit from the first byte of an answer to the last.
MAX_ANSWER_TRANSFER_S = 0.5
# What is read of an answer at once; a longer answer needs a permit.
READ_BYTES = 4096
MAX_LARGE_ANSWERS = 16
# The context for operations that may block, of a connection whose threads are not limited.
NOT_LIMITED: contextlib.AbstractContextManager[None] = contextlib.nullcontext()


class LargeAnswers:
    """Permits to receive an answer that is longer than what is read at once; safe to call from any thread."""

    def __init__(self, max_answers: int) -> None:
        """Give up to `max_answers` permits at the same time."""
        self._permits = threading.BoundedSemaphore(max_answers)

    def begin(self, timeout_s: float) -> None:
        """Wait for a permit; raises TimeoutError if there is none in time."""
        if not self._permits.acquire(timeout=max(timeout_s, 0.0)):
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


class EndpointConnection:
    """A connection to an endpoint; used by one thread at a time.

    Attributes:
        idle_since: when the connection was opened or last put into the pool, monotonic.
        window: when an answer is in doubt, as the connection has carried an earlier call; None on its first call.
        is_in_doubt: whether something was received within that window.
        round_trip_s: how long connecting took.
        written_at: when the last byte of the latest call was written, monotonic.
        begun_at: when the latest answer began to arrive, monotonic.
        transfer_deadline: when an answer that has begun must be complete, monotonic; None before it begins.
        answer_deadline: when an answer must be complete, whenever it begins, monotonic; None for no limit.

    """

    def __init__(
        self,
        sock: socket.socket,
        address: tuple[str, int],
        limits: AnswerLimits = DEFAULT_ANSWER_LIMITS,
        round_trip_s: float = 0.0,
    ) -> None:
        """Use a connected socket; `limits` are shared with other connections."""
        self.round_trip_s = round_trip_s
        self.sock, self.address, self._limits = sock, address, limits
        self._blocking = limits.blocking
        self.stream = Stream(self._receive, READ_BYTES)
        self._answer_bytes = 0
        self._has_permit = False
        self.idle_since = time.monotonic()
        self.window: DoubtWindow | None = None
        self.is_in_doubt = False
        self.written_at = self.begun_at = self.idle_since
        self.transfer_deadline: float | None = None
        self.answer_deadline: float | None = None

    def set_answer_begun(self, begun: bool) -> None:
        """Start the time limit for the transfer of an answer, or clear it while no answer has begun."""
        if not begun:
            self.transfer_deadline = None
            return
        self.begun_at = time.monotonic()
        self.transfer_deadline = self.begun_at + MAX_ANSWER_TRANSFER_S

    def limit_answer(self, deadline: float) -> None:
        """Let answers be complete by `deadline`, or by an earlier time that was set before."""
        self.answer_deadline = min(deadline, self.answer_deadline or deadline)

    def is_silent_until(self, at: float) -> bool:
        """Return whether nothing is received until `at`, or now if that is over; what is received is kept.

        The time is that of the system's buffer: the thread may come to read it much later.

        Raises:
            IncompleteMessageError: if the connection ends.

        """
        if self.stream.buffer:
            return False
        while True:
            try:
                data = self._receive_until(at)
            except BlockingIOError:
                if time.monotonic() >= at:
                    return True
                continue
            except ConnectionError as error:
                raise IncompleteMessageError(str(error)) from error
            if not data:
                raise IncompleteMessageError(CLOSED_BY_PEER)
            self._answer_bytes += len(data)
            self.stream.buffer += data
            return False

    def _receive_until(self, at: float) -> bytes:
        remaining_s = at - time.monotonic()
        if remaining_s <= 0:
            return self.sock.recv(READ_BYTES, socket.MSG_DONTWAIT)
        sockets.set_timeout(self.sock, socket.SO_RCVTIMEO, remaining_s)
        with self._blocking:
            return self.sock.recv(READ_BYTES)

    def send(self, data: bytes) -> None:
        """Write a request; raises OSError."""
        sent_bytes = 0
        with contextlib.suppress(BlockingIOError):
            sent_bytes = self.sock.send(data, socket.MSG_DONTWAIT)
        if sent_bytes < len(data):
            with self._blocking:
                self.sock.sendall(data[sent_bytes:])
        self.written_at = time.monotonic()

    def close(self) -> None:
        """Close the socket."""
        self.end_answer()
        self.sock.close()

    def _receive(self, size: int) -> bytes:
        """Return at most `size` bytes; raises TimeoutError or BlockingIOError at a time limit."""
        if self._answer_bytes >= READ_BYTES and not self._has_permit:
            with self._blocking:
                self._limits.large_answers.begin(self._remaining_s())
            self._has_permit = True
        sockets.set_timeout(self.sock, socket.SO_RCVTIMEO, self._remaining_s())
        with self._blocking:
            data = self.sock.recv(size)
        self._answer_bytes += len(data)
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
        self._answer_bytes = 0
        if self._has_permit:
            self._has_permit = False
            self._limits.large_answers.end()
