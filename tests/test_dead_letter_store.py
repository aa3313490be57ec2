"""Tests of the spool and the store: torn, full and damaged files, old schemas, and concurrent leases."""

from __future__ import annotations

import multiprocessing
import os
import sqlite3
import threading
from pathlib import Path
from unittest import mock

import pytest

from juniperward.dead_letters import outcome_log
from juniperward.dead_letters import spool as spools
from juniperward.dead_letters.clock import ClockReading
from juniperward.dead_letters.dead_letter import Status
from juniperward.dead_letters.operator_actions import ManualSettlement
from juniperward.dead_letters.outcome import RedriveOutcome
from juniperward.dead_letters.retention import RetentionLimits
from juniperward.dead_letters.schema import MIGRATIONS, statements
from juniperward.dead_letters.selection import START_POSITION, Filter, Position, SpoolPosition
from juniperward.dead_letters.spool import Spool, SpoolFullError
from juniperward.dead_letters.spool_files import acknowledge_segment, read, segments
from juniperward.dead_letters.spool_format import SpooledAttempt, SpooledMessage
from juniperward.dead_letters.store import DeadLetterStore
from juniperward.dead_letters.store_errors import LeaseLostError, StoreError
from juniperward.scheduler.settings import Idempotency
from tests.resources import Resources


def spooled_message(
    message_id: str,
    given_up_at: float = 1000.0,
    destination: int = 7,
    executed_at: float | None = None,
    body: bytes = b"x",
) -> SpooledMessage:
    attempts = (
        (SpooledAttempt("s-1", executed_at, "timeout", True),)
        if executed_at is not None
        else (SpooledAttempt("s-1", given_up_at, "full", False),)
    )
    return SpooledMessage(
        message_id,
        "c",
        "acme",
        destination,
        f"k{message_id}",
        body,
        given_up_at - 20.0,
        given_up_at,
        attempts,
        Idempotency.IDEMPOTENCY_KEY,
        12.0,
        ("s-1",),
    )


def _lease_all(file: str, by: str, leased_counts: multiprocessing.Queue[int]) -> None:
    store, leased = DeadLetterStore(Path(file), "OFF"), 0
    for number in range(200):
        try:
            store.acquire_lease(f"m{number}", None, "n0", 1.0, by)
            leased += 1
        except LeaseLostError:
            pass
    leased_counts.put(leased)


class TestSpool:
    @pytest.fixture(autouse=True)
    def set_up(self, resources: Resources, tmp_path: Path) -> None:
        self.resources = resources
        self.folder = tmp_path / "spool"

    def spool(self, max_bytes: int = 1_000_000) -> Spool:
        return self.resources.closing(Spool(self.folder, max_bytes))

    def spooled_ids(self) -> list[str]:
        return [
            message.id
            for _, path in segments(self.folder)
            for message, _ in read(path, 0)
            if message is not None
        ]

    def test_spooled_messages_are_read_back_complete(self) -> None:
        message = spooled_message("a", executed_at=995.0, body=bytes(range(256)))
        self.spool().append(message)
        ((found, _),) = read(segments(self.folder)[0][1], 0)
        assert found == message

    def test_a_tail_torn_at_any_byte_loses_only_its_message(self) -> None:
        spool = self.spool()
        for name in "abc":
            spool.append(spooled_message(name))
        path = segments(self.folder)[0][1]
        data = path.read_bytes()
        start = data.rindex(b"\n", 0, -1) + 1
        for length in range(start, len(data)):
            path.write_bytes(data[:length])
            assert self.spooled_ids() == ["a", "b"]
            # The next process does not append to the torn segment.
            Spool(self.folder, 1_000_000).append(spooled_message("d"))
            assert self.spooled_ids() == ["a", "b", "d"]
            segments(self.folder)[-1][1].unlink()

    def test_a_damaged_line_is_skipped_and_reported(self) -> None:
        spool = self.spool()
        for name in "abc":
            spool.append(spooled_message(name))
        path = segments(self.folder)[0][1]
        lines = path.read_bytes().split(b"\n")
        lines[1] = lines[1].replace(b"acme", b"acmf")
        path.write_bytes(b"\n".join(lines))
        assert [message.id if message is not None else None for message, _ in read(path, 0)] == [
            "a",
            None,
            "c",
        ]

    def test_a_message_spooled_by_an_earlier_process_is_not_spooled_twice(self) -> None:
        self.spool().append(spooled_message("a"))
        reopened = self.spool()
        assert reopened.ids == {"a"}
        reopened.append(spooled_message("a"))
        assert self.spooled_ids() == ["a"]

    def test_acknowledged_segments_are_deleted_only_after_their_ids_were_read(self) -> None:
        self.spool().append(spooled_message("a"))
        self.spool().append(spooled_message("b"))
        acknowledge_segment(self.folder, 1)
        reopened = self.spool()
        assert reopened.ids == {"a", "b"}
        assert self.spooled_ids() == ["b"]

    def test_a_full_spool_or_disk_stores_nothing_of_a_message(self) -> None:
        spool = self.spool(2000)
        spool.append(spooled_message("a"))
        with pytest.raises(SpoolFullError):
            spool.append(spooled_message("b", body=b"x" * 3000))
        partial_write = iter([5])

        def write_part(descriptor: int, data: memoryview) -> int:
            length = next(partial_write, None)
            if length is None:
                raise OSError(28, "No space left on device")
            return real_write(descriptor, data[:length])

        real_write = os.write
        with mock.patch("os.write", write_part), pytest.raises(OSError):
            spool.append(spooled_message("c"))
        spool.append(spooled_message("d"))
        assert self.spooled_ids() == ["a", "d"]

    def test_capacity_is_freed_once_the_agent_has_acknowledged_a_segment(self) -> None:
        with mock.patch.object(spools, "MAX_SEGMENT_BYTES", 100):
            spool = self.spool(1000)
            spool.append(spooled_message("a"))
            spool.append(spooled_message("b"))
            spool.append(spooled_message("c"))
            with pytest.raises(SpoolFullError):
                spool.append(spooled_message("d"))
            acknowledge_segment(self.folder, 2)
            spool.append(spooled_message("d"))
        assert self.spooled_ids() == ["c", "d"]

    def test_outcomes_survive_a_restart_and_the_first_one_is_kept(self) -> None:
        spool = self.spool()
        spool.outcomes.record("kept-a-1", RedriveOutcome("delivered", 5.0))
        spool.outcomes.record("kept-a-1", RedriveOutcome("undeliverable"))
        since = spool.outcomes.complete_since
        reopened = self.spool()
        assert reopened.outcomes == {"kept-a-1": RedriveOutcome("delivered", 5.0)}
        assert reopened.outcomes.complete_since == since
        with mock.patch.object(outcome_log, "MAX_OUTCOMES", 2):
            for number in range(3):
                reopened.outcomes.record(f"kept-b-{number}", RedriveOutcome("delivered"))
        assert reopened.outcomes.complete_since > since
        assert "kept-a-1" not in self.spool().outcomes


