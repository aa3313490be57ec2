"""Conversion of the reducer's events and effects to and from JSON values, for recorded rounds."""

from __future__ import annotations

import math
import zlib
from dataclasses import fields, is_dataclass
from enum import Enum
from typing import Any

from juniperward.control.protocol import (
    Answer,
    RedriveOutcomeRow,
    RedriveOutcomes,
    RedriveState,
    Request,
    Verb,
)
from juniperward.forwarder.effects import (
    AcceptMessage,
    AppendRecord,
    BeginShutdown,
    CancelAttempt,
    DrainClients,
    ForgetEndpoint,
    PauseRoute,
    RecordRedriveOutcome,
    ReplyToClient,
    SendControlReply,
    SendNotifications,
    SetEndpointDraining,
    SetTimer,
    StartAttempt,
    StartHealthCheck,
    StartWatch,
    StoreDeadLetter,
    SwitchDiscovery,
    WithdrawFromBatch,
    WriteLog,
)
from juniperward.forwarder.events import (
    AttemptAnswered,
    AttemptCancelled,
    BatchItemWithdrawn,
    CancellationTimerFired,
    ControlRequested,
    DeadlineReached,
    DiscoveryAddressChanged,
    EndpointsUpdated,
    HealthCheckAnswered,
    JournalReplayed,
    MessageAccepted,
    MessageReceived,
    NotificationAcknowledged,
    SchedulerTimerFired,
    ShutdownRequested,
    WatchLost,
)
from juniperward.forwarder.model import (
    AttemptProgress,
    BatchItem,
    Endpoint,
    ItemOutcome,
    Message,
    OutcomeNotification,
    PastAttempt,
)
from juniperward.forwarder.records import (
    AcceptedRecord,
    AttemptFinishedRecord,
    AttemptStartedRecord,
    CompletedRecord,
    OutcomeDecidedRecord,
    RecordedAttempt,
    RestoredMessage,
)
from juniperward.forwarder.stored_outcomes import StoredOutcome
from juniperward.net.http_status import HttpStatus
from juniperward.scheduler.events import EndpointPhase, Outcome

# Classes by their names in the recordings. A renamed class changes these tables, but no recording.
EVENTS: dict[str, type] = {
    "Replayed": JournalReplayed,
    "MessageReceived": MessageReceived,
    "MessageAccepted": MessageAccepted,
    "Answered": AttemptAnswered,
    "ProbeFinished": HealthCheckAnswered,
    "EndpointsUpdated": EndpointsUpdated,
    "WatchLost": WatchLost,
    "Moved": DiscoveryAddressChanged,
    "NotificationAcknowledged": NotificationAcknowledged,
    "ModuleTimer": SchedulerTimerFired,
    "TimeUp": DeadlineReached,
    "CancelDue": CancellationTimerFired,
    "Stop": ShutdownRequested,
    "ControlRequested": ControlRequested,
    "WithdrawResult": BatchItemWithdrawn,
    "AttemptCancelled": AttemptCancelled,
    "Call": Message,
    "Worker": Endpoint,
    "End": ItemOutcome,
    "Restored": RestoredMessage,
    "AttemptRecord": RecordedAttempt,
    "OutcomeNotification": OutcomeNotification,
    "Request": Request,
}
EFFECTS: dict[type, str] = {
    AcceptMessage: "AcceptMessage",
    ReplyToClient: "Reply",
    AppendRecord: "Append",
    StartAttempt: "StartAttempt",
    StartHealthCheck: "StartProbe",
    CancelAttempt: "CancelAttempt",
    WithdrawFromBatch: "WithdrawFromBatch",
    SetEndpointDraining: "SetDraining",
    ForgetEndpoint: "ForgetWorker",
    PauseRoute: "HoldUntil",
    StartWatch: "WatchFrom",
    SwitchDiscovery: "MoveTo",
    SendNotifications: "Notify",
    SetTimer: "Wake",
    WriteLog: "LogLine",
    SendControlReply: "SendControlReply",
    DrainClients: "CloseConnections",
    BeginShutdown: "EndProcess",
    StoreDeadLetter: "Keep",
    RecordRedriveOutcome: "Remember",
    AcceptedRecord: "Accepted",
    AttemptStartedRecord: "AttemptStarted",
    AttemptFinishedRecord: "AttemptFinished",
    OutcomeDecidedRecord: "OutcomeDecided",
    CompletedRecord: "Completed",
    BatchItem: "BatchItem",
    PastAttempt: "Tried",
    RedriveOutcomes: "Fates",
    RedriveOutcomeRow: "FateRow",
}
ENUMS: dict[str, type[Enum]] = {
    "Outcome": Outcome,
    "Phase": EndpointPhase,
    "Progress": AttemptProgress,
    "Verb": Verb,
}
# Bodies of control replies that are the same in each run, as they have no counters, process ids or times.
REPRODUCIBLE_BODIES = (RedriveOutcomes,)

_EVENT_NAMES = {kind: name for name, kind in EVENTS.items()}
_ENUM_NAMES = {kind: name for name, kind in ENUMS.items()}


def decode(value: Any) -> Any:
    """Return the event, or part of an event, that a JSON value encodes.

    The value has the class name of the version that recorded it, and the fields by position.
    """
    if isinstance(value, list):
        return tuple(decode(item) for item in value)
    if not isinstance(value, dict):
        return value
    ((name, content),) = value.items()
    if name == "bytes":
        return bytes.fromhex(content)
    if name == "float":
        return float(content)
    if name in ENUMS:
        return ENUMS[name](content)
    return EVENTS[name](*(decode(item) for item in content))


def encode(value: Any) -> Any:
    """Return the JSON value for an event, an effect or a part of one."""
    if isinstance(value, Answer) and not isinstance(value.body, REPRODUCIBLE_BODIES):
        return {"Answer": [value.id, type(value.body).__name__]}
    if isinstance(value, WriteLog):
        return {"LogLine": [_recorded_text(value)]}
    if isinstance(value, Enum):
        return _encode_enum(value)
    if isinstance(value, tuple | list):
        return [encode(item) for item in value]
    if is_dataclass(value):
        kind = type(value)
        name = EFFECTS.get(kind) or _EVENT_NAMES.get(kind) or kind.__name__
        return {name: [encode(getattr(value, f.name)) for f in fields(value)]}
    return _encode_scalar(value)


def _encode_enum(value: Enum) -> Any:
    """Return an enum's JSON value; the recordings have some enums as their plain values."""
    if isinstance(value, RedriveState | StoredOutcome | HttpStatus):
        return value.value
    return {_ENUM_NAMES[type(value)]: value.value}


def _recorded_text(log_line: WriteLog) -> str:
    """Return the text that the recording version logged for a line."""
    values = dict(log_line.fields)
    match log_line.event:
        case "destination ejected":
            return f"destination {values['destination']} ejected: {values['reason']}"
        case "destination recovered":
            return f"destination {values['destination']} recovered: warming up"
        case _:
            return f"control: {values['verb']}"


def _encode_scalar(value: Any) -> Any:
    if isinstance(value, bytes):
        return {"bytes": value.hex()}
    if isinstance(value, float) and not math.isfinite(value):
        return {"float": repr(value)}
    return value


def digest(effects: list[Any]) -> str:
    """Return the CRC-32 of a round's encoded effects, in hexadecimal."""
    return f"{zlib.crc32(repr(encode(effects)).encode()):08x}"
