"""The client of a forwarder's control channel: one connection, one request at a time, a time limit on each.

Used by the agent and by benchmarks.
"""

from __future__ import annotations

import socket
import time
from pathlib import Path
from typing import Any, TypeVar

from juniperward.control.codec import MAX_ANSWER_BYTES, decode_answer, encode_request, read_frame
from juniperward.control.errors import (
    AnswerTypeError,
    ControlRejectedError,
    ControlUnreachableError,
    ProtocolError,
)
from juniperward.control.protocol import Answer, Counters, RedriveOutcomes, Request, Rows, Status, Verb
from juniperward.net import sockets

T = TypeVar("T")

DEFAULT_TIMEOUT_S = 1.0
MIN_TIMEOUT_S = 0.001
READ_BYTES = 64 * 1024


class ControlClient:
    """Used by one thread; connects at the first request and again after a failure."""

    def __init__(self, path: Path, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        """Send requests to the forwarder that listens at `path`; each has `timeout_s` seconds in all."""
        self.path, self.timeout_s = path, timeout_s
        self.sock: socket.socket | None = None
        self._last_id = 0

    def close(self) -> None:
        """End the connection, if there is one."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None

    def status(self) -> Status:
        """Return the forwarder's state.

        Raises:
            ControlUnreachableError: for no answer in time, or where no process listens; so do all requests.
            ControlRejectedError: where the forwarder rejects the request.
            ProtocolError: for an answer that cannot be read.

        """
        return self._typed(Verb.STATUS, Status)

    def rows(self, verb: Verb) -> Rows:
        """Return the destinations or the endpoints."""
        return self._typed(verb, Rows)

    def counters(self) -> dict[str, int]:
        """Return all counters that are not zero."""
        return self._typed(Verb.COUNTERS, Counters).counters

    def order(self, verb: Verb) -> Status:
        """Have it drain, resume or stop; the state right after."""
        return self._typed(verb, Status)

    def redrive_outcomes(self, ids: tuple[str, ...]) -> RedriveOutcomes:
        """Return what became of redriven messages; ids that are not known there will never be accepted there."""
        return self._typed(Verb.REDRIVE_OUTCOMES, RedriveOutcomes, ids)

    def _typed(self, verb: Verb, kind: type[T], ids: tuple[str, ...] = ()) -> T:
        body = self.request(verb, ids)
        if not isinstance(body, kind):
            raise AnswerTypeError(verb.value)
        return body

    def request(self, verb: Verb, ids: tuple[str, ...] = ()) -> Any:
        """Return the body of the answer to any request; raises as `status` does."""
        deadline = time.monotonic() + self.timeout_s
        fresh = self.sock is None
        try:
            return self._attempt(verb, ids, deadline)
        except ControlUnreachableError:
            # A connection of an earlier request may belong to a process that has ended: retry once on a new one.
            if fresh or time.monotonic() >= deadline:
                raise
            return self._attempt(verb, ids, deadline)

    def _attempt(self, verb: Verb, ids: tuple[str, ...], deadline: float) -> Any:
        self._last_id += 1
        answer = self._exchange(Request(self._last_id, verb, ids), deadline)
        if answer.id != self._last_id:
            self.close()
            raise ControlRejectedError(answer.error or "an answer to another request")
        if answer.body is None:
            raise ControlRejectedError(answer.error)
        return answer.body

    def _exchange(self, request: Request, deadline: float) -> Answer:
        """Send a request and read the next answer; after an error the connection is closed."""
        try:
            sock = self._connect(deadline)
            sock.sendall(encode_request(request))
            text = read_frame(lambda length: _read_exactly(sock, length, deadline), MAX_ANSWER_BYTES)
            return decode_answer(text, request.verb)
        except (BlockingIOError, TimeoutError) as error:
            self.close()
            why = f"no answer within {self.timeout_s:g} s"
            raise ControlUnreachableError(why) from error
        except (OSError, EOFError) as error:
            self.close()
            why = f"nobody listens: {getattr(error, 'strerror', None) or 'it hung up'}"
            raise ControlUnreachableError(why) from error
        except ProtocolError:
            self.close()
            raise

    def _connect(self, deadline: float) -> socket.socket:
        if self.sock is None:
            self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            left_s = max(deadline - time.monotonic(), MIN_TIMEOUT_S)
            sockets.set_timeout(self.sock, socket.SO_SNDTIMEO, left_s)
            self.sock.connect(str(self.path))
        return self.sock


def _read_exactly(sock: socket.socket, length: int, deadline: float) -> bytes:
    """Return so many bytes; raises TimeoutError, EOFError or OSError."""
    data = bytearray()
    while len(data) < length:
        left_s = deadline - time.monotonic()
        if left_s <= 0:
            raise TimeoutError
        sockets.set_timeout(sock, socket.SO_RCVTIMEO, left_s)
        piece = sock.recv(min(length - len(data), READ_BYTES))
        if not piece:
            raise EOFError
        data += piece
    return bytes(data)
