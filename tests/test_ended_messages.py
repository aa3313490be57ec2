"""Answers that end a message or delay its destination: they count however early they come and wherever they are cut.

Each test makes calls to an endpoint on a loopback socket, and looks at the outcome that the scheduler would get.
"""

from __future__ import annotations

import contextlib
import queue
import select
import socket
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any
from unittest import mock

import pytest

from juniperward.forwarder import attempt_call, endpoint_connection
from juniperward.forwarder.effects import (
    AppendRecord,
    SendNotifications,
    StartAttempt,
    StartHealthCheck,
    WithdrawFromBatch,
)
from juniperward.forwarder.endpoint_connection import MAX_LARGE_ANSWERS, READ_BYTES
from juniperward.forwarder.events import (
    AttemptAnswered,
    BatchItemWithdrawn,
    EndpointsUpdated,
    HealthCheckAnswered,
)
from juniperward.forwarder.model import AttemptProgress, BatchItem, ItemOutcome, Message, OutcomeNotification
from juniperward.forwarder.records import (
    AttemptStartedRecord,
    CompletedRecord,
    JournalRecord,
    OutcomeDecidedRecord,
)
from juniperward.forwarder.send_gate import DEFAULT_RETRY_AFTER_S, RETRY_AFTER_MAX_AGE_S
from juniperward.net import sockets
from juniperward.net.http_errors import ConnectionClosedError, IncompleteMessageError
from juniperward.net.http_requests import read_request
from juniperward.net.http_responses import read_response
from juniperward.net.http_values import HttpRequest, HttpResponse
from juniperward.net.stream import Stream
from juniperward.scheduler.events import Outcome
from tests.endpoint_client_rig import EndpointClientRig
from tests.test_reducer import ReducerRig

DELIVERED = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
GONE = b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"
WAIT_S = 5.0
# Deliveries that take SERVICE_S each, which a forwarder may take for the usual time of its answers.
DELIVERIES, SERVICE_S = 12, 0.05


class Endpoint:
    """Answers each call by its first message; serves each connection's calls one after another."""

    def __init__(self, answer: Callable[[HttpRequest], bytes]) -> None:
        """Listen on a free port; `answer` returns the bytes of the answer to a request."""
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self.listener.getsockname()[1]
        self._answer = answer
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        stream = Stream(sock.recv)
        with sock, contextlib.suppress(OSError, IncompleteMessageError, ConnectionClosedError):
            while True:
                sock.sendall(self._answer(read_request(stream)))

    def close(self) -> None:
        """Accept no more connections."""
        self.listener.close()


class EndedMessagesRig(EndpointClientRig):
    def attempt(self, number: int, port: int, count: int = 1) -> StartAttempt:
        items = tuple(BatchItem(n, Message(f"m{n}", 0, 0, 7, 1.0, f"k{n}", b"")) for n in range(count))
        return StartAttempt(number, 3, "127.0.0.1", port, 7, items, time.monotonic() + WAIT_S)

    def outcomes(self) -> tuple[ItemOutcome, ...]:
        event = self.events.get(timeout=WAIT_S)
        assert isinstance(event, AttemptAnswered)
        return event.outcomes

    def call(self, answer: bytes, count: int = 1) -> tuple[ItemOutcome, ...]:
        """Make a call whose answer is followed by the end of its connection, and return the outcomes."""
        self.client.start(self.attempt(1, self.port, count))
        sock = self.accept()
        read_request(Stream(sock.recv))
        sock.sendall(answer)
        sock.close()
        return self.outcomes()


class TestFastAnswers(EndedMessagesRig):
    def test_a_message_that_is_answered_410_at_once_is_ended(self) -> None:
        # Guards against another call of an ended message, whose 410 came sooner than other answers.
        answers = iter([DELIVERED] * DELIVERIES + [GONE])

        def answer(_: HttpRequest) -> bytes:
            data = next(answers)
            time.sleep(SERVICE_S if data == DELIVERED else 0.0)
            return data

        endpoint = self.resources.closing(Endpoint(answer))
        for number in range(DELIVERIES):
            self.client.start(self.attempt(number, endpoint.port))
            assert [item.outcome for item in self.outcomes()] == [Outcome.OK]
        self.client.start(self.attempt(DELIVERIES, endpoint.port))
        assert [item.message_ended for item in self.outcomes()] == [True]


