"""Answers that a peer sends without a request, such as a second copy of an earlier one, beside the next request.

Each peer here sends a copy of its latest answer once it has received the next request of a connection, and then
answers that request. A request must have the outcome of its own answer, whichever connection carries it.
"""

from __future__ import annotations

import contextlib
import json
import queue
import select
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from unittest import mock

import pytest

from juniperward.control.client import ControlClient
from juniperward.control.codec import encode_answer
from juniperward.control.errors import ControlRejectedError
from juniperward.control.protocol import Answer, Counters
from juniperward.dead_letters.resubmission import Resubmission, resubmit
from juniperward.fakes.load_balancer import is_ready
from juniperward.forwarder.discovery_address import DiscoveryAddress
from juniperward.forwarder.discovery_client import DiscoveryClient
from juniperward.forwarder.discovery_watch import (
    DiscoveryWatch,
    WatchEndedError,
    WatchRejectedError,
    WatchRequest,
)
from juniperward.forwarder.effects import StartAttempt, StartHealthCheck
from juniperward.forwarder.events import AttemptAnswered, Event, HealthCheckAnswered, NotificationAcknowledged
from juniperward.forwarder.model import AttemptProgress, BatchItem, ItemOutcome, Message, OutcomeNotification
from juniperward.forwarder.settings_names import SettingsNames
from juniperward.net import sockets
from juniperward.net.http_errors import ConnectionClosedError, IncompleteMessageError
from juniperward.net.http_requests import read_request
from juniperward.net.http_values import HttpRequest
from juniperward.net.stream import Stream
from juniperward.scheduler.events import Outcome
from tests.endpoint_client_rig import EndpointClientRig
from tests.resources import UsesResources

DELIVERED = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
GONE = b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"
REJECTED = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
ACKNOWLEDGED = b"HTTP/1.1 204 No Content\r\n\r\n"
# Endpoints need this time for a call.
SERVICE_S = 0.06
CALLS = 12
WAIT_S = 5.0


class CopyingPeer:
    """Answers requests, and sends a copy of a connection's latest answer ahead of its next one.

    Attributes:
        copies: How many copies were sent.
        own: The answer to each request, in their order.

    """

    def __init__(self, answer: Callable[[HttpRequest], bytes], service_s: float = 0.0) -> None:
        """Listen on a free port; `answer` returns the answer to a request, `service_s` after its copy."""
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address: tuple[str, int] = self.listener.getsockname()
        self.copies, self.own = 0, list[bytes]()
        self._answer, self._service_s = answer, service_s
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        stream, latest = Stream(sock.recv), b""
        with sock, contextlib.suppress(OSError, IncompleteMessageError, ConnectionClosedError):
            while True:
                request = read_request(stream)
                if latest:
                    self.copies += 1
                    sock.sendall(latest)
                latest = self._answer(request)
                self.own.append(latest)
                time.sleep(self._service_s)
                sock.sendall(latest)

    def close(self) -> None:
        """Accept no more connections."""
        self.listener.close()


def attempt(number: int, address: tuple[str, int]) -> StartAttempt:
    item = BatchItem(number, Message(f"m{number}", 0, 0, 7, 1.0, None, b""))
    return StartAttempt(number, 3, *address, 7, (item,), time.monotonic() + WAIT_S)


