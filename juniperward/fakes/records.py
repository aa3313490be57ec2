"""What the fakes record of a run; the checker judges by nothing else.

Times are seconds of the machine's monotonic clock, which all processes of a run share. Records of several recorders
or files may be put together in any order: the checker sorts them. A file has one JSON object a line; its tags and
keys are those of earlier releases (`tag=`, `name=`), so that files of earlier runs are read.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Iterable, Iterator
from enum import StrEnum
from pathlib import Path

import msgspec


class Record(msgspec.Struct, frozen=True, tag=True):
    """The base of all records; `at` is when it happened."""

    at: float


class Submitted(Record, frozen=True, tag="Handed"):
    """A client has written a message to a forwarder.

    `first_id` is the id of the message's first submission, `scheduled_at` when that was to be sent.
    """

    id: str
    first_id: str = msgspec.field(name="first")
    key: str
    message_class: str = msgspec.field(name="cls")
    account: str
    destination: int
    forwarder: str
    scheduled_at: float = msgspec.field(name="due")
    expires_at: float = msgspec.field(name="expires")


class SubmissionAnswered(Record, frozen=True, tag="Heard"):
    """The answer to a submission; status 0 is no answer in time, or a connection that ended."""

    id: str
    status: int
    retry_after_s: float = msgspec.field(name="retry_after", default=0.0)


class AttemptReceived(Record, frozen=True, tag="Called"):
    """An endpoint has received an attempt with one or more messages; `began_at` is when its first byte came."""

    attempt: int = msgspec.field(name="call")
    endpoint: str = msgspec.field(name="worker")
    destination: int
    ids: tuple[str, ...]
    keys: tuple[str, ...]
    began_at: float = msgspec.field(name="began")


class AttemptAnswered(Record, frozen=True, tag="Replied"):
    """An endpoint has answered an attempt: the state of each message, and the answer's Retry-After (0: none)."""

    attempt: int = msgspec.field(name="call")
    states: tuple[str, ...]  # ok, error, later, gone or exhausted
    retry_after_s: float = msgspec.field(name="wait", default=0.0)


class AttemptUnanswered(Record, frozen=True, tag="Hung"):
    """An attempt ended without an answer: its connection did, or the endpoint."""

    attempt: int = msgspec.field(name="call")


class Effect(Record, frozen=True, tag=True):
    """A message took effect at a destination; a duplicate that was dropped takes none."""

    destination: int
    id: str
    key: str


class NotificationReceived(Record, frozen=True, tag="Noticed"):
    """A forwarder has notified the platform of a message's outcome."""

    id: str
    status: str  # undeliverable or deferred
    forwarder: str


class WatchEventSent(Record, frozen=True, tag="Told"):
    """Discovery has written an endpoint's state to a forwarder's watch."""

    forwarder: str
    endpoint: str = msgspec.field(name="worker")
    state: str  # Ready, Terminating or Gone


class ProcessChange(StrEnum):
    """What happened to a forwarder's process."""

    START = "start"
    TERMINATE = "term"  # it was requested to shut down
    KILL = "kill"
    EXIT = "exit"


class ProcessEvent(Record, frozen=True, tag="Life"):
    """A forwarder's process began, was signalled or ended."""

    forwarder: str
    change: ProcessChange = msgspec.field(name="what")


AnyRecord = (
    Submitted
    | SubmissionAnswered
    | AttemptReceived
    | AttemptAnswered
    | AttemptUnanswered
    | Effect
    | NotificationReceived
    | WatchEventSent
    | ProcessEvent
)


class Recorder:
    """Holds records in memory; any thread may add to it."""

    def __init__(self) -> None:
        """Begin with none."""
        self.records: list[AnyRecord] = []
        self._lock = threading.Lock()
        self._attempts = 0

    def add(self, record: AnyRecord) -> None:
        """Add a record."""
        self.records.append(record)  # one list operation, which the interpreter's own lock makes atomic

    def next_attempt(self) -> int:
        """Return a fresh number for an attempt."""
        with self._lock:
            self._attempts += 1
            return self._attempts

    def write(self, file: Path) -> None:
        """Write all records so far, one JSON object a line."""
        encode = msgspec.json.Encoder().encode
        with file.open("wb") as out:
            out.writelines(encode(record) + b"\n" for record in list(self.records))


def read(files: Iterable[Path]) -> Iterator[AnyRecord]:
    """Return the records of several files; raises msgspec.ValidationError at a line that is no record."""
    decoder = msgspec.json.Decoder(AnyRecord)
    for file in files:
        with file.open("rb") as lines:
            for line in lines:
                yield decoder.decode(line)


def now() -> float:
    """Return the time by the clock of all records."""
    return time.monotonic()
