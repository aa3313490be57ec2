"""Calls over loopback sockets to endpoints that are slow or send faulty answers."""

from __future__ import annotations

import queue
import socket
import threading
import time
from dataclasses import replace
from unittest import mock

import pytest

from juniperward.forwarder import endpoint_connection
from juniperward.forwarder.answer_headers import read_retry_after
from juniperward.forwarder.effects import StartAttempt, StartHealthCheck
from juniperward.forwarder.endpoint_connection import EndpointConnection
from juniperward.forwarder.events import AttemptAnswered, HealthCheckAnswered
from juniperward.forwarder.model import BatchItem, Message
from juniperward.net import sockets
from juniperward.net.stream import Stream
from juniperward.scheduler.events import Outcome
from tests.endpoint_client_rig import EndpointClientRig
from tests.helpers import open_descriptors

ENDPOINT = 3
DESTINATION = 7
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


def start_attempt(number: int, port: int, count: int = 1, body: bytes = b"") -> StartAttempt:
    """Return an attempt with `count` messages, each with `body`."""
    items = tuple(BatchItem(n, Message(f"m{n}", 0, 0, DESTINATION, 1.0, None, body)) for n in range(count))
    return StartAttempt(number, ENDPOINT, "127.0.0.1", port, DESTINATION, items, time.monotonic() + 60.0)


class EndpointRig(EndpointClientRig):
    """An endpoint client and a listening socket, with the outcomes of calls."""

    def outcomes(self) -> set[Outcome]:
        """Wait for the next answer and return the outcomes of its messages."""
        event = self.events.get(timeout=5.0)
        assert isinstance(event, AttemptAnswered)
        return {item.outcome for item in event.outcomes}


class TestRetryAfter(EndpointRig):
    def test_retry_after_with_the_decimals_of_a_double_pauses_its_route(
        self, subtests: pytest.Subtests
    ) -> None:
        # Guards against ignoring a Retry-After of more than nine decimals.
        cases = (("0.30000000000000004", 0.3), ("1.1102230246251565", 1.11), (".5", 0.5), ("2.", 2.0))
        for text, seconds in cases:
            with subtests.test(text=text):
                assert read_retry_after({"retry-after": text}) == pytest.approx(seconds, abs=5e-3)
        self.client.start(start_attempt(1, self.port))
        sock = self.accept()
        sock.recv(1000)
        sock.sendall(b"HTTP/1.1 429 X\r\nRetry-After: 30.000000000000004\r\nContent-Length: 0\r\n\r\n")
        assert self.outcomes() == {Outcome.OVERLOADED}
        self.client.start(start_attempt(2, self.port))
        assert self.outcomes() == {Outcome.NOT_SENT}


class TestHealthCheck(EndpointRig):
    def health_check(self, number: int, timeout_s: float) -> StartHealthCheck:
        deadline = time.monotonic() + timeout_s
        return StartHealthCheck(number, ENDPOINT, "127.0.0.1", self.port, DESTINATION, deadline, DESTINATION)

    def test_a_health_check_ends_at_its_deadline(self, subtests: pytest.Subtests) -> None:
        # Guards against a health check that waits past its deadline after a partial or an interim answer.
        interim = b"HTTP/1.1 100 Continue\r\n\r\n"
        for number, text in enumerate((b"", interim, 3 * interim, b"HTTP/1.1 2", OK[:-2])):
            with (
                subtests.test(text=text),
                mock.patch.object(endpoint_connection, "MAX_ANSWER_TRANSFER_S", 60.0),
            ):
                ours, theirs = socket.socketpair()
                self.resources.callback(theirs.close)
                connection = EndpointConnection(ours, ("127.0.0.1", self.port))
                connection.stream = Stream(lambda _, c=connection: c._receive(1))  # type: ignore[misc]
                with mock.patch.object(self.client.connections, "connect", return_value=connection):
                    self.client.start(self.health_check(number, 0.3))
                    theirs.recv(1000)
                theirs.sendall(text)
                event = self.events.get(timeout=5.0)
                assert isinstance(event, HealthCheckAnswered)
                assert event.outcome is Outcome.TIMEOUT


