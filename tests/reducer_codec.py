"""The reducer's events and effects as plain JSON values, for recorded rounds.

Names are those of the version that recorded them; `EVENTS`, `EFFECTS` and `WORDS` map the code's names to them, so
that a rename in the code changes this page and no recording. Fields are told in their order.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import fields, is_dataclass
from enum import Enum
from typing import Any

from juniperward.control.protocol import Answer, Fates, Request, Verb
from juniperward.forwarder import messages as m
from juniperward.scheduler.events import EndpointPhase, Outcome

EVENTS: dict[str, type] = {
    "Replayed": m.Replayed,
    "MessageReceived": m.MessageReceived,
    "MessageAccepted": m.MessageAccepted,
    "Answered": m.Answered,
    "ProbeFinished": m.ProbeFinished,
    "EndpointsUpdated": m.EndpointsUpdated,
    "WatchLost": m.WatchLost,
    "Moved": m.Moved,
    "NotificationAcknowledged": m.NotificationAcknowledged,
    "ModuleTimer": m.ModuleTimer,
    "TimeUp": m.TimeUp,
    "CancelDue": m.CancelDue,
    "Stop": m.Stop,
    "ControlRequested": m.ControlRequested,
    "WithdrawResult": m.WithdrawResult,
    "AttemptCancelled": m.AttemptCancelled,
    "Call": m.Call,
    "Worker": m.Worker,
    "End": m.End,
    "Restored": m.Restored,
    "AttemptRecord": m.AttemptRecord,
    "OutcomeNotification": m.OutcomeNotification,
    "Request": Request,
}
EFFECTS: dict[type, str] = {
    m.AcceptMessage: "AcceptMessage",
    m.Reply: "Reply",
    m.Append: "Append",
    m.StartAttempt: "StartAttempt",
    m.StartProbe: "StartProbe",
    m.CancelAttempt: "CancelAttempt",
    m.WithdrawFromBatch: "WithdrawFromBatch",
    m.CloseIdle: "CloseIdle",
    m.SetDraining: "SetDraining",
    m.ForgetWorker: "ForgetWorker",
    m.HoldUntil: "HoldUntil",
    m.WatchFrom: "WatchFrom",
    m.MoveTo: "MoveTo",
    m.Notify: "Notify",
    m.Wake: "Wake",
    m.LogLine: "LogLine",
    m.SendControlReply: "SendControlReply",
    m.CloseConnections: "CloseConnections",
    m.EndProcess: "EndProcess",
    m.Keep: "Keep",
    m.Remember: "Remember",
    m.Accepted: "Accepted",
    m.AttemptStarted: "AttemptStarted",
    m.AttemptFinished: "AttemptFinished",
    m.OutcomeDecided: "OutcomeDecided",
    m.Completed: "Completed",
    m.BatchItem: "BatchItem",
    m.Tried: "Tried",
}
ENUMS: dict[str, type[Enum]] = {
    "Outcome": Outcome,
    "Phase": EndpointPhase,
    "Progress": m.Progress,
    "Verb": Verb,
}
TELLS_NOTHING_OF_THE_MOMENT = (Fates,)  # bodies of control answers that hold no counters, pids and clocks

_EVENT_NAMES = {kind: name for name, kind in EVENTS.items()}
_ENUM_NAMES = {kind: name for name, kind in ENUMS.items()}


def decode(value: Any) -> Any:
    """Return the event, or the part of one, that a JSON value describes."""
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
    """Return the JSON value of an event, an effect or a part of one."""
    if isinstance(value, Answer) and not isinstance(value.body, TELLS_NOTHING_OF_THE_MOMENT):
        return {"Answer": [value.id, type(value.body).__name__]}
    if isinstance(value, Enum):
        return {_ENUM_NAMES[type(value)]: value.value}
    if isinstance(value, tuple | list):
        return [encode(item) for item in value]
    if is_dataclass(value):
        kind = type(value)
        name = EFFECTS.get(kind) or _EVENT_NAMES.get(kind) or kind.__name__
        return {name: [encode(getattr(value, f.name)) for f in fields(value)]}
    return _encode_scalar(value)


def _encode_scalar(value: Any) -> Any:
    if isinstance(value, bytes):
        return {"bytes": value.hex()}
    if isinstance(value, float) and not math.isfinite(value):
        return {"float": repr(value)}
    return value


def digest(effects: list[Any]) -> str:
    """Return the digest of a round's effects."""
    return f"{zlib.crc32(repr(encode(effects)).encode()):08x}"
