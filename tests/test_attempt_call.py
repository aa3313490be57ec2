"""The last check of an attempt before its first byte is written, after everything that may wait."""

from __future__ import annotations

import queue
import socket
import threading
from collections.abc import Iterator
from unittest import mock

import pytest

from juniperward.forwarder import attempt_call
from juniperward.forwarder.effects import StartAttempt
from juniperward.forwarder.events import AttemptAnswered
from juniperward.forwarder.model import AttemptProgress, BatchItem, ItemOutcome, Message
from juniperward.forwarder.records import AttemptStartedRecord, JournalRecord
from juniperward.forwarder.telemetry import counters
from juniperward.net.http_requests import read_request
from juniperward.net.stream import Stream
from juniperward.scheduler.events import Outcome
from tests.endpoint_client_rig import EndpointClientRig
from tests.resources import Resources

WINDOW_END = 1000.0
NOT_SENT = ItemOutcome(0, Outcome.NOT_SENT)


class Clock:
    """The clock of the module under test; it moves only when a test moves it."""

    now = WINDOW_END - 0.5

    def monotonic(self) -> float:
        return self.now


class TestLastCheck(EndpointClientRig):
    @pytest.fixture(autouse=True)
    def set_up(self, resources: Resources) -> Iterator[None]:
        self.listen(resources)
        self.clock = Clock()
        self.journalled: list[JournalRecord] = []
        self.client.attempts.append = self.append
        with mock.patch.object(attempt_call, "time", self.clock):
            yield

    def append(self, record: JournalRecord) -> None:
        self.journalled.append(record)

    def start(self, *start_before: float) -> None:
        """Start an attempt with a message for each given end of a window."""
        items = tuple(
            BatchItem(number, Message(f"m{number}", 0, 0, 7, 1.0, "k", b""), before)
            for number, before in enumerate(start_before)
        )
        self.client.start(StartAttempt(1, 3, "127.0.0.1", self.port, 7, items, 1e12, "s-3"))

    def outcomes(self) -> tuple[ItemOutcome, ...]:
        event = self.events.get(timeout=5.0)
        assert isinstance(event, AttemptAnswered)
        return event.outcomes

    def assert_nothing_sent(self, sock: socket.socket) -> None:
        assert sock.recv(1000) == b""

    def test_no_repeat_is_sent_if_the_window_ends_during_the_wait_for_the_lock(self) -> None:
        # Guards against a check of the window with a time that was read before a wait.
        missed = counters().get("deduplication_windows_missed", 0)
        with mock.patch.object(self.client.gate, "lock", SlowLock(self.client.gate.lock, self.clock)):
            self.start(WINDOW_END)
            sock = self.accept()
            assert self.outcomes() == (ItemOutcome(0, Outcome.NOT_SENT, written=False),)
        self.assert_nothing_sent(sock)
        assert self.journalled == []
        assert counters()["deduplication_windows_missed"] == missed + 1

    def test_no_repeat_is_sent_if_the_window_ends_during_the_write_of_its_record(self) -> None:
        # Guards against a call whose write waits behind the journal until the destination has forgotten its key.
        def append_slowly(record: JournalRecord) -> None:
            self.append(record)
            self.clock.now = WINDOW_END

        self.client.attempts.append = append_slowly
        self.start(WINDOW_END)
        sock = self.accept()
        # The journal has the start, so the outcome has to be written to it too.
        assert self.outcomes() == (NOT_SENT,)
        assert len(self.journalled) == 1
        self.assert_nothing_sent(sock)

    def test_the_other_messages_of_a_batch_are_sent(self) -> None:
        def append_slowly(record: JournalRecord) -> None:
            self.append(record)
            self.clock.now += 0.3

        self.client.attempts.append = append_slowly
        self.start(WINDOW_END, WINDOW_END + 10.0)
        sock = self.accept()
        request = read_request(Stream(sock.recv))
        assert (request.path, request.headers["x-correlation-id"]) == ("/receive", "m1")
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert self.outcomes() == (NOT_SENT, ItemOutcome(1, Outcome.OK))

    def test_a_call_cancelled_while_its_record_is_written_is_not_sent(self) -> None:
        # Guards against a loop that waits for the journal of each call, and against sending cancelled calls.
        progress: queue.Queue[AttemptProgress] = queue.Queue()

        def append_and_cancel(record: JournalRecord) -> None:
            self.append(record)
            progress.put(self.client.cancel(1))

        self.client.attempts.append = append_and_cancel
        self.start(WINDOW_END)
        sock = self.accept()
        assert sock.recv(1000) == b""
        assert progress.get(timeout=5.0) is AttemptProgress.WAITING
        assert self.events.empty()

    def test_the_record_has_a_time_before_the_first_byte(self) -> None:
        # Guards against a window that the next process takes to end later than it does.
        self.start(WINDOW_END)
        sock = self.accept()
        sock.recv(1000)
        (record,) = self.journalled
        assert isinstance(record, AttemptStartedRecord)
        assert record.started_at == self.clock.now


class SlowLock:
    """A lock for which threads of calls wait until the end of the window."""

    def __init__(self, lock: object, clock: Clock) -> None:
        self.lock, self.clock = lock, clock

    def __enter__(self) -> None:
        self.lock.__enter__()  # type: ignore[attr-defined]
        if threading.current_thread().name == "endpoint":
            self.clock.now = WINDOW_END

    def __exit__(self, *error: object) -> None:
        self.lock.__exit__(*error)  # type: ignore[attr-defined]
