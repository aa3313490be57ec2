"""The actions that a scheduler returns for its caller to execute.

They start and cancel attempts, give final answers, start health checks and set timers. Durations are in
seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send a message to an endpoint.

    Attributes:
        start_within_s: the call must not begin later than this after the action.
        batch: messages with the same number are sent in one call.
    """

    message: int
    endpoint: int
    timeout_s: float
    start_within_s: float = math.inf
    batch: int = 0


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt that is in flight."""

    message: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer the client that the message was not delivered and may safely be submitted again."""

    message: int
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer the client that the message was given up; it may have taken effect."""

    message: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send the scheduler a `TimerFired` event with this token after the delay."""

    delay_s: float
    token: int


@dataclass(frozen=True, slots=True)
class StartHealthCheck:
    """Send a health check to an endpoint, which counts as a call against its rate limit."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class PollEndpointList:
    """Poll the endpoint list, and send the scheduler its updates from now on."""


class EjectionReason(Enum):
    """Why a destination's route was ejected; the value is logged as `reason=`."""

    FAILING = "failing"
    UNRESPONSIVE = "silent"
    REJECTS_ALL = "rejects all"


@dataclass(frozen=True, slots=True)
class DestinationEjected:
    """Log that a route of a destination was ejected: it gets only trial calls until it recovers."""

    destination: int
    reason: EjectionReason


@dataclass(frozen=True, slots=True)
class DestinationRecovered:
    """Log that an ejected route of a destination answers again and is in slow start."""

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
