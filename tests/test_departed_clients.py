"""Requests of a client that has left are not accepted, however much it has sent before."""

from __future__ import annotations

import socket
from concurrent.futures import ThreadPoolExecutor

import pytest

from juniperward.forwarder.client_connection import ClientConnection
from juniperward.forwarder.events import Event, MessageReceived
from juniperward.forwarder.server import Server
from juniperward.forwarder.telemetry import counters
from tests.resources import UsesResources
from tests.test_client_faults import NAMES, request

REQUESTS = 100


class TestDepartedClients(UsesResources):
    @pytest.mark.parametrize("end", ["close", "half-close"])
    def test_requests_in_front_of_an_end_of_input_are_not_accepted(self, end: str) -> None:
        # Guards against calls for a client that has left: its end of input stands behind requests that are unread.
        journalled: list[str] = []

        def journal(name: str) -> bool:
            journalled.append(name)
            return True

        def accept(event: Event) -> None:
            assert isinstance(event, MessageReceived)
            server.accept(event.request, lambda: journal(event.message.id))

        server = self.resources.closing(Server(("127.0.0.1", 0), NAMES, 10, accept))
        with socket.create_server(("127.0.0.1", 0)) as listener:
            theirs = self.resources.closing(socket.create_connection(listener.getsockname()))
            ours, _ = listener.accept()
        theirs.sendall(b"".join(request(f"m{number}") for number in range(REQUESTS)))
        if end == "close":
            theirs.close()
        else:
            theirs.shutdown(socket.SHUT_WR)
        server._serve(ClientConnection(1, ours))
        assert journalled == []
        if end == "half-close":
            assert theirs.recv(100).startswith(b"HTTP/1.1 503 ")

    def test_clients_that_connect_and_leave_do_not_take_the_places_of_others(self) -> None:
        # Guards against a full table of connections whose clients have left, for which idle ones are evicted.
        server = self.resources.closing(Server(("127.0.0.1", 0), NAMES, 4, lambda _: None))
        address = server.listener.getsockname()
        idle = self.resources.closing(socket.create_connection(address))
        before = counters().get("rejections_connections", 0)
        server.start()
        with ThreadPoolExecutor(2) as pool:
            for _ in range(200):
                pool.submit(lambda: socket.create_connection(address).close())
        assert counters().get("rejections_connections", 0) == before
        idle.settimeout(0.0)
        with pytest.raises(BlockingIOError):
            idle.recv(1)
