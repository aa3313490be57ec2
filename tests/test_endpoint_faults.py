"""What a forwarder keeps to towards endpoints, sentence by sentence, over loopback sockets."""

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
from juniperward.net.stream import Stream
from juniperward.scheduler.events import Outcome
from tests.endpoint_client_rig import EndpointClientRig
from tests.helpers import open_descriptors

WORKER = 3
DESTINATION = 7
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


def delegate(number: int, port: int, count: int = 1, body: bytes = b"") -> StartAttempt:
    """A call with so many messages, each with this body."""
    parcels = tuple(BatchItem(n, Message(f"m{n}", 0, 0, DESTINATION, 1.0, None, body)) for n in range(count))
    return StartAttempt(number, WORKER, "127.0.0.1", port, DESTINATION, parcels, time.monotonic() + 60.0)


class EndpointRig(EndpointClientRig):
    """The shared rig, and what every test here does with it."""

    def outcomes(self) -> set[Outcome]:
        """How the messages of the next call to end have ended."""
        event = self.events.get(timeout=5.0)
        assert isinstance(event, AttemptAnswered)
        return {end.outcome for end in event.outcomes}


class TestRetryAfter(EndpointRig):
    def test_retry_after_binds_with_as_many_decimals_as_a_double(self, subtests: pytest.Subtests) -> None:
        # Guards the rule on waits: one with more than nine decimals was taken for none, and the next call broke it.
        cases = (("0.30000000000000004", 0.3), ("1.1102230246251565", 1.11), (".5", 0.5), ("2.", 2.0))
        for text, seconds in cases:
            with subtests.test(text=text):
                assert read_retry_after({"retry-after": text}) == pytest.approx(seconds, abs=5e-3)
        self.client.start(delegate(1, self.port))
        sock = self.accept()
        sock.recv(1000)
        sock.sendall(b"HTTP/1.1 429 X\r\nRetry-After: 30.000000000000004\r\nContent-Length: 0\r\n\r\n")
        assert self.outcomes() == {Outcome.OVERLOADED}
        self.client.start(delegate(2, self.port))
        assert self.outcomes() == {Outcome.NOT_SENT}


class TestHealthCheck(EndpointRig):
    def probe(self, number: int, seconds: float) -> StartHealthCheck:
        deadline = time.monotonic() + seconds
        return StartHealthCheck(number, WORKER, "127.0.0.1", self.port, DESTINATION, deadline, DESTINATION)

    def test_a_health_check_ends_at_its_deadline(self, subtests: pytest.Subtests) -> None:
        # Guards a probe that was answered by half a line or by an interim answer: behind the latter it waited for
        # the longest read (60 s or more), and its endpoint was not probed again for so long.
        interim = b"HTTP/1.1 100 Continue\r\n\r\n"
        for number, text in enumerate((b"", interim, 3 * interim, b"HTTP/1.1 2", OK[:-2])):
            with (
                subtests.test(text=text),
                mock.patch.object(endpoint_connection, "MAX_ANSWER_TRANSFER_S", 60.0),
            ):
                ours, theirs = socket.socketpair()
                self.resources.callback(theirs.close)
                kept = EndpointConnection(ours, ("127.0.0.1", self.port))
                kept.idle_since -= 1.0
                kept.stream = Stream(lambda _, kept=kept: kept._receive(1))  # type: ignore[misc]
                self.client.pool.idle[WORKER] = [kept]
                self.client.start(self.probe(number, 0.3))
                theirs.recv(1000)
                theirs.sendall(text)
                event = self.events.get(timeout=5.0)
                assert isinstance(event, HealthCheckAnswered)
                assert event.outcome is Outcome.TIMEOUT

    def test_a_call_on_the_connection_of_a_health_check_has_its_own_timeout(self) -> None:
        # Guards calls: the probe's deadline must not go on to the next call on its connection.
        self.client.start(self.probe(1, 0.2))
        sock = self.accept()
        sock.recv(1000)
        sock.sendall(OK)
        event = self.events.get(timeout=5.0)
        assert isinstance(event, HealthCheckAnswered)
        assert event.outcome is Outcome.OK
        self.client.start(delegate(2, self.port))
        assert b"m0" in sock.recv(1000)
        with pytest.raises(queue.Empty):
            self.events.get(timeout=0.4)  # past the probe's deadline
        sock.sendall(OK)
        assert self.outcomes() == {Outcome.OK}


