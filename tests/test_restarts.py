"""Restarts: an accepted message that was never attempted is known as such, and is attempted."""

from __future__ import annotations

import json
import shutil
import tempfile
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest import mock

import pytest

from juniperward.forwarder.assembly import build
from juniperward.forwarder.config import load
from juniperward.forwarder.effects import Effect, ReplyToClient, SendNotifications, SetTimer, StartAttempt
from juniperward.forwarder.endpoint_client import EndpointClient
from juniperward.forwarder.events import (
    AttemptAnswered,
    EndpointsUpdated,
    Event,
    JournalReplayed,
    MessageReceived,
)
from juniperward.forwarder.journal import JOURNAL_NAME, Journal
from juniperward.forwarder.model import BatchItem, ItemOutcome, Message
from juniperward.forwarder.records import (
    AcceptedRecord,
    AttemptStartedRecord,
    RecordedAttempt,
    RestoredMessage,
)
from juniperward.forwarder.reducer import Reducer
from juniperward.forwarder.reducer.intake import ADMISSION_RETRY_AFTER_S, NOTIFICATION_GRACE_AFTER_RESTART_S
from juniperward.forwarder.telemetry import counters
from juniperward.net import sockets
from juniperward.net.http_requests import read_request
from juniperward.net.stream import Stream
from juniperward.scheduler.events import EndpointPhase, Outcome
from juniperward.scheduler.settings import MessageClass
from tests.endpoint_client_rig import LIMITS, EndpointClientRig
from tests.helpers import IDEMPOTENT, settings
from tests.player import Program
from tests.resources import Resources, UsesResources
from tests.test_reducer import ReducerRig, make_endpoint, make_message


