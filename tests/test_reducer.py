"""The reducer without sockets: what it asks for, and in which order."""

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
from juniperward.scheduler.events import EndpointPhase, Outcome
from juniperward.scheduler.settings import DestinationKind
from tests.helpers import KEYED, ONCE, settings


def make_endpoint(
    name: str = "s-1", destination: int = 1, phase: EndpointPhase = EndpointPhase.READY, kind: int = 0
) -> Endpoint:
    return Endpoint(name, "127.0.0.1", 81, destination, phase, kind, 0, 0.0)


def call(name: str, destination: int = 1, cls: int = 0, left: float = 20.0, body: bytes = b"body") -> Message:
    return Message(name, cls, 0, destination, left, "k", body)


class ReducerRig:
    """A reducer without sockets, driven by events; its subclasses hold the tests."""

    def start(self, *endpoints: Endpoint, **changes: Any) -> Reducer:
        kinds = {"kinds": (DestinationKind(), DestinationKind(batch_size=20)), "slots": 8}
        self.reducer = Reducer(settings(KEYED, ONCE, **{**kinds, **changes}), 1)
        self.now = 100.0
        self.do(EndpointsUpdated(41, True, endpoints or (make_endpoint(),), cached=True))
        return self.reducer

    def do(self, *events: Event) -> list[Effect]:
        return self.reducer.reduce(self.now, events)

    def take(self, name: str, told: bool = True, **fields: Any) -> list[Effect]:
        """Hand a message in and tell its client; what follows that."""
        (asked,) = self.do(MessageReceived(5, call(name, **fields), self.now))
        assert isinstance(asked, AcceptMessage)
        return self.do(MessageAccepted(asked.message, told))

    def only(self, effects: list[Effect], kind: type) -> list[Any]:
        return [e for e in effects if isinstance(e, kind)]

    def sent(self, effects: list[Effect]) -> list[list[str]]:
        return [[p.content.id for p in d.items] for d in self.only(effects, StartAttempt)]

    def end(self, effects: list[Effect], *ends: tuple[Outcome, float]) -> list[Effect]:
        """The ends of the only attempt among some effects."""
        (d,) = self.only(effects, StartAttempt)
        told = [ItemOutcome(p.message, o, w) for p, (o, w) in zip(d.items, ends, strict=True)]
        return self.do(AttemptAnswered(d.number, tuple(told)))

    def up(self, d: StartAttempt, progress: AttemptProgress = AttemptProgress.WRITTEN) -> list[Effect]:
        """The time of an attempt's first message is up, its call having come so far."""
        message = d.items[0].message
        assert self.do(DeadlineReached(d.number, message)) == [WithdrawFromBatch(d.number, message)]
        return self.do(BatchItemWithdrawn(d.number, message, progress))


