"""An endpoint client in front of a listening socket, for several test modules."""

from __future__ import annotations

import queue
import socket
import unittest
from unittest import mock

from juniperward.forwarder.endpoint_client import EndpointClient, EndpointClientLimits
from juniperward.forwarder.events import Event

LIMITS = EndpointClientLimits(1.0, 10.0, max_threads=4, max_idle_connections=4)


class EndpointClientRig(unittest.TestCase):
    """An endpoint client (LIMITS) and a door on a port the system gives.

    Not collected alone: its subclasses hold the tests (`__test__` is set back on each of them).
    """

    __test__ = False

    def setUp(self) -> None:
        self.events: queue.Queue[Event] = queue.Queue()
        self.client = EndpointClient(LIMITS, self.events.put, mock.Mock())
        self.door = socket.create_server(("127.0.0.1", 0))
        self.door.settimeout(5.0)
        self.addCleanup(self.door.close)
        self.port = self.door.getsockname()[1]
