"""The server for clients under unusual requests, floods, disconnects and kills, over loopback sockets."""

from __future__ import annotations

import contextlib
import itertools
import queue
import random
import socket
import struct
import tempfile
import time
from pathlib import Path
from unittest import mock

import pytest

from juniperward.forwarder import client_connection, client_session
from juniperward.forwarder.client_connection import ClientConnection
from juniperward.forwarder.codec import decode_message
from juniperward.forwarder.events import Event, MessageReceived
from juniperward.forwarder.server import Server
from juniperward.forwarder.settings_names import SettingsNames
from juniperward.net import sockets
from juniperward.net.http_requests import read_request
from juniperward.net.http_responses import read_response
from juniperward.net.stream import Stream
from tests.helpers import open_descriptors
from tests.player import WAIT_S, LineConnection, Program
from tests.resources import Resources, UsesResources

NAMES = SettingsNames(("c",), (12.0,), ("acme",), (), ())
HEADERS = (
    "Host: api.internal",
    "X-Correlation-Id: m1",
    "X-Service-Class: c",
    "X-Account: acme",
    "X-Time-Left: 0.480",
    "Idempotency-Key: k1",
    "Content-Length: 5",
    "X-Addressing: dest=7",
)


def request(message: str, headers: tuple[str, ...] = HEADERS, line: str = "POST /api HTTP/1.1") -> bytes:
    """Return a client's request that submits a message."""
    return "\r\n".join((line, *headers, "", "hello")).replace("m1", message).encode()


def stream_of(*parts: bytes) -> Stream:
    """Return a stream that yields these parts, one for each read."""
    remaining = list(parts)
    return Stream(lambda _: remaining.pop(0) if remaining else b"")


def reset_on_close(sock: socket.socket) -> None:
    """Make the close of a socket reset its connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


class TestRequestFormats:
    def test_a_remaining_time_may_have_as_many_decimals_as_a_double(self, subtests: pytest.Subtests) -> None:
        # Clients may print a double at full precision; such values must not be rejected with status 400.
        cases = (("0.47999999999999998", 0.48), ("0.1000000000000000055511151231257827", 0.1), (".5", 0.5))
        for text, seconds in cases:
            headers = tuple(h.replace("0.480", text) for h in HEADERS)
            with subtests.test(text=text):
                message = decode_message(read_request(stream_of(request("m1", headers))), NAMES)
                assert message.time_left_s == pytest.approx(seconds, abs=5e-7)

    def test_a_message_is_decoded_alike_from_every_valid_format_split_at_any_byte(self) -> None:
        # HTTP allows any order and case of headers, spaces around values, leading empty lines and absolute targets.
        expected = decode_message(read_request(stream_of(request("m1"))), NAMES)
        fields = (expected.id, expected.idempotency_key, expected.body, expected.destination)
        assert fields == ("m1", "k1", b"hello", 7)
        orders = [HEADERS, HEADERS[::-1], *(random.Random(n).sample(HEADERS, len(HEADERS)) for n in range(4))]
        formats = [request("m1", tuple(order)) for order in orders]
        split = [h.split(": ") for h in HEADERS]
        formats += [
            request("m1", tuple(f"{name.lower()}:{value}" for name, value in split)),
            request("m1", tuple(f"{name.upper()}: \t {value} \t" for name, value in split)),
            b"\r\n\r\n" + request("m1"),
            request("m1").replace(b"\r\n", b"\n"),
            request("m1", (*HEADERS, "Connection: Keep-Alive", "X-Other: \xe9", "X-Empty:")),
            request("m1", HEADERS, "POST http://api.internal/api HTTP/1.1"),
            request("m1", HEADERS, "POST HTTP://api.internal:8080/api?x=/y HTTP/1.1"),
        ]
        for text, cut in itertools.product(formats, range(len(request("m1")))):
            found = read_request(stream_of(text[:cut], text[cut:]) if cut else stream_of(text))
            assert (decode_message(found, NAMES), found.path) == (expected, "/api"), (text, cut)


class ServerRig:
    """Base class of tests against a server whose reducer accepts every message until the server stops."""

    @pytest.fixture(autouse=True)
    def set_up(self, resources: Resources) -> None:
        self.resources = resources
        self.received: queue.Queue[str] = queue.Queue()
        self.server = Server(("127.0.0.1", 0), NAMES, 20, self.accept_message)
        self.address = self.server.listener.getsockname()
        self.server.start()
        self.resources.callback(self.server.close)

    def accept_message(self, event: Event) -> None:
        assert isinstance(event, MessageReceived)
        self.received.put(event.message.id)
        self.server.answer(event.request, 503 if self.server.state.stopping else 202)

    def connect(self) -> socket.socket:
        sock = socket.create_connection(self.address, WAIT_S)
        sock.settimeout(WAIT_S)
        self.resources.callback(sock.close)
        return sock

    def client(self) -> ClientConnection:
        """Wait for the only connection and return the server's side of it."""
        until = time.monotonic() + WAIT_S
        while not self.server.table.clients and time.monotonic() < until:
            time.sleep(0)
        (client,) = self.server.table.clients.values()
        return client

    def wait_for_connections_to_end(self) -> bool:
        """Wait for the end of all connections; return False after WAIT_S."""
        until = time.monotonic() + WAIT_S
        while time.monotonic() < until:
            if not self.server.table.clients:
                return True
            time.sleep(0)
        return False

    def wait_for_descriptors(self, at_most: int) -> int:
        """Wait until at most so many descriptors are open, and return their number, after WAIT_S in any case."""
        until = time.monotonic() + WAIT_S
        while (found := open_descriptors()) > at_most and time.monotonic() < until:
            self.wait_for_connections_to_end()
        return found


