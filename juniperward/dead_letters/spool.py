"""The spool between a forwarder and its agent: what was given up, and what became of redrives. Standard library only.

A forwarder appends to segments `00000001.kept`, …: a line a message, with a checksum as in the journal. A new
process begins a new segment. The agent reads segments in order and says in the file `acked` which of them are in its
store; only the forwarder deletes, after it has read at a start which messages the segments name. So neither
needs the other to run, a segment is never gone before both have seen it, and one that is read twice says the same.

The file `fates` has the outcome of each redrive, for the agent to ask for: an end that is not written down here
before the message is over could only be guessed later.
"""

from __future__ import annotations

import base64
import contextlib
import errno
import json
import os
import time
import zlib
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

SEGMENT_BYTES = 1_000_000  # of a segment before the next one is begun
MAX_OUTCOMES = 100_000  # remembered; beyond it the oldest half is forgotten, and `complete_since` says so
OUTCOME_FIELDS = 3
PRIVATE_FOLDER, PRIVATE_FILE = 0o700, 0o600

_encode = json.JSONEncoder(separators=(",", ":")).encode


class SpoolFullError(OSError):
    """The spool has all the bytes that the settings give it."""

    def __init__(self, limit_bytes: int) -> None:
        """Tell the limit."""
        super().__init__(errno.ENOSPC, f"the spool has its {limit_bytes} bytes")


@dataclass(frozen=True, slots=True)
class SpooledAttempt:
    """One attempt of a message; `at` is Unix time."""

    worker: str
    at: float
    outcome: str
    may_have_run: bool


@dataclass(frozen=True, slots=True)
class SpooledMessage:
    """A message that was given up, whole; times are Unix time, by the forwarder's clock."""

    id: str
    cls: str
    account: str
    destination: int
    key: str | None
    body: bytes
    taken_at: float
    given_up_at: float
    attempts: tuple[SpooledAttempt, ...]
    effect: str  # of its class: repeatable, by_key or once
    window: float  # seconds for which its partner drops a repeat
    workers: tuple[str, ...]  # those that the list had for its destination then: who the number meant


@dataclass(frozen=True, slots=True)
class RedriveOutcome:
    """What became of a redrive: delivered, undeliverable or deferred, and when it first may have run."""

    end: str
    ran_at: float | None = None


def line(value: Any) -> bytes:
    """Return a value as a line with its checksum."""
    text = _encode(value).encode()
    return b"%08x %s\n" % (zlib.crc32(text), text)


def unline(data: bytes) -> Any:
    """Return the value of a line, or None for one that is damaged."""
    try:
        total, text = data.split(b" ", 1)
        return json.loads(text) if int(total, 16) == zlib.crc32(text) else None
    except ValueError:
        return None


def encode(message: SpooledMessage) -> bytes:
    """Return a message as a line of a segment."""
    row = asdict(message)
    row["body"] = base64.b64encode(message.body).decode()
    return line(row)


def decode(data: bytes) -> SpooledMessage | None:
    """Return the message of a line, or None for one that is damaged or not ours."""
    row = unline(data)
    try:
        row["body"] = base64.b64decode(row["body"])
        row["attempts"] = tuple(SpooledAttempt(**a) for a in row["attempts"])
        row["workers"] = tuple(row["workers"])
        return SpooledMessage(**row)
    except (TypeError, KeyError, ValueError):
        return None


def segments(folder: Path) -> list[tuple[int, Path]]:
    """Return all segments with their numbers, the oldest first."""
    found = []
    with contextlib.suppress(FileNotFoundError):
        for path in folder.glob("*.kept"):
            if path.stem.isdigit():
                found.append((int(path.stem), path))
    return sorted(found)


def read(path: Path, offset: int) -> Iterator[tuple[SpooledMessage | None, int]]:
    """Yield the messages of a segment from an offset on, each with the offset behind it; None for a damaged line.

    A last line without its end is not given: it is being written, or was torn; the next read tells.
    """
    with path.open("rb") as file:
        file.seek(offset)
        for data in file:
            if not data.endswith(b"\n"):
                return
            offset += len(data)
            yield decode(data[:-1]), offset


def acknowledged_segment(folder: Path) -> int:
    """Return the last segment that the agent has in its store whole; 0 where it has none."""
    try:
        return int((folder / "acked").read_text())
    except (FileNotFoundError, ValueError):
        return 0


