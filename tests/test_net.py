"""Parts of the network code that an exchange cannot reach without a race."""

from __future__ import annotations

import queue
import socket
import unittest

from juniperward.config import Names
from juniperward.messages import Answered, Call, Delegate, End, Event, Parcel
from juniperward.net.http import Response, Stream, read_call, read_response
from juniperward.net.server import Client, Server
from juniperward.net.workers import Workers, read_ends
from nickelscale.interface import Outcome

NAMES = Names(("c",), (), (), ())


def delegate(number: int, port: int, count: int = 1, deadline: float = 1e12) -> Delegate:
    parcels = tuple(Parcel(n, Call(f"m{n}", 0, 0, 7, 1.0, None, b"")) for n in range(count))
    return Delegate(number, 3, "127.0.0.1", port, 7, parcels, deadline)


class AnswersTest(unittest.TestCase):
    def test_each_answer_has_its_meaning(self) -> None:
        # Guards the table of PROTOCOL, and that what we cannot read counts as what may have run.
        one, two = delegate(1, 1), delegate(1, 1, 2)
        told = {"retry-after": "0.25"}
        cases: list[tuple[Delegate, int, dict[str, str], bytes, list[End]]] = [
            (one, 200, {}, b"", [End(0, Outcome.OK)]),
            (one, 500, {}, b"", [End(0, Outcome.ERROR)]),
            (one, 429, told, b"", [End(0, Outcome.FULL, 0.25)]),
            (one, 429, {"retry-after": "nan"}, b"", [End(0, Outcome.FULL)]),
            (one, 503, {}, b"", [End(0, Outcome.FULL)]),
            (one, 503, {"x-over-slots": "1"}, b"", [End(0, Outcome.MOOT, slots_taken=True)]),
            (one, 504, {}, b"", [End(0, Outcome.MOOT)]),
            (one, 410, {}, b"", [End(0, Outcome.MOOT, over=True)]),
            (one, 302, {}, b"", [End(0, Outcome.ERROR)]),
            (two, 413, {}, b"", [End(0, Outcome.MOOT), End(1, Outcome.MOOT)]),
            (two, 200, {}, b"nonsense", [End(0, Outcome.ERROR), End(1, Outcome.ERROR)]),
            (two, 200, {}, b'[{"id":"m1","state":"new"}]', [End(0, Outcome.ERROR), End(1, Outcome.ERROR)]),
            (
                two,
                200,
                told,
                b'[{"id":"m1","state":"later"},{"id":"m0","state":"gone"}]',
                [End(0, Outcome.MOOT, 0.25, over=True), End(1, Outcome.FULL, 0.25)],
            ),
        ]
        for what, status, headers, body, ends in cases:
            with self.subTest((status, body)):
                self.assertEqual(read_ends(what, Response(status, headers, body, False)), tuple(ends))


class StreamTest(unittest.TestCase):
    def test_bytes_may_be_cut_anywhere(self) -> None:
        text = b"POST /api HTTP/1.1\r\nA: b\r\nContent-Length: 3\r\n\r\nabc"
        answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        for size in (1, 2, 7):
            pieces = iter([text[n : n + size] for n in range(0, len(text), size)])
            self.assertEqual(read_call(Stream(lambda _, p=pieces: next(p))).body, b"abc")  # type: ignore[misc]
            pieces = iter([answer[n : n + size] for n in range(0, len(answer), size)])
            self.assertEqual(read_response(Stream(lambda _, p=pieces: next(p))).body, b"abcde")  # type: ignore[misc]


class ServerTest(unittest.TestCase):
    def test_a_client_that_left_is_not_told_that_its_message_is_taken_on(self) -> None:
        # Guards order: the 202 must have reached somebody, or the message is withdrawn; a client that only
        # ended its sending still gets an answer.
        server = Server(("127.0.0.1", 0), NAMES, 10, lambda event: None)
        self.addCleanup(server.close)
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        client = server.clients[1] = Client(1, ours)
        self.assertFalse(server.answer(1, 202))  # nothing is asked
        client.pending = True
        self.assertTrue(server.answer(1, 202))
        self.assertFalse(server.answer(1, 202))  # answered already
        client.pending = True
        theirs.shutdown(socket.SHUT_WR)
        self.assertFalse(server.answer(1, 202))
        told = theirs.recv(1000)
        self.assertEqual((told.count(b" 202 "), told.count(b" 503 ")), (1, 1))
        self.assertFalse(server.answer(2, 202))


class WorkersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.events: queue.Queue[Event] = queue.Queue()
        self.workers = Workers(1.0, 10.0, 4, 4, self.events.put)
        self.door = socket.create_server(("127.0.0.1", 0))
        self.door.settimeout(5.0)
        self.addCleanup(self.door.close)
        self.port = self.door.getsockname()[1]

    def outcome(self) -> Outcome:
        event = self.events.get(timeout=5.0)
        assert isinstance(event, Answered)
        return event.ends[0].outcome

    def test_what_waited_behind_a_dial_is_not_written_late(self) -> None:
        # Guards the 250 ms after a drain and a told wait: both may come while a connection is opened.
        self.workers.bar(3, True)
        self.workers.delegate(delegate(1, self.port))
        self.assertIs(self.outcome(), Outcome.MOOT)
        self.workers.bar(3, False)
        self.workers.hold(7, 1e12)
        self.workers.delegate(delegate(2, self.port))
        self.assertIs(self.outcome(), Outcome.MOOT)
        for _ in range(2):
            sock, _ = self.door.accept()
            self.addCleanup(sock.close)
            self.assertFalse(sock.recv(1, socket.MSG_DONTWAIT) if self._ended(sock) else b"")

    @staticmethod
    def _ended(sock: socket.socket) -> bool:
        try:
            return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False

    def test_a_first_line_with_200_delivers(self) -> None:
        # Guards against a second delivery: the worker counts the message as done from that line on.
        for text, outcome in ((b"HTTP/1.1 200 OK\r\n", Outcome.OK), (b"HTTP/1.1 2", Outcome.RESET)):
            self.workers.delegate(delegate(1, self.port))
            sock, _ = self.door.accept()
            sock.recv(1000)
            sock.sendall(text)
            sock.close()
            self.assertIs(self.outcome(), outcome)

    def test_a_refused_dial_never_ran(self) -> None:
        self.door.close()
        self.workers.delegate(delegate(1, self.port))
        self.assertIs(self.outcome(), Outcome.CONNECT_FAILED)

    def test_an_abandoned_call_reports_nothing_and_ends_its_connection(self) -> None:
        self.workers.delegate(delegate(1, self.port))
        sock, _ = self.door.accept()
        sock.settimeout(5.0)
        self.assertTrue(sock.recv(1000).startswith(b"POST /receive"))
        self.workers.abandon(1)
        self.assertEqual(sock.recv(1000), b"")
        sock.close()
        self.workers.delegate(delegate(2, self.port))
        sock, _ = self.door.accept()
        sock.recv(1000)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        event = self.events.get(timeout=5.0)
        self.assertEqual(event, Answered(2, (End(0, Outcome.OK),)))
        sock.close()

    def test_an_idle_connection_that_its_worker_ended_is_not_used(self) -> None:
        # Guards against a reset that costs an attempt: the close is seen before the call is written.
        for number in (1, 2):
            self.workers.delegate(delegate(number, self.port))
            sock, _ = self.door.accept()
            sock.recv(1000)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            self.assertIs(self.outcome(), Outcome.OK)
            sock.close()

    def test_idle_connections_are_dropped_before_their_worker_does(self) -> None:
        self.workers.delegate(delegate(1, self.port))
        sock, _ = self.door.accept()
        sock.settimeout(5.0)
        self.addCleanup(sock.close)
        sock.recv(1000)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        self.assertIs(self.outcome(), Outcome.OK)
        (kept,) = self.workers.idle[3]
        self.workers.sweep(kept.used + 8.9)
        self.assertIn(3, self.workers.idle)
        self.workers.sweep(kept.used + 9.1)
        self.assertEqual(sock.recv(1), b"")