class TestStore:
    @pytest.fixture(autouse=True)
    def set_up(self, resources: Resources, tmp_path: Path) -> None:
        self.resources = resources
        self.file = tmp_path / "kept.db"
        self.store = self.resources.closing(DeadLetterStore(self.file, "OFF"))

    def fill(self, count: int) -> None:
        self.store.add(
            "n0",
            [spooled_message(f"m{number}", 1000.0 + number, number % 5) for number in range(count)],
            SpoolPosition(1, 10),
        )

    def test_a_spool_ingested_twice_gives_the_same_store(self) -> None:
        messages = [spooled_message("a"), spooled_message("b", executed_at=995.0)]
        assert self.store.add("n0", messages, SpoolPosition(1, 50)) == 2
        assert self.store.add("n0", messages, SpoolPosition(1, 50)) == 0
        assert self.store.spool_position("n0") == (1, 50)
        assert [(letter.id, letter.executed_at) for letter in self.store.select(Filter())] == [
            ("a", None),
            ("b", 995.0),
        ]

    def test_two_processes_and_a_rule_lease_each_message_once(self) -> None:
        self.fill(200)
        leased_counts: multiprocessing.Queue[int] = multiprocessing.get_context("spawn").Queue()
        new_process = multiprocessing.get_context("spawn").Process
        processes = [
            new_process(target=_lease_all, args=(str(self.file), f"p{number}", leased_counts))
            for number in range(2)
        ]
        for process in processes:
            process.start()
        leased = 0
        for number in range(199, -1, -1):
            try:
                self.store.acquire_lease(f"m{number}", None, "n1", 1.0, "rule")
                leased += 1
            except LeaseLostError:
                pass
        for process in processes:
            process.join(60.0)
        assert leased + sum(leased_counts.get(timeout=10.0) for _ in processes) == 200
        assert len(self.store.open_redrives()) == 200

    def test_an_outdated_fence_or_lease_changes_nothing(self) -> None:
        self.fill(1)
        lease = self.store.acquire_lease("m0", 0, "n0", 1.0, "a")
        with pytest.raises(LeaseLostError):
            self.store.acquire_lease("m0", 1, "n0", 1.0, "b")
        self.store.settle_redrive(lease, "refused", None, 2.0)
        with pytest.raises(LeaseLostError):
            self.store.acquire_lease("m0", 0, "n0", 3.0, "c")  # an outdated fence
        second = self.store.acquire_lease("m0", 1, "n1", 3.0, "c")
        assert second.redrive_id != lease.redrive_id
        with pytest.raises(LeaseLostError):
            self.store.settle_redrive(lease, "delivered", None, 4.0)  # a superseded lease
        self.store.settle_redrive(second, "undeliverable", 3.5, 4.0)
        (letter,) = self.store.select(Filter())
        assert (letter.status, letter.executed_at, letter.redrives) == (Status.STORED, 3.5, 1)

    def test_operators_settle_discard_and_undo_and_all_is_audited(self) -> None:
        self.fill(3)
        lease = self.store.acquire_lease("m0", None, "n0", 1.0, "rule")
        self.store.settle("m0", ManualSettlement(True, "ann", "the destination has it"), 2.0)
        with pytest.raises(LeaseLostError):
            self.store.settle_redrive(lease, "undeliverable", None, 3.0)
        with pytest.raises(LeaseLostError):
            self.store.settle("m0", ManualSettlement(False, "bob", "no"), 3.0)
        assert self.store.request_redrive(["m1", "m0", "none"], "ann") == 1
        assert self.store.request_redrive(["m1"], "bob") == 0
        assert self.store.discard(["m1", "m2"], "bob") == 2
        assert self.store.undo(["m1", "m0"], "bob") == 1
        assert self.store.show_body("m1", "cy") == b"x"
        entries = [(entry["who"], entry["what"], entry["message"]) for entry in self.store.audit()]
        assert ("ann", "settled: delivered", "m0") in entries
        assert ("cy", "showed the body", "m1") in entries
        assert ("bob", "undid the discard", "m1") in entries
        for statement in ("UPDATE audit SET who = 'x'", "DELETE FROM audit"):
            with pytest.raises(sqlite3.DatabaseError):
                self.store.db.execute(statement)
        record = self.store.complete_record("m0")
        assert record is not None
        assert "body" not in record
        assert [redrive["end"] for redrive in record["resent"]] == ["settled"]

    def test_messages_are_selected_by_filters_in_pages(self) -> None:
        self.fill(25)
        ids: list[str] = []
        after = START_POSITION
        while page := self.store.select(Filter(destination=2), 2, after):
            ids += [letter.id for letter in page]
            after = Position(page[-1].given_up_at, page[-1].id)
        assert ids == ["m2", "m7", "m12", "m17", "m22"]
        assert len(self.store.select(Filter(since=1010.0, until=1012.0))) == 2
        assert len(self.store.select(Filter(idempotency_key="km3", account="acme", status="kept"))) == 1
        assert self.store.destinations() == {number: 5 for number in range(5)}

    def test_retention_deletes_the_oldest_and_reports_it(self) -> None:
        self.fill(10)
        self.store.acquire_lease("m0", None, "n0", 1.0, "rule")
        assert self.store.sweep(1010.0, RetentionLimits(5.5, 100, 10**9)) == 4  # m1 to m4; m0 is leased
        assert self.store.sweep(1010.0, RetentionLimits(1e9, 4, 10**9)) == 2
        assert self.store.sweep(1010.0, RetentionLimits(1e9, 100, 1100)) == 2
        assert {letter.id for letter in self.store.select(Filter())} == {"m0", "m9"}
        details = [entry["detail"] for entry in self.store.audit() if entry["what"] == "dropped"]
        assert len(details) == 8
        assert "kept; for its age" in details

    def test_an_older_schema_is_migrated_and_a_newer_one_rejected(self) -> None:
        old = self.file.parent / "old.db"
        db = sqlite3.connect(old)
        for statement in statements(MIGRATIONS[0]):
            db.execute(statement)
        db.execute("PRAGMA user_version=1")
        db.execute(
            "INSERT INTO message VALUES ('a','n','c','t',1,'k',x'00',1,2,'by_key',12,'[]',NULL,'kept',0,0,9)"
        )
        db.commit()
        db.close()
        (letter,) = DeadLetterStore(old).select(Filter())
        assert (letter.id, letter.redrive_requested) == ("a", False)
        self.store.db.execute("PRAGMA user_version=99")
        with pytest.raises(StoreError, match="schema 99"):
            DeadLetterStore(self.file)

    def test_damage_is_detected_and_a_backup_is_complete(self) -> None:
        self.fill(500)
        copy = self.file.parent / "copy.db"
        self.store.backup(copy)
        assert len(DeadLetterStore(copy).select(Filter())) == 500
        assert self.store.check() == []
        self.store.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
        self.store.close()
        data = bytearray(self.file.read_bytes())
        data[8192:12288] = b"\xff" * 4096
        self.file.write_bytes(data)
        with pytest.raises((StoreError, sqlite3.DatabaseError)):
            found = DeadLetterStore(self.file).check()
            raise StoreError(str(found)) if found else AssertionError("the damage was not detected")

    def test_a_disk_that_fills_amid_a_change_rolls_it_back(self) -> None:
        self.fill(5)
        disk_full = sqlite3.OperationalError("database or disk is full")
        with pytest.raises(sqlite3.OperationalError), self.store.transaction() as db:
            db.execute("UPDATE message SET wished = 'x'")
            raise disk_full
        assert self.store.select(Filter(redrive_requested=True)) == []

    def test_clock_readings_are_stored_and_threads_have_their_own_connections(self) -> None:
        self.store.record_clock(ClockReading(5.0, 6.0, "b"))
        self.store.record_clock(ClockReading(float("inf"), 7.0, "b"))
        assert self.store.recorded_clock() == ClockReading(5.0, 6.0, "b")
        counts: list[object] = []
        thread = threading.Thread(target=lambda: counts.append(self.store.stats()["messages"]))
        thread.start()
        thread.join()
        assert counts == [0]
