"""What a forwarder keeps to towards clients, sentence by sentence, over loopback sockets."""

from __future__ import annotations

import contextlib
import itertools
import queue
import random
import socket
import struct
import tempfile
import threading
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
    """A message as a client hands it in."""
    return "\r\n".join((line, *headers, "", "hello")).replace("m1", message).encode()


def pieces(*parts: bytes) -> Stream:
    """A stream that gives these parts one after another."""
    left = list(parts)
    return Stream(lambda _: left.pop(0) if left else b"")


def reset_on_close(sock: socket.socket) -> None:
    """Have the close of this connection reset it."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


class TestForms:
    def test_a_remaining_time_may_have_as_many_decimals_as_a_double(self, subtests: pytest.Subtests) -> None:
        # Guards clients that print a double as it is: what had more than nine decimals was answered 400, as failed.
        cases = (("0.47999999999999998", 0.48), ("0.1000000000000000055511151231257827", 0.1), (".5", 0.5))
        for text, seconds in cases:
            headers = tuple(h.replace("0.480", text) for h in HEADERS)
            with subtests.test(text=text):
                call = decode_message(read_request(pieces(request("m1", headers))), NAMES)
                assert call.time_left_s == pytest.approx(seconds, abs=5e-7)

    def test_a_message_is_the_same_in_every_form_that_the_protocol_allows(self) -> None:
        # Guards herd: any order and case of the headers, blanks about their values, line ends before the request,
        # bare line feeds, the absolute form of the target, and each of these cut at each of its bytes.
        whole = decode_message(read_request(pieces(request("m1"))), NAMES)
        assert (whole.id, whole.idempotency_key, whole.body, whole.destination) == ("m1", "k1", b"hello", 7)
        orders = [HEADERS, HEADERS[::-1], *(random.Random(n).sample(HEADERS, len(HEADERS)) for n in range(4))]
        forms = [request("m1", tuple(order)) for order in orders]
        split = [h.split(": ") for h in HEADERS]
        forms += [
            request("m1", tuple(f"{name.lower()}:{value}" for name, value in split)),
            request("m1", tuple(f"{name.upper()}: \t {value} \t" for name, value in split)),
            b"\r\n\r\n" + request("m1"),
            request("m1").replace(b"\r\n", b"\n"),
            request("m1", (*HEADERS, "Connection: Keep-Alive", "X-Other: \xe9", "X-Empty:")),
            request("m1", HEADERS, "POST http://api.internal/api HTTP/1.1"),
            request("m1", HEADERS, "POST HTTP://api.internal:8080/api?x=/y HTTP/1.1"),
        ]
        for form, place in itertools.product(forms, range(len(request("m1")))):
            asked = read_request(pieces(form[:place], form[place:])) if place else read_request(pieces(form))
            assert (decode_message(asked, NAMES), asked.path) == (whole, "/api"), (form, place)


class ServerRig:
    """A server whose reducer accepts every message, on a port that the system assigns; its subclasses hold tests."""

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
        self.server.answer(event.client, 503 if self.server.state.stopping else 202)

    def connect(self) -> socket.socket:
        sock = socket.create_connection(self.address, WAIT_S)
        sock.settimeout(WAIT_S)
        self.resources.callback(sock.close)
        return sock

    def client(self) -> ClientConnection:
        """The server's side of the one connection that there is."""
        until = time.monotonic() + WAIT_S
        while not self.server.table.clients and time.monotonic() < until:
            time.sleep(0)
        (client,) = self.server.table.clients.values()
        return client

    def all_connections_end(self) -> bool:
        """Whether every connection ends, each with its thread."""
        until = time.monotonic() + WAIT_S
        while time.monotonic() < until:
            threads = [t for t in threading.enumerate() if t.name == "client"]
            if not threads and not self.server.table.clients:
                return True
            for thread in threads:
                if thread.is_alive():  # one that is being started cannot be joined yet
                    thread.join(0.1)
        return False

    def descriptors(self, most: int) -> int:
        """How many descriptors are open, once every connection has ended and there are so few."""
        until = time.monotonic() + WAIT_S
        while (found := open_descriptors()) > most and time.monotonic() < until:
            self.all_connections_end()
        return found


class TestPipeline(ServerRig):
    def test_many_commands_sent_at_once_are_answered_each_and_in_their_order(self) -> None:
        # Guards herd with `pipeline`: what came along with a command was dropped, or answered out of its turn.
        sock = self.connect()
        sock.sendall(b"".join(request(f"n{n}") for n in range(200)))
        stream = Stream(sock.recv)
        assert [read_response(stream).status for _ in range(200)] == [202] * 200
        assert [self.received.get_nowait() for _ in range(200)] == [f"n{n}" for n in range(200)]