class TestSlowDial(EndpointRig):
    def test_a_connection_dialled_close_to_a_deadline_does_not_inherit_its_timeout(self) -> None:
        # Guards large calls: the time that its first message had left for the dial went on to bound each later
        # write on that connection, and a call that its endpoint read slowly ended as one that never connected.
        self.client.connections.dial_timeout_s = 5.0
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.client.start(replace(delegate(1, self.port), deadline=time.monotonic() + 0.2))
        sock = self.accept()
        sock.recv(1000)
        sock.sendall(OK)
        assert self.outcomes() == {Outcome.OK}
        ((kept,),) = self.client.pool.idle.values()
        kept.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        self.client.start(delegate(2, self.port, 4, b"x" * 65_536))
        with pytest.raises(queue.Empty):
            self.events.get(timeout=1.5)  # it is not read, and not over either
        stream, length = Stream(sock.recv), 0
        while line := stream.read_line(1000, 400):
            if line.startswith(b"Content-Length: "):
                length = int(line.split()[1])
        assert len(stream.read_exactly(length)) > 4 * 65_536
        states = ",".join(f'{{"id":"m{n}","state":"ok"}}' for n in range(4))
        sock.sendall(f"HTTP/1.1 200 OK\r\nContent-Length: {len(states) + 2}\r\n\r\n[{states}]".encode())
        assert self.outcomes() == {Outcome.OK}

    def test_hundreds_of_failed_dials_leak_nothing(self) -> None:
        # Guards soak: one in fifty connections never comes up; no thread, descriptor or place for a call may leak.
        silent = self.resources.closing(socket.socket())
        silent.bind(("127.0.0.1", 0))
        silent.listen(0)
        line = [socket.socket() for _ in range(4)]  # they fill its line, so that no other comes up
        for sock in line:
            self.resources.callback(sock.close)
            sock.setblocking(False)
            sock.connect_ex(silent.getsockname())
        self.client.connections.dial_timeout_s = 0.01
        port = silent.getsockname()[1]
        self.client.start(delegate(0, port))
        assert self.outcomes() == {Outcome.CONNECT_FAILED}
        before = open_descriptors()
        for number in range(1, 301):
            self.client.start(delegate(number, port))
            if number % 4 == 0:
                # Those that come up late come up in vain, and one is given up while it is dialled.
                self.client.cancel(number)
            else:
                assert self.outcomes() == {Outcome.CONNECT_FAILED}
        self.client.start(delegate(301, self.port))
        sock = self.accept()
        sock.recv(1000)
        sock.sendall(OK)
        assert self.outcomes() == {Outcome.OK}
        until = time.monotonic() + 5.0
        while self.client.free_threads != self.client.threads and time.monotonic() < until:
            time.sleep(0)
        assert self.client.free_threads == self.client.threads
        assert self.client.threads <= 4
        assert (self.client.active, self.client.submitted.qsize()) == ({}, 0)
        # The one connection that is kept, its other end and nothing else.
        assert open_descriptors() <= before + 2


class TestEndlessAnswer(EndpointRig):
    def test_an_endless_answer_is_bounded(self, subtests: pytest.Subtests) -> None:
        # Guards slots and memory: heads, bodies, chunks and interim answers that never end.
        one, many = 1, 2
        head = b"HTTP/1.1 500 X\r\n"
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
        several = b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n[" + b'{"id":"m0","state":"ok"},'
        cases: list[tuple[str, int, bytes, bytes, Outcome]] = [
            ("a status line", one, b"HTTP/1.1 500 ", b"x" * 1000, Outcome.RESET),
            ("header lines", one, head, b"A: b\r\n" * 100, Outcome.RESET),
            ("one header", one, head + b"A: ", b"x" * 1000, Outcome.RESET),
            ("a body up to the end", one, head + b"\r\n", b"x" * 1000, Outcome.RESET),
            ("a body up to the end, delivered", one, b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 1000, Outcome.OK),
            ("chunks", one, chunked, b"10\r\n" + b"x" * 16 + b"\r\n", Outcome.RESET),
            ("a chunk's size", one, chunked, b"0" * 100, Outcome.RESET),
            ("trailers", one, chunked + b"0\r\n", b"A: b\r\n" * 100, Outcome.RESET),
            ("interim answers", one, b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 5, Outcome.RESET),
            ("several messages, more", many, several, b'{"id":"m1","state":"ok"},' * 10, Outcome.ERROR),
            ("several messages, no more", many, several, b"", Outcome.RESET),
            ("several messages, in chunks", many, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
             b"1\r\n \r\n", Outcome.RESET),
        ]  # fmt: skip
        for number, (name, count, first, rest, outcome) in enumerate(cases):
            with subtests.test(name=name):
                self.client.start(delegate(number, self.port, count))
                sock = self.accept()
                sock.recv(65536)
                sock.sendall(first)
                writer = threading.Thread(target=write_on, args=(sock, rest), daemon=True)
                writer.start()
                assert self.outcomes() == {outcome}
                writer.join(5.0)
                assert not writer.is_alive(), "its connection goes on"
                assert self.client.pool.idle.get(WORKER, []) == []


class TestNoDelay(EndpointRig):
    def test_endpoint_connections_have_tcp_nodelay(self) -> None:
        # Guards small writes: without TCP_NODELAY a close over unread bytes takes along what waits in the system.
        self.client.start(delegate(1, self.port))
        sock = self.accept()
        sock.recv(1000)
        sock.sendall(OK)
        assert self.outcomes() == {Outcome.OK}
        ((kept,),) = self.client.pool.idle.values()
        assert kept.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


def write_on(sock: socket.socket, text: bytes) -> None:
    """Write this over and over until the other side ends the connection; nothing to write: until it ends."""
    try:
        while text:
            sock.sendall(text)
        sock.recv(1)
    except OSError:
        pass
