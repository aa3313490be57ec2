"""A fixture for test modules: an endpoint client, and a listening socket in place of an endpoint."""

from __future__ import annotations

import queue
import socket
from unittest import mock

import pytest

from juniperward.forwarder.endpoint_client import EndpointClient, EndpointClientLimits
from juniperward.forwarder.events import Event
from tests.resources import Resources

LIMITS = EndpointClientLimits(1.0, 10.0, max_threads=4, max_spare_connections=4)


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

    def accept(self) -> socket.socket:
        """Return the next connection that the client opens."""
        sock, _ = self.listener.accept()
        self.resources.callback(sock.close)
        sock.settimeout(5.0)
        return sock
