"""The standing terms towards endpoints, sentence by sentence, over loopback sockets."""

from __future__ import annotations

import socket
import time

from juniperward.forwarder.messages import Answered, Call, Delegate, Parcel
from juniperward.forwarder.workers import read_wait
from nickelscale.interface import Outcome
from tests.rigs import WorkerRig

WORKER = 3
DESTINATION = 7
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


def delegate(number: int, port: int, count: int = 1, body: bytes = b"") -> Delegate:
    """A call with so many messages, each with this body."""
    parcels = tuple(Parcel(n, Call(f"m{n}", 0, 0, DESTINATION, 1.0, None, body)) for n in range(count))
    return Delegate(number, WORKER, "127.0.0.1", port, DESTINATION, parcels, time.monotonic() + 60.0)


class EndpointRig(WorkerRig):
    """The shared rig, and what every test here does with it."""

    def accept(self) -> socket.socket:
        """The next connection that the forwarder opens."""
        sock, _ = self.door.accept()
        self.addCleanup(sock.close)
        sock.settimeout(5.0)
        return sock

    def outcomes(self) -> set[Outcome]:
        """How the messages of the next call to end have ended."""
        event = self.events.get(timeout=5.0)
        assert isinstance(event, Answered)
        return {end.outcome for end in event.ends}


class ToldWaitTest(EndpointRig):
    __test__ = True

    def test_a_wait_binds_with_as_many_decimals_as_a_double_has(self) -> None:
        # Guards the rule on waits: one with more than nine decimals was taken for none, and the next call broke it.
        cases = (("0.30000000000000004", 0.3), ("1.1102230246251565", 1.11), (".5", 0.5), ("2.", 2.0))
        for text, seconds in cases:
            with self.subTest(text):
                self.assertAlmostEqual(read_wait({"retry-after": text}), seconds, 2)
        self.workers.delegate(delegate(1, self.port))
        sock = self.accept()
        sock.recv(1000)
        sock.sendall(b"HTTP/1.1 429 X\r\nRetry-After: 30.000000000000004\r\nContent-Length: 0\r\n\r\n")
        self.assertEqual(self.outcomes(), {Outcome.FULL})
        self.workers.delegate(delegate(2, self.port))
        self.assertEqual(self.outcomes(), {Outcome.MOOT})
