"""Network code of the forwarder in cases that depend on timing, or on bytes that no real peer sends."""

from __future__ import annotations

import json
import socket
import struct
import threading
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any
from unittest import mock

import pytest

from juniperward.forwarder import attempt_call, client_connection, endpoint_connection
from juniperward.forwarder.active_call import ActiveCall
from juniperward.forwarder.answer_headers import read_retry_after
from juniperward.forwarder.answers import read_outcomes
from juniperward.forwarder.client_connection import ClientConnection
from juniperward.forwarder.codec import UnreadableMessageError, decode_message
from juniperward.forwarder.effects import StartAttempt
from juniperward.forwarder.endpoint_client import EndpointClient
from juniperward.forwarder.endpoint_connection import EndpointConnection
from juniperward.forwarder.endpoint_requests import encode_attempt
from juniperward.forwarder.events import AttemptAnswered, Event, MessageReceived
from juniperward.forwarder.model import AttemptProgress, BatchItem, ItemOutcome, Message
from juniperward.forwarder.server import Server
from juniperward.forwarder.settings_names import SettingsNames
from juniperward.net import sockets
from juniperward.net.http_errors import IncompleteMessageError, MalformedMessageError
from juniperward.net.http_requests import read_request
from juniperward.net.http_responses import read_response
from juniperward.net.http_values import HttpRequest, HttpResponse
from juniperward.net.stream import Stream
from juniperward.scheduler.events import Outcome
from tests.endpoint_client_rig import LIMITS, EndpointClientRig
from tests.resources import UsesResources

NAMES = SettingsNames(("c",), (12.0,), (), (), ())


def start_attempt(number: int, port: int, count: int = 1, deadline: float = 1e12) -> StartAttempt:
    items = tuple(BatchItem(n, Message(f"m{n}", 0, 0, 7, 1.0, None, b"")) for n in range(count))
    return StartAttempt(number, 3, "127.0.0.1", port, 7, items, deadline)


class TestAnswers:
    def test_answers_are_decoded_to_outcomes(self, subtests: pytest.Subtests) -> None:
        # Guards the protocol page's table of answers. An unreadable answer must count as possibly executed.
        single, batch = start_attempt(1, 1), start_attempt(1, 1, 2)
        retry_after = {"retry-after": "0.25"}
        cases: list[tuple[StartAttempt, int, dict[str, str], bytes, list[ItemOutcome]]] = [
            (single, 200, {}, b"", [ItemOutcome(0, Outcome.OK)]),
            (single, 500, {}, b"", [ItemOutcome(0, Outcome.ERROR)]),
            (single, 429, retry_after, b"", [ItemOutcome(0, Outcome.OVERLOADED, 0.25)]),
            (single, 429, {"retry-after": "nan"}, b"", [ItemOutcome(0, Outcome.OVERLOADED)]),
            (single, 503, {}, b"", [ItemOutcome(0, Outcome.OVERLOADED)]),
            (single, 503, {"x-over-slots": "1"}, b"", [ItemOutcome(0, Outcome.NOT_SENT, no_slot_free=True)]),
            (single, 504, {}, b"", [ItemOutcome(0, Outcome.NOT_SENT, attempts_exhausted=True)]),
            (single, 410, {}, b"", [ItemOutcome(0, Outcome.NOT_SENT, message_ended=True)]),
            (single, 302, {}, b"", [ItemOutcome(0, Outcome.ERROR)]),
            (batch, 413, {}, b"", [ItemOutcome(0, Outcome.NOT_SENT), ItemOutcome(1, Outcome.NOT_SENT)]),
            (batch, 200, {}, b"nonsense", [ItemOutcome(0, Outcome.ERROR), ItemOutcome(1, Outcome.ERROR)]),
            (
                batch,
                200,
                {},
                b'[{"id":"m1","state":"new"}]',
                [ItemOutcome(0, Outcome.ERROR), ItemOutcome(1, Outcome.ERROR)],
            ),
            (
                batch,
                200,
                retry_after,
                b'[{"id":"m1","state":"later"},{"id":"m0","state":"gone"}]',
                [
                    ItemOutcome(0, Outcome.NOT_SENT, 0.25, message_ended=True),
                    ItemOutcome(1, Outcome.OVERLOADED, 0.25),
                ],
            ),
        ]
        for attempt, status, headers, body, outcomes in cases:
            with subtests.test(status=status, body=body):
                assert read_outcomes(attempt, HttpResponse(status, headers, body, False)) == tuple(outcomes)

    def test_only_an_immediately_closed_connection_is_a_full_connection_table(self) -> None:
        # Guards against handling a full connection table, which is common, as a rate limit or as an outage.
        table_full = ItemOutcome(0, Outcome.CONNECT_FAILED, connection_table_full=True)
        overloaded, closing = ItemOutcome(0, Outcome.OVERLOADED), HttpResponse(503, {}, b"", True)
        assert read_outcomes(start_attempt(1, 1), closing) == (table_full,)
        assert read_outcomes(start_attempt(1, 1), HttpResponse(503, {}, b"", False)) == (overloaded,)
        with_retry_after = HttpResponse(503, {"retry-after": "0.5"}, b"", True)
        assert read_outcomes(start_attempt(1, 1), with_retry_after) == (
            ItemOutcome(0, Outcome.OVERLOADED, 0.5),
        )


