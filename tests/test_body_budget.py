"""The memory of incomplete request bodies: what is reserved, and which clients are given up."""

from __future__ import annotations

import socket
import time

import pytest

from juniperward.forwarder.body_budget import MIN_BUDGET_BYTES, BodyBudget, body_budget_bytes
from juniperward.forwarder.client_connection import ClientConnection
from juniperward.forwarder.config import BYTES_PER_MB
from juniperward.forwarder.events import Event, MessageReceived
from juniperward.forwarder.server import Server, ServerLimits
from juniperward.net.http_head import MAX_BODY_BYTES
from juniperward.net.http_responses import read_response
from juniperward.net.stream import Stream
from tests.player import WAIT_S
from tests.resources import Resources
from tests.test_client_faults import NAMES, request

BODIES = MIN_BUDGET_BYTES // MAX_BODY_BYTES
INCOMPLETE = request("m0").replace(b"Length: 5", b"Length: %d" % MAX_BODY_BYTES)


def test_the_budget_is_an_eighth_of_the_memory_limit() -> None:
    assert body_budget_bytes(64 * BYTES_PER_MB) == 8 * BYTES_PER_MB
    assert body_budget_bytes(0) == MIN_BUDGET_BYTES


class TestBodyBudget:
    @pytest.fixture(autouse=True)
    def set_up(self, resources: Resources) -> None:
        self.resources = resources
        self.server = Server(("127.0.0.1", 0), NAMES, 100, self.accept_message, ServerLimits(memory_bytes=0))
        self.server.start()
        self.resources.callback(self.server.close)

    def accept_message(self, event: Event) -> None:
        assert isinstance(event, MessageReceived)
        self.server.answer(event.request, 202)

    @property
    def bodies(self) -> BodyBudget:
        return self.server.bodies

    def connect(self, data: bytes) -> socket.socket:
        sock = socket.create_connection(self.server.listener.getsockname(), WAIT_S)
        self.resources.callback(sock.close)
        sock.sendall(data)
        return sock

    def wait_until_reserved(self, bodies: int) -> None:
        until = time.monotonic() + WAIT_S
        while self.bodies.reserved_bytes != bodies * MAX_BODY_BYTES:
            assert time.monotonic() < until
            time.sleep(0)

    def connect_slow_clients(self, count: int) -> list[socket.socket]:
        """Open connections with incomplete bodies, and wait until each has its reservation."""
        socks = []
        for number in range(1, count + 1):
            socks.append(self.connect(INCOMPLETE))
            self.wait_until_reserved(min(number, BODIES))
        return socks

    def status_of(self, sock: socket.socket) -> int:
        return read_response(Stream(sock.recv)).status

    def test_the_clients_that_were_waited_for_longest_are_given_up(self) -> None:
        # Guards against incomplete bodies on all connections that take a forwarder over its limit on memory.
        socks = self.connect_slow_clients(BODIES)
        newer = self.connect(INCOMPLETE)
        assert self.status_of(socks[0]) == 503
        assert self.bodies.reserved_bytes == BODIES * MAX_BODY_BYTES
        missing = bytes(MAX_BODY_BYTES - len(b"hello"))
        for sock in (*socks[1:], newer):
            sock.sendall(missing)
            assert self.status_of(sock) == 202
        self.wait_until_reserved(0)

    def test_a_body_that_arrives_with_its_head_needs_no_reservation(self) -> None:
        # Guards against usual clients that make slow ones give way, or the other way round.
        self.connect_slow_clients(BODIES)
        assert self.status_of(self.connect(request("m1"))) == 202
        assert self.bodies.reserved_bytes == BODIES * MAX_BODY_BYTES

    def test_a_connection_that_ends_frees_its_reservation(self) -> None:
        for sock in self.connect_slow_clients(2):
            sock.close()
        self.wait_until_reserved(0)


def test_a_body_larger_than_the_budget_is_the_only_one(resources: Resources) -> None:
    ours, theirs = socket.socketpair()
    resources.callback(ours.close)
    resources.callback(theirs.close)
    first, second = ClientConnection(1, ours), ClientConnection(2, theirs)
    bodies = BodyBudget(10)
    with bodies.reserved(first, 5), bodies.reserved(second, 11):
        assert (first.given_up, second.given_up) == (True, False)
        assert bodies.reserved_bytes == 11
    assert bodies.reserved_bytes == 0
