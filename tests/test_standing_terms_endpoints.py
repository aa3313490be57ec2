"""The standing terms towards endpoints, sentence by sentence, over loopback sockets."""

from __future__ import annotations

import queue
import socket
import time
from unittest import mock

from juniperward.forwarder import workers as workers_module
from juniperward.forwarder.messages import Answered, Call, Delegate, Look, Looked, Parcel
from juniperward.forwarder.workers import Kept, read_wait
from juniperward.net.http import Stream
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


class ProbeTest(EndpointRig):
    __test__ = True

    def probe(self, number: int, seconds: float) -> Look:
        deadline = time.monotonic() + seconds
        return Look(number, WORKER, "127.0.0.1", self.port, DESTINATION, deadline, DESTINATION)

    def test_a_probe_ends_at_its_deadline_whatever_has_come(self) -> None:
        # Guards a probe that was answered by half a line or by an interim answer: behind the latter it waited for
        # the longest read (60 s or more), and its endpoint was not probed again for so long.
        interim = b"HTTP/1.1 100 Continue\r\n\r\n"
        for number, text in enumerate((b"", interim, 3 * interim, b"HTTP/1.1 2", OK[:-2])):
            with self.subTest(text), mock.patch.object(workers_module, "ANSWER", 60.0):
                ours, theirs = socket.socketpair()
                self.addCleanup(theirs.close)
                kept = Kept(ours, ("127.0.0.1", self.port))
                kept.used -= 1.0
                kept.stream = Stream(lambda _, kept=kept: kept._receive(1))  # type: ignore[misc]
                self.workers.idle[WORKER] = [kept]
                self.workers.delegate(self.probe(number, 0.3))
                theirs.recv(1000)
                theirs.sendall(text)
                event = self.events.get(timeout=5.0)
                assert isinstance(event, Looked)
                self.assertIs(event.outcome, Outcome.TIMEOUT)

    def test_a_call_on_the_connection_of_a_probe_has_its_own_time(self) -> None:
        # Guards calls: the probe's deadline must not go on to the next call on its connection.
        self.workers.delegate(self.probe(1, 0.2))
        sock = self.accept()
        sock.recv(1000)
        sock.sendall(OK)
        event = self.events.get(timeout=5.0)
        assert isinstance(event, Looked)
        self.assertIs(event.outcome, Outcome.OK)
        self.workers.delegate(delegate(2, self.port))
        self.assertIn(b"m0", sock.recv(1000))
        with self.assertRaises(queue.Empty):
            self.events.get(timeout=0.4)  # past the probe's deadline
        sock.sendall(OK)
        self.assertEqual(self.outcomes(), {Outcome.OK})
