"""The reducer without sockets: its effects and their order."""

from __future__ import annotations

from typing import Any

import pytest

from juniperward.forwarder.effects import (
    AcceptMessage,
    AppendRecord,
    CancelAttempt,
    Effect,
    ForgetEndpoint,
    PauseRoute,
    ReplyToClient,
    SendNotifications,
    SetEndpointDraining,
    SetTimer,
    StartAttempt,
    StartWatch,
    SwitchDiscovery,
    WithdrawFromBatch,
)
from juniperward.forwarder.events import (
    AttemptAnswered,
    AttemptCancelled,
    BatchItemWithdrawn,
    CancellationTimerFired,
    DeadlineReached,
    DiscoveryAddressChanged,
    EndpointsUpdated,
    Event,
    JournalReplayed,
    MessageAccepted,
    MessageReceived,
    NotificationAcknowledged,
    ShutdownRequested,
    WatchLost,
)
from juniperward.forwarder.model import AttemptProgress, Endpoint, ItemOutcome, Message, OutcomeNotification
from juniperward.forwarder.records import (
    AttemptFinishedRecord,
    CompletedRecord,
    OutcomeDecidedRecord,
    RecordedAttempt,
    RestoredMessage,
)
from juniperward.forwarder.reducer import Reducer
from juniperward.forwarder.reducer.completion import MAX_COMPLETED_IDS
from juniperward.forwarder.reducer.intake import ADMISSION_RETRY_AFTER_S
from juniperward.scheduler.events import EndpointPhase, Outcome
from juniperward.scheduler.settings import DestinationKind
from tests.helpers import NON_IDEMPOTENT, WITH_IDEMPOTENCY_KEY, settings


def make_endpoint(
    name: str = "s-1", destination: int = 1, phase: EndpointPhase = EndpointPhase.READY, kind: int = 0
) -> Endpoint:
    return Endpoint(name, "127.0.0.1", 81, destination, phase, kind, 0, 0.0)


def make_message(
    name: str, destination: int = 1, class_index: int = 0, time_left_s: float = 20.0, body: bytes = b"body"
) -> Message:
    return Message(name, class_index, 0, destination, time_left_s, "k", body)


class ReducerRig:
    """A base class for tests that drive a reducer by events."""

    def start(self, *endpoints: Endpoint, **changes: Any) -> Reducer:
        kinds = {"kinds": (DestinationKind(), DestinationKind(batch_size=20)), "slots": 8}
        self.reducer = Reducer(settings(WITH_IDEMPOTENCY_KEY, NON_IDEMPOTENT, **{**kinds, **changes}), 1)
        self.now = 100.0
        self.reduce(EndpointsUpdated(41, True, endpoints or (make_endpoint(),), cached=True))
        return self.reducer

    def reduce(self, *events: Event) -> list[Effect]:
        return self.reducer.reduce(self.now, events)

    def accept(self, name: str, client_answered: bool = True, **fields: Any) -> list[Effect]:
        """Receive a message and answer its client; return the effects after that."""
        (effect,) = self.reduce(MessageReceived(5, make_message(name, **fields), self.now))
        assert isinstance(effect, AcceptMessage)
        return self.reduce(MessageAccepted(effect.message, client_answered))

    def of_type(self, effects: list[Effect], kind: type) -> list[Any]:
        return [e for e in effects if isinstance(e, kind)]

    def attempted_ids(self, effects: list[Effect]) -> list[list[str]]:
        return [
            [item.content.id for item in attempt.items] for attempt in self.of_type(effects, StartAttempt)
        ]

    def finish_attempt(self, effects: list[Effect], *results: tuple[Outcome, float]) -> list[Effect]:
        """Finish the only attempt among `effects` with an outcome and a Retry-After for each message."""
        (attempt,) = self.of_type(effects, StartAttempt)
        outcomes = tuple(
            ItemOutcome(item.message, outcome, retry_after_s)
            for item, (outcome, retry_after_s) in zip(attempt.items, results, strict=True)
        )
        return self.reduce(AttemptAnswered(attempt.number, outcomes))

    def expire_first_message(
        self, attempt: StartAttempt, progress: AttemptProgress = AttemptProgress.WRITTEN
    ) -> list[Effect]:
        """Let the deadline of an attempt's first message pass, with the attempt at `progress`."""
        message = attempt.items[0].message
        assert self.reduce(DeadlineReached(attempt.number, message)) == [
            WithdrawFromBatch(attempt.number, message)
        ]
        return self.reduce(BatchItemWithdrawn(attempt.number, message, progress))

    def cancel(self, attempt: StartAttempt, *outcomes: ItemOutcome) -> list[Effect]:
        """Let a cancelled attempt end as its thread reports it: without an answer, or with `outcomes`."""
        assert self.reduce(AttemptCancelled(attempt.number, AttemptProgress.WRITTEN)) == []
        unanswered = tuple(ItemOutcome(item.message, Outcome.CANCELLED) for item in attempt.items)
        return self.reduce(AttemptAnswered(attempt.number, outcomes or unanswered))