class TestReducer(ReducerRig):
    def test_an_outcome_precedes_the_deadline_even_if_the_clock_stood_still(
        self, subtests: pytest.Subtests
    ) -> None:
        # A process that has just begun saw its clock stand still for 0.3 s: ends it owed came that much late.
        self.start()
        for name, left in (("a", 12.0), ("b", 0.5)):
            with subtests.test(left=left):
                (asked,) = self.do(MessageReceived(5, call(name, left=left), self.now))
                assert isinstance(asked, AcceptMessage)
                assert asked.record.expires_at - self.now == pytest.approx(
                    left - min(0.3, 0.2 * left), abs=5e-8
                )

    def test_an_attempt_is_journalled_with_its_endpoint_at_its_first_byte(self) -> None:
        # Guards against a try used up by a call that was never written; tests/test_restarts.py has the first byte.
        self.start()
        effects = self.take("a")
        assert self.only(effects, AppendRecord) == []
        assert [d.endpoint_id for d in self.only(effects, StartAttempt)] == ["s-1"]

    def test_a_message_whose_client_was_not_acknowledged_is_withdrawn(self) -> None:
        self.start()
        effects = self.take("a", told=False)
        assert effects == [AppendRecord(CompletedRecord("a"))]
        assert self.sent(self.take("a")) == [["a"]]

    def test_the_same_message_on_a_second_connection_is_a_duplicate(self) -> None:
        # Guards the case that our close crosses a request: the client sends it once more.
        self.start()
        self.take("a")
        assert self.do(MessageReceived(6, call("a"), self.now)) == [ReplyToClient(6, 202)]

    def test_a_completed_message_is_not_accepted_again_within_its_deadline(self) -> None:
        # Guards join+mass: a client's copy of a delivered message went out to eight attempts, each a 400.
        self.start()
        self.end(self.take("a"), (Outcome.OK, 0.0))
        self.now += 19.9
        assert self.do(MessageReceived(6, call("a"), self.now)) == [ReplyToClient(6, 202)]
        self.now += 0.2
        assert isinstance(self.do(MessageReceived(6, call("a"), self.now))[0], AcceptMessage)
        self.reducer.state.messages.completed = {f"x{n}": self.now for n in range(MAX_COMPLETED_IDS + 2)}
        self.do(MessageReceived(7, call("b"), self.now))
        assert len(self.reducer.state.messages.completed) == MAX_COMPLETED_IDS

    def test_an_unexecuted_message_is_not_failed_before_seven_tenths_of_its_deadline(
        self, subtests: pytest.Subtests
    ) -> None:
        for left in (20.0, 0.96):
            with subtests.test(left=left):
                self.start(make_endpoint("s-1", 2))
                began, effects = self.now, self.take("a", left=left, destination=2)
                timers = self.only(effects, SetTimer)
                self.do(EndpointsUpdated(42, False, (make_endpoint("s-1", 2, EndpointPhase.REMOVED),)))
                effects = self.end(effects, (Outcome.OVERLOADED, 0.0))
                timers += self.only(effects, SetTimer)
                while not self.only(effects, SendNotifications):
                    timers.sort(key=lambda w: w.at)
                    wake = timers.pop(0)
                    self.now = max(self.now, wake.at)
                    effects = self.do(wake.event)
                    timers += self.only(effects, SetTimer)
                assert self.now - began >= 0.7 * left - 1e-6
                assert self.now - began <= left

    def test_intake_counts_pending_and_offered_messages(self) -> None:
        self.start(max_open=2, slots=8)
        effects = self.do(*(MessageReceived(n, call(f"m{n}"), self.now) for n in range(3)))
        assert [type(e) for e in effects] == [AcceptMessage, AcceptMessage, ReplyToClient]
        assert self.only(effects, ReplyToClient)[0].status == 503
        assert self.only(effects, ReplyToClient)[0].retry_after_s > 0

    def test_an_expired_message_is_rejected(self) -> None:
        self.start()
        assert isinstance(self.do(MessageReceived(1, call("a", left=0.0), self.now))[0], ReplyToClient)

    def test_a_delivery_completes_the_message(self) -> None:
        self.start()
        effects = self.end(self.take("a"), (Outcome.OK, 0.0))
        assert self.only(effects, AppendRecord) == [AppendRecord(CompletedRecord("a"))]
        assert not self.only(effects, SendNotifications)

    def test_attempts_of_a_round_to_one_endpoint_are_one_batch(self) -> None:
        self.start(make_endpoint(kind=1))
        first = self.take("a")
        self.do(*self.only(self.end(first, (Outcome.OVERLOADED, 0.5)), DeadlineReached))
        for name in "bc":
            assert not self.sent(self.take(name))
        self.now += 2.0
        effects = self.do(EndpointsUpdated(42, False, ()))
        assert self.sent(effects) == [["a", "b", "c"]]
        # What never ran is told first: the module learns from the first end of a call that it hears.
        effects = self.end(effects, (Outcome.ERROR, 3.0), (Outcome.OVERLOADED, 3.0), (Outcome.OK, 3.0))
        records = [e.record for e in self.only(effects, AppendRecord)]
        assert records == [
            AttemptFinishedRecord("b", False),
            AttemptFinishedRecord("a", True),
            CompletedRecord("c"),
        ]
        assert self.only(effects, PauseRoute)[0] == PauseRoute(1, 105.0)

    def test_a_retry_after_with_a_delivery_binds(self) -> None:
        # Guards the wait that a 200 carries: the module must hear of it though nothing was refused.
        self.start()
        self.end(self.take("a"), (Outcome.OK, 5.0))
        self.now += 1.0
        assert self.sent(self.take("b")) == []

    def test_with_separate_routes_retry_after_binds_the_endpoint_that_sent_it(
        self, subtests: pytest.Subtests
    ) -> None:
        for apart, told, more in ((False, 1, []), (True, "s-1", [["b"]])):
            with subtests.test(apart=apart):
                self.start(kinds=(DestinationKind(separate_routes=apart),))
                effects = self.take("a")
                assert [d.route for d in self.only(effects, StartAttempt)] == [told]
                effects = self.end(effects, (Outcome.OVERLOADED, 5.0))
                assert self.only(effects, PauseRoute) == [PauseRoute(told, 105.0)]
                self.do(EndpointsUpdated(42, False, (make_endpoint("s-2"),)))
                self.now += 0.5
                # The other worker is called by the module, and the sockets let it.
                later = self.do(EndpointsUpdated(43, False, ()))
                sent = self.sent(later) + self.sent(self.take("b"))
                assert sent[-1:] == more

    def test_a_message_in_flight_at_its_deadline_is_failed_at_once(self) -> None:
        self.start()
        effects = self.take("a", cls=1, left=2.0)
        (d,) = self.only(effects, StartAttempt)
        wake = next(
            w
            for w in self.only(effects, SetTimer)
            if w.event == DeadlineReached(d.number, d.items[0].message)
        )
        assert (wake.at, d.deadline) == (101.7, 101.7)  # 0.3 s are spared for the notice
        self.now = wake.at
        effects = self.up(d)
        assert self.only(effects, CancelAttempt) == [CancelAttempt(d.number)]
        assert self.only(effects, SendNotifications) == [SendNotifications((OutcomeNotification("a"),))]
        assert AppendRecord(OutcomeDecidedRecord(OutcomeNotification("a"))) in effects
        # An answer that crossed it changes nothing.
        assert self.do(AttemptAnswered(d.number, (ItemOutcome(d.items[0].message, Outcome.OK),))) == []

    def test_a_message_whose_call_is_not_written_was_not_executed(self, subtests: pytest.Subtests) -> None:
        # Guards a late connection: a message that must not run twice may be handed back, and was failed.
        for progress, again in ((AttemptProgress.WAITING, True), (AttemptProgress.WRITTEN, False)):
            with subtests.test(progress=progress):
                self.start()
                (d,) = self.only(self.take("a", cls=1, left=2.0), StartAttempt)
                self.now += 1.7
                effects = self.up(d, progress)
                (told,) = self.only(effects, SendNotifications)
                assert (told.notifications[0].retry_after_s is not None) == again
                # The journal has not heard of a call that is not begun, so neither of its end.
                ends = [
                    e.record
                    for e in self.only(effects, AppendRecord)
                    if isinstance(e.record, AttemptFinishedRecord)
                ]
                assert ends == ([] if again else [AttemptFinishedRecord("a", True)])

    def test_a_timeout_in_a_batch_leaves_the_others_in_it(self, subtests: pytest.Subtests) -> None:
        for progress, gone in (
            (AttemptProgress.WAITING, False),
            (AttemptProgress.WRITTEN, False),
            (AttemptProgress.WRITING, True),
        ):
            with subtests.test(progress=progress):
                self.start(make_endpoint(kind=1))
                self.end(self.take("a", left=4.0), (Outcome.OVERLOADED, 0.5))
                self.take("b")
                self.now += 2.0
                (d,) = self.only(self.do(EndpointsUpdated(43, False, ())), StartAttempt)
                assert [p.content.id for p in d.items] == ["a", "b"]
                self.now = 103.7
                effects = self.up(d, progress)
                assert [n.id for t in self.only(effects, SendNotifications) for n in t.notifications] == ["a"]
                # A call that is being written cannot lose one: it is called off, the other may go again.
                assert self.only(effects, CancelAttempt) == ([CancelAttempt(d.number)] if gone else [])
                effects = self.do(AttemptCancelled(d.number, progress)) if gone else effects
                assert (AppendRecord(AttemptFinishedRecord("b", True)) in effects) == gone

    def test_large_messages_are_batched_up_to_the_body_limit(self) -> None:
        # Guards the protocol's 64 KiB: twenty bodies of 2.4 KB made a call that is refused whole.
        self.start(make_endpoint(kind=1))
        self.end(self.take("a"), (Outcome.ERROR, 0.5))
        for name in ("b", "c", "d"):
            self.take(name, body=b"x" * 24_000)
        self.now += 2.0
        effects = self.do(EndpointsUpdated(43, False, ()))
        assert self.sent(effects) == [["a", "b", "c"], ["d"]]

    def test_a_message_the_scheduler_sends_alone_is_not_batched(self) -> None:
        # Guards the others: two calls of one round to one endpoint were made one, which ended with its first.
        self.start(make_endpoint(kind=1))
        self.end(self.take("a"), (Outcome.ERROR, 0.5))
        self.take("b", left=2.9)
        self.take("c")
        self.now += 2.0
        effects = self.do(EndpointsUpdated(43, False, ()))
        assert sorted(self.sent(effects)) == [["a", "c"], ["b"]]

    def test_a_batch_ends_with_the_earliest_deadline_of_its_messages(self, subtests: pytest.Subtests) -> None:
        # Guards roll+brink (settings of a short deadline): an answer within 0.3 s after the time of one message was
        # whole, but counted for none: the others, delivered as we had it, got no final answer.
        for answered in (True, False):
            with subtests.test(answered=answered):
                self.start(make_endpoint(kind=1))
                self.end(self.take("a", left=4.0), (Outcome.OVERLOADED, 0.5))
                self.take("b")
                self.now += 2.0
                (d,) = self.only(self.do(EndpointsUpdated(43, False, ())), StartAttempt)
                self.now = 103.7
                (wake,) = [
                    w for w in self.only(self.up(d), SetTimer) if isinstance(w.event, CancellationTimerFired)
                ]
                assert wake.at == pytest.approx(
                    104.0, abs=5e-8
                )  # the client's own time: until then an answer counts
                if answered:
                    self.do(
                        AttemptAnswered(d.number, tuple(ItemOutcome(p.message, Outcome.OK) for p in d.items))
                    )
                self.now = wake.at
                effects = self.do(wake.event)
                gone = [] if answered else [CancelAttempt(d.number)]
                assert [e for e in effects if isinstance(e, CancelAttempt)] == gone
                effects = self.do(AttemptCancelled(d.number, AttemptProgress.WRITTEN))
                assert (AppendRecord(AttemptFinishedRecord("b", True)) in effects) == (not answered)

    def test_a_notification_is_unacknowledged_until_accepted(self) -> None:
        self.start()
        (d,) = self.only(self.take("a", cls=1, left=2.0), StartAttempt)
        self.now += 2.0
        self.up(d)
        assert "a" in self.reducer.state.unacknowledged
        assert self.do(NotificationAcknowledged(("a",))) == [AppendRecord(CompletedRecord("a"))]
        assert self.do(NotificationAcknowledged(("a",))) == []

    def call_off(self, cls: int = 0) -> tuple[list[Effect], list[Effect]]:
        """Two calls that fill the slots, and a message behind them; what is asked for when one is called off."""
        self.start(slots=2)
        self.do(EndpointsUpdated(42, False, (make_endpoint("s-2", 2), make_endpoint("s-3", 3))))
        first = self.take("a", cls=cls)
        self.take("b", destination=2, cls=cls)
        effects = self.take("c", destination=3)
        while not self.only(effects, CancelAttempt):
            assert self.now < 115.0, "nothing was called off"
            self.now += 0.25
            effects = self.do(EndpointsUpdated(43, False, ()))
        return first, effects

    def test_cancelling_closes_the_connection_before_it_reports(self) -> None:
        # Guards against a second copy: the connection must have ended before the message may go again.
        _, effects = self.call_off()
        (gone,) = self.only(effects, CancelAttempt)
        assert self.sent(effects) == []
        effects = self.do(AttemptCancelled(gone.attempt_number, AttemptProgress.WRITTEN))
        assert self.only(effects, AppendRecord)[0].record == AttemptFinishedRecord("a", True)
        assert self.sent(effects) == [["c"]]

    def test_a_call_cancelled_before_its_first_byte_was_not_executed(self, subtests: pytest.Subtests) -> None:
        # Guards a class that may not be repeated: its message, behind a dial, was failed as one that may have run.
        for progress, told in (
            (AttemptProgress.WAITING, []),
            (AttemptProgress.WRITTEN, [OutcomeNotification("a")]),
        ):
            with subtests.test(progress=progress):
                _, effects = self.call_off(cls=1)
                (gone,) = self.only(effects, CancelAttempt)
                effects = self.do(AttemptCancelled(gone.attempt_number, progress))
                assert [n for t in self.only(effects, SendNotifications) for n in t.notifications] == told
                ends = [
                    e.record
                    for e in self.only(effects, AppendRecord)
                    if isinstance(e.record, AttemptFinishedRecord)
                ]
                assert ends == (
                    [AttemptFinishedRecord("a", True)] if told else []
                )  # the journal never heard that it began

    def test_an_answer_read_before_the_cancellation_counts(self) -> None:
        # Guards a delivery that was read and not yet told: it counted as called off, and its message went again.
        first, effects = self.call_off()
        (gone,) = self.only(effects, CancelAttempt)
        assert self.do(AttemptCancelled(gone.attempt_number, AttemptProgress.FINISHED)) == []
        effects = self.end(first, (Outcome.OK, 0.0))
        assert AppendRecord(CompletedRecord("a")) in effects
        assert self.sent(effects) == [["c"]]
        # The same where the message's time is up just then.
        self.start()
        effects = self.take("a", left=2.0)
        (d,) = self.only(effects, StartAttempt)
        self.now += 1.7
        assert self.up(d, AttemptProgress.FINISHED) == []
        assert AppendRecord(CompletedRecord("a")) in self.end(effects, (Outcome.OK, 0.0))

    def test_restored_attempts_count(self) -> None:
        # Guards `MaxAttempts` over all lives: the sixth of six attempts is the last.
        self.start()
        history = tuple(RecordedAttempt("s-1", 90.0 + n, False) for n in range(6))
        effects = self.do(JournalReplayed((RestoredMessage(call("a"), 115.0, history),)))
        assert self.sent(effects) == []
        assert len(self.only(effects, SendNotifications)) == 1
        effects = self.do(JournalReplayed((RestoredMessage(call("b"), 115.0, history[:5]),)))
        assert self.sent(effects) == [["b"]]
        effects = self.end(effects, (Outcome.ERROR, 0.0))
        assert len(self.only(effects, SendNotifications)) == 1

    def test_the_deduplication_window_holds_over_a_restart(self) -> None:
        # Guards rule 2: KEYED has a window of 5 s from the first attempt that may have run.
        self.start()
        history = (RecordedAttempt("s-1", 94.0, True),)
        effects = self.do(JournalReplayed((RestoredMessage(call("late"), 115.0, history),)))
        assert self.only(effects, SendNotifications) == [SendNotifications((OutcomeNotification("late"),))]
        history = (RecordedAttempt("s-1", 97.0, True),)
        effects = self.do(JournalReplayed((RestoredMessage(call("soon"), 115.0, history),)))
        assert self.sent(effects) == [["soon"]]
        effects = self.end(effects, (Outcome.OVERLOADED, 3.0))
        self.now = 102.1
        assert self.only(self.do(EndpointsUpdated(42, False, ())), SendNotifications) == [
            SendNotifications((OutcomeNotification("soon"),))
        ]

    def test_a_non_idempotent_message_is_not_sent_by_the_next_incarnation(self) -> None:
        self.start()
        ran = RestoredMessage(call("ran", cls=1), 115.0, (RecordedAttempt("s-1", 99.0, True),))
        fresh = RestoredMessage(call("fresh", cls=1), 115.0, (RecordedAttempt("s-1", 99.0, False),))
        effects = self.do(JournalReplayed((ran, fresh)))
        assert self.only(effects, SendNotifications) == [SendNotifications((OutcomeNotification("ran"),))]
        assert self.sent(effects) == [["fresh"]]

    def test_a_message_expired_during_downtime_gets_its_notification(self) -> None:
        self.start()
        owed = RestoredMessage(call("b"), 200.0, (), OutcomeNotification("b", 0.5))
        effects = self.do(JournalReplayed((RestoredMessage(call("a"), 99.0), owed)))
        assert self.only(effects, SendNotifications) == [
            SendNotifications((OutcomeNotification("a"),)),
            SendNotifications((OutcomeNotification("b", 0.5),)),
        ]
        assert self.sent(effects) == []

    def test_no_attempt_starts_that_cannot_end_before_shutdown(self) -> None:
        # Guards against calls cut off by our own exit: each could then not be told from one that ran.
        self.start()
        self.do(ShutdownRequested(100.8, 103.3))
        assert [type(e) for e in self.do(MessageReceived(1, call("new"), self.now))] == [ReplyToClient]
        held = (RestoredMessage(call("a"), 115.0),)
        effects = self.do(JournalReplayed(held))
        assert self.sent(effects) == [["a"]]
        self.now = 103.0
        assert not self.reducer.may_exit(self.now)
        assert self.sent(self.do(JournalReplayed((RestoredMessage(call("b"), 115.0),)))) == []
        self.end(effects, (Outcome.OK, 0.0))
        assert self.reducer.may_exit(self.now)

    def test_a_removed_endpoint_gets_nothing(self) -> None:
        self.start(make_endpoint("s-1"), make_endpoint("s-2", 2))
        effects = self.do(EndpointsUpdated(42, True, (make_endpoint("s-2", 2),)))
        assert SetEndpointDraining(1, True) in effects
        assert self.sent(self.take("a", destination=1)) == []
        assert self.sent(self.take("b", destination=2)) == [["b"]]

    def test_a_new_discovery_address_is_watched_from_the_cached_version(self) -> None:
        # Guards reloading: what the old watch still tells must not come after what the new one has told.
        self.start(endpoints_polled=True)
        self.do(EndpointsUpdated(43, False, ()))
        assert self.do(DiscoveryAddressChanged(("127.0.0.1", 9))) == [
            SwitchDiscovery(("127.0.0.1", 9), 1),
            StartWatch(43, 1),
        ]
        assert self.do(EndpointsUpdated(44, False, (make_endpoint(phase=EndpointPhase.DRAINING),))) == []
        assert self.do(WatchLost()) == []
        self.do(EndpointsUpdated(45, False, (), epoch=1))
        assert self.reducer.state.directory.version == 45

    def test_a_new_discovery_address_while_the_watch_is_down_leaves_one_watch(self) -> None:
        # Guards against a second watch that stands in line behind the first for good.
        self.start(endpoints_polled=True)
        self.do(WatchLost())
        assert len(self.only(self.do(DiscoveryAddressChanged(("127.0.0.1", 9))), StartWatch)) == 1
        self.now += 10.0
        assert self.only(self.do(EndpointsUpdated(44, False, (), epoch=1)), StartWatch) == []

    def test_a_destination_without_endpoints_is_rejected(self) -> None:
        # Guards against a 202 for a message that cannot be sent anywhere.
        self.start()
        (told,) = self.do(MessageReceived(5, call("a", destination=9), self.now))
        assert told == ReplyToClient(5, 503, 1.0)

    def test_removed_endpoints_are_forgotten_once_nothing_is_in_flight(self) -> None:
        # Guards memory over a long day: new ids replace the workers all day, also at the same address.
        self.start()
        effects = self.take("a")
        for n in range(2, 50):
            old, new = make_endpoint(f"s-{n - 1}", phase=EndpointPhase.REMOVED), make_endpoint(f"s-{n}")
            told = self.do(EndpointsUpdated(41 + n, False, (old, new)))
            assert self.only(told, ForgetEndpoint) == ([] if n == 2 else [ForgetEndpoint(n - 1)])
        state, sender = self.reducer.state, self.reducer.scheduler
        assert (len(state.directory.endpoints), len(state.directory.numbers), state.directory.removed) == (
            2,
            2,
            {1},
        )
        assert len(sender.state.table.endpoints) == 2
        self.end(effects, (Outcome.OK, 0.0))
        self.do(EndpointsUpdated(99, True, (make_endpoint("s-49"),)))
        assert (len(state.directory.endpoints), list(state.directory.numbers), state.directory.removed) == (
            1,
            ["s-49"],
            set(),
        )
        destination = sender.state.table.destinations[1]
        assert [
            len(sender.state.table.endpoints),
            len(destination.endpoints),
            len(destination.endpoint_order),
            len(destination.endpoints_on(destination.shared_route)),
        ] == [1, 1, 1, 1]
        self.do(EndpointsUpdated(100, True, ()))
        self.now += 61.0
        self.do(EndpointsUpdated(101, True, ()))
        assert (state.directory.destinations, sender.state.table.destinations) == ({}, {})