class TestFirstByte(EndpointClientRig):
    @pytest.fixture(autouse=True)
    def set_up(self, resources: Resources, tmp_path: Path) -> None:
        self.listen(resources)
        self.folder = tmp_path
        self.journal = self.open_journal()
        for n in range(2):
            self.journal.append(AcceptedRecord(Message(f"m{n}", 0, 0, 7, 9.0, None, b""), 1e6))
        self.client = EndpointClient(LIMITS, self.events.put, self.journal.append)

    def open_journal(self) -> Journal:
        return self.resources.closing(Journal(self.folder, 100_000, 0.0))

    def journalled_attempts(self) -> list[str]:
        """Return the ids of messages with an attempt in the journal, as after a kill at this moment."""
        with tempfile.TemporaryDirectory() as folder:
            shutil.copy(self.folder / JOURNAL_NAME, folder)
            journal = Journal(Path(folder), 100_000, 0.0)
            journal.close()
        return [r.message.id for r in journal.restored() if r.history]

    def start_attempt(self, count: int = 2) -> StartAttempt:
        items = tuple(BatchItem(n, Message(f"m{n}", 0, 0, 7, 9.0, None, b"")) for n in range(count))
        return StartAttempt(1, 3, "127.0.0.1", self.port, 7, items, 1e12, "s-3")

    def test_a_kill_while_an_attempt_waits_for_its_connection_leaves_messages_never_attempted(self) -> None:
        # Guards against counting an unwritten message as possibly executed after a restart.
        may_connect, connect = threading.Event(), sockets.connect

        def connect_late(*args: Any) -> None:
            may_connect.wait(5.0)
            connect(*args)

        with mock.patch("juniperward.net.sockets.connect", connect_late):
            self.client.start(self.start_attempt())
            assert self.journalled_attempts() == []
            self.client.withdraw(1, 1)
            may_connect.set()
            sock = self.accept()
            assert sock.recv(1)
            # An attempt is in the journal before its first byte is written; m1 was withdrawn.
            assert self.journalled_attempts() == ["m0"]

    def test_an_attempt_that_is_not_written_leaves_an_earlier_attempt_unchanged(self) -> None:
        # Guards against clearing a possibly executed attempt by the outcome of a later, unwritten one.
        self.client.start(self.start_attempt(1))
        sock = self.accept()
        sock.recv(1)
        self.listener.close()
        sock.close()
        assert self.outcomes() == [ItemOutcome(0, Outcome.RESET)]
        self.client.start(self.start_attempt(1))
        assert self.outcomes() == [ItemOutcome(0, Outcome.CONNECT_FAILED, written=False)]
        assert self.journalled_attempts() == ["m0"]

    def test_no_attempt_starts_once_the_process_ends(self) -> None:
        # Guards against an attempt after the next process has read the journal.
        self.client.stop_sending()
        self.client.start(self.start_attempt())
        sock = self.accept()
        assert {e.outcome for e in self.outcomes()} == {Outcome.NOT_SENT}
        assert (sock.recv(1), self.journalled_attempts()) == (b"", [])

    def test_an_attempt_without_journal_capacity_is_not_written(self) -> None:
        # Guards against executing a non-idempotent message twice because its attempt was not journalled.
        failing_append = mock.Mock(side_effect=[None, OSError(28, "No space left on device")])
        self.client.attempts.append = failing_append
        self.client.start(self.start_attempt())
        sock = self.accept()
        request = read_request(Stream(sock.recv))
        assert (request.path, request.headers["x-correlation-id"]) == ("/receive", "m0")
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert {e.message: e.outcome for e in self.outcomes()} == {0: Outcome.OK, 1: Outcome.NOT_SENT}
        failing_append.side_effect = OSError(28, "No space left on device")
        self.client.start(self.start_attempt())
        assert {(e.outcome, e.written) for e in self.outcomes()} == {(Outcome.NOT_SENT, False)}
        assert sock.recv(1) == b""

    def outcomes(self) -> list[ItemOutcome]:
        event = self.events.get(timeout=5.0)
        assert isinstance(event, AttemptAnswered)
        return list(event.outcomes)

    def test_the_threads_and_the_loop_write_complete_lines(self) -> None:
        failed: list[Exception] = []

        def write() -> None:
            try:
                for _ in range(200):
                    self.journal.append(AcceptedRecord(Message("m9", 0, 0, 7, 9.0, None, b"x" * 200), 1e6))
            except Exception as error:
                failed.append(error)

        threads = [threading.Thread(target=write) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert failed == []
        before = counters().get("journal_damaged", 0)
        assert {r.message.id for r in self.open_journal().restored()} == {"m0", "m1", "m9"}
        assert counters().get("journal_damaged", 0) == before


class TestAssembly(UsesResources):
    def test_an_attempt_gets_the_error_of_a_record_that_was_not_written(self) -> None:
        # Guards `build`: if the error were only logged, an attempt would be written without its record.
        with tempfile.TemporaryDirectory() as folder:
            program = self.resources.closing(Program(Path(folder)))
            path = Path(folder) / "config.json"
            path.write_text(json.dumps(program.config))
            loop = build(load({"ROUTER_CONFIG": str(path), "ROUTER_STATE": str(program.state)}))
            self.resources.callback(loop.executor.server.listener.close)
            self.resources.callback(loop.executor.journal.close)
            loop.executor.journal.append(AcceptedRecord(Message("m0", 0, 0, 7, 9.0, None, b""), 1e6))
            with (
                mock.patch(
                    "juniperward.forwarder.journal._write", side_effect=OSError(28, "No space left on device")
                ),
                pytest.raises(OSError),
            ):
                loop.executor.endpoint_client.attempts.append(AttemptStartedRecord("m0", 1.0, "s-7"))


class TestNeverAttempted(ReducerRig):
    """The reducer and the scheduler after a restart."""

    def restore(
        self, *restored: RestoredMessage, first: MessageClass = IDEMPOTENT, **more: Any
    ) -> list[Effect]:
        self.reducer = Reducer(settings(first, IDEMPOTENT, **more), 1)
        self.now = 100.0
        self.reduce(EndpointsUpdated(41, True, (make_endpoint(),), cached=True))
        return self.reduce(JournalReplayed(restored))

    def fire_timers(
        self, until: float, effects: list[Effect], reduce: Callable[[Event], list[Effect]]
    ) -> list[Effect]:
        """Fire the timers up to a time; return all effects on the way."""
        seen, timers = list(effects), self.of_type(effects, SetTimer)
        while timers := sorted((timer for timer in timers if timer.at <= until), key=lambda timer: timer.at):
            timer = timers.pop(0)
            self.now = max(self.now, timer.at)
            new = reduce(timer.event)
            seen += new
            timers += self.of_type(new, SetTimer)
        self.now = until
        return seen

    def test_a_never_attempted_message_precedes_a_higher_priority_weight(self) -> None:
        # Guards against restored messages that expire unattempted behind messages received after the restart.
        fresh = MessageClass(latency_objective_s=4.0, deadline_s=20.0, priority_weight=50.0, late_weight=1.0)
        # These restored messages are past their latency objective.
        late = [RestoredMessage(make_message(f"r{n}", class_index=1), 115.0) for n in range(3)]
        unexecuted = RestoredMessage(
            make_message("t", class_index=1), 115.0, (RecordedAttempt("s-1", 95.0, False),)
        )
        effects = self.restore(unexecuted, *late, first=fresh, slots=1)
        before = counters()
        for n in range(3):
            self.accept(f"f{n}")
        order = []
        while attempted := self.attempted_ids(effects):
            order += attempted[0]
            self.now += 0.5
            effects = self.finish_attempt(effects, (Outcome.ERROR if order == ["r0"] else Outcome.OK, 0.0))
        # Messages attempted before or after the restart are ordered by priority, then by arrival.
        assert order == ["r0", "r1", "r2", "f0", "f1", "f2", "t", "r0"]
        gained = {k: v - before.get(k, 0) for k, v in counters().items() if k.startswith("restored_")}
        assert (gained["restored_attempted"], gained.get("restored_never_attempted", 0)) == (3, 0)

    def test_a_never_attempted_message_has_its_full_deadline(self) -> None:
        # Guards against failing a message at once if less than the notification margin is left.
        # The client's deadline of `soon` is 100.2.
        soon = RestoredMessage(make_message("soon", time_left_s=2.0), 99.9)
        over = RestoredMessage(make_message("over", time_left_s=2.0), 99.6)
        effects = self.restore(over, soon)
        assert self.attempted_ids(effects) == [["soon"]]
        assert [n.id for t in self.of_type(effects, SendNotifications) for n in t.notifications] == ["over"]
        (attempt,) = self.of_type(effects, StartAttempt)
        assert attempt.deadline == pytest.approx(100.2, abs=5e-8)
        # No notification is overdue for 1.5 s; then the notification margin applies again.
        assert pytest.approx(1.2, abs=5e-8) == NOTIFICATION_GRACE_AFTER_RESTART_S
        effects = self.restore(RestoredMessage(make_message("later", time_left_s=8.0), 105.0))
        assert self.of_type(effects, StartAttempt)[0].deadline == pytest.approx(105.0, abs=5e-8)

    def test_a_never_attempted_message_retains_its_slot_in_a_full_forwarder(self) -> None:
        # Guards a kill under full load: neither intake nor load shedding ends a restored message.
        restored = [RestoredMessage(make_message(f"r{n}", class_index=1), 115.0) for n in range(4)]
        before = counters().get("restored_never_attempted", 0)
        effects = self.restore(*restored, slots=1, max_open=4)
        assert self.reduce(MessageReceived(5, make_message("new"), self.now)) == [
            ReplyToClient(5, 503, ADMISSION_RETRY_AFTER_S)
        ]
        order = []
        while attempted := self.attempted_ids(effects):
            order += attempted[0]
            effects = self.finish_attempt(effects, (Outcome.OK, 0.0))
        assert (order, counters().get("restored_never_attempted", 0)) == (["r0", "r1", "r2", "r3"], before)
        assert self.attempted_ids(self.accept("new")) == [["new"]]

    def test_a_never_attempted_message_is_sent_once_its_destination_is_listed(self) -> None:
        # Guards a restart with an outdated list that lacks the message's destination.
        effects = self.restore(RestoredMessage(make_message("a", destination=5, time_left_s=8.0), 105.0))
        assert self.attempted_ids(effects) == []
        effects = self.reduce(
            EndpointsUpdated(
                42, False, (make_endpoint("s-1", phase=EndpointPhase.REMOVED), make_endpoint("s-5", 5))
            )
        )
        assert [attempt.endpoint_id for attempt in self.of_type(effects, StartAttempt)] == ["s-5"]

    def test_a_never_attempted_message_is_pending_until_its_deadline(self) -> None:
        # Guards against giving up a message early for lack of endpoints; its expiry is counted.
        effects = self.restore(RestoredMessage(make_message("a", destination=5, time_left_s=8.0), 105.0))
        before = counters().get("restored_never_attempted", 0)
        seen = self.fire_timers(104.9, effects, self.reduce)
        assert self.of_type(seen, SendNotifications) == []
        seen = self.fire_timers(105.2, self.of_type(seen, SetTimer), self.reduce)
        assert len(self.of_type(seen, SendNotifications)) == 1
        assert counters()["restored_never_attempted"] == before + 1
