"""What a scheduler has its caller do: attempts, final answers, health checks, timers; durations are in seconds."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Call an endpoint with a message; messages of the same `batch` travel in one call."""

    message: int
    endpoint: int
    timeout_s: float
    start_within_s: float = math.inf  # after which the call must not begin
    batch: int = 0


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    message: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: not delivered, and trying again is harmless."""

    message: int
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: given up, with no promise about its effect."""

    message: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Post a `TimerFired` with the token after a delay."""

    delay_s: float
    token: int


@dataclass(frozen=True, slots=True)
class StartHealthCheck:
    """Check an endpoint; it counts as a call there."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close this forwarder's idle connections to an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class PollEndpointList:
    """Poll the endpoint list, and post the updates from now on."""


class EjectionReason(Enum):
    """Why a destination's route was ejected; the values are the words of the log (`reason=`)."""

    FAILING = "failing"
    UNRESPONSIVE = "silent"
    REJECTS_ALL = "rejects all"


@dataclass(frozen=True, slots=True)
class DestinationEjected:
    """Log that a route of a destination gets trials only."""

    destination: int
    reason: EjectionReason


@dataclass(frozen=True, slots=True)
class DestinationRecovered:
    """Log that a route of a destination answers again, and warms up."""

    destination: int


Action = (
    StartAttempt
    | CancelAttempt
    | Reject
    | Fail
    | SetTimer
    | StartHealthCheck
    | CloseIdleConnections
    | PollEndpointList
    | DestinationEjected
    | DestinationRecovered
)
