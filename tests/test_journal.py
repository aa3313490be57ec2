"""Tests of the journal: replay, damaged files, compaction and the disk quota."""

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

DISK_BYTES = 200_000


def message(name: str, size: int = 100) -> Message:
    return Message(name, 0, 1, 7, 0.0, f"k-{name}", bytes(range(256)) * (size // 256 + 1))


class TestJournal:
    @pytest.fixture(autouse=True)
    def set_up(self, resources: Resources, tmp_path: Path) -> None:
        self.resources = resources
        self.folder = tmp_path

    def open(self, unix_offset_s: float = 1000.0, disk: int = DISK_BYTES) -> Journal:
        return self.resources.closing(Journal(self.folder, disk, unix_offset_s))

    def used_bytes(self) -> int:
        return sum(-(-p.stat().st_size // BLOCK_BYTES) * BLOCK_BYTES for p in self.folder.iterdir())

    def test_a_message_is_restored_completely(self) -> None:
        # After a restart the forwarder must know which attempts possibly executed, where and when.
        journal = self.open()
        for record in (
            AcceptedRecord(message("a"), 20.0),
            AttemptStartedRecord("a", 1.5, "s-1"),
            AttemptFinishedRecord("a", False),
            AttemptStartedRecord("a", 2.5, "s-2"),
            AcceptedRecord(message("b"), 21.0),
            AttemptStartedRecord("b", 3.0, "s-1"),
            AttemptFinishedRecord("b", True),
            OutcomeDecidedRecord(OutcomeNotification("b", 0.25)),
            AcceptedRecord(message("c"), 22.0),
            CompletedRecord("c"),
        ):
            journal.append(record)
        a, b = self.open().restored()
        assert (a.message, a.expires_at) == (message("a"), 20.0)
        assert a.history == (RecordedAttempt("s-1", 1.5, False), RecordedAttempt("s-2", 2.5, True))
        assert a.notification is None
        assert (b.message.id, b.notification) == ("b", OutcomeNotification("b", 0.25))
        # The compacted file restores the same messages.
        reopened = {r.message.id: r for r in self.open().restored()}
        assert (reopened["a"], reopened["b"]) == (a, b)

    def test_times_are_rebased_to_the_clock_of_the_new_process(self) -> None:
        # Guards deduplication windows over a reboot, where the monotonic clock starts again.
        journal = self.open(unix_offset_s=1000.0)
        journal.append(AcceptedRecord(message("a"), 20.0))
        journal.append(AttemptStartedRecord("a", 1.0, "s-1"))
        (a,) = self.open(unix_offset_s=1015.0).restored()
        assert (a.expires_at, a.history[0].started_at) == (5.0, -14.0)

    def test_a_torn_tail_loses_only_its_record(self) -> None:
        # Guards against a process that is killed in the middle of a write.
        journal = self.open()
        journal.append(AcceptedRecord(message("a"), 20.0))
        first_only = (self.folder / JOURNAL_NAME).read_bytes()
        journal.append(AcceptedRecord(message("b"), 20.0))
        both = (self.folder / JOURNAL_NAME).read_bytes()
        for cut in range(len(first_only), len(both) - 1, 7):
            (self.folder / JOURNAL_NAME).write_bytes(both[:cut])
            reopened = self.open()
            assert [r.message.id for r in reopened.restored()] == ["a"]
            reopened.append(AcceptedRecord(message("c"), 20.0))
            assert [r.message.id for r in self.open().restored()] == ["a", "c"]

    def test_a_damaged_line_loses_only_its_record(self) -> None:
        journal = self.open()
        for name in "abc":
            journal.append(AcceptedRecord(message(name), 20.0))
        lines = (self.folder / JOURNAL_NAME).read_bytes().split(b"\n")
        lines[1] = lines[1].replace(b'"b"', b'"x"')  # a valid record with a wrong checksum
        (self.folder / JOURNAL_NAME).write_bytes(b"\n".join(lines))
        assert [r.message.id for r in self.open().restored()] == ["a", "c"]

    def test_a_write_cut_short_does_not_spoil_the_next_record(self) -> None:
        # Guards against a record that is appended to a torn line, which would fail the checksum.
        journal = self.open()
        write = os.write

        def write_partially(file: int, data: bytes) -> int:
            write(file, bytes(data)[:10])
            raise OSError(28, "No space left on device")

        with mock.patch("juniperward.forwarder.journal.os.write", write_partially), pytest.raises(OSError):
            journal.append(AcceptedRecord(message("a"), 20.0))
        journal.append(AcceptedRecord(message("b"), 20.0))
        assert [r.message.id for r in self.open().restored()] == ["b"]

    def test_an_interrupted_compaction_leaves_the_old_file_in_use(self) -> None:
        self.open().append(AcceptedRecord(message("a"), 20.0))
        (self.folder / COMPACTED_NAME).write_bytes(b"half a")
        assert [r.message.id for r in self.open().restored()] == ["a"]
        assert not (self.folder / COMPACTED_NAME).exists()

    def test_the_journal_stays_within_its_disk_quota_and_rejects_what_does_not_fit(self) -> None:
        # Guards the quota of the folder, including both files during a compaction, counted in whole blocks.
        disk, max_used = 1_000_000, 0
        journal, incomplete = self.open(disk=disk), []
        rename = os.rename

        def measure_and_rename(old: Path, new: Path) -> None:
            nonlocal max_used
            max_used = max(max_used, self.used_bytes())
            rename(old, new)

        rejected = 0
        with mock.patch("juniperward.forwarder.journal.os.rename", measure_and_rename):
            for n in range(1500):
                try:
                    journal.append(AcceptedRecord(message(f"m{n}", 1500), 20.0))
                    incomplete.append(f"m{n}")
                except JournalFullError:
                    rejected += 1
                    name = incomplete.pop(0)
                    for _ in range(8):
                        journal.append(AttemptStartedRecord(name, 1.0, "s-1"))
                        journal.append(AttemptFinishedRecord(name, False))
                    journal.append(CompletedRecord(name))
                max_used = max(max_used, self.used_bytes())
        assert rejected > 500
        assert max_used > disk // 4
        assert max_used <= disk

    def test_records_of_completed_messages_are_not_written(self) -> None:
        journal = self.open()
        journal.append(CompletedRecord("nobody"))
        assert (self.folder / JOURNAL_NAME).read_bytes() == b""

    def test_a_journal_holds_1000_messages_of_the_usual_size(self) -> None:
        # Guards against reserving so much per message that a 3 MB journal cannot hold 1,000 messages.
        journal = self.open(disk=3_000_000)
        for n in range(1000):
            journal.append(AcceptedRecord(message(f"{n:016x}", 400), 20.0))
            for _ in range(2):
                journal.append(AttemptStartedRecord(f"{n:016x}", 1796123738.73, "s-04f5390c"))
                journal.append(AttemptFinishedRecord(f"{n:016x}", False))
        assert len(self.open(disk=3_000_000).restored()) == 1000
        assert self.used_bytes() <= 3_000_000

    def test_a_file_too_full_to_compact_stays_within_its_disk_quota(self) -> None:
        # Guards the quota where each message has its maximum number of attempts.
        journal = self.open(disk=300_000)
        for n in range(1000):
            try:
                journal.append(AcceptedRecord(message(f"m{n}"), 20.0))
            except JournalFullError:
                break
        accepted = len(journal.live)
        failed = 0
        for _ in range(100):
            for n in range(accepted):
                try:
                    journal.append(AttemptStartedRecord(f"m{n}", 1.0, "s-1"))
                except OSError:
                    failed += 1
                assert self.used_bytes() <= 300_000
        assert failed > 0
        assert len(self.open(disk=300_000).restored()) == accepted
