"""The journal in the folder that lasts: what was accepted, what was tried, what is over.

One record a line: the CRC-32 of the text in hex, a space, a JSON array. A line that does not match its sum is
left out: a torn tail is the trace of a killed process. Plain writes outlast the process; nothing is synced.
Times are kept as Unix time in the file and as monotonic time everywhere else.
"""

from __future__ import annotations

import base64
import errno
import fcntl
import json
import os
import threading
import time
import zlib
from pathlib import Path
from typing import Any

from juniperward.forwarder.counters import count, log
from juniperward.forwarder.messages import (
    Accepted,
    AttemptFinished,
    AttemptRecord,
    AttemptStarted,
    Call,
    Completed,
    OutcomeDecided,
    OutcomeNotification,
    Record,
    Restored,
)

NAME, FRESH = "journal", "journal.new"
BLOCK = 512  # the disk is counted in whole blocks
LIVE_PART = 0.45  # part of the disk that messages not yet over may fill; a rewrite doubles it for a moment
SLACK = 65536  # a file is not rewritten for less than this
LEAST_GAIN = 16384  # nor for less than this of what is over
PATIENCE = 0.5  # seconds in which the process before may still let go of the folder
NOTES = 400  # bytes kept free for each message not over: three attempts with their ends, and its own end

_encode = json.JSONEncoder(separators=(",", ":")).encode


class JournalFull(Exception):
    """There is no safe room for another message."""


def encode(record: Record, to_unix: float) -> bytes:
    """One line of the journal."""
    match record:
        case Accepted(call=c, expires=expires, ran_at=ran_at):
            body = base64.b64encode(c.body).decode()
            ran = ran_at + to_unix if ran_at is not None else None
            row: list[Any] = ["taken", c.id, c.cls, c.tenant, c.destination, c.key, expires + to_unix, body]
            row += [ran, c.time_left]
        case AttemptStarted(id=name, at=at, worker=worker):
            row = ["began", name, at + to_unix, worker]
        case AttemptFinished(id=name, may_have_run=may):
            row = ["ended", name, may]
        case OutcomeDecided(notification=n):
            row = ["decided", n.id, n.again]
        case Completed(id=name):
            row = ["over", name]
    text = _encode(row).encode()
    return b"%08x %s\n" % (zlib.crc32(text), text)


def decode(line: bytes, to_unix: float) -> Record | None:
    """The record of one line, or None for one that is damaged."""
    try:
        total, text = line.split(b" ", 1)
        if int(total, 16) != zlib.crc32(text):
            return None
        kind, name, *rest = json.loads(text)
        match kind, rest:
            case "taken", [cls, tenant, destination, key, expires, body, *more]:
                ran, left = (*more, None, None)[:2]  # an older version wrote neither, or the first alone
                call = Call(name, cls, tenant, destination, left or 0.0, key, base64.b64decode(body))
                return Accepted(call, expires - to_unix, ran - to_unix if ran is not None else None)
            case "began", [at, worker]:
                return AttemptStarted(name, at - to_unix, worker)
            case "ended", [may]:
                return AttemptFinished(name, may)
            case "decided", [again]:
                return OutcomeDecided(OutcomeNotification(name, again))
            case "over", []:
                return Completed(name)
    except (ValueError, TypeError):
        pass
    return None


class Ledger:
    """What the records of a file say, put together."""

    def __init__(self) -> None:
        self.open: dict[str, Restored] = {}

    def apply(self, record: Record) -> None:
        match record:
            case Accepted(call=call, expires=expires, ran_at=ran_at):
                # A resend's earlier life comes first in its history: the window of repeats counts from there.
                before = (AttemptRecord("", ran_at),) if ran_at is not None else ()
                self.open[call.id] = Restored(call, expires, before)
            case Completed(id=name):
                self.open.pop(name, None)
            case OutcomeDecided(notification=notification):
                # What it was is not kept any more: only its end is still owed.
                call = Call(notification.id, 0, 0, 0, 0.0, None, b"")
                self.open[notification.id] = Restored(call, 0.0, (), notification)
            case AttemptStarted(id=name, at=at, worker=worker):
                if (r := self.open.get(name)) is not None:
                    history = (*r.history, AttemptRecord(worker, at))
                    self.open[name] = Restored(r.call, r.expires, history, r.notification)
            case AttemptFinished(id=name, may_have_run=may):
                if (r := self.open.get(name)) is not None and r.history:
                    last = r.history[-1]
                    history = (*r.history[:-1], AttemptRecord(last.worker, last.at, may))
                    self.open[name] = Restored(r.call, r.expires, history, r.notification)


class FolderTaken(OSError):
    """Another process works in this state folder."""


