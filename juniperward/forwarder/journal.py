"""The journal file: appends records, replays them at the start, and compacts the file.

In come the records of `records`; out, once at the start, what the journal says of messages that are not completed.
Writes survive the process, not the machine: nothing is synced. A line whose checksum does not match is skipped: a
torn last line is what a killed process leaves. A compaction drops the records of completed messages.
"""

from __future__ import annotations

import errno
import os
import threading
from pathlib import Path

from juniperward.forwarder.journal_codec import decode, encode, message_id
from juniperward.forwarder.ledger import Ledger
from juniperward.forwarder.records import (
    AcceptedRecord,
    AttemptFinishedRecord,
    CompletedRecord,
    JournalRecord,
    OutcomeDecidedRecord,
    RestoredMessage,
)
from juniperward.forwarder.telemetry import increment, log

JOURNAL_NAME, COMPACTED_NAME = "journal", "journal.new"
BLOCK_BYTES = 512  # the disk is counted in full blocks
MAX_LIVE_FRACTION = 0.45  # of the disk for messages not completed; a compaction doubles it for a moment
MIN_COMPACTION_FILE_BYTES = 65536  # a smaller file is not compacted
MIN_COMPACTION_GAIN_BYTES = 16384  # nor is one with less than this of completed messages
RESERVED_BYTES = 400  # of each message not completed: three attempts with their outcomes, and its completion


class JournalFullError(Exception):
    """There is no safe capacity for another message."""

    def __init__(self, needed_bytes: int, limit_bytes: int) -> None:
        """Tell what messages that are not completed might come to need, and what they may."""
        self.needed_bytes, self.limit_bytes = needed_bytes, limit_bytes
        super().__init__(f"{needed_bytes} bytes may be needed, {limit_bytes} are there")


class LiveLines:
    """The lines of each message that is not completed: what a compaction copies."""

    def __init__(self) -> None:
        """Begin without lines."""
        self.lines: dict[str, list[bytes]] = {}
        self.bytes = 0
        self.reserved_bytes = 0  # that they may come to fill

    def __contains__(self, message: str) -> bool:
        """Return whether a message is not completed."""
        return message in self.lines

    def __len__(self) -> int:
        """Return how many messages are not completed."""
        return len(self.lines)

    def all(self) -> bytes:
        """Return all lines, message by message."""
        return b"".join([line for lines in self.lines.values() for line in lines])

    def add(self, record: JournalRecord, line: bytes) -> None:
        """Add the line of a record, and drop the lines that it supersedes."""
        message = message_id(record)
        is_first = isinstance(record, AcceptedRecord | OutcomeDecidedRecord)
        supersedes = is_first or isinstance(record, CompletedRecord)
        lines = self.lines.pop(message, []) if supersedes else self.lines[message]
        self._account(lines, -1)
        if isinstance(record, CompletedRecord):
            return
        if is_first:
            lines = self.lines[message] = []
        lines.append(line)
        self._account(lines, 1)

    def _account(self, lines: list[bytes], sign: int) -> None:
        if lines:
            length = sum(map(len, lines))
            self.bytes += sign * length
            self.reserved_bytes += sign * max(len(lines[0]) + RESERVED_BYTES, length)