class TestReducer(ReducerRig):
    def test_a_message_expires_before_its_deadline_by_the_notification_margin(
        self, subtests: pytest.Subtests
    ) -> None:
        # Guards against notifications that are late because the clock stood still after the process started.
        self.start()
        for name, time_left_s in (("a", 12.0), ("b", 0.5)):
            with subtests.test(time_left_s=time_left_s):
                (effect,) = self.reduce(
                    MessageReceived(5, make_message(name, time_left_s=time_left_s), self.now)
                )
                assert isinstance(effect, AcceptMessage)
                assert effect.record.expires_at - self.now == pytest.approx(
                    time_left_s - min(0.3, 0.2 * time_left_s), abs=5e-8
                )

    def test_an_attempt_is_journalled_with_its_endpoint_at_its_first_byte(self) -> None:
        # Guards against counting an unwritten attempt; tests/test_restarts.py tests the first byte.
        self.start()
        effects = self.accept("a")
        assert self.of_type(effects, AppendRecord) == []
        assert [attempt.endpoint_id for attempt in self.of_type(effects, StartAttempt)] == ["s-1"]

    def test_a_message_whose_client_was_not_acknowledged_is_withdrawn(self) -> None:
        self.start()
        effects = self.accept("a", client_answered=False)
        assert effects == [AppendRecord(CompletedRecord("a"))]
        assert self.attempted_ids(self.accept("a")) == [["a"]]

    def test_the_same_message_on_a_second_connection_is_a_duplicate(self) -> None:
        # Guards the client's retry after the forwarder closed the connection without a response.
        self.start()
        self.accept("a")
        assert self.reduce(MessageReceived(6, make_message("a"), self.now)) == [ReplyToClient(6, 202)]

    def test_a_duplicate_is_accepted_in_place_of_a_request_whose_client_is_gone(self) -> None:
        # Guards against a 202 for a message that is withdrawn, as the request before was not answered.
        self.start()
        message = make_message("a")
        requests = [MessageReceived(number, message, self.now) for number in (5, 6, 7)]
        (first,) = self.reduce(*requests)
        assert isinstance(first, AcceptMessage)
        assert first.request == 5
        withdrawn, second = self.reduce(MessageAccepted(first.message, client_answered=False))
        assert withdrawn == AppendRecord(CompletedRecord("a"))
        assert isinstance(second, AcceptMessage)
        assert second.request == 6
        effects = self.reduce(MessageAccepted(second.message, client_answered=True))
        assert self.of_type(effects, ReplyToClient) == [ReplyToClient(7, 202)]
        assert self.attempted_ids(effects) == [["a"]]
        assert self.reducer.state.messages.duplicates == {}

    def test_another_message_with_the_id_of_a_pending_one_is_rejected(self) -> None:
        # Guards against a 202 for a message that is not kept, as another client has sent one under its id before.
        self.start()
        other = make_message("a", body=b"another body")
        (accept, *replies) = self.reduce(
            MessageReceived(5, make_message("a"), self.now),
            MessageReceived(6, other, self.now),
            MessageReceived(7, make_message("a", time_left_s=19.9), self.now),
        )
        assert isinstance(accept, AcceptMessage)
        assert replies == [ReplyToClient(6, 503, ADMISSION_RETRY_AFTER_S)]
        effects = self.reduce(MessageAccepted(accept.message, client_answered=True))
        assert self.of_type(effects, ReplyToClient) == [ReplyToClient(7, 202)]
        for changed in (other, make_message("a", class_index=1), make_message("a", destination=2)):
            effects = self.reduce(MessageReceived(8, changed, self.now))
            assert effects == [ReplyToClient(8, 503, ADMISSION_RETRY_AFTER_S)]

    def test_a_completed_message_is_not_accepted_again_within_its_deadline(self) -> None:
        # Guards against attempts for a duplicate of a delivered message.
        self.start()
        self.finish_attempt(self.accept("a"), (Outcome.OK, 0.0))
        self.now += 19.9
        assert self.reduce(MessageReceived(6, make_message("a"), self.now)) == [ReplyToClient(6, 202)]
        self.now += 0.2
        assert isinstance(self.reduce(MessageReceived(6, make_message("a"), self.now))[0], AcceptMessage)
        self.reducer.state.messages.completed = {f"x{n}": self.now for n in range(MAX_COMPLETED_IDS + 2)}
        self.reduce(MessageReceived(7, make_message("b"), self.now))
        assert len(self.reducer.state.messages.completed) == MAX_COMPLETED_IDS

    def test_an_unexecuted_message_is_not_failed_before_seven_tenths_of_its_deadline(
        self, subtests: pytest.Subtests
    ) -> None:
        for time_left_s in (20.0, 0.96):
            with subtests.test(time_left_s=time_left_s):
                self.start(make_endpoint("s-1", 2))
                started_at, effects = self.now, self.accept("a", time_left_s=time_left_s, destination=2)
                timers = self.of_type(effects, SetTimer)
                self.reduce(EndpointsUpdated(42, False, (make_endpoint("s-1", 2, EndpointPhase.REMOVED),)))
                effects = self.finish_attempt(effects, (Outcome.OVERLOADED, 0.0))
                timers += self.of_type(effects, SetTimer)
                while not self.of_type(effects, SendNotifications):
                    timers.sort(key=lambda timer: timer.at)
                    timer = timers.pop(0)
                    self.now = max(self.now, timer.at)
                    effects = self.reduce(timer.event)
                    timers += self.of_type(effects, SetTimer)
                assert self.now - started_at >= 0.7 * time_left_s - 1e-6
                assert self.now - started_at <= time_left_s

    def test_intake_counts_pending_and_accepting_messages(self) -> None:
        self.start(max_open=2, slots=8)
        effects = self.reduce(*(MessageReceived(n, make_message(f"m{n}"), self.now) for n in range(3)))
        assert [type(e) for e in effects] == [AcceptMessage, AcceptMessage, ReplyToClient]
        assert self.of_type(effects, ReplyToClient)[0].status == 503
        assert self.of_type(effects, ReplyToClient)[0].retry_after_s > 0

    def test_an_expired_message_is_rejected(self) -> None:
        self.start()
        assert isinstance(
            self.reduce(MessageReceived(1, make_message("a", time_left_s=0.0), self.now))[0], ReplyToClient
        )

    def test_a_delivery_completes_the_message(self) -> None:
        self.start()
        effects = self.finish_attempt(self.accept("a"), (Outcome.OK, 0.0))
        assert self.of_type(effects, AppendRecord) == [AppendRecord(CompletedRecord("a"))]
        assert not self.of_type(effects, SendNotifications)

    def test_attempts_of_a_round_to_one_endpoint_are_one_batch(self) -> None:
        self.start(make_endpoint(kind=1))
        first = self.accept("a")
        self.reduce(*self.of_type(self.finish_attempt(first, (Outcome.OVERLOADED, 0.5)), DeadlineReached))
        for name in "bc":
            assert not self.attempted_ids(self.accept(name))
        self.now += 2.0
        effects = self.reduce(EndpointsUpdated(42, False, ()))
        assert self.attempted_ids(effects) == [["a", "b", "c"]]
        # The scheduler adapts to the first outcome of an attempt, so a rejection is reported first.
        effects = self.finish_attempt(
            effects, (Outcome.ERROR, 3.0), (Outcome.OVERLOADED, 3.0), (Outcome.OK, 3.0)
        )
        records = [e.record for e in self.of_type(effects, AppendRecord)]
        assert records == [
            AttemptFinishedRecord("b", False),
            AttemptFinishedRecord("a", True),
            CompletedRecord("c"),
        ]
        assert self.of_type(effects, PauseRoute)[0] == PauseRoute(1, 105.0)

    def test_a_retry_after_with_a_delivery_is_respected(self) -> None:
        # Guards the Retry-After of a 200: the scheduler must get it although nothing was rejected.
        self.start()
        self.finish_attempt(self.accept("a"), (Outcome.OK, 5.0))
        self.now += 1.0
        assert self.attempted_ids(self.accept("b")) == []

    def test_with_separate_routes_retry_after_pauses_only_the_endpoint_that_sent_it(
        self, subtests: pytest.Subtests
    ) -> None:
        for separate_routes, route, second_attempts in ((False, 1, []), (True, "s-1", [["b"]])):
            with subtests.test(separate_routes=separate_routes):
                self.start(kinds=(DestinationKind(separate_routes=separate_routes),))
                effects = self.accept("a")
                assert [attempt.route for attempt in self.of_type(effects, StartAttempt)] == [route]
                effects = self.finish_attempt(effects, (Outcome.OVERLOADED, 5.0))
                assert self.of_type(effects, PauseRoute) == [PauseRoute(route, 105.0)]
                self.reduce(EndpointsUpdated(42, False, (make_endpoint("s-2"),)))
                self.now += 0.5
                # The scheduler may choose the other endpoint only if its route is separate.
                effects = self.reduce(EndpointsUpdated(43, False, ()))
                attempted = self.attempted_ids(effects) + self.attempted_ids(self.accept("b"))
                assert attempted[-1:] == second_attempts

    def test_a_message_in_flight_at_its_deadline_is_failed_at_once(self) -> None:
        self.start()
        effects = self.accept("a", class_index=1, time_left_s=2.0)
        (attempt,) = self.of_type(effects, StartAttempt)
        timer = next(
            timer
            for timer in self.of_type(effects, SetTimer)
            if timer.event == DeadlineReached(attempt.number, attempt.items[0].message)
        )
        assert (timer.at, attempt.deadline) == (101.7, 101.7)  # 0.3 s before the client's deadline
        self.now = timer.at
        effects = self.expire_first_message(attempt)
        assert self.of_type(effects, CancelAttempt) == [CancelAttempt(attempt.number)]
        effects = self.cancel(attempt)
        assert self.of_type(effects, SendNotifications) == [SendNotifications((OutcomeNotification("a"),))]
        assert AppendRecord(OutcomeDecidedRecord(OutcomeNotification("a"))) in effects
        # A response that arrives after the cancellation changes nothing.
        assert (
            self.reduce(AttemptAnswered(attempt.number, (ItemOutcome(attempt.items[0].message, Outcome.OK),)))
            == []
        )

    def test_a_message_whose_attempt_is_not_written_was_not_executed(self, subtests: pytest.Subtests) -> None:
        # Guards against failing a non-idempotent message whose connection was not open at its deadline.
        for progress, rejected in ((AttemptProgress.WAITING, True), (AttemptProgress.WRITTEN, False)):
            with subtests.test(progress=progress):
                self.start()
                (attempt,) = self.of_type(self.accept("a", class_index=1, time_left_s=2.0), StartAttempt)
                self.now += 1.7
                effects = self.expire_first_message(attempt, progress)
                if not rejected:
                    effects = self.cancel(attempt)
                (effect,) = self.of_type(effects, SendNotifications)
                assert (effect.notifications[0].retry_after_s is not None) == rejected
                # An attempt without a start in the journal must not have an end in it.
                records = [
                    e.record
                    for e in self.of_type(effects, AppendRecord)
                    if isinstance(e.record, AttemptFinishedRecord)
                ]
                assert records == ([] if rejected else [AttemptFinishedRecord("a", True)])

    def test_a_timeout_in_a_batch_leaves_the_others_in_it(self, subtests: pytest.Subtests) -> None:
        for progress, cancelled in (
            (AttemptProgress.WAITING, False),
            (AttemptProgress.WRITTEN, False),
            (AttemptProgress.WRITING, True),
        ):
            with subtests.test(progress=progress):
                self.start(make_endpoint(kind=1))
                self.finish_attempt(self.accept("a", time_left_s=4.0), (Outcome.OVERLOADED, 0.5))
                self.accept("b")
                self.now += 2.0
                (attempt,) = self.of_type(self.reduce(EndpointsUpdated(43, False, ())), StartAttempt)
                assert [item.content.id for item in attempt.items] == ["a", "b"]
                self.now = 103.7
                effects = self.expire_first_message(attempt, progress)
                # A partly written request is cancelled as a whole; the other message may be attempted again.
                assert self.of_type(effects, CancelAttempt) == (
                    [CancelAttempt(attempt.number)] if cancelled else []
                )
                effects = self.cancel(attempt) if cancelled else effects
                assert [n.id for t in self.of_type(effects, SendNotifications) for n in t.notifications] == [
                    "a"
                ]
                assert (AppendRecord(AttemptFinishedRecord("b", True)) in effects) == cancelled

    def test_large_messages_are_batched_up_to_the_body_limit(self) -> None:
        # Guards the protocol's limit of 64 KiB: an endpoint rejects a larger batch as a whole.
        self.start(make_endpoint(kind=1))
        self.finish_attempt(self.accept("a"), (Outcome.ERROR, 0.5))
        for name in ("b", "c", "d"):
            self.accept(name, body=b"x" * 24_000)
        self.now += 2.0
        effects = self.reduce(EndpointsUpdated(43, False, ()))
        assert self.attempted_ids(effects) == [["a", "b", "c"], ["d"]]

    def test_a_message_the_scheduler_sends_alone_is_not_batched(self) -> None:
        # Guards against merging two attempts of a round, which would then end with the earlier deadline.
        self.start(make_endpoint(kind=1))
        self.finish_attempt(self.accept("a"), (Outcome.ERROR, 0.5))
        self.accept("b", time_left_s=2.9)
        self.accept("c")
        self.now += 2.0
        effects = self.reduce(EndpointsUpdated(43, False, ()))
        assert sorted(self.attempted_ids(effects)) == [["a", "c"], ["b"]]

    def test_a_batch_ends_with_the_earliest_deadline_of_its_messages(self, subtests: pytest.Subtests) -> None:
        # Guards against dropping the whole batch's response if it arrives shortly after one message expired.
        for answered in (True, False):
            with subtests.test(answered=answered):
                self.start(make_endpoint(kind=1))
                self.finish_attempt(self.accept("a", time_left_s=4.0), (Outcome.OVERLOADED, 0.5))
                self.accept("b")
                self.now += 2.0
                (attempt,) = self.of_type(self.reduce(EndpointsUpdated(43, False, ())), StartAttempt)
                self.now = 103.7
                (timer,) = [
                    timer
                    for timer in self.of_type(self.expire_first_message(attempt), SetTimer)
                    if isinstance(timer.event, CancellationTimerFired)
                ]
                # A response counts until the client's deadline.
                assert timer.at == pytest.approx(104.0, abs=5e-8)
                if answered:
                    self.reduce(
                        AttemptAnswered(
                            attempt.number,
                            tuple(ItemOutcome(item.message, Outcome.OK) for item in attempt.items),
                        )
                    )
                self.now = timer.at
                effects = self.reduce(timer.event)
                cancellations = [] if answered else [CancelAttempt(attempt.number)]
                assert [e for e in effects if isinstance(e, CancelAttempt)] == cancellations
                effects = self.cancel(attempt)
                assert (AppendRecord(AttemptFinishedRecord("b", True)) in effects) == (not answered)

    def test_a_notification_is_unacknowledged_until_accepted(self) -> None:
        self.start()
        (attempt,) = self.of_type(self.accept("a", class_index=1, time_left_s=2.0), StartAttempt)
        self.now += 2.0
        self.expire_first_message(attempt)
        self.cancel(attempt)
        assert "a" in self.reducer.state.unacknowledged
        assert self.reduce(NotificationAcknowledged(("a",))) == [AppendRecord(CompletedRecord("a"))]
        assert self.reduce(NotificationAcknowledged(("a",))) == []

    def fill_slots_until_cancelled(self, class_index: int = 0) -> tuple[StartAttempt, list[Effect]]:
        """Fill the slots with two attempts, queue a message and wait for a cancellation.

        Return the first message's attempt, which is cancelled, and the effects with the cancellation.
        """
        self.start(slots=2)
        self.reduce(EndpointsUpdated(42, False, (make_endpoint("s-2", 2), make_endpoint("s-3", 3))))
        first = self.accept("a", class_index=class_index)
        self.accept("b", destination=2, class_index=class_index)
        effects = self.accept("c", destination=3)
        while not self.of_type(effects, CancelAttempt):
            assert self.now < 115.0, "no attempt was cancelled"
            self.now += 0.25
            effects = self.reduce(EndpointsUpdated(43, False, ()))
        (attempt,) = self.of_type(first, StartAttempt)
        return attempt, effects

    def test_cancelling_closes_the_connection_before_it_reports(self) -> None:
        # Guards against two attempts at once: the connection is closed before the message is attempted again.
        attempt, effects = self.fill_slots_until_cancelled()
        assert self.of_type(effects, CancelAttempt) == [CancelAttempt(attempt.number)]
        assert self.attempted_ids(effects) == []
        effects = self.cancel(attempt)
        assert self.of_type(effects, AppendRecord)[0].record == AttemptFinishedRecord("a", True)
        assert self.attempted_ids(effects) == [["c"]]

    def test_an_attempt_cancelled_before_its_first_byte_was_not_executed(
        self, subtests: pytest.Subtests
    ) -> None:
        # Guards against failing a non-idempotent message whose connection was not open as possibly executed.
        for progress, notifications in (
            (AttemptProgress.WAITING, []),
            (AttemptProgress.WRITTEN, [OutcomeNotification("a")]),
        ):
            with subtests.test(progress=progress):
                attempt, effects = self.fill_slots_until_cancelled(class_index=1)
                assert self.of_type(effects, CancelAttempt) == [CancelAttempt(attempt.number)]
                if progress is AttemptProgress.WAITING:
                    effects = self.reduce(AttemptCancelled(attempt.number, progress))
                else:
                    effects = self.cancel(attempt)
                assert [
                    n for t in self.of_type(effects, SendNotifications) for n in t.notifications
                ] == notifications
                records = [
                    e.record
                    for e in self.of_type(effects, AppendRecord)
                    if isinstance(e.record, AttemptFinishedRecord)
                ]
                # An attempt without a start in the journal must not have an end in it.
                assert records == ([AttemptFinishedRecord("a", True)] if notifications else [])

    def test_an_answer_read_before_the_cancellation_counts(self) -> None:
        # Guards against a second attempt of a message whose delivery was read but not yet reported.
        first, effects = self.fill_slots_until_cancelled()
        (cancel,) = self.of_type(effects, CancelAttempt)
        assert self.reduce(AttemptCancelled(cancel.attempt_number, AttemptProgress.FINISHED)) == []
        effects = self.finish_attempt([first], (Outcome.OK, 0.0))
        assert AppendRecord(CompletedRecord("a")) in effects
        assert self.attempted_ids(effects) == [["c"]]
        # Nor may a deadline that passes before the answer is reported cause a second attempt.
        self.start()
        effects = self.accept("a", time_left_s=2.0)
        (attempt,) = self.of_type(effects, StartAttempt)
        self.now += 1.7
        assert self.expire_first_message(attempt, AttemptProgress.FINISHED) == []
        assert AppendRecord(CompletedRecord("a")) in self.finish_attempt(effects, (Outcome.OK, 0.0))

    def test_restored_attempts_count(self) -> None:
        # Guards `MaxAttempts`, which counts the attempts before restarts.
        self.start()
        history = tuple(RecordedAttempt("s-1", 90.0 + n, False) for n in range(6))
        effects = self.reduce(JournalReplayed((RestoredMessage(make_message("a"), 115.0, history),)))
        assert self.attempted_ids(effects) == []
        assert len(self.of_type(effects, SendNotifications)) == 1
        effects = self.reduce(JournalReplayed((RestoredMessage(make_message("b"), 115.0, history[:5]),)))
        assert self.attempted_ids(effects) == [["b"]]
        effects = self.finish_attempt(effects, (Outcome.ERROR, 0.0))
        assert len(self.of_type(effects, SendNotifications)) == 1

    def test_the_deduplication_window_holds_over_a_restart(self) -> None:
        # The class has a window of 5 s from the first attempt that was possibly executed.
        self.start()
        history = (RecordedAttempt("s-1", 94.0, True),)
        effects = self.reduce(JournalReplayed((RestoredMessage(make_message("late"), 115.0, history),)))
        assert self.of_type(effects, SendNotifications) == [SendNotifications((OutcomeNotification("late"),))]
        history = (RecordedAttempt("s-1", 97.0, True),)
        effects = self.reduce(JournalReplayed((RestoredMessage(make_message("soon"), 115.0, history),)))
        assert self.attempted_ids(effects) == [["soon"]]
        effects = self.finish_attempt(effects, (Outcome.OVERLOADED, 3.0))
        self.now = 102.1
        assert self.of_type(self.reduce(EndpointsUpdated(42, False, ())), SendNotifications) == [
            SendNotifications((OutcomeNotification("soon"),))
        ]

    def test_a_possibly_executed_non_idempotent_message_is_not_sent_after_a_restart(self) -> None:
        self.start()
        executed = RestoredMessage(
            make_message("executed", class_index=1), 115.0, (RecordedAttempt("s-1", 99.0, True),)
        )
        unexecuted = RestoredMessage(
            make_message("unexecuted", class_index=1), 115.0, (RecordedAttempt("s-1", 99.0, False),)
        )
        effects = self.reduce(JournalReplayed((executed, unexecuted)))
        assert self.of_type(effects, SendNotifications) == [
            SendNotifications((OutcomeNotification("executed"),))
        ]
        assert self.attempted_ids(effects) == [["unexecuted"]]

    def test_a_message_expired_during_downtime_gets_its_notification(self) -> None:
        self.start()
        decided = RestoredMessage(make_message("b"), 200.0, (), OutcomeNotification("b", 0.5))
        effects = self.reduce(JournalReplayed((RestoredMessage(make_message("a"), 99.0), decided)))
        assert self.of_type(effects, SendNotifications) == [
            SendNotifications((OutcomeNotification("a"),)),
            SendNotifications((OutcomeNotification("b", 0.5),)),
        ]
        assert self.attempted_ids(effects) == []

    def test_no_attempt_starts_that_cannot_end_before_shutdown(self) -> None:
        # Guards against attempts cut off by the exit, which count as possibly executed.
        self.start()
        self.reduce(ShutdownRequested(100.8, 103.3))
        assert [type(e) for e in self.reduce(MessageReceived(1, make_message("new"), self.now))] == [
            ReplyToClient
        ]
        restored = (RestoredMessage(make_message("a"), 115.0),)
        effects = self.reduce(JournalReplayed(restored))
        assert self.attempted_ids(effects) == [["a"]]
        self.now = 103.0
        assert not self.reducer.may_exit(self.now)
        assert (
            self.attempted_ids(self.reduce(JournalReplayed((RestoredMessage(make_message("b"), 115.0),))))
            == []
        )
        self.finish_attempt(effects, (Outcome.OK, 0.0))
        assert self.reducer.may_exit(self.now)

    def test_a_removed_endpoint_gets_no_attempts(self) -> None:
        self.start(make_endpoint("s-1"), make_endpoint("s-2", 2))
        effects = self.reduce(EndpointsUpdated(42, True, (make_endpoint("s-2", 2),)))
        assert SetEndpointDraining(1, True) in effects
        assert self.attempted_ids(self.accept("a", destination=1)) == []
        assert self.attempted_ids(self.accept("b", destination=2)) == [["b"]]

    def test_a_new_discovery_address_is_watched_from_the_cached_version(self) -> None:
        # Guards a reload: updates of the old watch must not be applied after those of the new one.
        self.start(endpoints_polled=True)
        self.reduce(EndpointsUpdated(43, False, ()))
        assert self.reduce(DiscoveryAddressChanged(("127.0.0.1", 9))) == [
            SwitchDiscovery(("127.0.0.1", 9), 1),
            StartWatch(43, 1),
        ]
        assert self.reduce(EndpointsUpdated(44, False, (make_endpoint(phase=EndpointPhase.DRAINING),))) == []
        assert self.reduce(WatchLost()) == []
        self.reduce(EndpointsUpdated(45, False, (), epoch=1))
        assert self.reducer.state.directory.version == 45

    def test_a_new_discovery_address_while_the_watch_is_down_leaves_one_watch(self) -> None:
        # Guards against a second watch, which discovery would never serve while the first is open.
        self.start(endpoints_polled=True)
        self.reduce(WatchLost())
        assert len(self.of_type(self.reduce(DiscoveryAddressChanged(("127.0.0.1", 9))), StartWatch)) == 1
        self.now += 10.0
        assert self.of_type(self.reduce(EndpointsUpdated(44, False, (), epoch=1)), StartWatch) == []

    def test_a_destination_without_endpoints_is_rejected(self) -> None:
        # Guards against a 202 for a message without a known destination.
        self.start()
        (effect,) = self.reduce(MessageReceived(5, make_message("a", destination=9), self.now))
        assert effect == ReplyToClient(5, 503, 1.0)

    def test_removed_endpoints_are_forgotten_once_nothing_is_in_flight(self) -> None:
        # Guards against a memory leak: new endpoint ids replace the old ones, also at the same address.
        self.start()
        effects = self.accept("a")
        for n in range(2, 50):
            old, new = make_endpoint(f"s-{n - 1}", phase=EndpointPhase.REMOVED), make_endpoint(f"s-{n}")
            updated = self.reduce(EndpointsUpdated(41 + n, False, (old, new)))
            assert self.of_type(updated, ForgetEndpoint) == ([] if n == 2 else [ForgetEndpoint(n - 1)])
        state, scheduler = self.reducer.state, self.reducer.scheduler
        assert (len(state.directory.endpoints), len(state.directory.numbers), state.directory.removed) == (
            2,
            2,
            {1},
        )
        assert len(scheduler.state.table.endpoints) == 2
        self.finish_attempt(effects, (Outcome.OK, 0.0))
        self.reduce(EndpointsUpdated(99, True, (make_endpoint("s-49"),)))
        assert (len(state.directory.endpoints), list(state.directory.numbers), state.directory.removed) == (
            1,
            ["s-49"],
            set(),
        )
        destination = scheduler.state.table.destinations[1]
        assert [
            len(scheduler.state.table.endpoints),
            len(destination.endpoints),
            len(destination.endpoint_order),
            len(destination.endpoints_on(destination.shared_route)),
        ] == [1, 1, 1, 1]
        self.reduce(EndpointsUpdated(100, True, ()))
        self.now += 61.0
        self.reduce(EndpointsUpdated(101, True, ()))
        assert (state.directory.destinations, scheduler.state.table.destinations) == ({}, {})
