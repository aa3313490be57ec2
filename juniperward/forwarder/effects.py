"""The reducer's output: effects, which the loop passes to the effect executor in their order.

Times (`at`, `until`, `deadline`, `_at`) are seconds of the monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from juniperward.forwarder.events import TimerEvent
from juniperward.forwarder.model import BatchItem, Message, OutcomeNotification, PastAttempt, RouteKey
from juniperward.forwarder.records import AcceptedRecord, JournalRecord

if TYPE_CHECKING:  # The protocol is loaded only if the control channel is used.
    from juniperward.control.protocol import Answer


@dataclass(frozen=True, slots=True)
class AcceptMessage:
    """Journal the message of a request, then answer it 202; `MessageAccepted` follows in the same round."""

    request: int
    message: int
    record: AcceptedRecord


@dataclass(frozen=True, slots=True)
class ReplyToClient:
    """Answer a request whose message is rejected or is a duplicate."""

    request: int
    status: int
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class AppendRecord:
    """Append a record to the journal."""

    record: JournalRecord


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send messages to an endpoint; one `AttemptAnswered` follows unless the attempt is cancelled.

    Attributes:
        endpoint_id: Discovery's id of the endpoint, which is journalled.
        route: The scope of a Retry-After in the response; None means the destination.
    """

    number: int
    endpoint: int
    host: str
    port: int
    destination: int
    items: tuple[BatchItem, ...]
    deadline: float
    endpoint_id: str = ""
    route: RouteKey | None = None


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
    """Shut down the connection of an attempt; `AttemptCancelled` follows in the same round.

    If something was written, `AttemptAnswered` follows later, with what was received before the connection ended.
    """

    attempt_number: int


@dataclass(frozen=True, slots=True)
class WithdrawFromBatch:
    """Withdraw a message from an attempt that is not written yet; `BatchItemWithdrawn` follows in the round."""

    attempt_number: int
    message: int


@dataclass(frozen=True, slots=True)
class SetEndpointDraining:
    """Stop or resume starting new requests to an endpoint."""

    endpoint: int
    draining: bool


@dataclass(frozen=True, slots=True)
class PauseRoute:
    """Write no request to a route's endpoints before `until`."""

    route: RouteKey
    until: float


@dataclass(frozen=True, slots=True)
class StartWatch:
    """Watch discovery for changes after a version of the endpoint list."""

    version: int
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class SwitchDiscovery:
    """Use a new address (host, port) for the watch and for notifications."""

    address: tuple[str, int]
    epoch: int


@dataclass(frozen=True, slots=True)
class ForgetEndpoint:
    """Drop all state of a removed endpoint without attempts in flight."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class SendNotifications:
    """Send notifications to the platform until they are acknowledged."""

    notifications: tuple[OutcomeNotification, ...]


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Post `event` at the time `at`."""

    at: float
    event: TimerEvent


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a log line with the text `event` and the fields in their order."""

    event: str
    fields: tuple[tuple[str, object], ...] = ()


@dataclass(frozen=True, slots=True)
class SendControlReply:
    """Answer a client of the control channel."""

    client: int
    answer: Answer


@dataclass(frozen=True, slots=True)
class DrainClients:
    """Report not ready and close each client's connection with its next response, or stop doing so."""

    draining: bool


@dataclass(frozen=True, slots=True)
class BeginShutdown:
    """Start a graceful shutdown, as on SIGTERM."""


@dataclass(frozen=True, slots=True)
class StoreDeadLetter:
    """Store a failed message, before its outcome is journalled; `endpoints` are those of its destination."""

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