class TestMalformedAnswers:
    def test_a_malformed_answer_is_reported(self, subtests: pytest.Subtests) -> None:
        # Guards against input that int() or json accepts or fails on, and against oversized answers.
        head = b"HTTP/1.1 500 X\r\n"
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
        for text in (
            b"HTTP/1.1 " + b"2" * 5000 + b" OK\r\n\r\n",
            b"HTTP/1.1 +20 OK\r\n\r\n",
            b"HTTP/1.1 100 Go on\r\n\r\n" * 17,
            head + b"Content-Length: 70000\r\n\r\n" + b"x" * 70000,
            head + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
            head + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
            *(
                chunked + size + b"\r\n" + b"x" * 16 + b"\r\n0\r\n\r\n"
                for size in (b"+10", b"0x10", b"1_0", b"-1", b"")
            ),
            chunked + b"8000\r\n" + b"x" * 32768 + b"\r\n" * 3,
        ):
            with (
                subtests.test(case=text[:60]),
                pytest.raises((IncompleteMessageError, MalformedMessageError)),
            ):
                read_response(Stream(lambda _, left=[text, b""]: left.pop(0) if left else b""))  # type: ignore[misc]

    def test_a_malformed_load_report_or_outcome_list_is_ignored(self) -> None:
        # Guards against a stack overflow in a thread that decodes deeply nested JSON.
        def read_answers() -> None:
            huge = '{"x0":' + "9" * 400 + "}"
            for text in ("[" * 16000, '{"x0":' * 2600, '{"x0":NaN}', huge, '{"x1":-1}', "7"):
                answer = HttpResponse(200, {"x-backend-load": text}, b"", False)
                outcomes.append(read_outcomes(start_attempt(1, 1), answer))
            outcomes.append(read_outcomes(start_attempt(1, 1, 2), HttpResponse(200, {}, b"[" * 60000, False)))

        outcomes: list[tuple[ItemOutcome, ...]] = []
        threading.stack_size(128 * 1024)
        thread = threading.Thread(target=read_answers)
        thread.start()
        threading.stack_size(0)
        thread.join()
        assert outcomes[:-1] == [(ItemOutcome(0, Outcome.OK),)] * 6
        assert outcomes[-1] == (ItemOutcome(0, Outcome.ERROR), ItemOutcome(1, Outcome.ERROR))

    def test_a_malformed_retry_after_is_ignored(self) -> None:
        for text in ("inf", "1e300", "1_0", "-1", "9" * 9, ""):
            assert read_retry_after({"retry-after": text}) == 0.0
        assert read_retry_after({"retry-after": "0.250"}) == 0.25


class TestCodec:
    def test_invalid_client_requests_are_rejected(self, subtests: pytest.Subtests) -> None:
        # Guards against accepting a message without a valid id, class, destination or deadline.
        good = {"x-correlation-id": "a1", "x-service-class": "c", "x-time-left": "0.5"}
        good["x-addressing"] = "dest=7"
        assert decode_message(HttpRequest("POST", "/api", good, b"", False), NAMES).time_left_s == 0.5
        long = {**good, "x-time-left": "99999"}
        assert decode_message(HttpRequest("POST", "/api", long, b"", False), NAMES).time_left_s == 12.0
        for name, texts in (
            ("x-time-left", ("nan", "inf", "-1", "1_0", "1e3", "", "+1", "\u0661")),
            ("x-correlation-id", ("", "a b", "a, b", "x" * 201, "\xe9")),
            ("x-service-class", ("", "d")),
            ("x-addressing", ("", "dest=", "dest=-1", "dest=x", "dest=" + "1" * 16)),
        ):
            for text in texts:
                with subtests.test(name=name, text=text), pytest.raises(UnreadableMessageError):
                    decode_message(HttpRequest("POST", "/api", {**good, name: text}, b"", False), NAMES)


