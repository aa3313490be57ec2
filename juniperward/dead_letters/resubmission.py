"""Handing one redrive to a forwarder by its front door, as any client does."""

from __future__ import annotations

import socket
from dataclasses import dataclass

from juniperward.net import sockets
from juniperward.net.http_errors import ConnectionClosedError, IncompleteMessageError, MalformedMessageError
from juniperward.net.http_requests import encode_request
from juniperward.net.http_responses import read_response
from juniperward.net.stream import Stream

ANSWER_TIMEOUT_S = 0.4  # for the forwarder's answer
NOBODY_THERE = -1  # in the place of a status: it was never accepted
NO_ANSWER = 0  # in the place of a status: what became of it is not known


@dataclass(frozen=True, slots=True)
class SubmissionAnswer:
    """What a forwarder's front door answered: HTTP status (or NOBODY_THERE, NO_ANSWER), Retry-After in seconds."""

    status: int
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Resubmission:
    """A redrive as it is written; `ran_ago` is the time since the message first may have run."""

    id: str
    cls: str
    account: str
    destination: int
    key: str | None
    body: bytes
    time_left: float
    ran_ago: float | None


def encode(message: Resubmission, host: str) -> bytes:
    """Return the request; the forwarder's scheduler counts the window of repeats from `X-Kept-Ran`."""
    headers = {
        "X-Correlation-Id": message.id,
        "X-Service-Class": message.cls,
        "X-Account": message.account,
        "X-Time-Left": f"{message.time_left:.3f}",
        "X-Addressing": f"dest={message.destination}",
        "Connection": "close",
    }
    if message.key is not None:
        headers["Idempotency-Key"] = message.key
    if message.ran_ago is not None:
        headers["X-Kept-Ran"] = f"{max(message.ran_ago, 0.0):.3f}"
    return encode_request("POST", "/api", host, headers, message.body)


def resubmit(
    address: tuple[str, int], message: Resubmission, timeout_s: float = ANSWER_TIMEOUT_S
) -> SubmissionAnswer:
    """Hand a message in; return the HTTP status and the Retry-After wait in seconds.

    NO_ANSWER and NOBODY_THERE stand in the place of a status where there is none.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        timed = sockets.DeadlineReader(sock, timeout_s)
        try:
            sockets.connect(*address, timeout_s, sock)
        except OSError:
            return SubmissionAnswer(NOBODY_THERE, 0.0)
        try:
            sock.sendall(encode(message, f"{address[0]}:{address[1]}"))
            answer = read_response(Stream(timed.receive))
        except (OSError, IncompleteMessageError, ConnectionClosedError, MalformedMessageError):
            return SubmissionAnswer(NO_ANSWER, 0.0)
    wait = answer.headers.get("retry-after", "")
    retry_after_s = float(wait) if wait.replace(".", "", 1).isdigit() else 0.0
    return SubmissionAnswer(answer.status, retry_after_s)
