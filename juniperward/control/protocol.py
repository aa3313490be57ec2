"""The values of the control channel: requests, answers and their bodies.

`codec` encodes them; several fields have another name on the wire. The forwarder's reducer builds the
bodies; the agent and the benchmarks read them through `client`. Durations and ages are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any


class Verb(StrEnum):
    """The kinds of requests to a forwarder; the values are those of the wire."""

    STATUS = "status"
    DESTINATIONS = "destinations"
    ENDPOINTS = "workers"
    COUNTERS = "counters"
    DRAIN = "drain"
    RESUME = "resume"
    STOP = "stop"
    REDRIVE_OUTCOMES = "fate"


class ForwarderPhase(StrEnum):
    """The phases of a forwarder's lifecycle; the values are those of the wire."""

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"
    STOPPING = "stopping"


class ListedPhase(StrEnum):
    """The phases of an endpoint as discovery lists it; the values are those of the wire."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class RedriveState(StrEnum):
    """The state of a redrive; the values are those of the wire and of the spool.

    Attributes:
        UNKNOWN: The forwarder has no redrive with this id, and rejects one from now on.

    """

    PENDING = "held"
    DELIVERED = "delivered"
    UNDELIVERABLE = "undeliverable"
    DEFERRED = "deferred"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Request:
    """A request to a forwarder.

    Attributes:
        id: Repeated in the answer to this request.
        ids: The ids of redrives, for REDRIVE_OUTCOMES only.

    """

    id: int
    verb: Verb
    ids: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Status:
    """The status of one forwarder.

    Counts from `accepted` on are since the start of its process.

    Attributes:
        started_at: Unix time of the process's start.
        phase: A ForwarderPhase, or a value of a newer forwarder.
        pending: Messages accepted and without a final outcome.
        accepting: Messages whose client has not been answered yet.
        unacknowledged: Notifications that the platform has not acknowledged.
        slots: The limit of attempts in flight.
        max_open: The limit of messages pending and accepting.
        journal_live_bytes: Size of the journal records of messages that are not completed.
        endpoint_list_age_s: Time since the latest update from discovery; negative before the first.
        attempts_failed: Attempts that were neither delivered nor rejected as overloaded.
        dead_letters_failed: Messages given up that could not be stored, as the spool was full or failed.

    """

    name: str
    version: str
    pid: int
    started_at: float
    phase: str
    ready: bool
    pending: int
    accepting: int
    unacknowledged: int
    attempts_in_flight: int
    slots: int
    max_open: int
    oldest_pending_age_s: float
    journal_bytes: int
    journal_live_bytes: int
    endpoint_list_version: int
    endpoint_list_age_s: float
    destinations: int
    ejected_destinations: int
    accepted: int
    restored: int
    delivered: int
    given_up: int
    rejected: int
    attempts: int
    attempts_failed: int
    invariants_broken: int
    dead_letters_stored: int = 0
    dead_letters_failed: int = 0

    @property
    def unfinished(self) -> int:
        """The count of messages whose final outcome their client does not know yet."""
        return self.pending + self.accepting + self.unacknowledged


@dataclass(frozen=True, slots=True)
class DestinationRow:
    """One destination as the scheduler sees it.

    Attributes:
        health: A value of `juniperward.scheduler.status.Health`.
        retry_after_s: The remaining time of a Retry-After.
        warming_up_for_s: Time since the destination answered again; None if it is not warming up.

    """

    destination: int
    health: str
    queued: int
    in_flight: int
    rate_limit_per_s: float | None
    listed_rate_per_s: float
    retry_after_s: float
    warming_up_for_s: float | None
    mean_latency_s: float | None
    ready_endpoints: int


@dataclass(frozen=True, slots=True)
class EndpointRow:
    """One endpoint as discovery lists it, with the attempts in flight to it.

    Attributes:
        phase: A ListedPhase, or a value of a newer forwarder.

    """

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
    """The answer to DESTINATIONS or to ENDPOINTS; the other field is empty."""

    destinations: tuple[DestinationRow, ...] = ()
    endpoints: tuple[EndpointRow, ...] = ()


@dataclass(frozen=True, slots=True)
class RedriveOutcomeRow:
    """The outcome of one redrive.

    Attributes:
        outcome: A RedriveState, or a value of a newer forwarder.
        executed_at: Unix time of the first attempt that may have executed; None without one.

    """

    id: str
    outcome: str
    executed_at: float | None = None


@dataclass(frozen=True, slots=True)
class RedriveOutcomes:
    """The answer to REDRIVE_OUTCOMES.

    Attributes:
        complete_since: Unix time since which all outcomes are known; UNKNOWN says nothing about a redrive
            that may have been accepted earlier.

    """

    complete_since: float
    outcomes: tuple[RedriveOutcomeRow, ...]


Body = Status | Rows | Counters | RedriveOutcomes
BODY_TYPES: dict[Verb, type[Any]] = {
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
    """The answer to a request: a body, or None and the text of an error."""

    id: int
    body: Body | None
    error: str = ""
