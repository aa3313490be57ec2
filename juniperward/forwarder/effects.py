"""The reducer's output: what is to be done; the loop has the effect executor perform effects in their order.

Moments (`at`, `until`, `deadline`, `_at`) are seconds of the monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from juniperward.forwarder.events import TimerEvent
from juniperward.forwarder.model import BatchItem, Message, OutcomeNotification, PastAttempt, RouteKey
from juniperward.forwarder.records import AcceptedRecord, JournalRecord

if TYPE_CHECKING:  # the protocol is loaded where a control channel is open
    from juniperward.control.protocol import Answer


@dataclass(frozen=True, slots=True)
class AcceptMessage:
    """Journal the message, then answer its client 202; `MessageAccepted` follows in the same round."""

    client: int
    message: int
    record: AcceptedRecord


@dataclass(frozen=True, slots=True)
class ReplyToClient:
    """Answer a client without accepting its message, or again where the message is known already."""

    client: int
    status: int
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class AppendRecord:
    """Write a record to the journal."""

    record: JournalRecord


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Call an endpoint with one or more messages; one `AttemptAnswered` follows, unless it is cancelled."""

    number: int
    endpoint: int
    host: str
    port: int
    destination: int
    items: tuple[BatchItem, ...]
    deadline: float
    endpoint_id: str = ""  # discovery's, for the journal
    route: RouteKey | None = None  # what a Retry-After applies to; None for the destination


@dataclass(frozen=True, slots=True)
class StartHealthCheck:
    """Check an endpoint's health (`GET /health/live`); one `HealthCheckAnswered` follows."""

    number: int
    endpoint: int
    host: str
    port: int
    destination: int
    deadline: float
    route: RouteKey | None = None


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Close the connection of an attempt; `AttemptCancelled` follows in the same round, nothing after it."""

    attempt_number: int


@dataclass(frozen=True, slots=True)
class WithdrawFromBatch:
    """Withdraw a message from an attempt that is not written yet; `BatchItemWithdrawn` follows in the same round."""

    attempt_number: int
    message: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class SetEndpointDraining:
    """Write nothing new to an endpoint, or do so again."""

    endpoint: int
    draining: bool


@dataclass(frozen=True, slots=True)
class PauseRoute:
    """Write no attempt to a route's endpoints before `until`."""

    route: RouteKey
    until: float


@dataclass(frozen=True, slots=True)
class StartWatch:
    """Watch discovery for changes after a version."""

    version: int
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class SwitchDiscovery:
    """Use another address (host, port) of discovery, for the watch and for notifications."""

    address: tuple[str, int]
    epoch: int


@dataclass(frozen=True, slots=True)
class ForgetEndpoint:
    """Drop all state of an endpoint that was removed and has nothing in flight."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class SendNotifications:
    """Send notifications to the platform until they are acknowledged."""

    notifications: tuple[OutcomeNotification, ...]


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Post an event at a moment."""

    at: float
    event: TimerEvent


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a log line: an event, and its fields in their order."""

    event: str
    fields: tuple[tuple[str, object], ...] = ()


@dataclass(frozen=True, slots=True)
class SendControlReply:
    """Answer a client of the control channel."""

    client: int
    answer: Answer


@dataclass(frozen=True, slots=True)
class DrainClients:
    """Report not ready and close clients' connections with their next answer; or neither any more."""

    draining: bool


@dataclass(frozen=True, slots=True)
class BeginShutdown:
    """Begin a graceful shutdown, as SIGTERM would."""


@dataclass(frozen=True, slots=True)
class StoreDeadLetter:
    """Store a message that is given up, before its outcome is journalled; `endpoints` are its destination's."""

    message: Message
    received_at: float
    given_up_at: float
    attempts: tuple[PastAttempt, ...]
    endpoints: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RecordRedriveOutcome:
    """Record the outcome of a redrive, before its completion is journalled."""

    id: str
    outcome: str
    executed_at: float | None


Effect = (
    AcceptMessage
    | ReplyToClient
    | AppendRecord
    | StartAttempt
    | StartHealthCheck
    | CancelAttempt
    | WithdrawFromBatch
    | CloseIdleConnections
    | SetEndpointDraining
    | ForgetEndpoint
    | PauseRoute
    | StartWatch
    | SwitchDiscovery
    | SendNotifications
    | SetTimer
    | WriteLog
    | SendControlReply
    | DrainClients
    | BeginShutdown
    | StoreDeadLetter
    | RecordRedriveOutcome
)
