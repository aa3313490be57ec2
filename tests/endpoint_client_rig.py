"""A fixture for test modules: an endpoint client, and a listening socket in place of an endpoint."""

from __future__ import annotations

import queue
import socket
import time
from unittest import mock

import pytest

from juniperward.forwarder.connection_reuse import MIN_ANSWERS
from juniperward.forwarder.endpoint_client import EndpointClient, EndpointClientLimits
from juniperward.forwarder.events import Event
from tests.resources import Resources

# Answers of endpoints that are slow enough for their connections to be reused.
SLOW_ANSWER_S = 0.04
LIMITS = EndpointClientLimits(1.0, 10.0, max_threads=4, max_idle_connections=4)


class EndpointClientRig:
    """An endpoint client with LIMITS and a socket that listens on a free port."""

    @pytest.fixture(autouse=True)
    def set_up(self, resources: Resources) -> None:
        self.listen(resources)

    def listen(self, resources: Resources) -> None:
        """Create the client and the listening socket."""
        self.resources = resources
        self.events: queue.Queue[Event] = queue.Queue()
        self.client = EndpointClient(LIMITS, self.events.put, mock.Mock())
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(5.0)
        self.resources.callback(self.listener.close)
        self.port = self.listener.getsockname()[1]

    def allow_reuse(self, destination: int = 7) -> None:
        """Let connections to a destination be reused, as if all of its answers were slow."""
        for _ in range(MIN_ANSWERS):
            self.client.reuse.add_answer(destination, SLOW_ANSWER_S)
        self.resources.enter_context(mock.patch.object(self.client.reuse, "add_answer"))

    @staticmethod
    def answer_slowly(sock: socket.socket, data: bytes) -> None:
        """Send an answer as late as an endpoint with slow answers does, which is beyond the doubt window."""
        time.sleep(SLOW_ANSWER_S)
        sock.sendall(data)

    def accept(self) -> socket.socket:
        """Return the next connection that the client opens."""
        sock, _ = self.listener.accept()
        self.resources.callback(sock.close)
        sock.settimeout(5.0)
        return sock