class TestPipelining(ServerRig):
    def test_pipelined_requests_are_answered_in_order(self) -> None:
        # Requests that arrive in one read must not be lost or reordered.
        sock = self.connect()
        sock.sendall(b"".join(request(f"n{n}") for n in range(200)))
        stream = Stream(sock.recv)
        assert [read_response(stream).status for _ in range(200)] == [202] * 200
        assert [self.received.get_nowait() for _ in range(200)] == [f"n{n}" for n in range(200)]


class TestFlood(ServerRig):
    def test_clients_that_send_bursts_and_disconnect_leak_nothing(self, subtests: pytest.Subtests) -> None:
        # Large input of each kind (requests, heads, bodies, garbage), with each way to end a connection.
        before = open_descriptors()
        floods = (
            request("n1") * 5000,
            b"POST /api HTTP/1.1\r\n" + b"A: b\r\n" * 200_000,
            b"POST /api HTTP/1.1\r\nA: " + b"x" * 1_000_000,
            b"x" * 1_000_000,
            b"POST /api HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n" + b"x" * 1_000_000,
            b"\r\n" * 500_000,
        )
        for flood, end in itertools.product(floods, ("close", "reset", "half")):
            with subtests.test(case=flood[:40], end=end):
                sock = self.connect()
                sock.settimeout(0.2)
                with contextlib.suppress(OSError):  # the server stops reading, or has closed the connection
                    sock.sendall(flood)
                if end == "reset":
                    reset_on_close(sock)
                if end == "half":
                    with contextlib.suppress(OSError):  # the connection has ended
                        sock.shutdown(socket.SHUT_WR)
                sock.close()
        assert self.wait_for_descriptors(before) <= before
        sock = self.connect()
        sock.sendall(request("last"))
        assert read_response(Stream(sock.recv)).status == 202

    def test_clients_that_disconnect_in_a_burst_leak_nothing(self) -> None:
        # The clients disconnect at different points of a request, some with a reset.
        before = open_descriptors()
        text = request("n1")
        socks = [self.connect() for _ in range(18)]
        for number, sock in enumerate(socks):
            sock.sendall(text[: len(text) * number // 17])
        for number, sock in enumerate(socks):
            if number % 2:
                reset_on_close(sock)
            sock.close()
        assert self.wait_for_descriptors(before) <= before


class TestClose(ServerRig):
    def test_client_connections_have_tcp_nodelay(self) -> None:
        # Without TCP_NODELAY, the kernel may hold back a small answer, and a reset then discards it.
        self.connect()
        assert self.client().sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    def test_a_request_that_crosses_the_close_of_an_idle_connection_is_not_reset(
        self, subtests: pytest.Subtests
    ) -> None:
        # The request must not be forwarded either: its client sends it again on another connection.
        shutdown = sockets.shutdown
        for served in (False, True):
            with socket.create_server(("127.0.0.1", 0)) as listener:
                theirs = socket.create_connection(listener.getsockname(), WAIT_S)
                ours, _ = listener.accept()
            self.resources.callback(theirs.close)

            def shutdown_after_a_request(
                sock: socket.socket,
                how: int = socket.SHUT_RDWR,
                ours: socket.socket = ours,
                theirs: socket.socket = theirs,
            ) -> None:
                # Threads of servers of other tests may still close their connections.
                if sock is ours:
                    theirs.sendall(request("n2"))
                shutdown(sock, how)

            client = ClientConnection(99, ours)
            client.served, client.read_deadline = served, client.idle_since + 0.01
            with (
                subtests.test(served=served),
                mock.patch.object(client_session, "IDLE_TIMEOUT_S", 0.01),
                mock.patch("juniperward.net.sockets.shutdown", shutdown_after_a_request),
            ):
                self.server._serve(client)
                assert theirs.recv(1000) == b""  # end of input, not a reset
                assert self.received.empty()

    def test_a_request_after_the_shutdown_of_its_connection_is_not_accepted(self) -> None:
        # The request crosses the server's shutdown: it is rejected, or never read.
        sock = self.connect()
        sock.sendall(request("n1"))
        assert read_response(Stream(sock.recv)).status == 202
        self.server.stop()
        with contextlib.suppress(ConnectionError):  # the connection was closed before the request arrived
            sock.sendall(request("n2"))
            assert b" 202 " not in sock.recv(1000)
        assert self.wait_for_connections_to_end()


class TestSlowClients(ServerRig):
    def test_a_first_request_has_its_full_timeout_from_its_first_byte(self) -> None:
        # The time between connecting and the first byte must not count towards the timeout of the request.
        sock = self.connect()
        client = self.client()
        client.read_deadline = client.idle_since + 60.0  # The first byte must replace this deadline.
        sock.sendall(request("n1")[:10])
        until = time.monotonic() + WAIT_S
        while client.idle and time.monotonic() < until:
            time.sleep(0)
        remaining_s = client.read_deadline - time.monotonic()
        timeout_s = client_connection.REQUEST_TIMEOUT_S
        assert timeout_s - 1.0 < remaining_s <= timeout_s, remaining_s
        sock.sendall(request("n1")[10:])
        assert read_response(Stream(sock.recv)).status == 202

    def test_during_a_stop_the_timeout_of_a_first_request_begins_at_connecting(self) -> None:
        # A client that sends slowly must not delay the end of the process until it is killed.
        self.server.state.stopping = True
        sock = self.connect()
        client = self.client()
        sock.sendall(b"POST")
        until = time.monotonic() + WAIT_S
        while client.idle and time.monotonic() < until:
            time.sleep(0)
        assert client.read_deadline == client.idle_since + client_connection.FIRST_REQUEST_TIMEOUT_S


class TestLateAnswers(UsesResources):
    """The reducer answers requests of one connection after the connection's thread has given up on the first."""

    @pytest.fixture(autouse=True)
    def set_up(self, resources: Resources, monkeypatch: pytest.MonkeyPatch) -> None:
        self.resources, self.monkeypatch = resources, monkeypatch
        self.events: queue.Queue[Event] = queue.Queue()
        self.server = Server(("127.0.0.1", 0), NAMES, 20, self.events.put)
        self.server.start()
        self.resources.callback(self.server.close)
        self.sock = socket.create_connection(self.server.listener.getsockname(), WAIT_S)
        self.resources.callback(self.sock.close)
        self.stream = Stream(self.sock.recv)

    def send(self, name: str, answer_timeout_s: float) -> int:
        """Send a message; return the number of its request, once the reducer has got it."""
        self.monkeypatch.setattr(client_session, "ANSWER_TIMEOUT_S", answer_timeout_s)
        self.sock.sendall(request(name))
        event = self.events.get(timeout=WAIT_S)
        assert isinstance(event, MessageReceived)
        assert event.message.id == name
        return event.request

    def test_a_late_answer_is_not_written_to_the_next_request_of_the_connection(self) -> None:
        # Guards against accepting a message that was rejected, and losing the next one, which then hears its 202.
        late = self.send("a", 0.001)
        assert read_response(self.stream).status == 503
        current = self.send("b", WAIT_S)
        journal = mock.Mock(return_value=True)
        assert not self.server.accept(late, lambda: journal("a"))
        assert not self.server.answer(late, 202)
        assert self.server.accept(current, lambda: journal("b"))
        assert read_response(self.stream).status == 202
        assert (journal.mock_calls, len(self.server.requests)) == ([mock.call("b")], 0)
        # The answers stay in step with the requests.
        assert self.server.answer(self.send("c", WAIT_S), 429)
        assert read_response(self.stream).status == 429


class TestKill(UsesResources):
    def test_a_kill_immediately_after_the_answer_loses_no_message(self) -> None:
        # A message must be in the journal before its 202 is sent. The process is killed three times after a 202.
        with tempfile.TemporaryDirectory() as folder:
            program = self.resources.closing(Program(Path(folder)))
            program.start()
            for run in range(3):
                with socket.create_connection(program.address, WAIT_S) as client:
                    text = request(f"m-{run}").replace(b"Class: c", b"Class: booking-update")
                    client.sendall(text.replace(b"0.480", b"15.00"))
                    LineConnection(client).take(len(b"HTTP/1.1 202 Accepted\r\n"))
                    program.kill()
                journal = b"".join(p.read_bytes() for p in program.state.iterdir() if p.is_file())
                assert f'"m-{run}"'.encode() in journal
                program.start()
            found: set[str] = set()
            until = time.monotonic() + WAIT_S
            while len(found) < 3 and time.monotonic() < until:
                sock, _ = program.endpoint_listener.accept()
                with sock:
                    sock.settimeout(0.2)
                    try:
                        found.add(read_request(Stream(sock.recv)).headers["x-correlation-id"])
                        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                    except Exception:  # the process was killed before it had sent the whole request
                        continue
            assert found == {"m-0", "m-1", "m-2"}
