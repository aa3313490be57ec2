"""The journal in the folder that lasts: what was accepted, what was attempted, what is over.

Plain writes outlast the process; nothing is synced. A line that does not match its sum is left out: a torn tail is
the trace of a killed process. What is over is dropped by a rewrite once it fills enough of the file.
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

NAME, FRESH = "journal", "journal.new"
BLOCK = 512  # the disk is counted in whole blocks
LIVE_PART = 0.45  # part of the disk that messages not yet over may fill; a rewrite doubles it for a moment
SLACK_BYTES = 65536  # a file is not rewritten for less than this
LEAST_GAIN_BYTES = 16384  # nor for less than this of what is over
RESERVED_BYTES = 400  # kept free for each message not over: three attempts with their ends, and its own end


class JournalFullError(Exception):
    """There is no safe room for another message."""


class LiveLines:
    """The lines of each message that is not over: what a rewrite copies."""

    def __init__(self) -> None:
        """Begin without lines."""
        self.lines: dict[str, list[bytes]] = {}
        self.bytes = 0
        self.reserved = 0  # bytes that they may come to fill

    def __contains__(self, name: str) -> bool:
        """Return whether a message is not over."""
        return name in self.lines

    def __len__(self) -> int:
        """Return how many messages are not over."""
        return len(self.lines)

    def all(self) -> bytes:
        """Return all lines, message by message."""
        return b"".join([line for lines in self.lines.values() for line in lines])

    def add(self, record: JournalRecord, line: bytes) -> None:
        """Take in the line of a record; lines that say nothing any more are dropped."""
        name = message_id(record)
        begins = isinstance(record, AcceptedRecord | OutcomeDecidedRecord)
        replaces = begins or isinstance(record, CompletedRecord)
        lines = self.lines.pop(name, []) if replaces else self.lines[name]
        self._account(lines, -1)
        if isinstance(record, CompletedRecord):
            return
        if begins:
            lines = self.lines[name] = []
        lines.append(line)
        self._account(lines, 1)

    def _account(self, lines: list[bytes], sign: int) -> None:
        if lines:
            length = sum(map(len, lines))
            self.bytes += sign * length
            self.reserved += sign * max(len(lines[0]) + RESERVED_BYTES, length)


class Journal:
    """The file and what it holds; `lock` lets the loop and the threads that start calls write to it."""

    def __init__(self, folder: Path, disk_bytes: int, to_unix: float) -> None:
        """Read the folder's journal and rewrite it; `to_unix` is what makes monotonic time Unix time."""
        self.path, self.fresh_path = folder / NAME, folder / FRESH
        self.disk_bytes = disk_bytes - 4 * BLOCK
        self.to_unix = to_unix
        self.live = LiveLines()
        self.size = 0
        self.lock = threading.Lock()
        self._descriptor = -1
        self._torn = False  # the latest write did not come to its end
        self._restored = self._replay()
        self._rewrite()

    @property
    def live_bytes(self) -> int:
        """The bytes of messages that are not over."""
        return self.live.bytes

    def restored(self) -> tuple[RestoredMessage, ...]:
        """Return the messages that were not over at the start, in the order accepted; once."""
        found, self._restored = self._restored, ()
        return found

    def append(self, record: JournalRecord) -> None:
        """Write a record; raises JournalFullError for a message that there is no safe room for, or OSError."""
        with self.lock:
            self._append(record)

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)

    def _append(self, record: JournalRecord) -> None:
        if self._says_nothing(record):
            return
        line = encode(record, self.to_unix)
        if isinstance(record, AcceptedRecord):
            needed = self.live.reserved + len(line) + RESERVED_BYTES
            if needed > LIVE_PART * self.disk_bytes:
                raise JournalFullError
        if self._worth_rewriting(len(line)):
            self._rewrite_if_possible()
        if self.size + len(line) > self.disk_bytes:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        # A record must not be written on to the rest of one that failed, or both would be lost.
        written = b"\n" + line if self._torn else line
        self._torn = True
        self.size += len(written)
        _write(self._descriptor, written)
        self._torn = False
        self.live.add(record, line)
        increment("journal_records")

    def _says_nothing(self, record: JournalRecord) -> bool:
        """Whether a record is of a message that is over already, or what an attempt without an end says anyway."""
        if isinstance(record, AcceptedRecord):
            return False
        executed = isinstance(record, AttemptFinishedRecord) and record.possibly_executed
        return executed or message_id(record) not in self.live

    def _worth_rewriting(self, needed: int) -> bool:
        live = self.live.bytes
        room = self.disk_bytes - live - needed  # a rewrite has to fit beside the file
        grown = self.size + needed > min(max(SLACK_BYTES, 2 * live), room)
        return grown and self.size - live >= LEAST_GAIN_BYTES and self.size + live <= self.disk_bytes

    def _replay(self) -> tuple[RestoredMessage, ...]:
        self.fresh_path.unlink(missing_ok=True)  # a rewrite that was cut off: the old file still counts
        ledger = Ledger()
        try:
            lines = self.path.read_bytes().split(b"\n")
        except FileNotFoundError:
            return ()
        for number, line in enumerate(lines, 1):
            if not line:
                continue
            record = decode(line, self.to_unix)
            if record is None:
                increment("journal_damaged")
                log("journal", "line damaged", line=number, lines=len(lines))
                continue
            ledger.apply(record)
            if message_id(record) in self.live or isinstance(record, AcceptedRecord | OutcomeDecidedRecord):
                self.live.add(record, line + b"\n")
        return tuple(ledger.open.values())

    def _rewrite_if_possible(self) -> None:
        """Rewrite; where that fails the old file stays in use, and the next record may still fit there."""
        try:
            self._rewrite()
        except OSError as error:
            increment("journal_rewrites_failed")
            log("journal", "rewrite failed", error=error)
            self.fresh_path.unlink(missing_ok=True)  # it would take the old file's room on the disk

    def _rewrite(self) -> None:
        """Write what is not over to a new file and put it in the old one's place."""
        data = self.live.all()
        fresh = os.open(self.fresh_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        try:
            _write(fresh, data)
            self.fresh_path.rename(self.path)
        except OSError:
            os.close(fresh)
            raise
        if self._descriptor >= 0:
            os.close(self._descriptor)
        self._descriptor, self.size, self._torn = fresh, len(data), False
        increment("journal_rewrites")


def _write(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