class Journal:
    """The file and what it holds; `lock` lets the loop and the threads of attempts write to it."""

    def __init__(self, folder: Path, disk_bytes: int, unix_offset_s: float) -> None:
        """Replay the folder's journal and compact it; `unix_offset_s` added to monotonic time gives Unix time."""
        self.path = folder / JOURNAL_NAME
        self.compacted_path = folder / COMPACTED_NAME
        self.disk_bytes = disk_bytes - 4 * BLOCK_BYTES
        self.unix_offset_s = unix_offset_s
        self.live = LiveLines()
        self.file_bytes = 0  # bytes of the file
        self.lock = threading.Lock()
        self._descriptor = -1
        self._is_torn = False  # the latest write was incomplete
        self._restored = self._replay()
        self._compact()

    @property
    def live_bytes(self) -> int:
        """The bytes of messages that are not completed."""
        return self.live.bytes

    def restored(self) -> tuple[RestoredMessage, ...]:
        """Return the messages that were not completed at the start, in the order accepted; once."""
        restored, self._restored = self._restored, ()
        return restored

    def append(self, record: JournalRecord) -> None:
        """Write a record; raises JournalFullError for a message without safe capacity, or OSError."""
        with self.lock:
            self._append(record)

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)

    def _append(self, record: JournalRecord) -> None:
        if self._is_redundant(record):
            return
        line = encode(record, self.unix_offset_s)
        if isinstance(record, AcceptedRecord):
            self._check_capacity(len(line))
        if self._should_compact(len(line)):
            self._compact_if_possible()
        if self.file_bytes + len(line) > self.disk_bytes:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        # A record must not continue the line of one whose write failed, or both would be lost.
        written = b"\n" + line if self._is_torn else line
        self._is_torn = True
        self.file_bytes += len(written)
        _write(self._descriptor, written)
        self._is_torn = False
        self.live.add(record, line)
        increment("journal_records")

    def _is_redundant(self, record: JournalRecord) -> bool:
        """Whether a record is of a completed message, or says what a started attempt without an outcome says."""
        if isinstance(record, AcceptedRecord):
            return False
        possibly_executed = isinstance(record, AttemptFinishedRecord) and record.possibly_executed
        return possibly_executed or message_id(record) not in self.live

    def _check_capacity(self, line_bytes: int) -> None:
        """Raise JournalFullError where a new message might leave too little for those that are there."""
        needed_bytes = self.live.reserved_bytes + line_bytes + RESERVED_BYTES
        limit_bytes = int(MAX_LIVE_FRACTION * self.disk_bytes)
        if needed_bytes > limit_bytes:
            raise JournalFullError(needed_bytes, limit_bytes)

    def _should_compact(self, line_bytes: int) -> bool:
        live_bytes = self.live.bytes
        if self.file_bytes + live_bytes > self.disk_bytes:
            return False  # both files would not fit
        if self.file_bytes - live_bytes < MIN_COMPACTION_GAIN_BYTES:
            return False
        capacity = self.disk_bytes - live_bytes - line_bytes  # beyond it a later compaction would not fit
        return self.file_bytes + line_bytes > min(max(MIN_COMPACTION_FILE_BYTES, 2 * live_bytes), capacity)

    def _replay(self) -> tuple[RestoredMessage, ...]:
        self.compacted_path.unlink(
            missing_ok=True
        )  # of a compaction that was cut off: the journal is in force
        ledger = Ledger()
        try:
            lines = self.path.read_bytes().split(b"\n")
        except FileNotFoundError:
            return ()
        for number, line in enumerate(lines, 1):
            if not line:
                continue
            record = decode(line, self.unix_offset_s)
            if record is None:
                increment("journal_damaged")
                log("journal", "line damaged", line=number, lines=len(lines))
                continue
            ledger.apply(record)
            if message_id(record) in self.live or isinstance(record, AcceptedRecord | OutcomeDecidedRecord):
                self.live.add(record, line + b"\n")
        return tuple(ledger.open.values())

    def _compact_if_possible(self) -> None:
        """Compact; where that fails the file stays in use, and the next record may still fit there."""
        try:
            self._compact()
        except OSError as error:
            increment("journal_compactions_failed")
            log("journal", "compaction failed", error=error)
            self.compacted_path.unlink(missing_ok=True)  # the journal needs its bytes of the disk

    def _compact(self) -> None:
        """Write the lines of messages that are not completed to a new file, and replace the journal by it."""
        data = self.live.all()
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND
        compacted = os.open(self.compacted_path, flags, 0o600)
        try:
            _write(compacted, data)
            self.compacted_path.rename(self.path)
        except OSError:
            os.close(compacted)
            raise
        if self._descriptor >= 0:
            os.close(self._descriptor)
        self._descriptor = compacted
        self.file_bytes = len(data)
        self._is_torn = False
        increment("journal_compactions")


def _write(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
