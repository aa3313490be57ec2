"""Answers that end a message or delay its destination: they count however early they come and wherever they are cut.

Each test makes calls to an endpoint on a loopback socket, and looks at the outcome that the scheduler would get.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable

from juniperward.forwarder.effects import StartAttempt
from juniperward.forwarder.events import AttemptAnswered
from juniperward.forwarder.model import BatchItem, ItemOutcome, Message
from juniperward.net.http_errors import ConnectionClosedError, IncompleteMessageError
from juniperward.net.http_requests import read_request
from juniperward.net.http_values import HttpRequest
from juniperward.net.stream import Stream
from juniperward.scheduler.events import Outcome
from tests.endpoint_client_rig import EndpointClientRig

DELIVERED = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
GONE = b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"
WAIT_S = 5.0
# Deliveries that take SERVICE_S each, which a forwarder may take for the usual time of its answers.
DELIVERIES, SERVICE_S = 12, 0.05


class Endpoint:
    """Answers each call by its first message; serves each connection's calls one after another."""

    def __init__(self, answer: Callable[[HttpRequest], bytes]) -> None:
        """Listen on a free port; `answer` returns the bytes of the answer to a request."""
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self.listener.getsockname()[1]
        self._answer = answer
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        stream = Stream(sock.recv)
        with sock, contextlib.suppress(OSError, IncompleteMessageError, ConnectionClosedError):
            while True:
                sock.sendall(self._answer(read_request(stream)))

    def close(self) -> None:
        """Accept no more connections."""
        self.listener.close()


class EndedMessagesRig(EndpointClientRig):
    def attempt(self, number: int, port: int, count: int = 1) -> StartAttempt:
        items = tuple(BatchItem(n, Message(f"m{n}", 0, 0, 7, 1.0, f"k{n}", b"")) for n in range(count))
        return StartAttempt(number, 3, "127.0.0.1", port, 7, items, time.monotonic() + WAIT_S)

    def outcomes(self) -> tuple[ItemOutcome, ...]:
        event = self.events.get(timeout=WAIT_S)
        assert isinstance(event, AttemptAnswered)
        return event.outcomes

    def call(self, answer: bytes, count: int = 1) -> tuple[ItemOutcome, ...]:
        """Make a call whose answer is followed by the end of its connection, and return the outcomes."""
        self.client.start(self.attempt(1, self.port, count))
        sock = self.accept()
        read_request(Stream(sock.recv))
        sock.sendall(answer)
        sock.close()
        return self.outcomes()


class TestFastAnswers(EndedMessagesRig):
    def test_a_message_that_is_answered_410_at_once_is_ended(self) -> None:
        # Guards against another call of an ended message, whose 410 came sooner than other answers.
        answers = iter([DELIVERED] * DELIVERIES + [GONE])

        def answer(_: HttpRequest) -> bytes:
            data = next(answers)
            time.sleep(SERVICE_S if data == DELIVERED else 0.0)
            return data

        endpoint = self.resources.closing(Endpoint(answer))
        for number in range(DELIVERIES):
            self.client.start(self.attempt(number, endpoint.port))
            assert [item.outcome for item in self.outcomes()] == [Outcome.OK]
        self.client.start(self.attempt(DELIVERIES, endpoint.port))
        assert [item.message_ended for item in self.outcomes()] == [True]


class TestCutAnswers(EndedMessagesRig):
    def test_a_message_whose_410_is_cut_is_ended(self) -> None:
        # Guards against another call of an ended message, the rest of whose 410 was lost.
        status_code_end = GONE.index(b" Gone")
        for cut in range(status_code_end, len(GONE)):
            assert [item.message_ended for item in self.call(GONE[:cut])] == [True], GONE[:cut]
