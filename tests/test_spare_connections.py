"""Connections that are opened ahead of calls to endpoints whose connections come up late."""

from __future__ import annotations

import contextlib
import select
import socket
import threading
import time
from collections.abc import Callable
from unittest import mock

import pytest

from juniperward.forwarder import spare_connections
from juniperward.forwarder.spare_connections import LATE_S, SpareConnections
from juniperward.forwarder.telemetry import counters
from juniperward.net import sockets
from juniperward.net.http_errors import ConnectionClosedError, IncompleteMessageError
from juniperward.net.http_requests import read_request
from juniperward.net.stream import Stream
from juniperward.scheduler.events import Outcome
from tests.helpers import open_descriptors
from tests.resources import Resources
from tests.test_ended_messages import DELIVERED, EndedMessagesRig

WAIT_S = 5.0
ENDPOINT = 3


def wait_until(holds: Callable[[], bool]) -> None:
    until = time.monotonic() + WAIT_S
    while not holds():
        assert time.monotonic() < until
        time.sleep(0)


class ServingEndpoint:
    """Delivers the call of each connection.

    Attributes:
        connections: All connections, in the order of their accept.
        unused: Those without a call.
    """

    def __init__(self, listener: socket.socket) -> None:
        """Serve the connections of a listener on threads."""
        self.connections: list[socket.socket] = []
        self.unused: list[socket.socket] = []
        self._listener = listener
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                self.connections.append(sock)
                self.unused.append(sock)
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError, IncompleteMessageError, ConnectionClosedError):
            read_request(Stream(sock.recv))
            self.unused.remove(sock)
            sock.sendall(DELIVERED)

    def close(self) -> None:
        """Close all connections."""
        for sock in self.connections:
            sock.close()


class TestCalls(EndedMessagesRig):
    @pytest.fixture(autouse=True)
    def set_up(self, resources: Resources) -> None:
        self.listen(resources)
        self.endpoint = resources.closing(ServingEndpoint(self.listener))
        resources.callback(self.client.spares.close, ENDPOINT)

    def deliver(self, number: int) -> None:
        """Make a call that is delivered."""
        self.client.start(self.attempt(number, self.port))
        assert [item.outcome for item in self.outcomes()] == [Outcome.OK]

    def open_late(self) -> None:
        """Make a call whose connection comes up late, and another one, behind which there are spare connections."""
        connect = sockets.connect

        def connect_late(host: str, port: int, timeout_s: float, sock: socket.socket) -> None:
            connect(host, port, timeout_s, sock)
            until = time.monotonic() + LATE_S
            while time.monotonic() < until:
                time.sleep(0)

        with mock.patch("juniperward.net.sockets.connect", connect_late):
            self.deliver(1)
        self.deliver(2)
        wait_until(lambda: len(self.spares()) == 2 == len(self.endpoint.unused))

    def spares(self) -> list[socket.socket]:
        state = self.client.spares._endpoints.get(ENDPOINT)
        return [spare.sock for spare in state.spares] if state is not None else []

    def test_no_connection_is_opened_ahead_where_they_come_up_at_once(self) -> None:
        # Guards against connections without a call, which fill the tables of endpoints.
        for number in range(5):
            self.deliver(number)
        assert len(self.endpoint.connections) == 5

    def test_a_call_uses_a_connection_that_was_opened_ahead(self) -> None:
        # Guards against slots that are taken by calls which wait for their connections.
        self.open_late()
        used = counters().get("spare_connections_used", 0)
        with mock.patch("juniperward.net.sockets.connect", side_effect=AssertionError("a call was dialled")):
            self.deliver(3)
            self.deliver(4)
        assert counters()["spare_connections_used"] == used + 2
        assert len(set(self.endpoint.connections)) >= 4, "a connection carried two calls"

    def test_a_spare_connection_that_its_endpoint_has_closed_is_not_used(self) -> None:
        # Guards against a call that fails, although the close could be seen before it.
        self.open_late()
        spares = self.spares()
        for sock in self.endpoint.unused:
            sockets.shutdown(sock)
        for spare in spares:
            select.select([spare], [], [], WAIT_S)
        self.deliver(3)

    def test_what_is_sent_on_a_spare_connection_is_no_answer(self) -> None:
        # Guards against a call that ends by a greeting, and against a Retry-After in it that is dropped.
        self.open_late()
        spares = self.spares()
        for sock in self.endpoint.unused:
            sock.sendall(b"HTTP/1.1 503 X\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n")
        for spare in spares:
            select.select([spare], [], [], WAIT_S)
        self.client.start(self.attempt(3, self.port))
        (item,) = self.outcomes()
        assert (item.outcome, item.retry_after_s) == (Outcome.CONNECT_FAILED, 30.0)

    @pytest.mark.parametrize("draining", [True, False], ids=["draining", "removed"])
    def test_an_endpoint_that_takes_no_calls_has_no_spare_connections(self, draining: bool) -> None:
        # Guards against connections to draining endpoints, and against state of removed ones.
        self.open_late()
        if draining:
            self.client.set_draining(ENDPOINT, True)
        else:
            self.client.forget(ENDPOINT)
        assert self.spares() == []
        assert self.client.spares._count == 0
        assert ENDPOINT not in self.client.spares._endpoints


class TestLimits(EndedMessagesRig):
    def spares_of(self, port: int, max_connections: int = 8, dial_timeout_s: float = 5.0) -> SpareConnections:
        """Return connections that are opened ahead of calls to a port, after a late one."""
        spares = SpareConnections(max_connections, dial_timeout_s, 10.0)
        self.resources.callback(spares.close, ENDPOINT)
        spares.record_dial(ENDPOINT, LATE_S)
        for _ in range(5):
            spares.take(ENDPOINT, ("127.0.0.1", port))
        return spares

    def test_no_more_connections_are_opened_ahead_than_allowed(self) -> None:
        # Guards the descriptors of the other uses.
        spares = self.spares_of(self.port, max_connections=3)
        wait_until(lambda: len(spares._endpoints[ENDPOINT].spares) == 3)
        assert spares._count == 3

    def test_spare_connections_are_closed_when_they_are_not_used(self) -> None:
        # Guards against connections that stay open at an endpoint that gets no calls any more.
        descriptors = open_descriptors()
        with (
            mock.patch.object(spare_connections, "MAX_IDLE_KEEPALIVE_FRACTION", 0.01),
            mock.patch.object(spare_connections, "LATE_MEMORY_S", 0.1),
        ):
            spares = self.spares_of(self.port)
            wait_until(lambda: spares._epoll is None)
        assert (spares._count, spares._endpoints, spares._openings) == (0, {}, {})
        wait_until(lambda: open_descriptors() <= descriptors)

    def test_connections_that_never_come_up_are_given_up(self) -> None:
        # Guards against descriptors that wait for an endpoint which is cut off.
        full_listener = self.resources.closing(socket.socket())
        full_listener.bind(("127.0.0.1", 0))
        full_listener.listen(0)
        backlog = [socket.socket() for _ in range(4)]
        for sock in backlog:
            self.resources.callback(sock.close)
            sock.setblocking(False)
            sock.connect_ex(full_listener.getsockname())
        with mock.patch.object(spare_connections, "LATE_MEMORY_S", 0.3):
            spares = self.spares_of(full_listener.getsockname()[1], dial_timeout_s=0.1)
            assert spares._openings
            wait_until(lambda: spares._epoll is None)
        assert (spares._count, spares._openings) == (0, {})