class TestDial(EndpointRig):
    def test_a_connection_dialled_close_to_a_deadline_does_not_inherit_its_timeout(self) -> None:
        # Guards against large requests that fail because the short timeout of the dial still limits writes.
        self.client.connections.dial_timeout_s = 5.0
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connect = sockets.connect

        def connect_with_small_buffer(host: str, port: int, timeout_s: float, sock: socket.socket) -> None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            connect(host, port, timeout_s, sock)

        with mock.patch("juniperward.net.sockets.connect", connect_with_small_buffer):
            start = start_attempt(1, self.port, 4, b"x" * 65_536)
            self.client.start(replace(start, deadline=time.monotonic() + 0.2))
            sock = self.accept()
            with pytest.raises(queue.Empty):
                self.events.get(timeout=1.5)  # The request is not read yet, but must not fail.
        stream, length = Stream(sock.recv), 0
        while line := stream.read_line(1000, 400):
            if line.startswith(b"Content-Length: "):
                length = int(line.split()[1])
        assert len(stream.read_exactly(length)) > 4 * 65_536
        states = ",".join(f'{{"id":"m{n}","state":"ok"}}' for n in range(4))
        answer = f"HTTP/1.1 200 OK\r\nContent-Length: {len(states) + 2}\r\n\r\n[{states}]"
        sock.sendall(answer.encode())
        assert self.outcomes() == {Outcome.OK}

    def test_failed_dials_leak_no_resources(self) -> None:
        # Guards against a leak of threads, descriptors or calls when connections are never established.
        full_listener = self.resources.closing(socket.socket())
        full_listener.bind(("127.0.0.1", 0))
        full_listener.listen(0)
        # Connections that fill the backlog, so that no other one is established.
        backlog = [socket.socket() for _ in range(4)]
        for sock in backlog:
            self.resources.callback(sock.close)
            sock.setblocking(False)
            sock.connect_ex(full_listener.getsockname())
        self.client.connections.dial_timeout_s = 0.01
        port = full_listener.getsockname()[1]
        self.client.start(start_attempt(0, port))
        assert self.outcomes() == {Outcome.CONNECT_FAILED}
        initial_descriptors = open_descriptors()
        for number in range(1, 301):
            self.client.start(start_attempt(number, port))
            if number % 4 == 0:
                # Cancelled while it connects, so no result is posted.
                self.client.cancel(number)
            else:
                assert self.outcomes() == {Outcome.CONNECT_FAILED}
        self.client.start(start_attempt(301, self.port))
        sock = self.accept()
        sock.recv(1000)
        sock.sendall(OK)
        assert self.outcomes() == {Outcome.OK}
        deadline = time.monotonic() + 5.0
        while self.client.free_threads != self.client.threads and time.monotonic() < deadline:
            time.sleep(0)
        assert self.client.free_threads == self.client.threads
        assert self.client.threads <= 4
        assert (self.client.active, self.client.submitted.qsize()) == ({}, 0)
        # The endpoint's end of the last connection remains open.
        assert open_descriptors() <= initial_descriptors + 1


class TestEndlessAnswer(EndpointRig):
    def test_an_endless_answer_is_bounded(self, subtests: pytest.Subtests) -> None:
        # Guards against answers without an end that hold a slot, or fill the memory.
        single, batch = 1, 2
        head = b"HTTP/1.1 500 X\r\n"
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
        batch_answer = b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n[" + b'{"id":"m0","state":"ok"},'
        cases: list[tuple[str, int, bytes, bytes, Outcome]] = [
            ("a status line", single, b"HTTP/1.1 500 ", b"x" * 1000, Outcome.RESET),
            ("header lines", single, head, b"A: b\r\n" * 100, Outcome.RESET),
            ("one header", single, head + b"A: ", b"x" * 1000, Outcome.RESET),
            ("a body up to the end", single, head + b"\r\n", b"x" * 1000, Outcome.RESET),
            ("a body up to the end, delivered", single, b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 1000, Outcome.OK),
            ("chunks", single, chunked, b"10\r\n" + b"x" * 16 + b"\r\n", Outcome.RESET),
            ("a chunk's size", single, chunked, b"0" * 100, Outcome.RESET),
            ("trailers", single, chunked + b"0\r\n", b"A: b\r\n" * 100, Outcome.RESET),
            ("interim answers", single, b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 5, Outcome.RESET),
            ("several messages, more", batch, batch_answer, b'{"id":"m1","state":"ok"},' * 10, Outcome.ERROR),
            ("several messages, no more", batch, batch_answer, b"", Outcome.RESET),
            ("several messages, in chunks", batch, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
             b"1\r\n \r\n", Outcome.RESET),
        ]  # fmt: skip
        for number, (name, count, first, repeated, outcome) in enumerate(cases):
            with subtests.test(name=name):
                self.client.start(start_attempt(number, self.port, count))
                sock = self.accept()
                sock.recv(65536)
                sock.sendall(first)
                writer = threading.Thread(target=write_repeatedly, args=(sock, repeated), daemon=True)
                writer.start()
                assert self.outcomes() == {outcome}
                writer.join(5.0)
                assert not writer.is_alive(), "the connection is still open"


class TestNoDelay(EndpointRig):
    def test_endpoint_connections_have_tcp_nodelay(self) -> None:
        # Guards against the loss of a small write that the kernel delays until the connection is closed.
        self.client.start(start_attempt(1, self.port))
        sock = self.accept()
        sock.recv(1000)
        connection = self.client.active[1].connection
        assert connection is not None
        assert connection.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        sock.sendall(OK)
        assert self.outcomes() == {Outcome.OK}


def write_repeatedly(sock: socket.socket, text: bytes) -> None:
    """Send `text` repeatedly until the peer closes the connection; without text, only wait for that."""
    try:
        while text:
            sock.sendall(text)
        sock.recv(1)
    except OSError:
        pass
