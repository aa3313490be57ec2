"""A client's blocking connection to a forwarder, over which `clients` and `load` submit messages."""

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
    """One submission of a message, with the values of its headers.

    Attributes:
        key: The message's idempotency key.
        time_left_s: The seconds until the message's deadline.
    """

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
    """An open connection; `timeout_s` limits the connect and each wait for a response."""

    def __init__(self, address: tuple[str, int], timeout_s: float) -> None:
        """Connect to an address; raises OSError if that fails."""
        # With a timeout of the socket module, the non-blocking read of `reusable` would wait for the whole timeout.
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sockets.connect(*address, timeout_s, self._socket)
            sockets.set_timeout(self._socket, socket.SO_RCVTIMEO, timeout_s)
        except OSError:
            self._socket.close()
            raise
        self._stream = Stream(self._socket.recv)

    def reusable(self) -> bool:
        """Return whether another message can be submitted: nothing is unread, and the forwarder has not closed."""
        return sockets.is_reusable(self._socket)

    def submit(self, submission: Submission) -> HttpResponse:
        """Submit a message and return the response; raises one of CONNECTION_ERRORS if there is none."""
        self._socket.sendall(submission.request())
        return read_response(self._stream)

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()
