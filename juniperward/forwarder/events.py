"""The reducer's input: events from clients, endpoints, discovery, the platform, timers and operators.

Threads post events to the loop, which passes them to the reducer. Times (`_at`, `_by`, `_until`) are seconds
of the monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from juniperward.forwarder.model import AttemptProgress, Endpoint, ItemOutcome, Message
from juniperward.forwarder.records import RestoredMessage
from juniperward.scheduler.events import Outcome

if TYPE_CHECKING:  # The protocol is loaded only if the control channel is used.
    from juniperward.control.protocol import Request


@dataclass(frozen=True, slots=True)
class JournalReplayed:
    """The journal was read; posted once, before clients are served."""

    messages: tuple[RestoredMessage, ...]


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A client sent a message, whose last byte arrived at `received_at`.

    `request` is the number of the client's request, which no other request of this process has.
    """

    request: int
    message: Message
    received_at: float


@dataclass(frozen=True, slots=True)
class MessageAccepted:
    """The result of an `AcceptMessage`; a client that was not answered must send the message again."""

    message: int
    client_answered: bool


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """An attempt ended without being cancelled; `outcomes` has one for each of its messages."""

    attempt_number: int
    outcomes: tuple[ItemOutcome, ...]


@dataclass(frozen=True, slots=True)
class HealthCheckAnswered:
    """A health check ended; `capacity_left` and `reported_limit_per_s` are the endpoint's load report."""

    number: int
    endpoint: int
    outcome: Outcome
    latency_s: float
    capacity_left: float | None = None
    reported_limit_per_s: float | None = None
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    """Discovery sent the full endpoint list or its changes.

    Attributes:
        full: Whether endpoints that are missing here were removed.
        cached: Whether this is the last known list, from the configuration instead of discovery.
        epoch: The epoch of the watch.
    """

    version: int
    full: bool
    endpoints: tuple[Endpoint, ...]
    cached: bool = False
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class WatchLost:
    """The watch failed or ended; `established` means that its stream lasted at least STREAM_TIMEOUT_S."""

    epoch: int = 0
    established: bool = False


@dataclass(frozen=True, slots=True)
class DiscoveryAddressChanged:
    """The configuration was reloaded and has a new address (host, port) for discovery."""

    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class NotificationAcknowledged:
    """The platform acknowledged the notifications for these message ids."""

    ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SchedulerTimerFired:
    """A timer that the scheduler set has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class DeadlineReached:
    """The deadline of one message of an attempt has passed."""

    attempt_number: int
    message: int


@dataclass(frozen=True, slots=True)
class CancellationTimerFired:
    """An attempt must be cancelled, because the client's deadline of one of its messages has passed."""

    attempt_number: int


@dataclass(frozen=True, slots=True)
class BatchItemWithdrawn:
    """The result of a `WithdrawFromBatch`; `progress` is that of the attempt at the withdrawal."""

    attempt_number: int
    message: int
    progress: AttemptProgress


@dataclass(frozen=True, slots=True)
class AttemptCancelled:
    """The result of a `CancelAttempt`; `progress` is that of the attempt when its connection was closed."""

    attempt_number: int
    progress: AttemptProgress


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """The process must exit, not before `accept_until` and no later than `exit_by`."""

    accept_until: float
    exit_by: float


@dataclass(frozen=True, slots=True)
class ControlRequested:
    """A client of the control channel sent a request."""

    client: int
    request: Request


TimerEvent = SchedulerTimerFired | DeadlineReached | CancellationTimerFired | AttemptCancelled
EndpointEvent = (
    AttemptAnswered
    | DeadlineReached
    | BatchItemWithdrawn
    | CancellationTimerFired
    | AttemptCancelled
    | HealthCheckAnswered
    | EndpointsUpdated
    | WatchLost
    | DiscoveryAddressChanged
)
Event = (
    EndpointEvent
    | MessageReceived
    | MessageAccepted
    | JournalReplayed
    | NotificationAcknowledged
    | SchedulerTimerFired
    | ShutdownRequested
    | ControlRequested
)