class TestCutAnswers(EndedMessagesRig):
    def test_a_message_whose_410_is_cut_is_ended(self) -> None:
        # Guards against another call of an ended message, the rest of whose 410 was lost.
        for cut in range(GONE.index(b" Gone"), len(GONE)):
            assert [item.message_ended for item in self.call(GONE[:cut])] == [True], GONE[:cut]

    def test_a_message_that_is_out_of_attempts_has_none_left_when_its_504_is_cut(self) -> None:
        # Guards against further calls of a message that has had all its attempts, the rest of whose 504 was lost.
        answer = b"HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n\r\n"
        for cut in range(answer.index(b" Gateway"), len(answer)):
            (item,) = self.call(answer[:cut])
            assert (item.attempts_exhausted, item.message_ended) == (True, False), answer[:cut]
        body = b'[{"id":"m0","state":"exhausted"},{"id":"m1","sta'
        outcomes = self.call(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + body, 2)
        assert [item.attempts_exhausted for item in outcomes] == [True, False]

    def test_a_410_with_a_malformed_rest_ends_its_message(self, subtests: pytest.Subtests) -> None:
        # Guards against another call of an ended message, whose 410 breaks HTTP behind its status code.
        for rest in (
            b"\x00\r\n\r\n",
            b"Content-Length: x\r\n\r\n",
            b"Content-Length: 99999999\r\n\r\n",
            b"no header\r\n",
        ):
            with subtests.test(rest=rest):
                assert [item.message_ended for item in self.call(b"HTTP/1.1 410 Gone\r\n" + rest)] == [True]

    def test_a_410_behind_interim_responses_is_known_when_cut(self) -> None:
        # Guards against a status that is looked for in the first status line only.
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
        assert [item.message_ended for item in self.call(2 * interim + GONE[:20])] == [True]
        assert [item.outcome for item in self.call(interim[:-4])] == [Outcome.RESET]

    def test_a_cut_answer_proves_of_no_message_that_it_did_not_execute(self) -> None:
        # Guards against a second execution: the protocol says of a connection that breaks that the call may have run.
        for answer in (
            b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 503 X\r\nX-Over-Slots: 1\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
        ):
            for cut in range(len(answer)):
                assert [item.outcome for item in self.call(answer[:cut])] == [Outcome.RESET], answer[:cut]

    def test_entries_that_end_messages_count_in_a_batchs_cut_answer(self, subtests: pytest.Subtests) -> None:
        # Guards against another call of messages that a batch's answer calls over, before it broke off.
        body = b'[{"id":"m0","state":"gone"}, {"state":"ok","id":"m1"},{"id":"m2","state":"gone"}]'
        first, last = body.index(b"}") + 1, len(body) - 1
        heads = {
            "length": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body),
            "chunk": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n" % len(body),
        }
        for name, head in heads.items():
            for cut in (0, 1, first - 1, first, first + 1, last - 1, last):
                with subtests.test(head=name, body=body[:cut]):
                    outcomes = self.call(head + body[:cut], 3)
                    expected = [cut >= first, False, cut >= last]
                    assert [item.message_ended for item in outcomes] == expected
                    assert all(
                        item.outcome is (Outcome.NOT_SENT if item.message_ended else Outcome.RESET)
                        for item in outcomes
                    )

    def test_a_410_to_a_batch_ends_all_of_its_messages_when_cut(self) -> None:
        # Guards against a status that is applied to the first message of a batch only.
        assert [item.message_ended for item in self.call(GONE[:20], 3)] == [True] * 3

    def test_entries_that_end_messages_count_in_an_unreadable_answer(self) -> None:
        # Guards against another call of a message that is over, as another entry of the answer can't be read.
        body = b'[{"id":"m0","state":"gone"},{"id":"m1","state":}]'
        outcomes = self.call(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body), 2)
        assert [(item.outcome, item.message_ended) for item in outcomes] == [
            (Outcome.NOT_SENT, True),
            (Outcome.ERROR, False),
        ]


