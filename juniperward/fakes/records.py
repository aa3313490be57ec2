"""The records that the fakes write during a run, and that the checker reads.

Times are seconds of the machine's monotonic clock, which all processes of a run share. The checker accepts records in
any order, also from several recorders or files. A file has one JSON object per line. Its tags and keys (`tag=`,
`name=`) are those of earlier releases, so that files of earlier runs can be read.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Iterable, Iterator
from enum import StrEnum
from pathlib import Path

import msgspec


class Record(msgspec.Struct, frozen=True, tag=True):
    """The base of all records; `at` is the time of the event."""

    at: float


class Submitted(Record, frozen=True, tag="Handed"):
    """A client has submitted a message to a forwarder.

    `first_id` is the id of the message's first submission, `scheduled_at` the time that was scheduled for it.
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
    """A submission was answered; status 0 means that it timed out or that its connection failed."""

    id: str
    status: int
    retry_after_s: float = msgspec.field(name="retry_after", default=0.0)


class AttemptReceived(Record, frozen=True, tag="Called"):
    """An endpoint has received an attempt with one or more messages; `began_at` is the time of its first byte."""

    attempt: int = msgspec.field(name="call")
    endpoint: str = msgspec.field(name="worker")
    destination: int
    ids: tuple[str, ...]
    keys: tuple[str, ...]
    began_at: float = msgspec.field(name="began")


class AttemptAnswered(Record, frozen=True, tag="Replied"):
    """An endpoint has answered an attempt, with a state for each message and a Retry-After (0: none)."""

    attempt: int = msgspec.field(name="call")
    states: tuple[str, ...]  # ok, error, later, gone or exhausted
    retry_after_s: float = msgspec.field(name="wait", default=0.0)


class AttemptUnanswered(Record, frozen=True, tag="Hung"):
    """An attempt ended without an answer, because its connection or the endpoint failed."""

    attempt: int = msgspec.field(name="call")


class Effect(Record, frozen=True, tag=True):
    """A message took effect at a destination; a duplicate that the destination drops has no effect."""

    destination: int
    id: str
    key: str


class NotificationReceived(Record, frozen=True, tag="Noticed"):
    """A forwarder has notified the platform of a message's outcome."""

    id: str
    status: str  # undeliverable or deferred
    forwarder: str


class WatchEventSent(Record, frozen=True, tag="Told"):
    """Discovery has sent an endpoint's state to a forwarder's watch."""

    forwarder: str
    endpoint: str = msgspec.field(name="worker")
    state: str  # Ready, Terminating or Gone


class ProcessChange(StrEnum):
    """A change of a forwarder's process; TERMINATE is the request to shut down."""

    START = "start"
    TERMINATE = "term"
    KILL = "kill"
    EXIT = "exit"


class ProcessEvent(Record, frozen=True, tag="Life"):
    """A forwarder's process started, was signalled or ended."""

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
    """Collects records in memory; any thread may add to it."""

    def __init__(self) -> None:
        """Create a recorder without records."""
        self.records: list[AnyRecord] = []
        self._lock = threading.Lock()
        self._attempts = 0

    def add(self, record: AnyRecord) -> None:
        """Add a record."""
        self.records.append(record)  # atomic, because the interpreter's global lock protects list.append

    def next_attempt(self) -> int:
        """Return a new number for an attempt."""
        with self._lock:
            self._attempts += 1
            return self._attempts

    def write(self, file: Path) -> None:
        """Write all records so far to a file."""
        encode = msgspec.json.Encoder().encode
        with file.open("wb") as out:
            out.writelines(encode(record) + b"\n" for record in list(self.records))


def read(files: Iterable[Path]) -> Iterator[AnyRecord]:
    """Yield the records of several files; raises msgspec.ValidationError for a line that is not a record."""
    decoder = msgspec.json.Decoder(AnyRecord)
    for file in files:
        with file.open("rb") as lines:
            for line in lines:
                yield decoder.decode(line)


def now() -> float:
    """Return the current time of the records' clock."""
    return time.monotonic()
