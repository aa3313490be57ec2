"""Typed values that pass between the sockets, the journal and the reducer; plain data, no decisions.

Times are seconds of the monotonic clock. A message is decoded into a `Call` once; from then on it is known by
a number of this process. Events go into the reducer, effects come out of it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from juniperward.control.protocol import Answer, Request
from juniperward.scheduler.events import EndpointPhase, Outcome

# --- values -----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Call:
    """A client's message, decoded from whatever protocol it came by."""

    id: str
    cls: int
    tenant: int
    destination: int
    time_left: float
    key: str | None
    body: bytes
    ran: float | None = None  # of a resend: seconds since it first may have run, in an earlier life


@dataclass(frozen=True, slots=True)
class Worker:
    """One entry of the registry's list; `id` is the text that the registry uses."""

    id: str
    host: str
    port: int
    destination: int
    phase: EndpointPhase
    kind: int
    zone: int
    weight: float


Route = (
    int | str
)  # what shares a limit: a destination, or where its workers are routes apart one of them, by its id


@dataclass(frozen=True, slots=True)
class End:
    """How one message of an attempt ended."""

    message: int
    outcome: Outcome
    wait: float = 0.0
    slots_taken: bool = False
    over: bool = False
    room: float | None = None
    limit: float | None = None
    table_full: bool = False  # the worker is there, and takes no more connections
    begun: bool = True  # whether a byte of its call may have been written, so that the journal has it


@dataclass(frozen=True, slots=True)
class OutcomeNotification:
    """The end of a message that was accepted and not delivered; `again` None is a failure."""

    id: str
    again: float | None = None


# --- the journal's records ---------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Accepted:
    """A message was accepted."""

    call: Call
    expires: float
    ran_at: float | None = None  # of a resend: when it first may have run, before it was handed in


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """The first byte of a message's call is about to be written."""

    id: str
    at: float
    worker: str


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """The latest attempt of a message ended."""

    id: str
    may_have_run: bool


@dataclass(frozen=True, slots=True)
class OutcomeDecided:
    """The message is given up; its notification is unacknowledged from now on, and nothing else."""

    notification: OutcomeNotification


@dataclass(frozen=True, slots=True)
class Completed:
    """Nothing more is owed."""

    id: str


Record = Accepted | AttemptStarted | AttemptFinished | OutcomeDecided | Completed


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """An attempt of an earlier life, as the journal has it; one without an end may have run."""

    worker: str
    at: float
    may_have_run: bool = True


@dataclass(frozen=True, slots=True)
class Restored:
    """What the journal knows of a message that is not over."""

    call: Call
    expires: float
    history: tuple[AttemptRecord, ...] = ()
    notification: OutcomeNotification | None = None


# --- events ------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Replayed:
    """The journal was read; comes once, before any client."""

    messages: tuple[Restored, ...]


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A client handed in a message; its last byte came at `at`."""

    client: int
    call: Call
    at: float


@dataclass(frozen=True, slots=True)
class MessageAccepted:
    """What became of an `AcceptMessage`: whether the client was told."""

    message: int
    told: bool


@dataclass(frozen=True, slots=True)
class Answered:
    """An attempt ended; all its messages in one event."""

    attempt_number: int
    ends: tuple[End, ...]


@dataclass(frozen=True, slots=True)
class ProbeFinished:
    """A probe ended: `latency` in seconds; `room` and `limit` as the worker's report has them."""

    probe: int
    worker: int
    outcome: Outcome
    latency: float
    room: float | None = None
    limit: float | None = None
    wait: float = 0.0  # seconds that the answer told to wait


@dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    """Endpoints that discovery has told, changed or as a whole list."""

    version: int
    full: bool
    workers: tuple[Worker, ...]
    known: bool = False
    epoch: int = 0  # how often the registry had moved when the watch began


@dataclass(frozen=True, slots=True)
class WatchLost:
    """The watch failed or ended; `lived`: it had been up for a while, with news or without."""

    epoch: int = 0
    lived: bool = False


@dataclass(frozen=True, slots=True)
class Moved:
    """The configuration names this address of the registry from now on."""

    registry: tuple[str, int]


@dataclass(frozen=True, slots=True)
class NotificationAcknowledged:
    """The platform accepted these notifications."""

    ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ModuleTimer:
    """A timer of the decision module is due."""

    token: int


@dataclass(frozen=True, slots=True)
class TimeUp:
    """The time of one message in an attempt is up."""

    attempt_number: int
    message: int


@dataclass(frozen=True, slots=True)
class CancelDue:
    """An attempt is to be cancelled now: the client's time of one of its messages is up."""

    attempt_number: int


@dataclass(frozen=True, slots=True)
class Stop:
    """The process was told to end; it must have by `until`, and not before `open_until`."""

    open_until: float
    until: float