def take_folder(folder: Path, patience: float = PATIENCE) -> int:
    """Lock a state folder for this process: two must never share a journal.

    The lock is on the folder itself, so it takes no room on a small disk, and the kernel lets go of it when
    the process ends, however that happens. Raises FolderTaken after `patience` seconds. The descriptor that
    comes back holds the lock for as long as it is open.
    """
    file = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    until = time.monotonic() + patience
    while True:
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            if time.monotonic() >= until:
                os.close(file)
                raise FolderTaken(errno.EBUSY, f"{folder}: another forwarder works in this folder") from None
            time.sleep(0.02)  # the one before us may be on its way out
        except OSError as error:
            log("start", f"{folder}: cannot be locked: {error.strerror}; nothing keeps a second one out")
            return file
        else:
            return file


class Journal:
    """The file and what it holds; `lock` lets the loop and the threads that begin calls write to it."""

    def __init__(self, folder: Path, disk_bytes: int, to_unix: float) -> None:
        self.path, self.fresh = folder / NAME, folder / FRESH
        self.disk = disk_bytes - 4 * BLOCK
        self.to_unix = to_unix
        self.live: dict[str, list[bytes]] = {}  # the lines of each message that is not over
        self.live_bytes = 0
        self.planned = 0  # what they may come to fill
        self.size = 0
        self.file = -1
        self.torn = False  # the latest write did not come to its end
        self.lock = threading.Lock()
        self.replayed = self._replay()
        self._rewrite()

    def restored(self) -> tuple[Restored, ...]:
        """The messages that were not over at the start, in the order taken; told once, then let go of."""
        found, self.replayed = self.replayed, ()
        return found

    def append(self, record: Record) -> None:
        """Write a record; raises JournalFull for a message that there is no safe room for, or OSError."""
        with self.lock:
            self._append(record)

    def _append(self, record: Record) -> None:
        name = self._name(record)
        if isinstance(record, Accepted):
            line = encode(record, self.to_unix)
            if self.planned + len(line) + NOTES > LIVE_PART * self.disk:
                raise JournalFull
        elif name not in self.live or (isinstance(record, AttemptFinished) and record.may_have_run):
            return  # of a message that is over already; or what an attempt without an end says anyway
        else:
            line = encode(record, self.to_unix)
        live = self.live_bytes
        room = self.disk - live - len(line)  # a rewrite has to fit beside the file
        if self.size + len(line) > min(max(SLACK, 2 * live), room) and (
            self.size - live >= LEAST_GAIN and self.size + live <= self.disk
        ):
            self._rewrite_if_possible()
        if self.size + len(line) > self.disk:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        # A record must not be written on to the rest of one that failed, or both would be lost.
        written = b"\n" + line if self.torn else line
        self.torn = True
        self.size += len(written)
        self._write(self.file, written)
        self.torn = False
        self._note(record, line)
        count("journal_records")

    def close(self) -> None:
        """Let go of the file."""
        os.close(self.file)

    @staticmethod
    def _name(record: Record) -> str:
        match record:
            case Accepted(call=call):
                return call.id
            case OutcomeDecided(notification=notification):
                return notification.id
            case _:
                return record.id

    def _note(self, record: Record, line: bytes) -> None:
        """Keep the lines that still say something: a rewrite copies them as they are."""
        name = self._name(record)
        lines = (
            self.live.pop(name, [])
            if isinstance(record, Accepted | OutcomeDecided | Completed)
            else self.live[name]
        )
        self._plan(lines, -1)
        if isinstance(record, Completed):
            return
        if isinstance(record, Accepted | OutcomeDecided):
            lines = self.live[name] = []
        lines.append(line)
        self._plan(lines, 1)

    def _plan(self, lines: list[bytes], sign: int) -> None:
        if lines:
            length = sum(map(len, lines))
            self.live_bytes += sign * length
            self.planned += sign * max(len(lines[0]) + NOTES, length)

    def _replay(self) -> tuple[Restored, ...]:
        self.fresh.unlink(missing_ok=True)  # a rewrite that was cut off: the old file still counts
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
                count("journal_damaged")
                log("journal", f"line {number} of {len(lines)} is damaged and left out")
                continue
            ledger.apply(record)
            if self._name(record) in self.live or isinstance(record, Accepted | OutcomeDecided):
                self._note(record, line + b"\n")
        return tuple(ledger.open.values())

    def _rewrite_if_possible(self) -> None:
        """Rewrite; where that fails the old file stays in use, and the next record may still fit there."""
        try:
            self._rewrite()
        except OSError as error:
            count("journal_rewrites_failed")
            log("journal", f"cannot be rewritten, the old file stays in use: {error}")
            self.fresh.unlink(missing_ok=True)  # it would take the old file's room on the disk

    def _rewrite(self) -> None:
        """Write what is not over to a new file and put it in the old one's place."""
        data = b"".join([line for lines in self.live.values() for line in lines])
        fresh = os.open(self.fresh, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        try:
            self._write(fresh, data)
            os.rename(self.fresh, self.path)
        except OSError:
            os.close(fresh)
            raise
        if self.file >= 0:
            os.close(self.file)
        self.file, self.size, self.torn = fresh, len(data), False
        count("journal_rewrites")

    @staticmethod
    def _write(file: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(file, view) :]
