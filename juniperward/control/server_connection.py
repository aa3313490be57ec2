"""A client's connection to the server of the control channel, with time limits and a request rate limit."""

from __future__ import annotations

import socket
import threading
import time

from juniperward.control.codec import FRAME_HEADER, encode_answer
from juniperward.control.protocol import Answer
from juniperward.net import sockets

REQUESTS_PER_S = 20.0
REQUEST_BURST = 20.0  # capacity of the token bucket
READ_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 60.0
WRITE_TIMEOUT_S = 2.0


class ServerConnection:
    """A connection with at most one pending request.

    `lock` guards `pending_id` and `answer`, which the forwarder's loop sets.

    Attributes:
        number: Identifies the connection to the forwarder's loop.
        answered: Set once `answer` is the answer to the pending request.
        pending_id: The id of the request that waits for its answer; None without one.
        idle_since: When its latest request was answered, or when it was opened (monotonic clock).

    """

    def __init__(self, number: int, sock: socket.socket) -> None:
        """Create the connection with a full token bucket."""
        self.number, self.sock = number, sock
        self.lock = threading.Lock()
        self.answered = threading.Event()
        self.pending_id: int | None = None
        self.answer: Answer | None = None
        self.idle_since = time.monotonic()
        self._tokens = REQUEST_BURST
        self._tokens_at = self.idle_since

    def read_exactly(self, length: int) -> bytes:
        """Return the next `length` bytes, the header or the rest of a frame; raises OSError or EOFError.

        The first byte of a frame may take IDLE_TIMEOUT_S. The rest of the header may take READ_TIMEOUT_S from
        then on, and the rest of the frame READ_TIMEOUT_S again.
        """
        data = b""
        is_frame_start = length == FRAME_HEADER.size
        deadline = time.monotonic() + (IDLE_TIMEOUT_S if is_frame_start else READ_TIMEOUT_S)
        while len(data) < length:
            left_s = deadline - time.monotonic()
            if left_s <= 0:
                raise TimeoutError
            sockets.set_timeout(self.sock, socket.SO_RCVTIMEO, left_s)
            chunk = self.sock.recv(length - len(data))
            if not chunk:
                raise EOFError
            if not data:
                deadline = min(deadline, time.monotonic() + READ_TIMEOUT_S)
            data += chunk
        return data

    def write(self, answer: Answer) -> None:
        """Write an answer; raises OSError, also if the client does not read it in time."""
        sockets.set_timeout(self.sock, socket.SO_SNDTIMEO, WRITE_TIMEOUT_S)
        self.sock.sendall(encode_answer(answer))

    def take_token_s(self) -> float:
        """Take a token for a request; return the seconds that the request has to wait for it."""
        now = time.monotonic()
        refilled = self._tokens + (now - self._tokens_at) * REQUESTS_PER_S
        self._tokens = min(REQUEST_BURST, refilled) - 1.0
        self._tokens_at = now
        return max(0.0, -self._tokens / REQUESTS_PER_S)
