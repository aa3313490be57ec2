"""What the reducer asks for; the loop carries effects out in their order.

Moments are seconds of the monotonic clock.
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
    """Journal the message, then tell its client 202; `MessageAccepted` reports back."""

    client: int
    message: int
    record: AcceptedRecord


@dataclass(frozen=True, slots=True)
class ReplyToClient:
    """Answer a client without accepting its message (or again, where it is held already)."""

    client: int
    status: int
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class AppendRecord:
    """Write a record to the journal."""

    record: JournalRecord


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Call an endpoint with one or more messages; `AttemptAnswered` reports exactly once, unless cancelled."""

    number: int
    endpoint: int
    host: str
    port: int
    destination: int
    items: tuple[BatchItem, ...]
    deadline: float
    endpoint_id: str = ""  # discovery's, for the journal
    route: RouteKey | None = None  # what a Retry-After binds; the destination where it is not said


@dataclass(frozen=True, slots=True)
class StartHealthCheck:
    """Ask an endpoint for its health (`GET /health/live`); `HealthCheckAnswered` reports once."""

    number: int
    endpoint: int
    host: str
    port: int
    destination: int
    deadline: float
    route: RouteKey | None = None


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Close the connection of an attempt; `AttemptCancelled` reports in the same round, nothing after it."""

    attempt_number: int


@dataclass(frozen=True, slots=True)
class WithdrawFromBatch:
    """Leave a message out of an attempt not written yet; `BatchItemWithdrawn` reports in the same round."""

    attempt_number: int
    message: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class SetDraining:
    """Write nothing new to an endpoint, or do so again."""

    endpoint: int
    draining: bool


@dataclass(frozen=True, slots=True)
class HoldRoute:
    """Write nothing to a route's endpoints before `until`."""

    route: RouteKey
    until: float


@dataclass(frozen=True, slots=True)
class StartWatch:
    """Watch discovery for what changed after a version."""

    version: int
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class SwitchDiscovery:
    """Leave discovery's old address, with the watch and the notifications; go on at the new one."""

    address: tuple[str, int]
    epoch: int


@dataclass(frozen=True, slots=True)
class ForgetEndpoint:
    """An endpoint is gone and nothing is in flight there: keep nothing of it."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class SendNotifications:
    """Send notifications to the platform until they are acknowledged."""

    notifications: tuple[OutcomeNotification, ...]


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Report an event at a moment."""

    at: float
    event: TimerEvent


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a line for the people on call: an event, and its fields in their order."""

    event: str
    fields: tuple[tuple[str, object], ...] = ()


@dataclass(frozen=True, slots=True)
class SendControlReply:
    """Answer a client of the control channel."""

    client: int
    answer: Answer


@dataclass(frozen=True, slots=True)
class CloseConnections:
    """Have the ready page say no and answers to clients end their connections, or neither any more."""

    closing: bool


@dataclass(frozen=True, slots=True)
class EndProcess:
    """Begin the planned end of the process, as SIGTERM would."""


@dataclass(frozen=True, slots=True)
class StoreDeadLetter:
    """Store a message that is given up, before its end is journalled; `endpoints` are its destination's."""

    message: Message
    received_at: float
    given_up_at: float
    attempts: tuple[PastAttempt, ...]
    endpoints: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RecordRedriveOutcome:
    """Write down what became of a redrive, before its end is journalled."""

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
    | SetDraining
    | ForgetEndpoint
    | HoldRoute
    | StartWatch
    | SwitchDiscovery
    | SendNotifications
    | SetTimer
    | WriteLog
    | SendControlReply
    | CloseConnections
    | EndProcess
    | StoreDeadLetter
    | RecordRedriveOutcome
)
