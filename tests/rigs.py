"""Rigs that several test modules share: workers in front of a listening socket of the system's choosing."""

from __future__ import annotations

import queue
import socket
import unittest

from juniperward.forwarder.events import Event
from juniperward.forwarder.workers import Workers


class WorkerRig(unittest.TestCase):
    """Workers (1 s to dial, 10 s to answer, 4 slots, 4 connections) and a door on a port the system gives.

    Not collected alone: its subclasses hold the tests (`__test__` is set back on each of them).
    """

    __test__ = False

    def setUp(self) -> None:
        self.events: queue.Queue[Event] = queue.Queue()
        self.workers = Workers(1.0, 10.0, 4, 4, self.events.put)
        self.door = socket.create_server(("127.0.0.1", 0))
        self.door.settimeout(5.0)
        self.addCleanup(self.door.close)
        self.port = self.door.getsockname()[1]
