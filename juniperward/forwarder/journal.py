"""The journal file: appends records, replays them at the start, and compacts the file.

The records are those of `records.py`. At the start, replay returns the messages that are not completed. Writes
survive a crash of the process but not of the machine, because the file is never synced. Replay skips a line whose
checksum does not match, such as the torn last line of a killed process. Compaction drops the records of completed
messages.
"""

from __future__ import annotations

import errno
import os
import threading
from collections.abc import Iterator
from pathlib import Path

from juniperward.forwarder.journal_codec import decode, encode, message_id
from juniperward.forwarder.ledger import IncompleteMessages
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
BLOCK_BYTES = 512  # The platform counts disk usage in blocks of this size.
# The fraction of the disk quota that incomplete messages may need. It is below one half because a compaction holds
# two copies of their records for a moment.
MAX_LIVE_FRACTION = 0.45
MIN_COMPACTION_FILE_BYTES = 65536
MIN_COMPACTION_GAIN_BYTES = 16384
MIN_COMPACTION_WRITE_BYTES = 65536
# Reserved for the later records of each message: three attempts with their outcomes, and the completion.
RESERVED_BYTES_PER_MESSAGE = 400


class JournalFullError(Exception):
    """The journal cannot accept another message without risking the records of those it has."""

    def __init__(self, needed_bytes: int, limit_bytes: int) -> None:
        """Store how many bytes the incomplete messages may need, and how many are available to them."""
        self.needed_bytes, self.limit_bytes = needed_bytes, limit_bytes
        super().__init__(
            f"journal full: incomplete messages may need {needed_bytes} bytes, the limit is {limit_bytes}"
        )


class IncompleteMessageLines:
    """The journal lines of each message that is not completed; a compaction copies these.

    Attributes:
        lines: The lines by message id.
        bytes: The size of all lines.
        reserved_bytes: The size of all lines and of the records that the messages may still need.

    """

    def __init__(self) -> None:
        """Start without messages."""
        self.lines: dict[str, list[bytes]] = {}
        self.bytes = 0
        self.reserved_bytes = 0

    def __contains__(self, message: str) -> bool:
        """Return whether the message with this id is not completed."""
        return message in self.lines

    def __len__(self) -> int:
        """Return how many messages are not completed."""
        return len(self.lines)

    def blocks(self) -> Iterator[bytes]:
        """Yield all lines, grouped by message, in blocks of a limited size."""
        block: list[bytes] = []
        block_bytes = 0
        for lines in self.lines.values():
            block += lines
            block_bytes += sum(map(len, lines))
            if block_bytes >= MIN_COMPACTION_WRITE_BYTES:
                yield b"".join(block)
                block, block_bytes = [], 0
        yield b"".join(block)

    def add(self, record: JournalRecord, line: bytes) -> None:
        """Add the line of a record, and drop the lines that the record supersedes."""
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
            self.reserved_bytes += sign * max(len(lines[0]) + RESERVED_BYTES_PER_MESSAGE, length)


class Journal:
    """The journal file and its incomplete messages; `append` may be called from any thread."""

    def __init__(self, folder: Path, disk_bytes: int, unix_offset_s: float) -> None:
        """Replay and compact the journal in a folder; `unix_offset_s` is Unix time minus monotonic time."""
        self.path = folder / JOURNAL_NAME
        self.compacted_path = folder / COMPACTED_NAME
        self.disk_bytes = disk_bytes - 4 * BLOCK_BYTES
        self.unix_offset_s = unix_offset_s
        self.live = IncompleteMessageLines()
        self.file_bytes = 0
        self.lock = threading.Lock()
        self._descriptor = -1
        self._is_torn = False  # True after an incomplete write.
        self._restored = self._replay()
        self._compact()

    @property
    def live_bytes(self) -> int:
        """The size of the lines of incomplete messages."""
        return self.live.bytes

    def restored(self) -> tuple[RestoredMessage, ...]:
        """Return the incomplete messages that replay found, in the order accepted; a second call returns none."""
        restored, self._restored = self._restored, ()
        return restored

    def append(self, record: JournalRecord) -> None:
        """Write a record.

        Raises:
            JournalFullError: where there is no capacity for a new message.
            OSError: where the write fails or exceeds the disk quota.

        """
        with self.lock:
            self._append(record)

    def close(self) -> None:
        """Close the journal file."""
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
        # After an incomplete write, begin a new line: a record appended to the torn line would be lost with it.
        written = b"\n" + line if self._is_torn else line
        self._is_torn = True
        self.file_bytes += len(written)
        _write(self._descriptor, written)
        self._is_torn = False
        self.live.add(record, line)
        increment("journal_records")

    def _is_redundant(self, record: JournalRecord) -> bool:
        """Return whether replay does not need a record.

        This holds for records of completed messages, and for "possibly executed", which replay assumes of each
        attempt that has no recorded outcome.
        """
        if isinstance(record, AcceptedRecord):
            return False
        possibly_executed = isinstance(record, AttemptFinishedRecord) and record.possibly_executed
        return possibly_executed or message_id(record) not in self.live

    def _check_capacity(self, line_bytes: int) -> None:
        """Raise JournalFullError where a new message could leave too little space for the incomplete ones."""
        needed_bytes = self.live.reserved_bytes + line_bytes + RESERVED_BYTES_PER_MESSAGE
        limit_bytes = int(MAX_LIVE_FRACTION * self.disk_bytes)
        if needed_bytes > limit_bytes:
            raise JournalFullError(needed_bytes, limit_bytes)

    def _should_compact(self, line_bytes: int) -> bool:
        live_bytes = self.live.bytes
        if self.file_bytes + live_bytes > self.disk_bytes:
            return False  # The old and the new file together would exceed the quota.
        if self.file_bytes - live_bytes < MIN_COMPACTION_GAIN_BYTES:
            return False
        # With a larger file, the next compaction would not fit on the disk.
        max_file_bytes = self.disk_bytes - live_bytes - line_bytes
        return self.file_bytes + line_bytes > min(
            max(MIN_COMPACTION_FILE_BYTES, 2 * live_bytes), max_file_bytes
        )

    def _replay(self) -> tuple[RestoredMessage, ...]:
        # An interrupted compaction may leave its file; the journal is still the one in use.
        self.compacted_path.unlink(missing_ok=True)
        messages = IncompleteMessages()
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
                log("journal", "damaged line skipped", line=number, lines=len(lines))
                continue
            messages.apply(record)
            if message_id(record) in self.live or isinstance(record, AcceptedRecord | OutcomeDecidedRecord):
                self.live.add(record, line + b"\n")
        return tuple(messages.by_id.values())

    def _compact_if_possible(self) -> None:
        """Compact the journal; where that fails, keep using the current file."""
        try:
            self._compact()
        except OSError as error:
            increment("journal_compactions_failed")
            log("journal", "compaction failed; present file stays in use", error=error)
            # The deletion frees disk quota for the journal.
            self.compacted_path.unlink(missing_ok=True)

    def _compact(self) -> None:
        """Write the lines of incomplete messages to a new file, and replace the journal with it."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND
        compacted = os.open(self.compacted_path, flags, 0o600)
        try:
            for block in self.live.blocks():
                _write(compacted, block)
            self.compacted_path.rename(self.path)
        except OSError:
            os.close(compacted)
            raise
        if self._descriptor >= 0:
            os.close(self._descriptor)
        self._descriptor = compacted
        self.file_bytes = self.live.bytes
        self._is_torn = False
        increment("journal_compactions")


def _write(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
