"""The reducer's input: what clients, endpoints, discovery, the platform, timers, signals and the control channel did.

Threads post these events to the loop, which hands them to the reducer. Moments (`_at`, `_by`, `_until`) are seconds
of the monotonic clock.
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
    """The result of an `AcceptMessage`; without `client_answered` its client must send it again."""

    message: int
    client_answered: bool


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """An attempt ended by itself; it has the outcomes of all its messages."""

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
    """Discovery sent endpoints, those that changed or the full list; `epoch` is that of the watch."""

    version: int
    full: bool
    endpoints: tuple[Endpoint, ...]
    cached: bool = False  # the list in the configuration, as it was last known
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class WatchLost:
    """The watch failed or ended; `established`: it had been up for a while."""

    epoch: int = 0
    established: bool = False


@dataclass(frozen=True, slots=True)
class DiscoveryAddressChanged:
    """The configuration was reloaded and has another address (host, port) of discovery."""

    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class NotificationAcknowledged:
    """The platform accepted these notifications."""

    ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SchedulerTimerFired:
    """A timer of the scheduler expired."""

    token: int


@dataclass(frozen=True, slots=True)
class DeadlineReached:
    """The deadline of one message in an attempt has passed."""

    attempt_number: int
    message: int


@dataclass(frozen=True, slots=True)
class CancellationTimerFired:
    """An attempt is to be cancelled now: the client's deadline of one of its messages has passed."""

    attempt_number: int


@dataclass(frozen=True, slots=True)
class BatchItemWithdrawn:
    """The result of a `WithdrawFromBatch`; `progress` is how far the attempt had come."""

    attempt_number: int
    message: int
    progress: AttemptProgress


@dataclass(frozen=True, slots=True)
class AttemptCancelled:
    """The result of a `CancelAttempt`; `progress` is how far the attempt had come when its connection was closed."""

    attempt_number: int
    progress: AttemptProgress


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """The process is to exit: by `exit_by`, and not before `accept_until`."""

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