@dataclass(frozen=True, slots=True)
class ControlRequested:
    """A client of the control channel asks something of this forwarder."""

    client: int
    request: Request


class Progress(Enum):
    """How far an attempt's call has come."""

    WAITS = "waits"  # nothing of it is written: its connection is not up, or it stands in line for a thread
    WRITES = "writes"
    WRITTEN = "written"
    OVER = "over"  # its end is known, and on its way


@dataclass(frozen=True, slots=True)
class WithdrawResult:
    """What became of a `WithdrawFromBatch`: `progress` is that of the call when it came."""

    attempt_number: int
    message: int
    progress: Progress


@dataclass(frozen=True, slots=True)
class AttemptCancelled:
    """What became of a `CancelAttempt`: `progress` is that of the call when its connection was closed."""

    attempt_number: int
    progress: Progress


Due = ModuleTimer | TimeUp | CancelDue | AttemptCancelled
Event = (
    Replayed
    | MessageReceived
    | MessageAccepted
    | Answered
    | WithdrawResult
    | ProbeFinished
    | EndpointsUpdated
    | WatchLost
    | Moved
    | NotificationAcknowledged
    | Due
    | Stop
    | ControlRequested
)

# --- effects -----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class AcceptMessage:
    """Journal the message, then tell its client 202; `MessageAccepted` reports back."""

    client: int
    message: int
    record: Accepted


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer a client without accepting its message (or again, where it is held already)."""

    client: int
    status: int
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Append:
    """Write a record to the journal."""

    record: Record


@dataclass(frozen=True, slots=True)
class BatchItem:
    """One message of an attempt; `until`: monotonic seconds after which it must not be written any more."""

    message: int
    call: Call
    until: float = math.inf


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Call a worker with one or more messages; `Answered` reports back exactly once, unless cancelled."""

    number: int
    worker: int
    host: str
    port: int
    destination: int
    items: tuple[BatchItem, ...]
    deadline: float
    name: str = ""  # the registry's of the worker, for the journal
    route: Route | None = None  # what a told wait binds; its destination where it is not said


@dataclass(frozen=True, slots=True)
class StartProbe:
    """Probe a worker (`GET /health/live`); `ProbeFinished` reports once. `deadline`: monotonic seconds."""

    number: int
    worker: int
    host: str
    port: int
    destination: int
    deadline: float
    route: Route | None = None


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Close the connection of an attempt; `AttemptCancelled` reports in the same round, nothing after it."""

    attempt_number: int


@dataclass(frozen=True, slots=True)
class WithdrawFromBatch:
    """Leave a message out of an attempt not written yet; `WithdrawResult` reports in the same round."""

    attempt_number: int
    message: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to a worker."""

    worker: int


@dataclass(frozen=True, slots=True)
class SetDraining:
    """Write nothing new to a worker, or do so again."""

    worker: int
    draining: bool


@dataclass(frozen=True, slots=True)
class HoldUntil:
    """Write nothing to a route's workers before `until`."""

    route: Route
    until: float


@dataclass(frozen=True, slots=True)
class WatchFrom:
    """Watch the registry for what changed after a version."""

    version: int
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class MoveTo:
    """Leave the registry's old address, with the watch and the notifications; go on at the new one."""

    registry: tuple[str, int]
    epoch: int


@dataclass(frozen=True, slots=True)
class ForgetWorker:
    """A worker is gone and nothing of it is out: keep nothing of it."""

    worker: int


@dataclass(frozen=True, slots=True)
class Notify:
    """Hand notifications to the platform until they are accepted."""

    notifications: tuple[OutcomeNotification, ...]


@dataclass(frozen=True, slots=True)
class Wake:
    """Report `due` at a time."""

    at: float
    due: Due


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line for the people on call."""

    text: str


@dataclass(frozen=True, slots=True)
class Tried:
    """One attempt of a message that is given up."""

    worker: str
    at: float
    outcome: str
    may_have_run: bool


@dataclass(frozen=True, slots=True)
class Keep:
    """Keep a message that is given up, before its end is written down; `workers` are its destination's."""

    call: Call
    since: float
    at: float
    attempts: tuple[Tried, ...]
    workers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Remember:
    """Write down what became of a resend, before its end is."""

    id: str
    end: str
    ran_at: float | None


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


Effect = (
    AcceptMessage
    | Reply
    | Append
    | StartAttempt
    | StartProbe
    | CancelAttempt
    | WithdrawFromBatch
    | CloseIdle
    | SetDraining
    | ForgetWorker
    | HoldUntil
    | WatchFrom
    | MoveTo
    | Notify
    | Wake
    | LogLine
    | SendControlReply
    | CloseConnections
    | EndProcess
    | Keep
    | Remember
)