class TestAttempts(EndpointClientRig):
    def test_a_copy_of_an_earlier_answer_does_not_end_the_next_call(self) -> None:
        # Guards against a message that is lost, or sent twice, for an answer to the call before.
        answers = iter([DELIVERED, REJECTED] * CALLS)
        peer = self.resources.closing(CopyingPeer(lambda _: next(answers), SERVICE_S))
        outcomes = []
        for number in range(CALLS):
            self.client.start(attempt(number, peer.address))
            event = self.events.get(timeout=WAIT_S)
            assert isinstance(event, AttemptAnswered)
            outcomes += [item.outcome for item in event.outcomes]
        assert outcomes == [Outcome.OK, Outcome.OVERLOADED] * (CALLS // 2)
        assert peer.copies == 0, "a connection carried two calls"


class TestHealthChecks(EndpointClientRig):
    def test_a_copy_of_an_earlier_answer_does_not_end_the_next_health_check(self) -> None:
        # Guards against an endpoint that counts as healthy for an answer that it sent before.
        answers = iter([DELIVERED, REJECTED])
        peer = self.resources.closing(CopyingPeer(lambda _: next(answers), SERVICE_S))
        for number, expected in enumerate((Outcome.OK, Outcome.OVERLOADED)):
            deadline = time.monotonic() + WAIT_S
            self.client.start(StartHealthCheck(number, 3, *peer.address, 7, deadline))
            event = self.events.get(timeout=WAIT_S)
            assert isinstance(event, HealthCheckAnswered)
            assert event.outcome is expected


class TestNotifications(UsesResources):
    def test_a_copy_of_an_earlier_answer_does_not_acknowledge_the_next_notification(self) -> None:
        # Guards against a message without an outcome, as the platform never had its notification.
        accepted: list[str] = []

        def answer(request: HttpRequest) -> bytes:
            ids = [json.loads(line)["id"] for line in request.body.splitlines()]
            if ids == ["m1"] and len(peer.own) == 1:
                return REJECTED
            accepted.extend(ids)
            return ACKNOWLEDGED

        peer = self.resources.closing(CopyingPeer(answer, SERVICE_S))
        events: queue.Queue[Event] = queue.Queue()
        client = DiscoveryClient(peer.address, SettingsNames((), (), (), (), ()), events.put)
        client.start()
        for name in ("m0", "m1"):
            client.notify((OutcomeNotification(name),))
            assert events.get(timeout=WAIT_S) == NotificationAcknowledged((name,))
            assert name in accepted


class ScriptedCalls(EndpointClientRig):
    """Calls to an endpoint that a test plays byte by byte."""

    def call(self, number: int, *messages: int) -> socket.socket:
        """Start a call, and return the endpoint's side of its connection once all of the request has arrived."""
        items = tuple(BatchItem(n, Message(f"m{n}", 0, 0, 7, 1.0, None, b"")) for n in messages or (number,))
        self.client.start(replace(attempt(number, ("127.0.0.1", self.port)), items=items))
        sock = self.accept()
        read_request(Stream(sock.recv))
        return sock

    def outcomes(self) -> tuple[ItemOutcome, ...]:
        event = self.events.get(timeout=WAIT_S)
        assert isinstance(event, AttemptAnswered)
        return event.outcomes

    def outcome(self) -> Outcome:
        return self.outcomes()[0].outcome


class TestForms(ScriptedCalls):
    def test_what_is_sent_behind_an_answer_does_not_reach_the_next_call(
        self, subtests: pytest.Subtests
    ) -> None:
        # Guards against a stray answer of any form that ends a call, or hides the call's own answer.
        interim = b"HTTP/1.1 103 Early Hints\r\n\r\n"
        cases = {
            "one copy": DELIVERED,
            "two copies": 2 * DELIVERED,
            "the start of a copy": DELIVERED[:20],
            "an older answer": b"HTTP/1.1 500 X\r\nContent-Length: 2\r\n\r\nxx",
            "an interim response": interim,
            "an interim response and a copy": interim + DELIVERED,
            "a 408": b"HTTP/1.1 408 X\r\nContent-Length: 0\r\n\r\n",
            "noise": b"\x00noise\r\n\r\n",
        }
        for name, stray in cases.items():
            with subtests.test(stray=name):
                first = self.call(1)
                first.sendall(DELIVERED)
                assert self.outcome() is Outcome.OK
                second = self.call(2)
                with contextlib.suppress(OSError):  # The connection is closed, so it may be reset.
                    first.sendall(stray)
                second.sendall(REJECTED)
                assert self.outcome() is Outcome.OVERLOADED
                assert second.recv(1) == b"", "the connection is still open"

    def test_interim_responses_ahead_of_an_answer_do_not_end_its_call(self) -> None:
        # Guards against an interim response that is taken for the answer.
        sock = self.call(1)
        sock.sendall(2 * b"HTTP/1.1 103 Early Hints\r\n\r\n")
        sock.sendall(REJECTED)
        assert self.outcome() is Outcome.OVERLOADED

    def test_noise_in_place_of_an_answer_leaves_open_whether_the_call_executed(self) -> None:
        # Guards against a message that is lost or sent twice for bytes that are not HTTP.
        self.call(1).sendall(b"\x00noise\r\n\r\n")
        assert self.outcome() is Outcome.RESET

    def test_a_call_is_out_until_its_connection_is_closed(self) -> None:
        # Guards against a second call of the message while the first one may be running.
        sock = self.call(1)
        sock.sendall(b"HTTP/1.1 1")
        while self.client.active[1].progress is not AttemptProgress.WRITTEN:
            time.sleep(0)
        assert self.events.empty()
        assert self.client.cancel(1) is AttemptProgress.WRITTEN
        assert sock.recv(1) == b""
        assert self.outcome() is Outcome.CANCELLED

    def test_a_batch_is_not_ended_by_an_entry_for_another_message(self) -> None:
        # Guards against an answer that lists other messages and ends those of the call.
        body = b'[{"id":"m1","state":"ok"},{"id":"m2","state":"later"}]'
        sock = self.call(2, 2, 3)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        assert [item.outcome for item in self.outcomes()] == [Outcome.OVERLOADED, Outcome.ERROR]
        assert sock.recv(1) == b"", "the connection is still open"

    def test_a_cancelled_calls_connection_is_not_used_again(self) -> None:
        # Guards against the answer to a cancelled call that ends the next one.
        sock = self.call(1)
        while self.client.active[1].progress is not AttemptProgress.WRITTEN:
            time.sleep(0)
        self.client.cancel(1)
        assert sock.recv(1) == b""
        assert self.outcome() is Outcome.CANCELLED
        self.call(2).sendall(DELIVERED)
        assert self.outcome() is Outcome.OK


class TestGreetings(ScriptedCalls):
    """Endpoints that send something before they have the last byte of a call."""

    def dial(self, greeting: bytes, body: bytes = b"") -> tuple[ItemOutcome, ...]:
        """Make a call to an endpoint that sends a greeting at once, and return its outcomes."""
        connect = sockets.connect

        def connect_and_wait(host: str, port: int, timeout_s: float, sock: socket.socket) -> None:
            connect(host, port, timeout_s, sock)
            self.endpoint = self.accept()
            self.endpoint.sendall(greeting)
            select.select([sock], [], [], WAIT_S)

        item = BatchItem(1, Message("m1", 0, 0, 7, 1.0, None, body))
        with mock.patch("juniperward.net.sockets.connect", connect_and_wait):
            self.client.start(replace(attempt(1, ("127.0.0.1", self.port)), items=(item,)))
            return self.outcomes()

    def test_a_greeting_is_no_answer(self, subtests: pytest.Subtests) -> None:
        # Guards against a call that ends by what its endpoint sent before it, and against one that runs nevertheless.
        for greeting in (DELIVERED, GONE, REJECTED, b"HTTP/1.1 504 X\r\nContent-Length: 0\r\n\r\n", b"hello"):
            with subtests.test(greeting=greeting):
                (item,) = self.dial(greeting)
                assert (item.outcome, item.message_ended) == (Outcome.CONNECT_FAILED, False)
                assert not item.attempts_exhausted
                with contextlib.suppress(ConnectionResetError):
                    assert self.endpoint.recv(1000) == b"", "the call was sent"

    def test_a_retry_after_in_a_greeting_is_kept(self) -> None:
        # Guards against calls within a Retry-After that an endpoint gave before it read a call.
        (item,) = self.dial(b"HTTP/1.1 503 X\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n")
        assert (item.outcome, item.retry_after_s) == (Outcome.CONNECT_FAILED, 30.0)
        self.client.start(attempt(2, ("127.0.0.1", self.port)))
        assert self.outcome() is Outcome.NOT_SENT

    def test_an_answer_before_the_last_byte_of_a_long_request_counts_by_what_it_says(
        self, subtests: pytest.Subtests
    ) -> None:
        # Guards against another call of a message that is over, when the endpoint did not wait for its body.
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        cases = ((GONE, Outcome.NOT_SENT, True), (REJECTED, Outcome.CONNECT_FAILED, False))
        for answer, outcome, ended in cases:
            with subtests.test(answer=answer):
                item = BatchItem(1, Message("m1", 0, 0, 7, 1.0, None, b"x" * 8_000_000))
                self.client.start(replace(attempt(1, ("127.0.0.1", self.port)), items=(item,)))
                sock = self.accept()
                sock.recv(1000)
                sock.sendall(answer)
                sock.close()
                (item_outcome,) = self.outcomes()
                assert (item_outcome.outcome, item_outcome.message_ended) == (outcome, ended)


class TestOtherConnections(UsesResources):
    def test_a_control_client_rejects_a_copy_of_an_earlier_answer(self, tmp_path: Path) -> None:
        # Guards against an agent that takes an earlier status, or an earlier order's, for the present one.
        listener = self.resources.closing(socket.socket(socket.AF_UNIX, socket.SOCK_STREAM))
        listener.bind(str(tmp_path / "control"))
        listener.listen()

        def serve() -> None:
            sock, _ = listener.accept()
            with sock:
                for number in (1, 2):
                    sock.recv(1000)
                    # The second request is answered by a copy of the first answer.
                    sock.sendall(encode_answer(Answer(1, Counters({"attempts": number}))))

        threading.Thread(target=serve, daemon=True).start()
        client = self.resources.closing(ControlClient(tmp_path / "control", WAIT_S))
        assert client.counters() == {"attempts": 1}
        with pytest.raises(ControlRejectedError):
            client.counters()
        assert client.sock is None

    def test_requests_that_are_answered_at_once_share_no_connection(self) -> None:
        # Guards against a copy of an answer to a redrive, a readiness check or a watch that ends the next one.
        stream = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        accepted = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
        answers = iter([accepted, REJECTED, DELIVERED, REJECTED, stream, REJECTED])
        peer = self.resources.closing(CopyingPeer(lambda _: next(answers)))
        message = Resubmission("kept-1", "c", "a", 7, None, b"", 1.0, None)
        assert [resubmit(peer.address, message).status for _ in range(2)] == [202, 503]
        assert [is_ready(peer.address) for _ in range(2)] == [True, False]
        events: queue.Queue[Event] = queue.Queue()
        watch = DiscoveryWatch(DiscoveryAddress(peer.address), SettingsNames((), (), (), (), ()), events.put)
        with pytest.raises(WatchEndedError):
            watch.run(WatchRequest(0, 0))
        with pytest.raises(WatchRejectedError):
            watch.run(WatchRequest(0, 0))
        assert peer.copies == 0
