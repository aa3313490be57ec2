"""What the reducer is told: by clients, endpoints, discovery, the platform, timers, signals and the control channel.

Moments are seconds of the monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from juniperward.forwarder.model import AttemptProgress, Endpoint, ItemOutcome, Message
from juniperward.forwarder.records import RestoredMessage
from juniperward.scheduler.events import Outcome

if TYPE_CHECKING:  # the protocol is loaded where a control channel is open
    from juniperward.control.protocol import Request


@dataclass(frozen=True, slots=True)
class JournalReplayed:
    """The journal was read; comes once, before any client."""

    messages: tuple[RestoredMessage, ...]


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A client sent a message; its last byte came at `received_at`."""

    client: int
    message: Message
    received_at: float


@dataclass(frozen=True, slots=True)
class MessageAccepted:
    """What became of an `AcceptMessage`: whether the client was told."""

    message: int
    client_told: bool


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """An attempt ended; the outcomes of all its messages in one event."""

    attempt_number: int
    outcomes: tuple[ItemOutcome, ...]


@dataclass(frozen=True, slots=True)
class HealthCheckAnswered:
    """A health check ended; `capacity_left` and `reported_limit_per_s` are the endpoint's report."""

    number: int
    endpoint: int
    outcome: Outcome
    latency_s: float
    capacity_left: float | None = None
    reported_limit_per_s: float | None = None
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    """Discovery has told endpoints, those that changed or the whole list; `epoch` is that of the watch."""

    version: int
    full: bool
    endpoints: tuple[Endpoint, ...]
    cached: bool = False  # the list that the configuration names, as it was last known
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class WatchLost:
    """The watch failed or ended; `established` says that it had been up for a while."""

    epoch: int = 0
    established: bool = False


@dataclass(frozen=True, slots=True)
class DiscoveryAddressChanged:
    """The configuration names this address of discovery from now on."""

    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class NotificationAcknowledged:
    """The platform accepted these notifications."""

    ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SchedulerTimerFired:
    """A timer of the scheduler is due."""

    token: int


@dataclass(frozen=True, slots=True)
class DeadlineReached:
    """The time of one message in an attempt is up."""

    attempt_number: int
    message: int


@dataclass(frozen=True, slots=True)
class CancellationDue:
    """An attempt is to be cancelled now: the client's time of one of its messages is up."""

    attempt_number: int


@dataclass(frozen=True, slots=True)
class BatchItemWithdrawn:
    """What became of a `WithdrawFromBatch`: `progress` is that of the call when it came."""

    attempt_number: int
    message: int
    progress: AttemptProgress


@dataclass(frozen=True, slots=True)
class AttemptCancelled:
    """What became of a `CancelAttempt`: `progress` is that of the call when its connection was closed."""

    attempt_number: int
    progress: AttemptProgress


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """The process was told to end: by `exit_by`, and not before `accept_until`."""

    accept_until: float
    exit_by: float


@dataclass(frozen=True, slots=True)
class ControlRequested:
    """A client of the control channel asks something of this forwarder."""

    client: int
    request: Request


TimerEvent = SchedulerTimerFired | DeadlineReached | CancellationDue | AttemptCancelled
EndpointEvent = (
    AttemptAnswered
    | DeadlineReached
    | BatchItemWithdrawn
    | CancellationDue
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
