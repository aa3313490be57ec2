"""Requests of a client that has left are not accepted, however much it has sent before."""

from __future__ import annotations

import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest

from juniperward.forwarder.client_connection import ClientConnection
from juniperward.forwarder.events import Event, MessageReceived
from juniperward.forwarder.resting_clients import RestingClients
from juniperward.forwarder.server import Server
from juniperward.forwarder.telemetry import counters
from tests.resources import UsesResources
from tests.test_client_faults import NAMES, request

WAIT_S = 5.0
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

    def test_a_departed_client_that_a_thread_is_about_to_close_counts_as_a_free_place(self) -> None:
        # Guards against a 503 while the thread that was told of a departed client waits for the interpreter.
        server = self.resources.closing(Server(("127.0.0.1", 0), NAMES, 1, lambda _: None))
        held = HeldPoll(server.resting)
        server.resting._epoll = held  # type: ignore[assignment]
        address = server.listener.getsockname()
        departing = socket.create_connection(address)
        before = counters().get("rejections_connections", 0)
        server.start()
        until = time.monotonic() + WAIT_S
        while not server.resting.count and time.monotonic() < until:
            time.sleep(0)
        held.is_held = True
        departing.close()
        assert held.has_reported.wait(WAIT_S)
        client = self.resources.closing(socket.create_connection(address))
        client.sendall(b"GET /health/ready HTTP/1.1\r\n\r\n")
        assert client.recv(100).startswith(b"HTTP/1.1 200 ")
        assert counters().get("rejections_connections", 0) == before


class HeldPoll:
    """An epoll object; the thread of resting clients stops behind a poll while a new client is admitted.

    It goes on when the look for departed clients has returned, or can't return before it goes on.
    """

    HELD_S = 0.3

    def __init__(self, resting: RestingClients) -> None:
        self._epoll, self._take_ready = resting._epoll, resting.take_ready
        self.is_held = False
        self.has_reported = threading.Event()
        self._has_looked = threading.Event()
        resting.take_ready = self.take_ready  # type: ignore[method-assign]

    def take_ready(self) -> None:
        self._take_ready()
        self._has_looked.set()

    def poll(self, timeout_s: float, max_events: int) -> list[tuple[int, int]]:
        events = self._epoll.poll(timeout_s, max_events)
        if events and self.is_held and threading.current_thread().name == "resting_clients":
            self.has_reported.set()
            self._has_looked.wait(self.HELD_S)
        return events

    def __getattr__(self, name: str) -> Any:
        return getattr(self._epoll, name)
