"""Handing one resend to a forwarder by its front door, as any client does."""

from __future__ import annotations

import socket
import time
from dataclasses import dataclass

from juniperward.net import sockets
from juniperward.net.http import (
    ConnectionClosedError,
    IncompleteMessageError,
    MalformedMessageError,
    Stream,
    encode_request,
    read_response,
)

ANSWER_TIMEOUT_S = 0.4  # seconds for the forwarder's answer


@dataclass(frozen=True, slots=True)
class Resubmission:
    """A resend as it is written; `ran_ago` is the time since the message first may have run."""

    id: str
    cls: str
    account: str
    destination: int
    key: str | None
    body: bytes
    time_left: float
    ran_ago: float | None


def encode(h: Resubmission, host: str) -> bytes:
    """The call; the forwarder's decision module counts the window of repeats from `X-Kept-Ran`."""
    headers = {
        "X-Correlation-Id": h.id, "X-Service-Class": h.cls, "X-Account": h.account,
        "X-Time-Left": f"{h.time_left:.3f}", "X-Addressing": f"dest={h.destination}", "Connection": "close",
    }  # fmt: skip
    if h.key is not None:
        headers["Idempotency-Key"] = h.key
    if h.ran_ago is not None:
        headers["X-Kept-Ran"] = f"{max(h.ran_ago, 0.0):.3f}"
    return encode_request("POST", "/api", host, headers, h.body)


def resubmit(
    address: tuple[str, int], h: Resubmission, patience: float = ANSWER_TIMEOUT_S
) -> tuple[int, float]:
    """Status and told wait; status 0 where there was no answer, and what became of it is not known.

    Status -1: nobody was there to connect to, so it was never taken.
    """
    until = time.monotonic() + patience
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        try:
            sockets.connect(*address, patience, sock)
        except OSError:
            return -1, 0.0

        def receive(size: int) -> bytes:
            left = until - time.monotonic()
            if left <= 0:
                raise TimeoutError
            sockets.limit(sock, socket.SO_RCVTIMEO, left)
            return sock.recv(size)

        sock.sendall(encode(h, f"{address[0]}:{address[1]}"))
        answer = read_response(Stream(receive))
        wait = answer.headers.get("retry-after", "")
        return answer.status, float(wait) if wait.replace(".", "", 1).isdigit() else 0.0
    except (OSError, IncompleteMessageError, ConnectionClosedError, MalformedMessageError):
        return 0, 0.0
    finally:
        sock.close()
