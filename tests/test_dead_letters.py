"""Tests of dead letters in the forwarder's reducer, a forwarder process, and real clusters with redrives."""

from __future__ import annotations

import os
import signal
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

from juniperward.agent.client import AgentUnreachableError, request
from juniperward.benchmarks.local_cluster import LocalCluster
from juniperward.control.protocol import RedriveOutcomes, Request, Verb
from juniperward.dead_letters.outcome import RedriveOutcome
from juniperward.dead_letters.spool import Spool
from juniperward.dead_letters.spool_files import read, segments
from juniperward.fakes.destination_spec import DestinationSpec, FaultMode
from juniperward.fakes.records import SubmissionAnswered, Submitted
from juniperward.forwarder.dead_letter_writer import DeadLetterWriter
from juniperward.forwarder.effects import (
    AcceptMessage,
    AppendRecord,
    Effect,
    RecordRedriveOutcome,
    ReplyToClient,
    SendControlReply,
    SendNotifications,
    StoreDeadLetter,
    WithdrawFromBatch,
)
from juniperward.forwarder.events import (
    ControlRequested,
    EndpointsUpdated,
    JournalReplayed,
    MessageAccepted,
    MessageReceived,
)
from juniperward.forwarder.journal import Journal
from juniperward.forwarder.model import Endpoint, Message, PastAttempt
from juniperward.forwarder.records import AcceptedRecord, OutcomeDecidedRecord
from juniperward.forwarder.reducer import Reducer
from juniperward.forwarder.stored_outcomes import StoredOutcome
from juniperward.scheduler.events import EndpointPhase, MessageAdmitted
from juniperward.scheduler.events import PastAttempt as SchedulerPastAttempt
from juniperward.scheduler.settings import Idempotency
from juniperward.settings import fleet_pb2
from tests.helpers import WITH_IDEMPOTENCY_KEY, settings
from tests.player import Player, Program
from tests.resources import UsesResources

ENDPOINT = Endpoint("s-1", "127.0.0.1", 81, 7, EndpointPhase.READY, 0, 0, 0.0)


