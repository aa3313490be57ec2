"""Decodes the simulator's events into those of the scheduler, and encodes the scheduler's actions.

An encoded object has a single key, its name; the value is an object with its fields. Times in it are in
milliseconds. Unknown fields are ignored.
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
from juniperward.scheduler.settings_codec import S_PER_MS
from juniperward.simulator_adapter.errors import UnknownEventError

# The fields of an encoded object, or the object itself.
Fields = dict[str, Any]
# Endpoint lists by the number of their catalog.
Catalogs = dict[int, tuple[EndpointEntry, ...]]

# The `WaitMs` of an attempt that was not sent because all slots were in use.
WAIT_MS_NO_SLOT_FREE = 1
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


def decode_catalog(fields: Fields) -> tuple[EndpointEntry, ...]:
    """Return the entries of a `Catalog`, a numbered endpoint list to which `Fleet` events refer."""
    return tuple(
        EndpointEntry(
            host["Endpoint"],
            host["Cell"],
            EndpointPhase(host["Phase"]),
            host.get("Flavor") or 0,
            host.get("Locality") or 0,
            host.get("Rating") or 0.0,
        )
        for host in fields["Hosts"]
    )


def decode_event(name: str, fields: Fields, catalogs: Catalogs) -> Event | None:
    """Return the event of a line, None for one that the scheduler does not use.

    Raises UnknownEventError for an unknown name, KeyError for a missing field or catalog, and ValueError for
    an undefined enumeration value.
    """
    event: Event | None = None
    match name:
        case "Query":
            event = _decode_message(fields)
        case "Settled":
            event = _decode_attempt(fields)
        case "TickDue":
            event = TimerFired(fields["Nonce"])
        case "Fleet":
            event = _decode_endpoint_list(fields, catalogs)
        case "Withdrawn":
            event = MessageWithdrawn(fields["Corr"])
        case "Accepted":
            event = AnswerStarted(fields["Corr"], fields["SendNo"], fields["Endpoint"])
        case "Probed":
            event = _decode_health_check(fields)
        case "Whisper":
            # A message from another forwarder: the scheduler does not use them.
            pass
        case _:
            raise UnknownEventError(name)
    return event


def _decode_message(fields: Fields) -> MessageAdmitted:
    return MessageAdmitted(
        message=fields["Corr"],
        class_index=fields["Qos"],
        destination=fields["ToExchange"],
        time_left_s=fields["BudgetMs"] * S_PER_MS,
        tenant=fields.get("Customer") or 0,
        ordering_key=fields.get("Entity"),
        size_hint_s=(fields.get("SizeHintMs") or 0.0) * S_PER_MS,
    )


def _decode_attempt(fields: Fields) -> AttemptFinished:
    load_report = fields.get("Report") or {}
    outcome = Outcome(fields["Status"])
    wait_ms = fields.get("WaitMs") or 0
    return AttemptFinished(
        message=fields["Corr"],
        attempt=fields["SendNo"],
        endpoint=fields["Endpoint"],
        outcome=outcome,
        latency_s=fields["DelaySeenMs"] * S_PER_MS,
        message_ended=bool(fields.get("Ended")),
        retry_after_s=wait_ms * S_PER_MS if outcome is Outcome.OVERLOADED else 0.0,
        no_slot_free=outcome is Outcome.NOT_SENT and wait_ms == WAIT_MS_NO_SLOT_FREE,
        capacity_left=load_report.get("x0"),
        reported_limit_per_s=load_report.get("x1"),
    )


def _decode_endpoint_list(fields: Fields, catalogs: Catalogs) -> EndpointListUpdated:
    scope = ListScope(fields["Scope"])
    if scope is ListScope.FAILED:
        return EndpointListUpdated(scope)
    return EndpointListUpdated(scope, catalogs[fields["Slot"]])


def _decode_health_check(fields: Fields) -> HealthCheckFinished:
    load_report = fields.get("Report") or {}
    return HealthCheckFinished(
        endpoint=fields["Endpoint"],
        outcome=Outcome(fields["Status"]),
        latency_s=fields["DelaySeenMs"] * S_PER_MS,
        capacity_left=load_report.get("x0"),
        reported_limit_per_s=load_report.get("x1"),
    )


def encode_action(instance: str, action: Action) -> Fields:
    """Return the encoded form of an action of an instance."""
    name = ANSWER_NAMES[type(action)]
    return {name: {"Who": instance, **_encode_fields(action)}}


def _encode_fields(action: Action) -> Fields:
    fields: Fields = {}
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