def acknowledge_segment(folder: Path, number: int) -> None:
    """Say that all segments up to this one are in the store."""
    fresh = folder / "acked.new"
    fresh.write_text(str(number))
    fresh.replace(folder / "acked")


class Spool:
    """The forwarder's end; used by its loop only."""

    def __init__(self, folder: Path, max_bytes: int) -> None:
        """Read which messages are in the spool, and drop what the agent has; raises OSError."""
        folder.mkdir(mode=PRIVATE_FOLDER, parents=True, exist_ok=True)
        self.folder, self.max_bytes = folder, max_bytes
        done = acknowledged_segment(folder)
        self.ids: set[str] = set()  # that the segments name: a message among them was given up already
        found = segments(folder)
        for number, path in found:
            self.ids.update(k.id for k, _ in read(path, 0) if k is not None)
            if number <= done:
                path.unlink()
        self.number = found[-1][0] if found else done
        self.bytes = sum(path.stat().st_size for _, path in segments(folder))
        self.file = self.fate_file = -1
        self.size = 0
        self.outcomes: dict[str, RedriveOutcome] = {}
        self.complete_since = time.time()
        self._load_outcomes()

    def keep(self, message: SpooledMessage) -> None:
        """Write a message down; raises OSError (SpoolFullError among them), and then nothing of it is there."""
        if message.id in self.ids:
            return
        data = encode(message)
        if self.bytes + len(data) > self.max_bytes:
            self.drop_acked()
        if self.bytes + len(data) > self.max_bytes:
            raise SpoolFullError(self.max_bytes)
        if self.file < 0 or self.size > SEGMENT_BYTES:
            self._next()
        start = self.size
        try:
            _write(self.file, data)
        except OSError:
            # What was written of it must not stand in front of the next line.
            with contextlib.suppress(OSError):
                os.ftruncate(self.file, start)
            raise
        self.size += len(data)
        self.bytes += len(data)

    def remember(self, name: str, fate: RedriveOutcome) -> None:
        """Write down what became of a resend; the first end that is known of it stays. Raises OSError."""
        if name in self.outcomes:
            return
        _write(self.fate_file, line([name, fate.end, fate.ran_at]))
        self.outcomes[name] = fate
        if len(self.outcomes) > MAX_OUTCOMES:
            self._forget_outcomes()

    def drop_acked(self) -> None:
        """Delete segments that the agent has, but for the one that is open."""
        done = acknowledged_segment(self.folder)
        for number, path in segments(self.folder):
            if number <= done and (number != self.number or self.file < 0):
                self.bytes -= path.stat().st_size
                path.unlink()

    def close(self) -> None:
        """Let go of the files."""
        for file in (self.file, self.fate_file):
            if file >= 0:
                os.close(file)

    def _next(self) -> None:
        if self.file >= 0:
            os.close(self.file)
            self.file = -1
            self.drop_acked()
        self.number += 1
        path = self.folder / f"{self.number:08d}.kept"
        self.file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, PRIVATE_FILE)
        self.size = 0

    def _load_outcomes(self) -> None:
        path = self.folder / "fates"
        good = b""
        with contextlib.suppress(FileNotFoundError):
            for data in path.read_bytes().split(b"\n"):
                row = unline(data)
                match row:
                    case float() | int():
                        self.complete_since = float(row)
                    case list() if len(row) == OUTCOME_FIELDS:
                        self.outcomes.setdefault(row[0], RedriveOutcome(row[1], row[2]))
                    case _:
                        continue
                good += data + b"\n"
        if not good:
            good = line(self.complete_since)
        self._rewrite_outcomes(good)

    def _rewrite_outcomes(self, data: bytes) -> None:
        fresh = self.folder / "fates.new"
        fresh.write_bytes(data)
        fresh.replace(self.folder / "fates")
        if self.fate_file >= 0:
            os.close(self.fate_file)
        flags = os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC
        self.fate_file = os.open(self.folder / "fates", flags)

    def _forget_outcomes(self) -> None:
        for name in list(self.outcomes)[: MAX_OUTCOMES // 2]:
            del self.outcomes[name]
        self.complete_since = time.time()
        rows = [line(self.complete_since), *(line([n, f.end, f.ran_at]) for n, f in self.outcomes.items())]
        self._rewrite_outcomes(b"".join(rows))


def _write(file: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(file, view) :]
