"""The client of a forwarder's control channel, used by the agent and by benchmarks.

It has one connection and sends one request at a time, each with a time limit.
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
MAX_READ_BYTES = 64 * 1024


class ControlClient:
    """A client of one forwarder, for use by one thread.

    It connects at the first request, and again at the first one after a failure.
    """

    def __init__(self, path: Path, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        """Create a client of the forwarder that listens at `path`; `timeout_s` limits a whole request."""
        self.path, self.timeout_s = path, timeout_s
        self.sock: socket.socket | None = None
        self._last_id = 0

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None

    def status(self) -> Status:
        """Return the forwarder's status.

        All requests raise these errors.

        Raises:
            ControlUnreachableError: If no process listens, the connection fails or no answer comes in time.
            ControlRejectedError: If the forwarder rejects the request or answers another one.
            ProtocolError: If the answer cannot be decoded.

        """
        return self._request_body(Verb.STATUS, Status)

    def rows(self, verb: Verb) -> Rows:
        """Return the answer to DESTINATIONS or ENDPOINTS."""
        return self._request_body(verb, Rows)

    def counters(self) -> dict[str, int]:
        """Return all counters that are not zero."""
        return self._request_body(Verb.COUNTERS, Counters).counters

    def order(self, verb: Verb) -> Status:
        """Order the forwarder to drain, resume or stop, and return its status right after."""
        return self._request_body(verb, Status)

    def redrive_outcomes(self, ids: tuple[str, ...]) -> RedriveOutcomes:
        """Return the outcomes of redrives; from now on the forwarder rejects redrives with unknown ids."""
        return self._request_body(Verb.REDRIVE_OUTCOMES, RedriveOutcomes, ids)

    def _request_body(self, verb: Verb, body_type: type[T], ids: tuple[str, ...] = ()) -> T:
        body = self.request(verb, ids)
        if not isinstance(body, body_type):
            raise AnswerTypeError(verb.value)
        return body

    def request(self, verb: Verb, ids: tuple[str, ...] = ()) -> Any:
        """Send any request and return the body of its answer; raises as `status` does."""
        deadline = time.monotonic() + self.timeout_s
        is_new_connection = self.sock is None
        try:
            return self._request_once(verb, ids, deadline)
        except ControlUnreachableError:
            # An existing connection may be one to a process that has ended: retry once on a new connection.
            if is_new_connection or time.monotonic() >= deadline:
                raise
            return self._request_once(verb, ids, deadline)

    def _request_once(self, verb: Verb, ids: tuple[str, ...], deadline: float) -> Any:
        self._last_id += 1
        answer = self._exchange(Request(self._last_id, verb, ids), deadline)
        if answer.id != self._last_id:
            self.close()
            raise ControlRejectedError(answer.error or "received an answer to another request")
        if answer.body is None:
            raise ControlRejectedError(answer.error)
        return answer.body

    def _exchange(self, request: Request, deadline: float) -> Answer:
        """Send a request and return the next answer; closes the connection after an error."""
        try:
            sock = self._connect(deadline)
            sock.sendall(encode_request(request))
            text = read_frame(lambda length: _read_exactly(sock, length, deadline), MAX_ANSWER_BYTES)
            return decode_answer(text, request.verb)
        except (BlockingIOError, TimeoutError) as error:
            self.close()
            reason = f"no answer within {self.timeout_s:g} s"
            raise ControlUnreachableError(reason) from error
        except (OSError, EOFError) as error:
            self.close()
            reason = f"connection failed: {getattr(error, 'strerror', None) or 'closed by the forwarder'}"
            raise ControlUnreachableError(reason) from error
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
    """Return the next `length` bytes; raises TimeoutError, EOFError or OSError."""
    data = bytearray()
    while len(data) < length:
        left_s = deadline - time.monotonic()
        if left_s <= 0:
            raise TimeoutError
        sockets.set_timeout(sock, socket.SO_RCVTIMEO, left_s)
        chunk = sock.recv(min(length - len(data), MAX_READ_BYTES))
        if not chunk:
            raise EOFError
        data += chunk
    return bytes(data)
