"""One client's connection to the control channel: its time limits, its request rate and its pending request."""

from __future__ import annotations

import socket
import threading
import time

from juniperward.control.codec import FRAME_HEADER, encode_answer
from juniperward.control.protocol import Answer
from juniperward.net import sockets

REQUESTS_PER_S = 20.0  # of one client
REQUEST_BURST = 20.0  # requests that may come at once
READ_TIMEOUT_S = 2.0  # in which a request must be complete after its first byte
IDLE_TIMEOUT_S = 60.0  # after which the connection of a client without requests is closed
WRITE_TIMEOUT_S = 2.0  # in which a client must read an answer


class ServerConnection:
    """A connection; `lock` guards `pending_id` and `answer`, which the forwarder's loop sets."""

    def __init__(self, number: int, sock: socket.socket) -> None:
        """Begin with a full token bucket."""
        self.number, self.sock = number, sock
        self.lock = threading.Lock()
        self.answered = threading.Event()
        self.pending_id: int | None = None  # of the request that has no answer yet
        self.answer: Answer | None = None
        self.idle_since = time.monotonic()
        self._tokens = REQUEST_BURST
        self._tokens_at = self.idle_since

    def read_exactly(self, length: int) -> bytes:
        """Return so many bytes, all within READ_TIMEOUT_S of the first; raises OSError or EOFError."""
        data = b""
        is_frame_start = length == FRAME_HEADER.size
        deadline = time.monotonic() + (IDLE_TIMEOUT_S if is_frame_start else READ_TIMEOUT_S)
        while len(data) < length:
            left_s = deadline - time.monotonic()
            if left_s <= 0:
                raise TimeoutError
            sockets.set_timeout(self.sock, socket.SO_RCVTIMEO, left_s)
            piece = self.sock.recv(length - len(data))
            if not piece:
                raise EOFError
            if not data:
                deadline = min(deadline, time.monotonic() + READ_TIMEOUT_S)
            data += piece
        return data

    def write(self, answer: Answer) -> None:
        """Write an answer; raises OSError."""
        sockets.set_timeout(self.sock, socket.SO_SNDTIMEO, WRITE_TIMEOUT_S)
        self.sock.sendall(encode_answer(answer))

    def take_token_s(self) -> float:
        """Take a token for a request; return for how many seconds the request has to wait for it."""
        now = time.monotonic()
        refilled = self._tokens + (now - self._tokens_at) * REQUESTS_PER_S
        self._tokens = min(REQUEST_BURST, refilled) - 1.0
        self._tokens_at = now
        return max(0.0, -self._tokens / REQUESTS_PER_S)
