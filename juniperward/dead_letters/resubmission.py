"""Submitting one redrive at a forwarder's front door, as any client does; the agent's `RunningFleet` calls it."""

from __future__ import annotations

import socket
from dataclasses import dataclass

from juniperward.net import sockets
from juniperward.net.http_errors import ConnectionClosedError, IncompleteMessageError, MalformedMessageError
from juniperward.net.http_requests import encode_request
from juniperward.net.http_responses import read_response
from juniperward.net.stream import Stream

RESPONSE_TIMEOUT_S = 0.4  # for the forwarder's answer
NOT_CONNECTED = -1  # in the place of a status: it was never accepted
NO_ANSWER = 0  # in the place of a status: what became of it is not known


@dataclass(frozen=True, slots=True)
class SubmissionAnswer:
    """What a forwarder's front door answered: HTTP status (or NOT_CONNECTED, NO_ANSWER), Retry-After in seconds."""

    status: int
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Resubmission:
    """A redrive as it is submitted."""

    id: str
    class_name: str
    account: str
    destination: int
    idempotency_key: str | None
    body: bytes
    time_left_s: float
    executed_ago_s: float | None  # since the message first may have executed; None: it never did


def encode(message: Resubmission, host: str) -> bytes:
    """Return the request; the forwarder counts the deduplication window from `X-Kept-Ran`."""
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
    """Submit a message; return the HTTP status and the Retry-After in seconds.

    NO_ANSWER and NOT_CONNECTED stand in the place of a status where there is none.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        timed = sockets.DeadlineReader(sock, timeout_s)
        try:
            sockets.connect(*address, timeout_s, sock)
        except OSError:
            return SubmissionAnswer(NOT_CONNECTED, 0.0)
        try:
            sock.sendall(encode(message, f"{address[0]}:{address[1]}"))
            answer = read_response(Stream(timed.receive))
        except (OSError, IncompleteMessageError, ConnectionClosedError, MalformedMessageError):
            return SubmissionAnswer(NO_ANSWER, 0.0)
    retry_after = answer.headers.get("retry-after", "")
    is_number = retry_after.replace(".", "", 1).isdigit()
    retry_after_s = float(retry_after) if is_number else 0.0
    return SubmissionAnswer(answer.status, retry_after_s)
