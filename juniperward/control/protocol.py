"""The values of the control channel: requests, answers and their bodies, in the field's terms.

`codec` gives each of them its form on the wire, where several fields have other names. The forwarder's reducer builds
the bodies; the agent and the benchmarks read them through `client`. Durations and ages are seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any


class Verb(StrEnum):
    """What can be requested of a forwarder; the values are those of the wire."""

    STATUS = "status"
    DESTINATIONS = "destinations"
    ENDPOINTS = "workers"
    COUNTERS = "counters"
    DRAIN = "drain"
    RESUME = "resume"
    STOP = "stop"
    REDRIVE_OUTCOMES = "fate"


class ForwarderPhase(StrEnum):
    """Where a forwarder is in its lifecycle; the values are those of the wire."""

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"
    STOPPING = "stopping"


class ListedPhase(StrEnum):
    """Whether an endpoint may be called; the values are those of the wire."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class RedriveState(StrEnum):
    """What became of a redrive; the values are those of the wire and of the spool."""

    PENDING = "held"
    DELIVERED = "delivered"
    UNDELIVERABLE = "undeliverable"
    DEFERRED = "deferred"
    UNKNOWN = "unknown"  # and it is rejected from now on


@dataclass(frozen=True, slots=True)
class Request:
    """A request; `id` comes back with its answer."""

    id: int
    verb: Verb
    ids: tuple[str, ...] = ()  # of REDRIVE_OUTCOMES: the redrives in question


@dataclass(frozen=True, slots=True)
class Status:
    """The state of one forwarder; the counts from `accepted` on are since the start of its process."""

    name: str
    version: str
    pid: int
    started_at: float  # Unix time of the process's start
    phase: str  # a ForwarderPhase, or what a newer forwarder may say
    ready: bool
    pending: int  # messages accepted and without a final outcome
    accepting: int  # messages whose client has not been answered yet
    unacknowledged: int  # notifications that the platform has not acknowledged
    attempts_in_flight: int
    slots: int  # most attempts in flight
    max_open: int  # most messages pending and accepting
    oldest_pending_age_s: float
    journal_bytes: int
    journal_live_bytes: int  # of messages that are not completed
    endpoint_list_version: int
    endpoint_list_age_s: float  # since discovery's latest update; negative before the first
    destinations: int
    ejected_destinations: int
    accepted: int
    restored: int
    delivered: int
    given_up: int
    rejected: int
    attempts: int
    attempts_failed: int  # neither delivered nor rejected as overloaded
    invariants_broken: int
    dead_letters_stored: int = 0
    dead_letters_failed: int = 0  # given up and not stored: the spool was full, or an error

    @property
    def unfinished(self) -> int:
        """Messages whose final outcome their client does not know yet."""
        return self.pending + self.accepting + self.unacknowledged


@dataclass(frozen=True, slots=True)
class DestinationRow:
    """One destination as the scheduler sees it."""

    destination: int
    health: str  # a value of juniperward.scheduler.status.Health
    queued: int
    in_flight: int
    rate_limit_per_s: float | None
    listed_rate_per_s: float
    retry_after_s: float  # what is left of a Retry-After
    warming_up_for_s: float | None  # since it answered again
    mean_latency_s: float | None
    ready_endpoints: int


@dataclass(frozen=True, slots=True)
class EndpointRow:
    """One endpoint as discovery lists it, with the attempts in flight to it."""

    id: str
    address: str
    destination: int
    phase: str  # a ListedPhase, or what a newer forwarder may say
    kind: int
    in_flight: int


@dataclass(frozen=True, slots=True)
class Counters:
    """All counters that are not zero, by name."""

    counters: dict[str, int]


@dataclass(frozen=True, slots=True)
class Rows:
    """The answer to DESTINATIONS or to ENDPOINTS; one of the two is empty."""

    destinations: tuple[DestinationRow, ...] = ()
    endpoints: tuple[EndpointRow, ...] = ()


@dataclass(frozen=True, slots=True)
class RedriveOutcomeRow:
    """What became of one redrive."""

    id: str
    outcome: str  # a RedriveState, or what a newer forwarder may say
    executed_at: float | None = None  # Unix time of its first attempt that possibly executed


@dataclass(frozen=True, slots=True)
class RedriveOutcomes:
    """The answer to REDRIVE_OUTCOMES; of before `complete_since` (Unix time) an unknown id says nothing."""

    complete_since: float
    outcomes: tuple[RedriveOutcomeRow, ...]


Body = Status | Rows | Counters | RedriveOutcomes
BODIES: dict[Verb, type[Any]] = {
    Verb.STATUS: Status,
    Verb.DESTINATIONS: Rows,
    Verb.ENDPOINTS: Rows,
    Verb.COUNTERS: Counters,
    Verb.DRAIN: Status,
    Verb.RESUME: Status,
    Verb.STOP: Status,
    Verb.REDRIVE_OUTCOMES: RedriveOutcomes,
}


@dataclass(frozen=True, slots=True)
class Answer:
    """What a forwarder answers to a request: a body, or the text of an error."""

    id: int
    body: Body | None
    error: str = ""
