"""Submits a redrive to a forwarder through the same HTTP interface that clients use."""

from __future__ import annotations

import socket
from dataclasses import dataclass

from juniperward.net import sockets
from juniperward.net.http_errors import ConnectionClosedError, IncompleteMessageError, MalformedMessageError
from juniperward.net.http_requests import encode_request
from juniperward.net.http_responses import read_response
from juniperward.net.stream import Stream

RESPONSE_TIMEOUT_S = 0.4
NOT_CONNECTED = -1  # Returned in place of an HTTP status if the redrive was not accepted.
NO_ANSWER = 0  # Returned in place of an HTTP status if the redrive may have been accepted.


@dataclass(frozen=True, slots=True)
class SubmissionAnswer:
    """A forwarder's answer: its HTTP status, NOT_CONNECTED or NO_ANSWER, and its Retry-After (0: none)."""

    status: int
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Resubmission:
    """A redrive as it is submitted.

    Attributes:
        id: the redrive's id, which the forwarder treats as the message's id.
        class_name: the name of the message class.
        account: the tenant's account.
        destination: the number of the destination.
        idempotency_key: the key by which the destination detects a repeat.
        body: the message's body.
        time_left_s: the time in which the forwarder must complete the redrive.
        executed_ago_s: time since the message may first have executed; None if it cannot have executed or
            is idempotent.
    """

    id: str
    class_name: str
    account: str
    destination: int
    idempotency_key: str | None
    body: bytes
    time_left_s: float
    executed_ago_s: float | None


def encode(message: Resubmission, host: str) -> bytes:
    """Return the HTTP request; `X-Kept-Ran` tells the forwarder the end of the deduplication window."""
    headers = {
        "X-Correlation-Id": message.id,
        "X-Service-Class": message.class_name,
        "X-Account": message.account,
        "X-Time-Left": f"{message.time_left_s:.3f}",
        "X-Addressing": f"dest={message.destination}",
        "Connection": "close",
    }
    if message.idempotency_key is not None:
        headers["Idempotency-Key"] = message.idempotency_key
    if message.executed_ago_s is not None:
        headers["X-Kept-Ran"] = f"{max(message.executed_ago_s, 0.0):.3f}"
    return encode_request("POST", "/api", host, headers, message.body)


def resubmit(
    address: tuple[str, int], message: Resubmission, timeout_s: float = RESPONSE_TIMEOUT_S
) -> SubmissionAnswer:
    """Submit a redrive and return the forwarder's answer, or NOT_CONNECTED or NO_ANSWER if there is none."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        reader = sockets.DeadlineReader(sock, timeout_s)
        try:
            sockets.connect(*address, timeout_s, sock)
        except OSError:
            return SubmissionAnswer(NOT_CONNECTED, 0.0)
        try:
            sock.sendall(encode(message, f"{address[0]}:{address[1]}"))
            answer = read_response(Stream(reader.receive))
        except (OSError, IncompleteMessageError, ConnectionClosedError, MalformedMessageError):
            return SubmissionAnswer(NO_ANSWER, 0.0)
    retry_after = answer.headers.get("retry-after", "")
    is_number = retry_after.replace(".", "", 1).isdigit()
    retry_after_s = float(retry_after) if is_number else 0.0
    return SubmissionAnswer(answer.status, retry_after_s)
