"""A forwarder that keeps what is given up, and real fleets that send it again."""

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
from juniperward.scheduler.events import PastAttempt as ModuleTried
from juniperward.scheduler.settings import Idempotency
from juniperward.settings import fleet_pb2
from tests.helpers import KEYED, settings
from tests.player import Player, Program
from tests.resources import UsesResources

WORKER = Endpoint("s-1", "127.0.0.1", 81, 7, EndpointPhase.READY, 0, 0, 0.0)


class TestReducer:
    def reducer(self, keeps: bool = True, kept: frozenset[str] = frozenset()) -> Reducer:
        made = Reducer(settings(KEYED), 1, keeps, kept)
        made.reduce(100.0, [EndpointsUpdated(1, True, (WORKER,), cached=True)])
        return made

    def take(self, reducer: Reducer, name: str = "a", ran: float | None = None) -> list[Effect]:
        effects = reducer.reduce(
            100.0, [MessageReceived(5, Message(name, 0, 0, 7, 20.0, "k", b"x", ran), 100.0)]
        )
        (accept_message,) = [e for e in effects if isinstance(e, AcceptMessage)]
        return reducer.reduce(100.0, [MessageAccepted(accept_message.message, True)])

    def give_up(self, reducer: Reducer) -> list[Effect]:
        reducer._round.begin(110.0)
        reducer._scheduling._give_up(1, None)
        return reducer.effects

    def test_a_dead_letter_is_stored_before_its_outcome_is_journalled(self) -> None:
        reducer = self.reducer()
        self.take(reducer)
        keep, decided, notify = self.give_up(reducer)
        assert (
            isinstance(keep, StoreDeadLetter)
            and isinstance(decided, AppendRecord)
            and isinstance(notify, SendNotifications)
        )
        assert (keep.message.id, keep.received_at, keep.given_up_at, keep.endpoints) == (
            "a",
            100.0,
            110.0,
            ("s-1",),
        )
        assert isinstance(decided.record, OutcomeDecidedRecord)

    def test_nothing_is_stored_where_disabled_or_the_client_may_retry(self) -> None:
        reducer = self.reducer(keeps=False)
        self.take(reducer)
        assert [type(e) for e in self.give_up(reducer)] == [AppendRecord, SendNotifications]
        reducer = self.reducer()
        self.take(reducer)
        reducer._round.begin(110.0)
        reducer._scheduling._give_up(1, 0.5)
        assert [type(e) for e in reducer.effects] == [AppendRecord, SendNotifications]

    def test_an_expired_message_is_stored_and_its_client_notified_not_to_retry(self) -> None:
        # Guards against two senders of one message: the client's second try and the resend.
        reducer = self.reducer()
        self.take(reducer)
        reducer._round.begin(119.8)
        reducer._scheduling._give_up(1, 0.5)
        keep, decided, _ = reducer.effects
        assert isinstance(keep, StoreDeadLetter)
        assert isinstance(decided, AppendRecord) and isinstance(decided.record, OutcomeDecidedRecord)
        assert decided.record.notification.retry_after_s is None

    def test_a_message_stored_before_a_kill_completes_without_a_second_record(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            journal = Journal(Path(name), 100_000, 0.0)
            journal.append(AcceptedRecord(Message("a", 0, 0, 7, 20.0, "k", b"x"), 1e9))
            journal.close()
            again = Journal(Path(name), 100_000, 0.0)
            effects = self.reducer(kept=frozenset({"a"})).reduce(100.0, [JournalReplayed(again.restored())])
            again.close()
        assert [type(e) for e in effects] == [AppendRecord, SendNotifications]

    def test_an_unknown_redrive_is_never_accepted_later(self) -> None:
        reducer = self.reducer()
        (tell,) = reducer.reduce(
            100.0, [ControlRequested(1, Request(3, Verb.REDRIVE_OUTCOMES, ("kept-a-1",)))]
        )
        assert isinstance(tell, SendControlReply) and isinstance(tell.answer.body, RedriveOutcomes)
        assert [r.outcome for r in tell.answer.body.outcomes] == ["unknown"]
        (reply,) = reducer.reduce(
            100.0, [MessageReceived(5, Message("kept-a-1", 0, 0, 7, 20.0, "k", b"x"), 100.0)]
        )
        assert isinstance(reply, ReplyToClient)
        assert reply.status == 503
        self.take(reducer, "kept-b-1")
        (tell,) = reducer.reduce(
            100.0, [ControlRequested(1, Request(3, Verb.REDRIVE_OUTCOMES, ("kept-b-1",)))]
        )
        assert isinstance(tell, SendControlReply) and isinstance(tell.answer.body, RedriveOutcomes)
        assert [r.outcome for r in tell.answer.body.outcomes] == ["held"]

    def test_a_redrive_carries_its_possible_execution_to_scheduler_and_journal(self) -> None:
        reducer = self.reducer()
        heard: list[Any] = []
        real = reducer.scheduler.handle

        def handle(now: float, events: Any) -> Any:
            heard.extend(events)
            return real(now, events)

        reducer.scheduler.handle = handle  # type: ignore[method-assign]
        self.take(reducer, "kept-a-1", ran=3.0)
        (arrived,) = [e for e in heard if isinstance(e, MessageAdmitted)]
        assert arrived.history == (ModuleTried(0, 97.0),)
        remember, decided, _ = self.give_up(reducer)
        assert remember == RecordRedriveOutcome("kept-a-1", "undeliverable", 97.0)
        assert isinstance(decided, AppendRecord)
        with tempfile.TemporaryDirectory() as name:
            journal = Journal(Path(name), 100_000, 0.0)
            journal.append(AcceptedRecord(Message("kept-a-1", 0, 0, 7, 20.0, "k", b"x"), 1e9, 97.0))
            journal.close()
            again = Journal(Path(name), 100_000, 0.0)
            (restored,) = again.restored()
            again.close()
        assert [(d.started_at, d.possibly_executed) for d in restored.history] == [(97.0, True)]

    def test_an_unwritable_spool_disables_dead_letters_and_nothing_else(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            spool = Spool(Path(name), 10)
            from juniperward.forwarder.settings_names import SettingsNames
            from juniperward.forwarder.telemetry import counters

            before = counters().get("dead_letters_failed", 0)
            writer = DeadLetterWriter(spool, settings(KEYED), SettingsNames(("c",), (20.0,), (), (), ()), 0.0)
            tried = PastAttempt("s-1", 1.0, StoredOutcome.TIMEOUT, True)
            writer.store(
                StoreDeadLetter(Message("a", 0, 0, 7, 20.0, "k", b"x"), 0.0, 1.0, (tried,), ("s-1",))
            )
            assert counters()["dead_letters_failed"] == before + 1
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
        with tempfile.TemporaryDirectory() as name:
            program = self.resources.closing(Program(Path(name)))
            program.config["kept"] = {"spool": str(Path(name) / "spool"), "max_bytes": 100_000}
            program.start()
            player = self.resources.closing(Player(program))
            text = (Path(__file__).parent / "exchanges" / "reload.txt").read_text()
            player.play(text[text.index("@ c client") : text.index("! reload")])
            player.control("restart")
            found = [k for _, p in segments(Path(name) / "spool") for k, _ in read(p, 0)]
            assert [(k.id, k.idempotency, k.account) for k in found if k is not None] == [
                ("m1", Idempotency.NON_IDEMPOTENT, "acme")
            ]
            assert ([a.possibly_executed for a in found[0].attempts] if found[0] else []) == [True]
            player.close()
            program.kill()


class TestLocalCluster(UsesResources):
    """A destination that is away and comes back; what it missed arrives once."""

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

    def check_once(self, cluster: LocalCluster) -> None:
        """Every message that may go has arrived once, and none that is uncertain was sent."""
        # Resends are handed in by the agent: what it claimed is what the checker is told of them.
        found = {"next": None}
        rows: list[Any] = []
        while True:
            found = cluster.request("kept", action="list", limit=500, after=found["next"])
            rows += found["messages"]
            if found["next"] is None:
                break
        effects: dict[str, int] = {}
        for r in list(cluster.recorder.records):
            if type(r).__name__ == "Effect":
                effects[r.key] = effects.get(r.key, 0) + 1  # type: ignore[union-attr]
        for row in rows:
            whole = cluster.request("kept", action="show", id=row["id"])
            for n, resend in enumerate(whole["resent"]):
                at = resend["claimed_at"] - time.time() + time.monotonic()
                cluster.recorder.add(
                    Submitted(at, resend["id"], f"r{row['id']}-{n}", row["key"], "booking-update", row["account"],
                                 row["destination"], resend["forwarder"], at, at + 2.5)
                )  # fmt: skip
                taken = resend["end"] not in ("refused", "never taken")
                cluster.recorder.add(SubmissionAnswered(at + 0.01, resend["id"], 202 if taken else 503))
            if row["stand"] == "delivered":
                assert effects.get(row["key"]) == 1, row
            else:
                assert (row["stand"], row["kind"]) == ("kept", "uncertain"), row
            assert effects.get(row["key"], 0) <= 1, row
        verdict = cluster.verdict()
        assert verdict.passed, "\n".join(verdict.lines())
        self.kept = len(rows)

    def settled(self, cluster: LocalCluster, patience: float = 40.0) -> None:
        calm = time.monotonic()
        until = calm + patience
        while time.monotonic() < until:
            try:
                stats = cluster.request("kept", action="stats")
                rows = cluster.request("kept", action="list", limit=500, stand="kept")["messages"]
            except AgentUnreachableError:
                continue
            left = [r for r in rows if r["may_go"] or (r["wanted_by"] and r["kind"] == "safe")]
            if stats["open"] or left or not stats["messages"]:
                calm = time.monotonic()
            elif time.monotonic() - calm > 1.0:  # longer than a spool may wait to be taken in
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
        self.settled(cluster)
        assert not cluster.destinations[1].capacity.crashed
        self.check_once(cluster)
        assert self.kept > 10

    def test_kills_between_lease_and_outcome_and_concurrent_requests_redrive_nothing_twice(self) -> None:
        cluster = self.cluster(rules=False)
        clients = cluster.clients(30.0, 5.0, threads=24)
        time.sleep(0.5)
        cluster.destinations[1].inject_fault(FaultMode.DOWN)
        assert clients.done.wait(30.0)
        cluster.settle()
        cluster.wait_until(lambda _: True)
        # The spools are taken in some time after the last message was given up.
        kept = sum(cluster.request("inspect", [n])["status"]["kept"] for n in cluster.names)
        assert kept > 10
        cluster.wait_until(lambda _: cluster.request("kept", action="stats")["messages"] == kept)
        found = cluster.request("kept", action="list", limit=500)["messages"]
        cluster.destinations[1].inject_fault(FaultMode.HEALTHY)
        ids = [r["id"] for r in found]

        def wish() -> None:
            for first in range(0, len(ids), 50):
                request(cluster.socket, "kept", None, 10.0, action="resend", ids=ids[first : first + 50])

        people = [threading.Thread(target=wish) for _ in range(2)]
        for person in people:
            person.start()
        for person in people:
            person.join()
        cluster.wait_until(
            lambda _: cluster.request("kept", action="stats")["stands"].get("delivered", 0) > 0, 30.0
        )
        cluster.kill_agent()
        os.kill(cluster.pids["n0"], signal.SIGKILL)
        cluster.start_agent()
        cluster.wait_until(lambda s: s["ready"] == 2)
        self.settled(cluster)
        self.check_once(cluster)
        said = [a["what"] for a in cluster.request("kept", action="audit")["audit"]]
        assert said.count("asked for a resend") == len(ids)