class TestStream:
    def test_bytes_may_be_split_anywhere(self) -> None:
        text = b"POST /api HTTP/1.1\r\nA: b\r\nContent-Length: 3\r\n\r\nabc"
        answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        for size in (1, 2, 7):
            pieces = iter([text[n : n + size] for n in range(0, len(text), size)])
            assert read_request(Stream(lambda _, p=pieces: next(p))).body == b"abc"  # type: ignore[misc]
            pieces = iter([answer[n : n + size] for n in range(0, len(answer), size)])
            assert read_response(Stream(lambda _, p=pieces: next(p))).body == b"abcde"  # type: ignore[misc]


class TestServer(UsesResources):
    def test_a_disconnected_client_is_not_acknowledged(self) -> None:
        # Guards against accepting a message whose client is gone.
        # A client that has only shut down its sending side still gets an answer.
        server = self.resources.closing(Server(("127.0.0.1", 0), NAMES, 10, lambda _: None))
        ours, theirs = socket.socketpair()
        self.resources.callback(ours.close)
        self.resources.callback(theirs.close)
        client = server.table.clients[1] = ClientConnection(1, ours)
        assert not server.answer(1, 202)  # No request is pending.
        number = server.requests.add(client)
        assert server.answer(number, 202)
        assert not server.answer(number, 202)  # The request has been answered.
        number = server.requests.add(client)
        client.evicted = True  # The request was read after the eviction.
        assert not server.answer(number, 202)
        assert client.close_after_answer
        number = server.requests.add(client)
        client.evicted = False
        theirs.shutdown(socket.SHUT_WR)
        assert not server.answer(number, 202)
        received = theirs.recv(1000)
        assert (received.count(b" 202 "), received.count(b" 503 ")) == (1, 2)
        assert not server.answer(number + 1, 202)
        assert len(server.requests) == 0

    def test_a_message_is_journalled_before_its_answer_and_only_for_a_client_that_gets_it(self) -> None:
        # Guards against a 202 that a kill makes void, and against a journalled message whose client was told 503.
        server = self.resources.closing(Server(("127.0.0.1", 0), NAMES, 10, lambda _: None))
        ours, theirs = socket.socketpair()
        self.resources.callback(ours.close)
        self.resources.callback(theirs.close)
        client = ClientConnection(1, ours)
        journalled: list[int] = []

        def journal(number: int, is_written: bool = True) -> bool:
            assert sockets.is_reusable(theirs)  # Nothing has been written to the client.
            assert client.lock.locked()  # The connection's thread cannot reject the message.
            journalled.append(number)
            return is_written

        number = server.requests.add(client)
        assert server.accept(number, lambda: journal(1))
        assert theirs.recv(1000).startswith(b"HTTP/1.1 202 ")
        assert not server.accept(number, lambda: journal(2))  # The request has been answered.
        number = server.requests.add(client)
        assert not server.accept(number, lambda: journal(3, is_written=False))
        answer = theirs.recv(1000)
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: 1" in answer
        number = server.requests.add(client)
        theirs.shutdown(socket.SHUT_WR)
        assert not server.accept(number, lambda: journal(4))
        assert theirs.recv(1000).startswith(b"HTTP/1.1 503 ")
        assert (journalled, len(server.requests)) == ([1, 3], 0)

    def test_a_connection_being_accepted_at_close_counts_as_a_client(self) -> None:
        # Guards against a reset of a connection that is accepted, but not yet in the client table, when the
        # server closes.
        server = Server(("127.0.0.1", 0), NAMES, 10, lambda _: None)
        accepted, may_admit, admit = threading.Event(), threading.Event(), server._admit

        def admit_later(sock: socket.socket) -> None:
            accepted.set()
            may_admit.wait(5.0)
            admit(sock)

        client_counts: list[int] = []

        def close() -> None:
            server.close()
            client_counts.append(len(server.table.clients))

        with mock.patch.object(server, "_admit", admit_later):
            server.start()
            self.resources.closing(socket.create_connection(server.listener.getsockname()))
            assert accepted.wait(5.0)
            closing = threading.Thread(target=close)
            closing.start()
            while server.listener.fileno() >= 0:
                time.sleep(0)
            closing.join(0.1)
            may_admit.set()
            closing.join(5.0)
        assert (client_counts, server.has_finished()) == ([1], False)

    def test_a_connection_in_the_kernel_backlog_at_close_is_answered(self) -> None:
        # Guards against a reset of a connection that was not accepted yet when the server closes.
        def refuse(event: Event) -> None:
            assert isinstance(event, MessageReceived)
            server.answer(event.request, 503)

        server = Server(("127.0.0.1", 0), NAMES, 10, refuse)
        server.stop()
        with socket.create_connection(server.listener.getsockname(), 5.0) as late:
            late.sendall(
                b"POST /api HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Service-Class: c\r\nX-Time-Left: 1\r\n"
            )
            late.sendall(b"X-Addressing: dest=7\r\n\r\n")
            assert not server.has_finished()
            server.close()
            assert not server.has_finished()  # the process still has to answer it
            assert late.recv(100).startswith(b"HTTP/1.1 503 ")
        # The connection is closed by the thread that its client rests with.
        until = time.monotonic() + 5.0
        while not server.has_finished() and time.monotonic() < until:
            time.sleep(0)
        assert server.has_finished()

    def test_an_answer_is_written_completely_or_its_connection_closed(self) -> None:
        # Guards against a client that waits for the rest of an answer while its message counts as withdrawn.
        server = self.resources.closing(Server(("127.0.0.1", 0), NAMES, 3, lambda _: None))
        ours, theirs = socket.socketpair()
        self.resources.callback(ours.close)
        self.resources.callback(theirs.close)
        ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client = server.table.clients[1] = ClientConnection(1, ours)
        assert not client.write(b"x" * 1_000_000)
        assert not server.answer(server.requests.add(client), 202)
        theirs.settimeout(5.0)
        while theirs.recv(65536):
            pass

    def test_a_full_connection_table_evicts_the_longest_idle_answered_client(self) -> None:
        # Guards against idle clients that fill the connection table, and against rejecting many clients that
        # open a connection for each message.
        server = self.resources.closing(Server(("127.0.0.1", 0), NAMES, 3, lambda _: None))
        now = time.monotonic()
        peers = []
        for number, (served, idle_s) in enumerate(((True, 0.05), (False, 0.3), (True, 0.2)), 1):
            ours, peer = socket.socketpair()
            self.resources.callback(ours.close)
            self.resources.callback(peer.close)
            peers.append(peer)
            client = server.table.clients[number] = ClientConnection(number, ours)
            client.served, client.idle_since = served, now - idle_s
        assert server.table.evict_one()  # not client 2, whose first request would fail
        assert [server.table.clients[n].evicted for n in (1, 2, 3)] == [False, False, True]
        assert [server.table.evict_one(), server.table.evict_one()] == [True, False]
        assert [server.table.clients[n].evicted for n in (1, 2, 3)] == [False, True, True]

    def test_a_request_must_be_complete_within_its_timeout(self) -> None:
        # Guards against a client that holds a place in the table with a slow request, or with none.
        server = self.resources.closing(Server(("127.0.0.1", 0), NAMES, 3, lambda _: None))
        for sent, answer in ((b"", b""), (b"POST /api HTTP/1.1\r\nA: b", b"HTTP/1.1 408 ")):
            ours, theirs = socket.socketpair()
            self.resources.callback(theirs.close)
            theirs.sendall(sent)
            client = ClientConnection(1, ours)
            client.read_deadline = client.idle_since + 0.05
            server._serve(client)
            assert theirs.recv(13) == answer
        assert client_connection.FIRST_REQUEST_TIMEOUT_S <= 2.5