class TestCutRetryAfter(EndedMessagesRig):
    def next_outcome(self) -> Outcome:
        """Start another call on the route, and return its outcome, after nothing was sent on its connection."""
        self.client.start(self.attempt(2, self.port))
        assert self.accept().recv(1) == b""
        (item,) = self.outcomes()
        return item.outcome

    def test_a_retry_after_is_kept_from_a_cut_answer(self, subtests: pytest.Subtests) -> None:
        # Guards against calls within a Retry-After that had arrived before its answer broke off.
        for status in (b"429", b"503"):
            with subtests.test(status=status):
                (item,) = self.call(b"HTTP/1.1 " + status + b" X\r\nRetry-After: 30.5\r\nContent-Le")
                assert item.outcome is Outcome.RESET
                assert item.retry_after_s == pytest.approx(30.5, abs=0.4)
                assert self.next_outcome() is Outcome.NOT_SENT
                self.client.gate.paused_until.clear()

    def test_a_retry_after_holds_before_the_rest_of_its_answer_arrives(
        self, subtests: pytest.Subtests
    ) -> None:
        # Guards against calls within a Retry-After while its answer hangs, until that is given up.
        heads = (
            b"HTTP/1.1 503 X\r\nRetry-After: 30\r\n",
            b"HTTP/1.1 200 OK\r\nRetry-After: 30\r\nContent-Length: 9\r\n\r\n",
        )
        for head in heads:
            with subtests.test(head=head):
                self.client.start(self.attempt(1, self.port, 2))
                sock = self.accept()
                read_request(Stream(sock.recv))
                sock.sendall(head)
                while not self.client.gate.paused_until:
                    time.sleep(0)
                assert self.client.active[1].progress is AttemptProgress.WRITTEN
                assert self.next_outcome() is Outcome.NOT_SENT
                sock.close()
                assert 29.0 < self.outcomes()[0].retry_after_s <= 30.0
                self.client.gate.paused_until.clear()

    def test_the_part_of_a_cut_retry_after_is_its_least_value(self) -> None:
        # Guards against calls within a Retry-After whose last digits were lost.
        assert self.call(b"HTTP/1.1 429 X\r\nRetry-After: 30")[0].retry_after_s == pytest.approx(
            30.0, abs=0.4
        )

    def test_a_retry_after_is_assumed_for_a_429_that_lost_its_own(self) -> None:
        # Guards against calls right behind a 429, which has a Retry-After, although that was lost.
        for cut in (b"HTTP/1.1 429", b"HTTP/1.1 429 X\r\nRetry-Af"):
            (item,) = self.call(cut)
            assert (item.outcome, item.retry_after_s) == (Outcome.RESET, DEFAULT_RETRY_AFTER_S)
            assert self.next_outcome() is Outcome.NOT_SENT
            self.client.gate.paused_until.clear()

    def test_the_latest_retry_after_of_a_route_is_assumed_for_a_lost_one(self) -> None:
        # Guards against a pause that has nothing to do with what the destination asks for.
        self.call(b"HTTP/1.1 503 X\r\nRetry-After: 0.03\r\nContent-Length: 0\r\n\r\n")
        for cut in (b"HTTP/1.1 429 X\r\n", b"HTTP/1.1 503 X\r\n"):
            self.client.gate.paused_until.clear()
            assert self.call(cut)[0].retry_after_s == 0.03
        self.client.gate.paused_until.clear()
        self.call(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
        assert self.call(b"HTTP/1.1 503 X\r\n")[0].retry_after_s == 0.0
        self.client.remove_expired(time.monotonic() + 2 * RETRY_AFTER_MAX_AGE_S)
        assert self.client.gate.assumed_retry_after_s(7, is_certain=True) == DEFAULT_RETRY_AFTER_S

    def test_a_retry_after_of_a_health_checks_cut_answer_is_kept(self) -> None:
        # Guards against calls within a Retry-After that an endpoint gave to a health check.
        deadline = time.monotonic() + WAIT_S
        self.client.start(StartHealthCheck(1, 3, "127.0.0.1", self.port, 7, deadline))
        sock = self.accept()
        sock.recv(1000)
        sock.sendall(b"HTTP/1.1 503 X\r\nRetry-After: 30\r\nConte")
        sock.close()
        event = self.events.get(timeout=WAIT_S)
        assert isinstance(event, HealthCheckAnswered)
        assert event.retry_after_s == pytest.approx(30.0, abs=0.4)
        assert self.next_outcome() is Outcome.NOT_SENT


class TestUnreadAnswers(EndedMessagesRig):
    @pytest.fixture
    def may_read(self) -> Iterator[threading.Event]:
        """Keep the threads of calls from reading answers until the event is set."""
        event = threading.Event()

        def read_late(*arguments: Any) -> HttpResponse:
            assert event.wait(WAIT_S)
            return read_response(*arguments)

        with mock.patch.object(attempt_call, "read_response", read_late):
            yield event

    def call_with_unread(self, answer: bytes, count: int = 1) -> None:
        """Make a call, and wait until its answer has arrived in the system's buffer."""
        self.client.start(self.attempt(1, self.port, count))
        sock = self.accept()
        read_request(Stream(sock.recv))
        while self.client.active[1].progress is not AttemptProgress.WRITTEN:
            time.sleep(0)
        sock.sendall(answer)
        ours = self.client.active[1].sock
        assert ours is not None
        select.select([ours], [], [], WAIT_S)

    @pytest.mark.parametrize("answer", [GONE, GONE[:15]], ids=["whole", "cut"])
    def test_an_unread_410_ends_its_message_when_its_call_is_cancelled(
        self, answer: bytes, may_read: threading.Event
    ) -> None:
        # Guards against another call of a message whose 410 had arrived when its call was given up.
        self.call_with_unread(answer)
        assert self.client.cancel(1) is AttemptProgress.WRITTEN
        may_read.set()
        assert [item.message_ended for item in self.outcomes()] == [True]

    def test_an_unread_delivery_counts_when_its_call_is_cancelled(self, may_read: threading.Event) -> None:
        # Guards against a second execution, and a notification, of a message that was delivered.
        self.call_with_unread(DELIVERED)
        self.client.cancel_written()
        may_read.set()
        assert [item.outcome for item in self.outcomes()] == [Outcome.OK]

    def test_an_unread_retry_after_is_kept_when_its_call_is_cancelled(
        self, may_read: threading.Event
    ) -> None:
        # Guards against calls within a Retry-After that had arrived when its call was given up.
        self.call_with_unread(b"HTTP/1.1 429 X\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n")
        self.client.cancel(1)
        may_read.set()
        assert [item.retry_after_s for item in self.outcomes()] == [30.0]

    def test_a_cancelled_call_does_not_wait_for_a_permit(self) -> None:
        # Guards against a notification that is late as a long answer waits for memory.
        for _ in range(MAX_LARGE_ANSWERS):
            self.client.connections._limits.large_answers.begin(1.0, lambda: False)
        body = b" " * 50_000
        self.client.start(self.attempt(1, self.port, 2))
        sock = self.accept()
        read_request(Stream(sock.recv))
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n")
        sock.sendall(body[:9000])
        connection = self.client.active[1].connection
        assert connection is not None
        while len(connection.received) < READ_BYTES:
            time.sleep(0)
        with mock.patch.object(endpoint_connection, "MAX_ANSWER_TRANSFER_S", WAIT_S):
            began = time.monotonic()
            self.client.cancel(1)
            assert [item.outcome for item in self.outcomes()] == [Outcome.CANCELLED] * 2
            assert time.monotonic() - began < endpoint_connection.MAX_ANSWER_TRANSFER_S


class TestKill(EndedMessagesRig):
    def test_the_end_of_a_message_is_journalled_before_the_loop_hears_of_it(self) -> None:
        # Guards against another call after a kill between the answer 410 and the loop's record.
        journalled: list[JournalRecord] = []
        self.client.attempts.append = journalled.append
        self.call(GONE)
        assert set(journalled[1:]) == {CompletedRecord("m0")}
        journalled.clear()
        self.call(b"HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n\r\n")
        assert set(journalled[1:]) == {OutcomeDecidedRecord(OutcomeNotification("m0"))}

    def test_the_end_of_a_message_is_journalled_while_its_answer_hangs(
        self, subtests: pytest.Subtests
    ) -> None:
        # Guards against another call after a kill during the wait for the rest of an answer.
        batch = b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n[{"id":"m1","state":"gone"},{"id":"m0","sta'
        exhausted = OutcomeDecidedRecord(OutcomeNotification("m0"))
        cases: tuple[tuple[bytes, int, JournalRecord], ...] = (
            (GONE[:12], 1, CompletedRecord("m0")),
            (b"HTTP/1.1 504", 1, exhausted),
            (batch, 2, CompletedRecord("m1")),
        )
        for answer, count, expected in cases:
            with subtests.test(answer=answer):
                journalled: queue.Queue[JournalRecord] = queue.Queue()
                self.client.attempts.append = journalled.put
                self.client.start(self.attempt(1, self.port, count))
                sock = self.accept()
                read_request(Stream(sock.recv))
                assert [type(journalled.get()) for _ in range(count)] == [AttemptStartedRecord] * count
                sock.sendall(answer)
                assert journalled.get(timeout=WAIT_S) == expected
                assert self.events.empty(), "the call has ended"
                sock.close()
                self.outcomes()

    def test_a_message_that_becomes_a_dead_letter_is_left_to_the_loop(self) -> None:
        # Guards against a dead letter that is lost, as its outcome is journalled before it is stored.
        journalled: list[JournalRecord] = []
        self.client.attempts.append = journalled.append
        self.client.attempts.stores_dead_letters = True
        assert self.call(b"HTTP/1.1 504 X\r\n\r\n")[0].attempts_exhausted
        assert [type(record) for record in journalled] == [AttemptStartedRecord]

    def test_the_end_of_a_redrive_is_left_to_the_loop(self) -> None:
        # Guards against a redrive whose completion is journalled before its outcome is stored.
        journalled: list[JournalRecord] = []
        self.client.attempts.append = journalled.append
        name = "kept-00000000000000000001-1"
        item = BatchItem(0, Message(name, 0, 0, 7, 1.0, None, b""))
        self.client.start(replace(self.attempt(1, self.port), items=(item,)))
        sock = self.accept()
        read_request(Stream(sock.recv))
        sock.sendall(GONE)
        assert [item.message_ended for item in self.outcomes()] == [True]
        assert [type(record) for record in journalled] == [AttemptStartedRecord]


class TestEarlyClose(EndedMessagesRig):
    def test_a_call_on_a_connection_that_its_endpoint_has_closed_is_not_sent(self) -> None:
        # Guards against an attempt that counts as possibly executed, although the close could be seen before it.
        connect = sockets.connect

        def connect_and_wait(host: str, port: int, timeout_s: float, sock: socket.socket) -> None:
            connect(host, port, timeout_s, sock)
            self.accept().close()
            select.select([sock], [], [], WAIT_S)

        with mock.patch("juniperward.net.sockets.connect", connect_and_wait):
            self.client.start(self.attempt(1, self.port))
            assert [item.outcome for item in self.outcomes()] == [Outcome.CONNECT_FAILED]


class TestExhausted(ReducerRig):
    def test_the_client_of_a_message_without_attempts_left_is_notified_at_once(self) -> None:
        # Guards against further calls after a 504, and against a message without an end.
        self.start()
        (attempt,) = self.of_type(self.accept("a"), StartAttempt)
        exhausted = ItemOutcome(attempt.items[0].message, Outcome.NOT_SENT, attempts_exhausted=True)
        effects = self.reduce(AttemptAnswered(attempt.number, (exhausted,)))
        assert self.of_type(effects, SendNotifications) == [SendNotifications((OutcomeNotification("a"),))]
        assert AppendRecord(OutcomeDecidedRecord(OutcomeNotification("a"))) in effects
        self.now += 10.0
        assert self.attempted_ids(self.reduce(EndpointsUpdated(43, False, ()))) == []
        assert self.reducer.scheduler.state.backlog.messages == {}


class TestGivenUp(ReducerRig):
    def test_a_message_is_withdrawn_from_its_attempt_before_its_end_is_told(self) -> None:
        # Guards against a call that waits for a connection and is written after its message has ended.
        self.start()
        (attempt,) = self.of_type(self.accept("a", time_left_s=2.0), StartAttempt)
        self.now += 1.75  # The timer of the attempt is late, but not that of the scheduler.
        effects = self.reduce(EndpointsUpdated(43, False, ()))
        assert [type(effect) for effect in effects[:3]] == [
            WithdrawFromBatch,
            AppendRecord,
            SendNotifications,
        ]
        message = attempt.items[0].message
        effects = self.reduce(BatchItemWithdrawn(attempt.number, message, AttemptProgress.WAITING))
        assert self.of_type(effects, SendNotifications) == []
        assert self.reducer.state.attempts_in_flight == {}
