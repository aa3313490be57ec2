"""What the stand-ins note of a run; the checker judges by nothing else.

Times are seconds of the machine's monotonic clock, which all processes of a run share. Records of several
recorders or files may be put together in any order: the checker sorts them.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec


class Record(msgspec.Struct, frozen=True, tag=True):
    """The base of all records; `at` is when it happened."""

    at: float


class Handed(Record, frozen=True, tag=True):
    """A client has written a message; `first` is the id of its first try, `due` when that was to be sent."""

    id: str
    first: str
    key: str
    cls: str
    account: str
    destination: int
    forwarder: str
    due: float
    expires: float


class Heard(Record, frozen=True, tag=True):
    """What a client heard of a message; status 0 is no answer in its time, or a connection that ended."""

    id: str
    status: int
    retry_after: float = 0.0


class Called(Record, frozen=True, tag=True):
    """A call of one or more messages has come to a worker whole; `began` is when its first byte had."""

    call: int
    worker: str
    destination: int
    ids: tuple[str, ...]
    keys: tuple[str, ...]
    began: float


class Replied(Record, frozen=True, tag=True):
    """A call was answered; the state of each message, and the wait that was told with it."""

    call: int
    states: tuple[str, ...]  # ok, error, later, gone or exhausted
    wait: float = 0.0


class Hung(Record, frozen=True, tag=True):
    """A call ended without an answer: its connection did, or the worker."""

    call: int


class Effect(Record, frozen=True, tag=True):
    """A message took effect at a partner; a repeat that was dropped takes none."""

    destination: int
    id: str
    key: str


class Noticed(Record, frozen=True, tag=True):
    """A forwarder has told the platform the end of a message."""

    id: str
    status: str  # undeliverable or deferred
    forwarder: str


class WatchEventSent(Record, frozen=True, tag="Told"):
    """Discovery has written to a forwarder what a worker is; its tag on disk is the recorded `Told`."""

    forwarder: str
    worker: str
    state: str  # Ready, Terminating or Gone


class ProcessEvent(Record, frozen=True, tag="Life"):
    """A forwarder's process began, or was told or made to end; its tag on disk is the recorded `Life`."""

    forwarder: str
    what: str  # start, term, kill or exit


AnyRecord = Handed | Heard | Called | Replied | Hung | Effect | Noticed | WatchEventSent | ProcessEvent


class Recorder:
    """Keeps records in memory; any thread may add to it."""

    def __init__(self) -> None:
        """Begin with none."""
        self.records: list[AnyRecord] = []
        self.lock = threading.Lock()
        self.calls = 0

    def add(self, record: AnyRecord) -> None:
        """Add a record."""
        self.records.append(record)  # one list operation: whole under the interpreter's own lock

    def call(self) -> int:
        """A fresh number for a call."""
        with self.lock:
            self.calls += 1
            return self.calls

    def write(self, file: Path) -> None:
        """All records so far, one JSON object a line."""
        encode = msgspec.json.Encoder().encode
        with file.open("wb") as out:
            out.writelines(encode(r) + b"\n" for r in list(self.records))


def read(files: Iterable[Path]) -> Iterator[AnyRecord]:
    """The records of several files."""
    decoder = msgspec.json.Decoder(AnyRecord)
    for file in files:
        with file.open("rb") as lines:
            for line in lines:
                yield decoder.decode(line)


def now() -> float:
    """The clock of all records."""
    return time.monotonic()