class TestEndpointClient(EndpointClientRig):
    def outcome(self) -> Outcome:
        event = self.events.get(timeout=5.0)
        assert isinstance(event, AttemptAnswered)
        return event.outcomes[0].outcome

    def test_with_separate_routes_retry_after_delays_its_endpoint_only(self) -> None:
        # Guards against a Retry-After of one endpoint that pauses the other endpoints of its destination.
        def attempt_on_route(number: int, endpoint: int, name: str) -> StartAttempt:
            return replace(start_attempt(number, self.port), endpoint=endpoint, endpoint_id=name, route=name)

        self.client.start(attempt_on_route(1, 3, "s-3"))
        sock = self.accept()
        sock.recv(1000)
        sock.sendall(b"HTTP/1.1 429 X\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n")
        assert self.outcome() is Outcome.OVERLOADED
        self.client.start(attempt_on_route(2, 4, "s-4"))
        other = self.accept()
        assert b"m0" in other.recv(1000)
        other.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert self.outcome() is Outcome.OK
        self.client.start(attempt_on_route(3, 3, "s-3"))
        assert self.outcome() is Outcome.NOT_SENT

    def test_a_call_delayed_by_a_dial_is_not_sent_after_a_drain_or_a_pause(self) -> None:
        # Guards against sending after a drain or a Retry-After that comes while a connection is opened.
        self.client.set_draining(3, True)
        self.client.start(start_attempt(1, self.port))
        assert self.outcome() is Outcome.NOT_SENT
        self.client.set_draining(3, False)
        self.client.pause_route(7, 1e12)
        self.client.start(start_attempt(2, self.port))
        assert self.outcome() is Outcome.NOT_SENT
        for _ in range(2):
            sock, _ = self.listener.accept()
            self.resources.callback(sock.close)
            assert not (sock.recv(1, socket.MSG_DONTWAIT) if self._ended(sock) else b"")

    @staticmethod
    def _ended(sock: socket.socket) -> bool:
        try:
            return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False

    def test_a_status_line_with_200_delivers_a_message(self) -> None:
        # Guards against a second delivery of a message that the endpoint counts as executed.
        for text, outcome in ((b"HTTP/1.1 200 OK\r\n", Outcome.OK), (b"HTTP/1.1 2", Outcome.RESET)):
            self.client.start(start_attempt(1, self.port))
            sock = self.accept()
            sock.recv(1000)
            sock.sendall(text)
            sock.close()
            assert self.outcome() is outcome

    def test_a_cancellation_after_the_answer_does_not_change_its_outcome(self) -> None:
        # Guards against a call that counts as cancelled, or a socket that is shut down, after the answer was read.
        may_finish = threading.Event()

        def read_late(*arguments: Any) -> tuple[ItemOutcome, ...]:
            assert may_finish.wait(5.0)
            return read_outcomes(*arguments)

        with mock.patch.object(attempt_call, "read_outcomes", read_late):
            self.client.start(start_attempt(1, self.port))
            sock = self.accept()
            sock.recv(1000)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            assert sock.recv(1) == b"", "the connection is still open"
            assert self.client.withdraw(1, 0) is AttemptProgress.FINISHED
            assert self.client.cancel(1) is AttemptProgress.FINISHED
            may_finish.set()
            assert self.outcome() is Outcome.OK

    def test_retry_after_pauses_its_route_before_the_loop_handles_the_answer(self) -> None:
        # Guards against calls that other threads send before the loop has paused the route.
        self.client.start(start_attempt(1, self.port))
        sock = self.accept()
        sock.recv(1000)
        sock.sendall(b"HTTP/1.1 429 Too Many Requests\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n")
        assert self.outcome() is Outcome.OVERLOADED  # No reducer is there to pause the route.
        self.client.start(start_attempt(2, self.port))
        assert self.outcome() is Outcome.NOT_SENT

    def test_a_retry_is_not_sent_after_its_deduplication_window(self) -> None:
        # Guards against a second execution: the deduplication window may end while a connection is opened.
        attempt = start_attempt(1, self.port, 2)
        expired = replace(
            attempt, items=(replace(attempt.items[0], start_before=time.monotonic()), attempt.items[1])
        )
        self.client.start(expired)
        sock = self.accept()
        assert read_request(Stream(sock.recv)).headers["x-correlation-id"] == "m1"
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        sock.close()
        outcomes = (ItemOutcome(0, Outcome.NOT_SENT, written=False), ItemOutcome(1, Outcome.OK))
        assert self.events.get(timeout=5.0) == AttemptAnswered(1, outcomes)

    def test_a_message_ended_during_a_slow_dial_is_left_out_of_its_batch(
        self, subtests: pytest.Subtests
    ) -> None:
        # Guards against executing a message after its client was notified of its end.
        for withdrawn in ((0,), (0, 2), (0, 1, 2)):
            may_connect, connect = threading.Event(), sockets.connect

            def slow_connect(
                *args: Any, may_connect: threading.Event = may_connect, connect: Callable[..., None] = connect
            ) -> None:
                may_connect.wait(5.0)
                connect(*args)

            with (
                subtests.test(withdrawn=withdrawn),
                mock.patch("juniperward.net.sockets.connect", slow_connect),
            ):
                self.client.start(start_attempt(1, self.port, 3))
                assert {self.client.withdraw(1, n) for n in withdrawn} == {AttemptProgress.WAITING}
                may_connect.set()
                sock = self.accept()
                if len(withdrawn) == 3:
                    assert self.outcome() is Outcome.NOT_SENT
                    assert sock.recv(1000) == b""
                    continue
                call = read_request(Stream(sock.recv))
                if call.path == "/receive-many":
                    written = [row["id"] for row in json.loads(call.body)]
                else:
                    written = [call.headers["x-correlation-id"]]
                assert written == [f"m{n}" for n in range(3) if n not in withdrawn]
                assert self.client.withdraw(1, 1) is not AttemptProgress.WAITING
                sock.close()
                event = self.events.get(timeout=5.0)
                assert isinstance(event, AttemptAnswered)
                not_sent = {e.message for e in event.outcomes if e.outcome is Outcome.NOT_SENT}
                assert not_sent == set(withdrawn)
                assert self.client.withdraw(1, 1) is AttemptProgress.FINISHED

    def test_a_cancelled_call_reports_its_progress(self) -> None:
        # Guards against sending a call after it was cancelled and reported as not sent.
        begun, may_connect, connect = threading.Event(), threading.Event(), sockets.connect

        def slow_connect(*args: Any) -> None:
            begun.set()
            may_connect.wait(5.0)
            connect(*args)

        with mock.patch("juniperward.net.sockets.connect", slow_connect):
            self.client.start(start_attempt(1, self.port))
            assert begun.wait(5.0)
            assert self.client.cancel(1) is AttemptProgress.WAITING
            may_connect.set()
            sock = self.accept()
        assert sock.recv(1000) == b""  # Nothing was sent on it.
        self.client.start(start_attempt(2, self.port))
        sock = self.accept()
        assert b"m0" in sock.recv(1000)
        while self.client.active[2].progress is not AttemptProgress.WRITTEN:
            time.sleep(0)
        assert self.client.cancel(2) is AttemptProgress.WRITTEN
        assert sock.recv(1) == b""
        # Only the call that waited posts no result.
        assert self.events.get(timeout=5.0) == AttemptAnswered(2, (ItemOutcome(0, Outcome.CANCELLED),))
        self.client.start(start_attempt(3, self.port))
        sock = self.accept()
        sock.recv(1000)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        event = self.events.get(timeout=5.0)
        assert event == AttemptAnswered(3, (ItemOutcome(0, Outcome.OK),))
        assert self.client.cancel(3) is AttemptProgress.FINISHED

    def test_an_answer_cut_at_any_byte_gives_every_message_an_outcome(self) -> None:
        body = b'[{"id":"m0","state":"ok"},{"id":"m1","state":"later"}]'
        head = b"HTTP/1.1 200 OK\r\nX-Backend-Load: {}\r\nContent-Length: %d\r\n\r\n" % len(body)
        answer, status_line_bytes = head + body, head.index(b"\n") + 1
        for count in (1, 2):
            attempt = start_attempt(1, self.port, count)
            for cut in range(len(answer)):
                ours, theirs = socket.socketpair()
                connection = EndpointConnection(ours, ("w", 1))

                def send(
                    data: bytes,
                    cut: int = cut,
                    theirs: socket.socket = theirs,
                    write: Callable[[bytes], None] = connection.send,
                ) -> None:
                    write(data)
                    theirs.sendall(answer[:cut])
                    theirs.shutdown(socket.SHUT_WR)

                request = attempt_call.PreparedRequest(attempt, encode_attempt(attempt, 0.0))
                with mock.patch.object(connection, "send", send):
                    outcomes = self.client.attempts._exchange(ActiveCall(attempt), request, connection)
                theirs.close()
                assert [e.message for e in outcomes] == list(range(count))
                # A status 200 delivers a single message, but not the messages of a batch.
                expected = Outcome.OK if count == 1 and cut >= status_line_bytes else Outcome.RESET
                assert {e.outcome for e in outcomes} == {expected}, answer[:cut]

    def test_the_read_timeout_covers_the_longest_class_deadline(self) -> None:
        # Guards against a read that times out before the deadline of a message class with a long one.
        for deadline, expected_s in ((20.0, 60.0), (600.0, 600.0)):
            limits = replace(LIMITS, read_timeout_s=deadline)
            self.client = EndpointClient(limits, self.events.put, mock.Mock())
            self.client.start(start_attempt(1, self.port))
            sock = self.accept()
            sock.recv(1000)
            client_sock = self.client.active[1].sock
            assert client_sock is not None
            # The call's thread sets the timeout after it has written the request.
            until = time.monotonic() + 5.0
            while self._receive_timeout_s(client_sock) != expected_s and time.monotonic() < until:
                time.sleep(0)
            assert self._receive_timeout_s(client_sock) == expected_s

    @staticmethod
    def _receive_timeout_s(sock: socket.socket) -> int:
        seconds: int = struct.unpack("@ll", sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, 16))[0]
        return seconds

    def test_a_refused_connection_is_a_failed_connect(self) -> None:
        self.listener.close()
        self.client.start(start_attempt(1, self.port))
        assert self.outcome() is Outcome.CONNECT_FAILED

    def test_a_cancelled_call_closes_its_connection_and_is_not_taken_for_the_next_one(self) -> None:
        self.client.start(start_attempt(1, self.port))
        sock = self.accept()
        assert sock.recv(1000).startswith(b"POST /receive")
        while self.client.active[1].progress is not AttemptProgress.WRITTEN:
            time.sleep(0)
        self.client.cancel(1)
        assert sock.recv(1000) == b""
        assert self.events.get(timeout=5.0) == AttemptAnswered(1, (ItemOutcome(0, Outcome.CANCELLED),))
        self.client.start(start_attempt(2, self.port))
        sock = self.accept()
        sock.recv(1000)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert self.events.get(timeout=5.0) == AttemptAnswered(2, (ItemOutcome(0, Outcome.OK),))

    def test_a_connection_is_closed_behind_its_answer(self) -> None:
        # Guards against connections without a call, which fill the tables of endpoints.
        for number in (1, 2):
            self.client.start(start_attempt(number, self.port))
            sock = self.accept()
            sock.recv(1000)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            assert self.outcome() is Outcome.OK
            assert sock.recv(1) == b""

    def test_an_endless_answer_does_not_block_its_call(self) -> None:
        # Guards against an endpoint that holds a slot until the deadline by sending only part of an answer.
        with mock.patch.object(endpoint_connection, "MAX_ANSWER_TRANSFER_S", 0.05):
            for text, outcome in (
                (b"HTTP/1.1 500 Internal", Outcome.RESET),
                (b"HTTP/1.1 500 X\r\nContent-Length: 9\r\n\r\n", Outcome.RESET),
                (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", Outcome.OK),
            ):
                self.client.start(start_attempt(1, self.port))
                sock = self.accept()
                sock.recv(1000)
                sock.sendall(text)
                assert self.outcome() is outcome
                assert sock.recv(1) == b""

    def test_excess_bytes_after_an_answer_are_not_the_next_answer(self) -> None:
        # Guards against a false delivery: a duplicate of one answer must not be taken for the next.
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        for is_late in (False, True):
            self.client.start(start_attempt(1, self.port))
            sock = self.accept()
            sock.recv(1000)
            sock.sendall(answer if is_late else 2 * answer)
            assert self.outcome() is Outcome.OK
            if is_late:
                sock.sendall(answer)
            self.client.start(start_attempt(2, self.port))
            sock = self.accept()
            sock.recv(1000)
            sock.close()
            assert self.outcome() is Outcome.RESET

    def test_no_state_is_retained_of_a_removed_endpoint(self) -> None:
        # Guards against a memory leak, and against an endpoint that inherits the state of a removed one.
        self.client.set_draining(3, True)
        self.client.pause_route(7, time.monotonic() + 1.0)
        self.client.forget(3)
        self.client.remove_expired(time.monotonic() + 2.0)
        assert (self.client.gate.draining, self.client.gate.paused_until) == (set(), {})
