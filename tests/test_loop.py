"""The loop with parts that only record how they are called."""

from __future__ import annotations

from pathlib import Path
from typing import cast
from unittest import mock

import pytest

from juniperward.forwarder.effect_executor import EffectExecutor
from juniperward.forwarder.event_queue import EventQueue
from juniperward.forwarder.events import AttemptAnswered, EndpointsUpdated, MessageReceived, ShutdownRequested
from juniperward.forwarder.journal import JOURNAL_NAME, Journal, JournalFullError
from juniperward.forwarder.loop import Loop
from juniperward.forwarder.model import Endpoint, ItemOutcome, Message
from juniperward.forwarder.records import AttemptStartedRecord
from juniperward.forwarder.reducer import Reducer
from juniperward.scheduler.events import EndpointPhase, Outcome
from tests.helpers import KEYED, settings
from tests.resources import Resources


class TestLoop:
    @pytest.fixture(autouse=True)
    def set_up(self, resources: Resources, tmp_path: Path) -> None:
        self.resources = resources
        self.path = tmp_path / JOURNAL_NAME
        self.journal = self.resources.closing(Journal(tmp_path, 100_000, 0.0))
        self.parts = mock.Mock()
        queue = EventQueue()
        executor = EffectExecutor(
            self.journal, self.parts.server, self.parts.endpoint_client, self.parts.registry, queue
        )
        self.loop = Loop(Reducer(settings(KEYED), 1), executor, queue)
        worker = Endpoint("s-1", "127.0.0.1", 81, 1, EndpointPhase.READY, 0, 0, 0.0)
        self.loop.round([EndpointsUpdated(1, True, (worker,), cached=True)])
        self.parts.reset_mock()

    def submit(self) -> None:
        self.loop.round([MessageReceived(5, Message("a", 0, 0, 1, 20.0, "k", b"x"), 1e12)])

    def recorded_calls(self) -> list[str]:
        calls = cast("list[tuple[str, object, object]]", self.parts.mock_calls)
        return [name for name, _, _ in calls]

    def test_the_journal_comes_before_the_answer_and_that_before_the_call(self) -> None:
        written: list[bytes] = []

        def note(*_args: object) -> bool:
            written.append(self.path.read_bytes())
            return True

        self.parts.server.answer.side_effect = self.parts.endpoint_client.start.side_effect = note
        self.submit()
        assert self.recorded_calls() == ["server.answer", "endpoint_client.start"]
        assert [text.count(b"taken") for text in written] == [1, 1]
        assert [text.count(b"began") for text in written] == [0, 0]  # only with its first byte
        self.journal.append(AttemptStartedRecord("a", 1.0, "s-1"))
        assert self.path.read_bytes().count(b"began") == 1

    def test_nothing_is_sent_for_a_client_without_an_acknowledgement(self) -> None:
        # Guards against a delivery under an id that its client has given up: it hands the message in again.
        self.parts.server.answer.return_value = False
        self.submit()
        assert self.recorded_calls() == ["server.answer"]
        assert self.journal.restored() == ()

    def test_events_queued_at_shutdown_are_processed_and_no_attempt_starts(self) -> None:
        # Guards the last round: an accepted notice or a delivery that was read and not journalled came a second time.
        self.submit()
        self.parts.reset_mock()
        (number,) = self.loop.reducer.state.attempts_in_flight
        self.loop.queue.post(AttemptAnswered(number, (ItemOutcome(1, Outcome.OK),)))
        self.loop.queue.post(ShutdownRequested(0.0, 0.0))
        self.loop.queue.post(MessageReceived(6, Message("b", 0, 0, 1, 20.0, "k", b"x"), 1e12))
        self.loop.run(lambda: True)
        assert self.recorded_calls() == ["endpoint_client.stop_sending", "server.answer"]
        self.parts.server.answer.assert_called_once_with(6, 503, mock.ANY)
        assert len(self.journal.live) == 0

    def test_shutdown_waits_for_connected_clients_until_its_deadline(self) -> None:
        reducer = self.loop.reducer
        reducer.reduce(0.0, [ShutdownRequested(0.8, 3.3)])
        asked = [(1.0, False), (1.0, True), (3.3, False)]
        assert [reducer.may_exit(*x) for x in asked] == [False, True, True]

    def test_a_message_that_cannot_be_journalled_is_not_accepted(self) -> None:
        for error in (JournalFullError(2, 1), OSError(28, "No space left on device")):
            self.parts.reset_mock()
            with mock.patch.object(self.journal, "append", side_effect=[error, None]):
                self.submit()
            self.parts.server.answer.assert_called_once_with(5, 503, mock.ANY)
            assert self.recorded_calls() == ["server.answer"]
