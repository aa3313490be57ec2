"""A client's connection to a forwarder, and a message as it is submitted over one.

`clients` and `load` submit their messages through it; the connection blocks, with the kernel's time limits.
"""

from __future__ import annotations

import socket
from dataclasses import dataclass

from juniperward.net import sockets
from juniperward.net.http_errors import ConnectionClosedError, IncompleteMessageError, MalformedMessageError
from juniperward.net.http_requests import encode_request
from juniperward.net.http_responses import read_response
from juniperward.net.http_values import HttpResponse
from juniperward.net.stream import Stream

BODY = b"a family of four, gate 3, cluster of the third generation"
CONNECTION_ERRORS = (OSError, IncompleteMessageError, ConnectionClosedError, MalformedMessageError)


@dataclass(frozen=True, slots=True)
class Submission:
    """One submission of a message, as its headers say it."""

    id: str
    message_class: str
    account: str
    destination: int
    key: str
    time_left_s: float

    def request(self) -> bytes:
        """Return the submission as an HTTP request."""
        headers = {
            "X-Correlation-Id": self.id, "X-Service-Class": self.message_class, "X-Account": self.account,
            "X-Time-Left": f"{self.time_left_s:.3f}", "X-Addressing": f"dest={self.destination}",
            "Idempotency-Key": self.key,
        }  # fmt: skip
        return encode_request("POST", "/api", "api.internal", headers, BODY)


class ClientConnection:
    """An open connection; connecting, and each answer, may take `timeout_s` seconds."""

    def __init__(self, address: tuple[str, int], timeout_s: float) -> None:
        """Connect; raises OSError where that fails."""
        # Time limits are the kernel's: with one of Python's own, a look without waiting waits for all of it.
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sockets.connect(*address, timeout_s, self._socket)
            sockets.set_timeout(self._socket, socket.SO_RCVTIMEO, timeout_s)
        except OSError:
            self._socket.close()
            raise
        self._stream = Stream(self._socket.recv)

    def reusable(self) -> bool:
        """Return whether the forwarder has neither sent anything nor ended the connection."""
        return sockets.is_reusable(self._socket)

    def submit(self, submission: Submission) -> HttpResponse:
        """Submit a message and return the answer; raises one of CONNECTION_ERRORS where none came."""
        self._socket.sendall(submission.request())
        return read_response(self._stream)

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()
