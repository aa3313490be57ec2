"""The loop with mocks of the server, the endpoint client and the discovery client."""

from __future__ import annotations

import threading
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
from tests.helpers import WITH_IDEMPOTENCY_KEY, settings
from tests.resources import Resources


class TestLoop:
    @pytest.fixture(autouse=True)
    def set_up(self, resources: Resources, tmp_path: Path) -> None:
        self.resources = resources
        self.path = tmp_path / JOURNAL_NAME
        self.journal = self.resources.closing(Journal(tmp_path, 100_000, 0.0))
        self.mocks = mock.Mock()
        queue = EventQueue()
        executor = EffectExecutor(
            self.journal, self.mocks.server, self.mocks.endpoint_client, self.mocks.discovery, queue
        )
        self.loop = Loop(Reducer(settings(WITH_IDEMPOTENCY_KEY), 1), executor, queue)
        endpoint = Endpoint("s-1", "127.0.0.1", 81, 1, EndpointPhase.READY, 0, 0, 0.0)
        self.loop.round([EndpointsUpdated(1, True, (endpoint,), cached=True)])
        self.mocks.reset_mock()

    def submit(self) -> None:
        self.loop.round([MessageReceived(5, Message("a", 0, 0, 1, 20.0, "k", b"x"), 1e12)])

    def recorded_calls(self) -> list[str]:
        mock_calls = cast("list[tuple[str, object, object]]", self.mocks.mock_calls)
        return [name for name, _, _ in mock_calls]

    def test_a_message_is_journalled_before_its_answer_and_answered_before_its_attempt(self) -> None:
        # `TestServer` in test_net.py holds the server to journalling the message before it writes the answer.
        journals: list[bytes] = []

        def record_journal(*_args: object) -> bool:
            journals.append(self.path.read_bytes())
            return True

        self.mocks.server.accept.side_effect = lambda _, journal: journal() and record_journal()
        self.mocks.endpoint_client.start.side_effect = record_journal
        self.submit()
        assert self.recorded_calls() == ["server.accept", "endpoint_client.start"]
        assert [text.count(b"taken") for text in journals] == [1, 1]
        # An attempt is journalled with its first byte only.
        assert [text.count(b"began") for text in journals] == [0, 0]
        self.journal.append(AttemptStartedRecord("a", 1.0, "s-1"))
        assert self.path.read_bytes().count(b"began") == 1

    def test_nothing_is_sent_for_a_client_without_an_acknowledgement(self) -> None:
        # Guards against delivering a message whose client was not answered and submits it again.
        # The client is found to be gone after its message was journalled, or before.
        for accept in (lambda _, journal: not journal(), lambda *_: False):
            self.mocks.reset_mock()
            self.mocks.server.accept.side_effect = accept
            self.submit()
            assert self.recorded_calls() == ["server.accept"]
            assert (self.journal.restored(), len(self.journal.live)) == ((), 0)

    def test_events_queued_at_shutdown_are_processed_and_no_attempt_starts(self) -> None:
        # Guards against repeating a delivery or a notification whose result was queued at the shutdown.
        self.submit()
        self.mocks.reset_mock()
        (number,) = self.loop.reducer.state.attempts_in_flight
        self.loop.queue.post(AttemptAnswered(number, (ItemOutcome(1, Outcome.OK),)))
        self.loop.queue.post(ShutdownRequested(0.0, 0.0))
        self.loop.queue.post(MessageReceived(6, Message("b", 0, 0, 1, 20.0, "k", b"x"), 1e12))
        self.loop.run(lambda: True)
        assert self.recorded_calls() == [
            "endpoint_client.stop_sending",
            "endpoint_client.cancel_written",
            "server.answer",
        ]
        self.mocks.server.answer.assert_called_once_with(6, 503, mock.ANY)
        assert len(self.journal.live) == 0

    def test_answers_that_are_unread_at_the_shutdown_are_journalled(self) -> None:
        # Guards against another call by the next process of a message that its endpoint had ended.
        self.submit()
        (number,) = self.loop.reducer.state.attempts_in_flight
        ended = AttemptAnswered(number, (ItemOutcome(1, Outcome.NOT_SENT, message_ended=True),))

        def read_on_thread() -> None:
            threading.Thread(target=self.loop.queue.post, args=(ended,)).start()

        self.mocks.endpoint_client.cancel_written.side_effect = read_on_thread
        self.loop.run(lambda: True)
        assert len(self.journal.live) == 0
        assert self.loop.reducer.state.attempts_in_flight == {}

    def test_shutdown_waits_for_connected_clients_until_its_deadline(self) -> None:
        reducer = self.loop.reducer
        reducer.reduce(0.0, [ShutdownRequested(0.8, 3.3)])
        calls = [(1.0, False), (1.0, True), (3.3, False)]
        assert [reducer.may_exit(*arguments) for arguments in calls] == [False, True, True]

    def test_a_message_that_cannot_be_journalled_is_not_accepted(self) -> None:
        for error in (JournalFullError(2, 1), OSError(28, "No space left on device")):
            self.mocks.reset_mock()
            self.mocks.server.accept.side_effect = lambda _, journal: journal()
            with mock.patch.object(self.journal, "append", side_effect=[error, None]):
                self.submit()
            # `TestServer` in test_net.py holds the server to status 503 in this case.
            self.mocks.server.accept.assert_called_once_with(5, mock.ANY)
            assert self.recorded_calls() == ["server.accept"]