class TestFlood(ServerRig):
    def test_clients_that_send_bursts_and_disconnect_leak_nothing(self, subtests: pytest.Subtests) -> None:
        # Guards join: a megabyte of commands, of one head, of one body and of nonsense, ended in every way.
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
                with contextlib.suppress(OSError):  # it does not read on, or has ended the connection
                    sock.sendall(flood)
                if end == "reset":
                    reset_on_close(sock)
                if end == "half":
                    with contextlib.suppress(OSError):  # ended already
                        sock.shutdown(socket.SHUT_WR)
                sock.close()
        assert self.descriptors(before) <= before
        sock = self.connect()
        sock.sendall(request("last"))
        assert read_response(Stream(sock.recv)).status == 202

    def test_clients_that_disconnect_in_a_burst_leak_nothing(self) -> None:
        # Guards zone: clients that go at once at each point of a request, before its answer and after it.
        before = open_descriptors()
        text = request("n1")
        socks = [self.connect() for _ in range(18)]
        for number, sock in enumerate(socks):
            sock.sendall(text[: len(text) * number // 17])
        for number, sock in enumerate(socks):
            if number % 2:
                reset_on_close(sock)
            sock.close()
        assert self.descriptors(before) <= before


class TestClose(ServerRig):
    def test_client_connections_have_tcp_nodelay(self) -> None:
        # Guards small answers: without TCP_NODELAY a close over unread bytes takes along what waits in the system.
        self.connect()
        assert self.client().sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    def test_a_request_that_crosses_the_close_of_an_idle_connection_is_not_reset(
        self, subtests: pytest.Subtests
    ) -> None:
        # Guards clients that rest until we end them: a close over the unread request reset the connection; and what
        # is read behind the shutdown is not sent on, as its client sends it again.
        shut = sockets.shutdown
        for served in (False, True):
            with socket.create_server(("127.0.0.1", 0)) as listener:
                theirs = socket.create_connection(listener.getsockname(), WAIT_S)
                ours, _ = listener.accept()
            self.resources.callback(theirs.close)

            def crossed(
                sock: socket.socket, how: int = socket.SHUT_RDWR, theirs: socket.socket = theirs
            ) -> None:
                theirs.sendall(request("n2"))
                shut(sock, how)

            client = ClientConnection(99, ours)
            client.served, client.read_deadline = served, client.idle_since + 0.01
            with (
                subtests.test(served=served),
                mock.patch.object(client_session, "IDLE_TIMEOUT_S", 0.01),
                mock.patch("juniperward.net.sockets.shutdown", crossed),
            ):
                self.server._serve(client)
                assert theirs.recv(1000) == b""  # an end and no reset
                assert self.received.empty()

    def test_a_request_behind_a_shutdown_is_never_forwarded(self) -> None:
        # Guards what is read once we have shut a connection: a request that crosses is refused, or read by nobody.
        sock = self.connect()
        sock.sendall(request("n1"))
        assert read_response(Stream(sock.recv)).status == 202
        self.server.stop()
        with contextlib.suppress(ConnectionError):  # it was closed before the request came
            sock.sendall(request("n2"))
            assert b" 202 " not in sock.recv(1000)
        assert self.all_connections_end()


class TestSlowWriter(ServerRig):
    def test_a_first_request_has_its_full_timeout_from_its_first_byte(self) -> None:
        # Guards slow writers that connected some time before: their first request had only what connecting had left
        # of its 2 s, and was answered 408, as failed.
        sock = self.connect()
        client = self.client()
        client.read_deadline = (
            client.idle_since + 60.0
        )  # the thread reads without an end; the time counts from the first byte
        sock.sendall(request("n1")[:10])
        until = time.monotonic() + WAIT_S
        while client.idle and time.monotonic() < until:
            time.sleep(0)
        left = client.read_deadline - time.monotonic()
        assert client_connection.REQUEST_TIMEOUT_S - 1.0 < left <= client_connection.REQUEST_TIMEOUT_S, left
        sock.sendall(request("n1")[10:])
        assert read_response(Stream(sock.recv)).status == 202

    def test_during_a_stop_a_first_request_is_bounded_from_connecting(self) -> None:
        # Guards the end of the process: who trickles a request in must not hold it up beyond its SIGKILL.
        self.server.state.stopping = True
        sock = self.connect()
        client = self.client()
        sock.sendall(b"POST")
        until = time.monotonic() + WAIT_S
        while client.idle and time.monotonic() < until:
            time.sleep(0)
        assert client.read_deadline == client.idle_since + client_connection.FIRST_REQUEST_TIMEOUT_S


class TestKill(UsesResources):
    def test_a_kill_right_behind_the_answer_loses_no_message(self) -> None:
        # Guards the order of journal and answer on the process itself: SIGKILL as soon as the 202 is read, three
        # lives long; each message is called for by a later life if no earlier one could.
        with tempfile.TemporaryDirectory() as folder:
            program = self.resources.closing(Program(Path(folder)))
            program.start()
            for life in range(3):
                with socket.create_connection(program.address, WAIT_S) as client:
                    text = request(f"m-{life}").replace(b"Class: c", b"Class: booking-update")
                    client.sendall(text.replace(b"0.480", b"15.00"))
                    LineConnection(client).take(len(b"HTTP/1.1 202 Accepted\r\n"))
                    program.kill()
                journal = b"".join(p.read_bytes() for p in program.state.iterdir() if p.is_file())
                assert f'"m-{life}"'.encode() in journal
                program.start()
            found: set[str] = set()
            until = time.monotonic() + WAIT_S
            while len(found) < 3 and time.monotonic() < until:
                sock, _ = program.worker.accept()
                with sock:
                    sock.settimeout(0.2)
                    try:
                        found.add(read_request(Stream(sock.recv)).headers["x-correlation-id"])
                        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                    except Exception:  # of a life that was killed: nothing came, or not whole
                        continue
            assert found == {"m-0", "m-1", "m-2"}
