"""The journal alone: what is replayed, what is left out, and how much disk it fills."""

from __future__ import annotations

import os
from pathlib import Path
from unittest import mock

import pytest

from juniperward.forwarder.journal import BLOCK_BYTES, COMPACTED_NAME, JOURNAL_NAME, Journal, JournalFullError
from juniperward.forwarder.model import Message, OutcomeNotification
from juniperward.forwarder.records import (
    AcceptedRecord,
    AttemptFinishedRecord,
    AttemptStartedRecord,
    CompletedRecord,
    OutcomeDecidedRecord,
    RecordedAttempt,
)
from tests.resources import Resources

DISK = 200_000


def call(name: str, size: int = 100) -> Message:
    return Message(name, 0, 1, 7, 0.0, f"k-{name}", bytes(range(256)) * (size // 256 + 1))


class TestJournal:
    @pytest.fixture(autouse=True)
    def set_up(self, resources: Resources, tmp_path: Path) -> None:
        self.resources = resources
        self.folder = tmp_path

    def open(self, unix_offset_s: float = 1000.0, disk: int = DISK) -> Journal:
        return self.resources.closing(Journal(self.folder, disk, unix_offset_s))

    def used(self) -> int:
        return sum(-(-p.stat().st_size // BLOCK_BYTES) * BLOCK_BYTES for p in self.folder.iterdir())

    def test_a_message_is_restored_completely(self) -> None:
        # Guards the fields that rule 2 needs after a restart: which attempt may have run, where and when.
        j = self.open()
        for record in (
            AcceptedRecord(call("a"), 20.0),
            AttemptStartedRecord("a", 1.5, "s-1"),
            AttemptFinishedRecord("a", False),
            AttemptStartedRecord("a", 2.5, "s-2"),
            AcceptedRecord(call("b"), 21.0),
            AttemptStartedRecord("b", 3.0, "s-1"),
            AttemptFinishedRecord("b", True),
            OutcomeDecidedRecord(OutcomeNotification("b", 0.25)),
            AcceptedRecord(call("c"), 22.0),
            CompletedRecord("c"),
        ):
            j.append(record)
        a, b = self.open().restored()
        assert (a.message, a.expires_at) == (call("a"), 20.0)
        assert a.history == (RecordedAttempt("s-1", 1.5, False), RecordedAttempt("s-2", 2.5, True))
        assert a.notification is None
        assert (b.message.id, b.notification) == ("b", OutcomeNotification("b", 0.25))
        again = {r.message.id: r for r in self.open().restored()}  # what a rewrite kept says the same
        assert (again["a"], again["b"]) == (a, b)

    def test_times_are_rebased_to_the_clock_of_the_new_process(self) -> None:
        # Guards the 12 s window over a reboot: monotonic clocks start anew, Unix time goes on.
        j = self.open(unix_offset_s=1000.0)
        j.append(AcceptedRecord(call("a"), 20.0))
        j.append(AttemptStartedRecord("a", 1.0, "s-1"))
        (a,) = self.open(unix_offset_s=1015.0).restored()
        assert (a.expires_at, a.history[0].started_at) == (5.0, -14.0)

    def test_a_torn_tail_loses_only_its_record(self) -> None:
        # Guards against a process killed within a write, at every byte of it.
        j = self.open()
        j.append(AcceptedRecord(call("a"), 20.0))
        whole = (self.folder / JOURNAL_NAME).read_bytes()
        j.append(AcceptedRecord(call("b"), 20.0))
        both = (self.folder / JOURNAL_NAME).read_bytes()
        for cut in range(len(whole), len(both) - 1, 7):
            (self.folder / JOURNAL_NAME).write_bytes(both[:cut])
            again = self.open()
            assert [r.message.id for r in again.restored()] == ["a"]
            again.append(AcceptedRecord(call("c"), 20.0))
            assert [r.message.id for r in self.open().restored()] == ["a", "c"]

    def test_a_damaged_line_loses_only_its_record(self) -> None:
        j = self.open()
        for name in "abc":
            j.append(AcceptedRecord(call(name), 20.0))
        lines = (self.folder / JOURNAL_NAME).read_bytes().split(b"\n")
        lines[1] = lines[1].replace(b'"b"', b'"x"')  # still a record, but not the one that was written
        (self.folder / JOURNAL_NAME).write_bytes(b"\n".join(lines))
        assert [r.message.id for r in self.open().restored()] == ["a", "c"]

    def test_a_write_cut_short_does_not_spoil_the_next_record(self) -> None:
        # Guards against a record that joins the rest of one that failed: neither line would match its sum.
        j = self.open()
        real = os.write

        def short(file: int, data: bytes) -> int:
            real(file, bytes(data)[:10])
            raise OSError(28, "No space left on device")

        with mock.patch("juniperward.forwarder.journal.os.write", short), pytest.raises(OSError):
            j.append(AcceptedRecord(call("a"), 20.0))
        j.append(AcceptedRecord(call("b"), 20.0))
        assert [r.message.id for r in self.open().restored()] == ["b"]

    def test_an_interrupted_compaction_leaves_the_old_file_in_use(self) -> None:
        self.open().append(AcceptedRecord(call("a"), 20.0))
        (self.folder / COMPACTED_NAME).write_bytes(b"half a")
        assert [r.message.id for r in self.open().restored()] == ["a"]
        assert not (self.folder / COMPACTED_NAME).exists()

    def test_it_stays_within_its_disk_quota_and_rejects_what_does_not_fit(self) -> None:
        # Guards the limit on the folder, old and new file together in whole blocks: over it is a crash.
        disk, most = 1_000_000, 0
        j, open_now = self.open(disk=disk), []
        real = os.rename

        def look(old: Path, new: Path) -> None:
            nonlocal most
            most = max(most, self.used())
            real(old, new)

        turned_away = 0
        with mock.patch("juniperward.forwarder.journal.os.rename", look):
            for n in range(1500):
                try:
                    j.append(AcceptedRecord(call(f"m{n}", 1500), 20.0))
                    open_now.append(f"m{n}")
                except JournalFullError:
                    turned_away += 1
                    name = open_now.pop(0)
                    for _ in range(8):
                        j.append(AttemptStartedRecord(name, 1.0, "s-1"))
                        j.append(AttemptFinishedRecord(name, False))
                    j.append(CompletedRecord(name))
                most = max(most, self.used())
        assert turned_away > 500
        assert most > disk // 4
        assert most <= disk

    def test_records_of_completed_messages_are_not_written(self) -> None:
        j = self.open()
        j.append(CompletedRecord("nobody"))
        assert (self.folder / JOURNAL_NAME).read_bytes() == b""

    def test_messages_of_the_usual_size_fill_all_places(self) -> None:
        # Guards the places of a day: reserving for nine attempts each, 3 MB took 355 messages of 1,000.
        j = self.open(disk=3_000_000)
        for n in range(1000):
            j.append(AcceptedRecord(call(f"{n:016x}", 400), 20.0))
            for _ in range(2):
                j.append(AttemptStartedRecord(f"{n:016x}", 1796123738.73, "s-04f5390c"))
                j.append(AttemptFinishedRecord(f"{n:016x}", False))
        assert len(self.open(disk=3_000_000).restored()) == 1000
        assert self.used() <= 3_000_000

    def test_a_file_too_full_to_compact_stays_within_its_disk_quota(self) -> None:
        # Guards against a crash by the folder's limit when every message has all its attempts.
        j = self.open(disk=300_000)
        for n in range(1000):
            try:
                j.append(AcceptedRecord(call(f"m{n}"), 20.0))
            except JournalFullError:
                break
        taken = len(j.live)
        failed = 0
        for _ in range(100):
            for n in range(taken):
                try:
                    j.append(AttemptStartedRecord(f"m{n}", 1.0, "s-1"))
                except OSError:
                    failed += 1
                assert self.used() <= 300_000
        assert failed > 0
        assert len(self.open(disk=300_000).restored()) == taken
