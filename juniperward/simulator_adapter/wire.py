"""The simulator's wire: its events as the scheduler's, and the scheduler's actions as its answers.

A wire object has a single key, its name, with an object of its fields. Times are in milliseconds. Unknown fields
are passed over.
"""

from __future__ import annotations

from typing import Any

from juniperward.scheduler.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    DestinationEjected,
    DestinationRecovered,
    EjectionReason,
    Fail,
    PollEndpointList,
    Reject,
    SetTimer,
    StartAttempt,
    StartHealthCheck,
)
from juniperward.scheduler.events import (
    AnswerStarted,
    AttemptFinished,
    EndpointEntry,
    EndpointListUpdated,
    EndpointPhase,
    Event,
    HealthCheckFinished,
    ListScope,
    MessageAdmitted,
    MessageWithdrawn,
    Outcome,
    TimerFired,
)

Body = dict[str, Any]
Catalogs = dict[int, tuple[EndpointEntry, ...]]  # numbered lists of endpoints

S_PER_MS = 0.001
NO_SLOT_NOTE = 1  # in `WaitMs` of an attempt that was not sent: all slots were in use
EJECTION_NOTES = {
    EjectionReason.FAILING: "failing",
    EjectionReason.UNRESPONSIVE: "silent",
    EjectionReason.REJECTS_ALL: "refuses all",
}
ANSWER_NAMES: dict[type[Action], str] = {
    StartAttempt: "Send",
    SetTimer: "After",
    Reject: "NotNow",
    Fail: "DropRequest",
    CancelAttempt: "Withdraw",
    StartHealthCheck: "Touch",
    CloseIdleConnections: "Release",
    PollEndpointList: "StreamChanges",
    DestinationEjected: "Emit",
    DestinationRecovered: "Emit",
}


class WireError(Exception):
    """The input does not follow the wire; the text says where and how."""


class BadLineError(WireError):
    """A line cannot be used; it is named by its number."""

    def __init__(self, number: int, cause: Exception) -> None:
        """Describe the line and what is wrong with it."""
        super().__init__(f"line {number}: {type(cause).__name__}: {cause}")


class MisplacedLineError(WireError):
    """A line stands where it must not."""

    def __init__(self, name: str, inside_batch: bool) -> None:
        """Describe the line and its place."""
        super().__init__(f"{name} {'inside' if inside_batch else 'outside'} a batch")


class NotAnObjectError(WireError):
    """A line is not an object with a single key, whose value is an object."""

    def __init__(self) -> None:
        """Describe what is asked for."""
        super().__init__("not an object with a single key and its fields")


class TruncatedBatchError(WireError):
    """The input ended inside a batch."""

    def __init__(self) -> None:
        """Describe the end."""
        super().__init__("the input ended inside a batch")


class UnknownEventError(WireError):
    """An event has a name that the wire does not know."""

    def __init__(self, name: str) -> None:
        """Describe the event."""
        super().__init__(f"unknown event {name!r}")


def decode_catalog(body: Body) -> tuple[EndpointEntry, ...]:
    """Return the entries of a `Catalog`."""
    return tuple(
        EndpointEntry(
            host["Endpoint"],
            host["Cell"],
            EndpointPhase(host["Phase"]),
            host.get("Flavor") or 0,
            host.get("Locality") or 0,
            host.get("Rating") or 0.0,
        )
        for host in body["Hosts"]
    )


def decode_event(name: str, body: Body, catalogs: Catalogs) -> Event | None:
    """Return the event of one line, None for one that concerns no scheduler; raises WireError."""
    event: Event | None = None
    match name:
        case "Query":
            event = _decode_query(body)
        case "Settled":
            event = _decode_settled(body)
        case "TickDue":
            event = TimerFired(body["Nonce"])
        case "Fleet":
            scope = ListScope(body["Scope"])
            event = EndpointListUpdated(scope, () if scope is ListScope.FAILED else catalogs[body["Slot"]])
        case "Withdrawn":
            event = MessageWithdrawn(body["Corr"])
        case "Accepted":
            event = AnswerStarted(body["Corr"], body["SendNo"], body["Endpoint"])
        case "Probed":
            event = _decode_probed(body)
        case "Whisper":
            pass  # forwarders share nothing
        case _:
            raise UnknownEventError(name)
    return event


def _decode_query(body: Body) -> MessageAdmitted:
    return MessageAdmitted(
        message=body["Corr"],
        class_index=body["Qos"],
        destination=body["ToExchange"],
        time_left_s=body["BudgetMs"] * S_PER_MS,
        tenant=body.get("Customer") or 0,
        ordering_key=body.get("Entity"),
        size_hint_s=(body.get("SizeHintMs") or 0.0) * S_PER_MS,
    )


def _decode_settled(body: Body) -> AttemptFinished:
    report = body.get("Report") or {}
    outcome, note = Outcome(body["Status"]), body.get("WaitMs") or 0
    return AttemptFinished(
        message=body["Corr"],
        attempt=body["SendNo"],
        endpoint=body["Endpoint"],
        outcome=outcome,
        latency_s=body["DelaySeenMs"] * S_PER_MS,
        message_ended=bool(body.get("Ended")),
        retry_after_s=note * S_PER_MS if outcome is Outcome.OVERLOADED else 0.0,
        no_slot_free=outcome is Outcome.NOT_SENT and note == NO_SLOT_NOTE,
        capacity_left=report.get("x0"),
        reported_limit_per_s=report.get("x1"),
    )


def _decode_probed(body: Body) -> HealthCheckFinished:
    report = body.get("Report") or {}
    return HealthCheckFinished(
        endpoint=body["Endpoint"],
        outcome=Outcome(body["Status"]),
        latency_s=body["DelaySeenMs"] * S_PER_MS,
        capacity_left=report.get("x0"),
        reported_limit_per_s=report.get("x1"),
    )


def encode_action(instance: str, action: Action) -> Body:
    """Return the answer of an instance that asks for an action."""
    name, fields = ANSWER_NAMES[type(action)], _encode_fields(action)
    return {name: {"Who": instance, **fields}}


def _encode_fields(action: Action) -> Body:
    fields: Body = {}
    match action:
        case StartAttempt(message=message, endpoint=endpoint, timeout_s=timeout_s):
            fields = {"Corr": message, "Endpoint": endpoint, "TimeoutMs": timeout_s / S_PER_MS}
        case SetTimer(delay_s=delay_s, token=token):
            fields = {"OffsetMs": delay_s / S_PER_MS, "Nonce": token}
        case Reject(message=message, retry_after_s=retry_after_s):
            fields = {"Corr": message, "RetryInMs": retry_after_s / S_PER_MS}
        case Fail(message=message):
            fields = {"Corr": message}
        case CancelAttempt(message=message, attempt=attempt):
            fields = {"Corr": message, "SendNo": attempt}
        case StartHealthCheck(endpoint=endpoint) | CloseIdleConnections(endpoint=endpoint):
            fields = {"Endpoint": endpoint}
        case PollEndpointList():
            fields = {"On": True}
        case DestinationEjected(destination=destination, reason=reason):
            fields = {"NoteText": f"destination {destination}: {EJECTION_NOTES[reason]}, held to trials"}
        case DestinationRecovered(destination=destination):
            fields = {"NoteText": f"destination {destination}: answers again, warming up"}
    return fields