class TestReducer:
    def reducer(self, is_enabled: bool = True, spooled_ids: frozenset[str] = frozenset()) -> Reducer:
        reducer = Reducer(settings(WITH_IDEMPOTENCY_KEY), 1, is_enabled, spooled_ids)
        reducer.reduce(100.0, [EndpointsUpdated(1, True, (ENDPOINT,), cached=True)])
        return reducer

    def accept(
        self, reducer: Reducer, message_id: str = "a", executed_ago_s: float | None = None
    ) -> list[Effect]:
        effects = reducer.reduce(
            100.0, [MessageReceived(5, Message(message_id, 0, 0, 7, 20.0, "k", b"x", executed_ago_s), 100.0)]
        )
        (accept_message,) = [effect for effect in effects if isinstance(effect, AcceptMessage)]
        return reducer.reduce(100.0, [MessageAccepted(accept_message.message, True)])

    def give_up(self, reducer: Reducer) -> list[Effect]:
        reducer._round.begin(110.0)
        reducer._scheduling._give_up(1, None)
        return self.effects_after_withdrawal(reducer)

    @staticmethod
    def effects_after_withdrawal(reducer: Reducer) -> list[Effect]:
        """Return the effects after the first one, which keeps a message in flight from being written any more."""
        withdrawal, *effects = reducer.effects
        assert isinstance(withdrawal, WithdrawFromBatch)
        return effects

    def test_a_dead_letter_is_stored_before_its_outcome_is_journalled(self) -> None:
        reducer = self.reducer()
        self.accept(reducer)
        store, decided, notify = self.give_up(reducer)
        assert (
            isinstance(store, StoreDeadLetter)
            and isinstance(decided, AppendRecord)
            and isinstance(notify, SendNotifications)
        )
        assert (store.message.id, store.received_at, store.given_up_at, store.endpoints) == (
            "a",
            100.0,
            110.0,
            ("s-1",),
        )
        assert isinstance(decided.record, OutcomeDecidedRecord)

    def test_nothing_is_stored_if_disabled_or_if_the_client_may_retry(self) -> None:
        reducer = self.reducer(is_enabled=False)
        self.accept(reducer)
        assert [type(effect) for effect in self.give_up(reducer)] == [AppendRecord, SendNotifications]
        reducer = self.reducer()
        self.accept(reducer)
        reducer._round.begin(110.0)
        reducer._scheduling._give_up(1, 0.5)
        assert [type(effect) for effect in self.effects_after_withdrawal(reducer)] == [
            AppendRecord,
            SendNotifications,
        ]

    def test_an_expired_message_is_stored_and_its_client_notified_not_to_retry(self) -> None:
        # Guards against a duplicate from the client's retry and the redrive.
        reducer = self.reducer()
        self.accept(reducer)
        reducer._round.begin(119.8)
        reducer._scheduling._give_up(1, 0.5)
        store, decided, _ = self.effects_after_withdrawal(reducer)
        assert isinstance(store, StoreDeadLetter)
        assert isinstance(decided, AppendRecord) and isinstance(decided.record, OutcomeDecidedRecord)
        assert decided.record.notification.retry_after_s is None

    def test_a_message_stored_before_a_kill_completes_without_a_second_record(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            journal = Journal(Path(folder), 100_000, 0.0)
            journal.append(AcceptedRecord(Message("a", 0, 0, 7, 20.0, "k", b"x"), 1e9))
            journal.close()
            reopened = Journal(Path(folder), 100_000, 0.0)
            effects = self.reducer(spooled_ids=frozenset({"a"})).reduce(
                100.0, [JournalReplayed(reopened.restored())]
            )
            reopened.close()
        assert [type(effect) for effect in effects] == [AppendRecord, SendNotifications]

    def test_an_unknown_redrive_is_never_accepted_later(self) -> None:
        reducer = self.reducer()
        (control_reply,) = reducer.reduce(
            100.0, [ControlRequested(1, Request(3, Verb.REDRIVE_OUTCOMES, ("kept-a-1",)))]
        )
        assert isinstance(control_reply, SendControlReply)
        assert isinstance(control_reply.answer.body, RedriveOutcomes)
        assert [row.outcome for row in control_reply.answer.body.outcomes] == ["unknown"]
        (reply,) = reducer.reduce(
            100.0, [MessageReceived(5, Message("kept-a-1", 0, 0, 7, 20.0, "k", b"x"), 100.0)]
        )
        assert isinstance(reply, ReplyToClient)
        assert reply.status == 503
        self.accept(reducer, "kept-b-1")
        (control_reply,) = reducer.reduce(
            100.0, [ControlRequested(1, Request(3, Verb.REDRIVE_OUTCOMES, ("kept-b-1",)))]
        )
        assert isinstance(control_reply, SendControlReply)
        assert isinstance(control_reply.answer.body, RedriveOutcomes)
        assert [row.outcome for row in control_reply.answer.body.outcomes] == ["held"]

    def test_a_redrive_carries_its_possible_execution_to_scheduler_and_journal(self) -> None:
        reducer = self.reducer()
        handled: list[Any] = []
        scheduler_handle = reducer.scheduler.handle

        def handle(now: float, events: Any) -> Any:
            handled.extend(events)
            return scheduler_handle(now, events)

        reducer.scheduler.handle = handle  # type: ignore[method-assign]
        self.accept(reducer, "kept-a-1", executed_ago_s=3.0)
        (admitted,) = [event for event in handled if isinstance(event, MessageAdmitted)]
        assert admitted.history == (SchedulerPastAttempt(0, 97.0),)
        record, decided, _ = self.give_up(reducer)
        assert record == RecordRedriveOutcome("kept-a-1", "undeliverable", 97.0)
        assert isinstance(decided, AppendRecord)
        with tempfile.TemporaryDirectory() as folder:
            journal = Journal(Path(folder), 100_000, 0.0)
            journal.append(AcceptedRecord(Message("kept-a-1", 0, 0, 7, 20.0, "k", b"x"), 1e9, 97.0))
            journal.close()
            reopened = Journal(Path(folder), 100_000, 0.0)
            (restored,) = reopened.restored()
            reopened.close()
        assert [(attempt.started_at, attempt.possibly_executed) for attempt in restored.history] == [
            (97.0, True)
        ]

    def test_an_unwritable_spool_disables_dead_letters_and_nothing_else(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            spool = Spool(Path(folder), 10)
            from juniperward.forwarder.settings_names import SettingsNames
            from juniperward.forwarder.telemetry import counters

            failed_before = counters().get("dead_letters_failed", 0)
            writer = DeadLetterWriter(
                spool, settings(WITH_IDEMPOTENCY_KEY), SettingsNames(("c",), (20.0,), (), (), ()), 0.0
            )
            attempt = PastAttempt("s-1", 1.0, StoredOutcome.TIMEOUT, True)
            writer.store(
                StoreDeadLetter(Message("a", 0, 0, 7, 20.0, "k", b"x"), 0.0, 1.0, (attempt,), ("s-1",))
            )
            assert counters()["dead_letters_failed"] == failed_before + 1
            spool.outcomes.record("kept-a-1", RedriveOutcome("delivered"))
            assert (
                writer.redrive_outcomes(RedriveOutcomes(0.0, ())).complete_since
                == spool.outcomes.complete_since
            )
            spool.close()
            writer.record_redrive_outcome(RecordRedriveOutcome("kept-b-1", "delivered", None))
            assert writer.redrive_outcomes(RedriveOutcomes(0.0, ())).complete_since > 1e17


class TestForwarder(UsesResources):
    def test_a_forwarder_stores_each_failed_message_once_across_a_kill(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            program = self.resources.closing(Program(Path(folder)))
            program.config["kept"] = {"spool": str(Path(folder) / "spool"), "max_bytes": 100_000}
            program.start()
            player = self.resources.closing(Player(program))
            text = (Path(__file__).parent / "exchanges" / "reload.txt").read_text()
            player.play(text[text.index("@ c client") : text.index("! reload")])
            player.control("restart")
            found = [message for _, path in segments(Path(folder) / "spool") for message, _ in read(path, 0)]
            assert [
                (message.id, message.idempotency, message.account) for message in found if message is not None
            ] == [("m1", Idempotency.NON_IDEMPOTENT, "acme")]
            assert ([attempt.possibly_executed for attempt in found[0].attempts] if found[0] else []) == [
                True
            ]
            player.close()
            program.kill()


class TestLocalCluster(UsesResources):
    """Redrives by a real fleet to a destination that has recovered from an outage."""

    def cluster(self, rules: bool = True) -> LocalCluster:
        folder = tempfile.TemporaryDirectory(prefix="jw-")
        self.resources.callback(folder.cleanup)
        destinations = [DestinationSpec(1, latency_s=0.02, warm_up_s=3.0), DestinationSpec(2, latency_s=0.02)]
        cluster = self.resources.closing(LocalCluster(Path(folder.name), 2, destinations))
        cluster.base["settings"]["Services"][0] |= {"DeadlineMs": 2500.0, "AimMs": 1000.0}
        cluster.base["settings"]["Invariants"] |= {"WarmWithinMs": 3000.0}
        cluster.files.dead_letters = fleet_pb2.Kept(
            on=True, pace=fleet_pb2.ResendPace(first=10, step=10, share_of_slots=0.5)
        )
        if rules:
            cluster.files.dead_letters.rule.add(name="all", most_resends=20)
        cluster.start()
        return cluster

    def check_delivered_once(self, cluster: LocalCluster) -> None:
        """Check that each redrivable message was delivered once and no uncertain one was redriven."""
        # The agent submits the redrives, so they are added to the recording from the store's leases.
        page: dict[str, Any] = {"next": None}
        rows: list[Any] = []
        while True:
            page = cluster.request("kept", action="list", limit=500, after=page["next"])
            rows += page["messages"]
            if page["next"] is None:
                break
        effects: dict[str, int] = {}
        for record in list(cluster.recorder.records):
            if type(record).__name__ == "Effect":
                effects[record.key] = effects.get(record.key, 0) + 1  # type: ignore[union-attr]
        for row in rows:
            letter = cluster.request("kept", action="show", id=row["id"])
            for number, redrive in enumerate(letter["resent"]):
                leased_at = redrive["claimed_at"] - time.time() + time.monotonic()
                cluster.recorder.add(
                    Submitted(leased_at, redrive["id"], f"r{row['id']}-{number}", row["key"], "booking-update",
                              row["account"], row["destination"], redrive["forwarder"], leased_at, leased_at + 2.5)
                )  # fmt: skip
                accepted = redrive["end"] not in ("refused", "never taken")
                cluster.recorder.add(
                    SubmissionAnswered(leased_at + 0.01, redrive["id"], 202 if accepted else 503)
                )
            if row["stand"] == "delivered":
                assert effects.get(row["key"]) == 1, row
            else:
                assert (row["stand"], row["kind"]) == ("kept", "uncertain"), row
            assert effects.get(row["key"], 0) <= 1, row
        verdict = cluster.verdict()
        assert verdict.passed, "\n".join(verdict.lines())
        self.letter_count = len(rows)

    def wait_until_settled(self, cluster: LocalCluster, timeout_s: float = 40.0) -> None:
        settled_since = time.monotonic()
        deadline = settled_since + timeout_s
        while time.monotonic() < deadline:
            try:
                stats = cluster.request("kept", action="stats")
                rows = cluster.request("kept", action="list", limit=500, stand="kept")["messages"]
            except AgentUnreachableError:
                continue
            pending = [row for row in rows if row["may_go"] or (row["wanted_by"] and row["kind"] == "safe")]
            if stats["open"] or pending or not stats["messages"]:
                settled_since = time.monotonic()
            elif time.monotonic() - settled_since > 1.0:  # longer than the interval of reading spools
                return
            time.sleep(0.1)
        raise TimeoutError(str(stats))

    def test_after_recovery_each_dead_letter_is_delivered_once(self) -> None:
        cluster = self.cluster()
        clients = cluster.clients(30.0, 9.0, threads=24)
        time.sleep(1.0)
        cluster.destinations[1].inject_fault(FaultMode.DOWN)
        time.sleep(5.0)
        cluster.destinations[1].inject_fault(FaultMode.HEALTHY)
        assert clients.done.wait(30.0)
        cluster.settle()
        self.wait_until_settled(cluster)
        assert not cluster.destinations[1].capacity.crashed
        self.check_delivered_once(cluster)
        assert self.letter_count > 10

    def test_kills_between_lease_and_outcome_and_concurrent_requests_redrive_nothing_twice(self) -> None:
        cluster = self.cluster(rules=False)
        clients = cluster.clients(30.0, 5.0, threads=24)
        time.sleep(0.5)
        cluster.destinations[1].inject_fault(FaultMode.DOWN)
        assert clients.done.wait(30.0)
        cluster.settle()
        cluster.wait_until(lambda _: True)
        # The agent reads the spools some time after the last message was given up.
        spooled_count = sum(cluster.request("inspect", [name])["status"]["kept"] for name in cluster.names)
        assert spooled_count > 10
        cluster.wait_until(lambda _: cluster.request("kept", action="stats")["messages"] == spooled_count)
        rows = cluster.request("kept", action="list", limit=500)["messages"]
        cluster.destinations[1].inject_fault(FaultMode.HEALTHY)
        ids = [row["id"] for row in rows]

        def request_redrives() -> None:
            for first in range(0, len(ids), 50):
                request(cluster.socket, "kept", None, 10.0, action="resend", ids=ids[first : first + 50])

        operators = [threading.Thread(target=request_redrives) for _ in range(2)]
        for operator in operators:
            operator.start()
        for operator in operators:
            operator.join()
        cluster.wait_until(
            lambda _: cluster.request("kept", action="stats")["stands"].get("delivered", 0) > 0, 30.0
        )
        cluster.kill_agent()
        os.kill(cluster.pids["n0"], signal.SIGKILL)
        cluster.start_agent()
        cluster.wait_until(lambda status: status["ready"] == 2)
        self.wait_until_settled(cluster)
        self.check_delivered_once(cluster)
        actions = [entry["what"] for entry in cluster.request("kept", action="audit")["audit"]]
        assert actions.count("asked for a resend") == len(ids)
