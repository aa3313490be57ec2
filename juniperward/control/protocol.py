"""The values of the control channel: requests, answers and their bodies; `codec` has their form on the wire.

Every value is typed once, here; all times are seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any


class Verb(StrEnum):
    """What can be asked of a forwarder."""

    STATUS = "status"
    DESTINATIONS = "destinations"
    WORKERS = "workers"
    COUNTERS = "counters"
    DRAIN = "drain"
    RESUME = "resume"
    STOP = "stop"
    FATE = "fate"


@dataclass(frozen=True, slots=True)
class Request:
    """A question; `id` comes back with its answer."""

    id: int
    verb: Verb
    ids: tuple[str, ...] = ()  # of a `fate`: the resends that are asked about


@dataclass(frozen=True, slots=True)
class Status:
    """The state of one forwarder.

    `phase` is `serving`, `draining`, `drained` or `stopping`. `oldest_held` is the age of the oldest message
    held, `registry_age` the time since the registry's last word (negative before the first). The figures from
    `taken_on` on count since the start of the process; `calls_failed` are calls that ended neither delivered
    nor turned away.
    """

    name: str
    version: str
    pid: int
    started: float  # Unix time of the process's start
    phase: str
    ready: bool
    held: int
    offered: int
    owed: int
    calls_out: int
    slots: int
    max_open: int
    oldest_held: float
    journal_bytes: int
    journal_live: int
    registry_version: int
    registry_age: float
    destinations: int
    destinations_sick: int
    taken_on: int
    restored: int
    delivered: int
    given_up: int
    turned_away: int
    calls: int
    calls_failed: int
    broken: int  # invariants that did not hold
    kept: int = 0  # messages given up and kept
    kept_failed: int = 0  # given up and not kept, for want of room or by an error

    @property
    def owing(self) -> int:
        """Messages whose client has not been told an end yet."""
        return self.held + self.offered + self.owed


@dataclass(frozen=True, slots=True)
class Destination:
    """One destination as the decision module sees it.

    `health` is `well`, `failing`, `warming` or `unknown` (no call has ended yet). `pace` is in calls a
    second, None where there is none; `wait` is the rest of a told wait.
    """

    destination: int
    health: str
    waiting: int
    in_flight: int
    pace: float | None
    rating: float
    wait: float
    warming: float | None  # seconds since it answered again
    latency: float | None  # running mean
    endpoints: int


@dataclass(frozen=True, slots=True)
class WorkerRow:
    """One worker as the registry lists it, with what is out to it; `phase` is ready, draining or gone."""

    id: str
    address: str
    destination: int
    phase: str
    kind: int
    in_flight: int


@dataclass(frozen=True, slots=True)
class Counters:
    """All counters that are not zero, by name."""

    counters: dict[str, int]


@dataclass(frozen=True, slots=True)
class Rows:
    """The answer to `destinations` or to `workers`; one of the two is empty."""

    destinations: tuple[Destination, ...] = ()
    workers: tuple[WorkerRow, ...] = ()


@dataclass(frozen=True, slots=True)
class FateRow:
    """What became of a resend: held, delivered, undeliverable, deferred, or unknown (and never to be taken).

    `ran_at` is the Unix time of its first attempt that may have run.
    """

    id: str
    end: str
    ran_at: float | None = None


@dataclass(frozen=True, slots=True)
class Fates:
    """The answer to `fate`; of before `complete_since` (Unix time) an unknown id says nothing."""

    complete_since: float
    fates: tuple[FateRow, ...]


Body = Status | Rows | Counters | Fates
BODIES: dict[Verb, type[Any]] = {
    Verb.STATUS: Status,
    Verb.DESTINATIONS: Rows,
    Verb.WORKERS: Rows,
    Verb.COUNTERS: Counters,
    Verb.DRAIN: Status,
    Verb.RESUME: Status,
    Verb.STOP: Status,
    Verb.FATE: Fates,
}


@dataclass(frozen=True, slots=True)
class Answer:
    """What a forwarder says to a request: a body, or the text of an error."""

    id: int
    body: Body | None
    error: str = ""
