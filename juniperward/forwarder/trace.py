"""The trace: the reducer's events and effects, a line each on standard error; off unless ROUTER_TRACE is set.

The log is for people and leaves lines out; a trace leaves out none: `juniperward simulate traces` counts its lines
over all forwarders of a fleet. A line is `juniperward: trace: TIME KEYWORD FIELD ...`, TIME in Unix time, which all
forwarders of a fleet share. The keywords are a format that benchmarks/traces.py reads, also of older versions.
"""

from __future__ import annotations

import contextlib
import sys
import time
from collections.abc import Iterable

from juniperward.forwarder.effects import (
    AcceptMessage,
    CloseIdleConnections,
    Effect,
    ReplyToClient,
    SendNotifications,
    StartAttempt,
    WriteLog,
)
from juniperward.forwarder.events import (
    AttemptAnswered,
    AttemptCancelled,
    BatchItemWithdrawn,
    DeadlineReached,
    EndpointsUpdated,
    Event,
    MessageAccepted,
    MessageReceived,
    NotificationAcknowledged,
)
from juniperward.forwarder.model import Endpoint, OutcomeNotification
from juniperward.forwarder.stored_outcomes import STORED_OUTCOMES
from juniperward.forwarder.telemetry import format_event
from juniperward.scheduler.events import EndpointPhase

PREFIX = "juniperward: trace:"
PHASE_WORDS = {
    EndpointPhase.DRAINING: "draining",
    EndpointPhase.READY: "ready",
    EndpointPhase.REMOVED: "gone",
}


class Trace:
    """Writes the events and effects that pass between the loop and the reducer."""

    def __init__(self, to_unix: float) -> None:
        """Trace in Unix time; `to_unix` is added to monotonic time."""
        self._to_unix = to_unix
        self._waiting: dict[int, str] = {}  # by client: destination and id of its message

    def events(self, now: float, events: Iterable[Event]) -> None:
        """Write the events of a round."""
        self._write(now, [line for event in events for line in self._event_lines(event)])

    def _event_lines(self, event: Event) -> list[str]:
        lines: list[str] = []
        match event:
            case MessageReceived(client=client, message=message):
                self._waiting[client] = f"{message.destination} {message.id}"
                lines = [f"handed {self._waiting[client]} {message.time_left_s:.3f}"]
            case MessageAccepted(client_answered=False, message=number):
                lines = [f"untold {number}"]
            case NotificationAcknowledged(ids=ids):
                lines = [f"noticed {name}" for name in ids]
            case EndpointsUpdated(endpoints=endpoints):
                lines = [_endpoint_line(endpoint) for endpoint in endpoints]
            case AttemptAnswered() | DeadlineReached() | BatchItemWithdrawn() | AttemptCancelled():
                lines = _attempt_lines(event)
        return lines

    def effects(self, now: float, effects: Iterable[Effect]) -> None:
        """Write the effects of a round."""
        self._write(now, [line for effect in effects for line in self._effect_lines(effect)])

    def _effect_lines(self, effect: Effect) -> list[str]:
        lines: list[str] = []
        match effect:
            case AcceptMessage(client=client):
                lines = [f"taken {self._waiting.pop(client, '? ?')}"]
            case ReplyToClient(client=client, status=status, retry_after_s=retry_after_s):
                lines = [f"refused {self._waiting.pop(client, '? ?')} {status} {retry_after_s:.3f}"]
            case StartAttempt(items=items):
                ids = ",".join(item.content.id for item in items)
                address = f"{effect.host}:{effect.port}"
                lines = [f"call {effect.number} {effect.destination} {address} {len(items)} {ids}"]
            case SendNotifications(notifications=notifications):
                lines = [_notification_line(notification) for notification in notifications]
            case CloseIdleConnections(endpoint=endpoint):
                lines = [f"close {endpoint}"]
            case WriteLog(event=event, fields=fields):
                lines = [f"say {format_event(event, dict(fields))}"]
        return lines

    def answered(self, attempt_number: int, fresh: bool, status: int, close: bool, headers: str) -> None:
        """Write an endpoint's answer as it was read; `fresh`: on a new connection."""
        how = f"{'fresh' if fresh else 'kept'} {status} {'closes' if close else 'stays'} {headers}"
        self._write(time.monotonic(), [f"answer {attempt_number} {how}"])

    def _write(self, now: float, lines: list[str]) -> None:
        if lines:
            text = "".join(f"{PREFIX} {now + self._to_unix:.3f} {line}\n" for line in lines)
            with contextlib.suppress(OSError, ValueError):
                print(text, end="", file=sys.stderr, flush=True)


def _attempt_lines(
    event: AttemptAnswered | DeadlineReached | BatchItemWithdrawn | AttemptCancelled,
) -> list[str]:
    number = event.attempt_number
    match event:
        case AttemptAnswered(outcomes=outcomes):
            return [
                f"ended {number} {STORED_OUTCOMES[item.outcome]} {item.retry_after_s:.3f}"
                for item in outcomes
            ]
        case DeadlineReached():
            return [f"up {number}"]
        case BatchItemWithdrawn(progress=progress):
            return [f"struck {number} {progress.value}"]
        case AttemptCancelled(progress=progress):
            return [f"off {number} {progress.value}"]


def _endpoint_line(endpoint: Endpoint) -> str:
    phase = PHASE_WORDS[endpoint.phase]
    return f"listed {endpoint.id} {endpoint.destination} {endpoint.kind} {phase} {endpoint.listed_rate_per_s}"


def _notification_line(notification: OutcomeNotification) -> str:
    retry_after_s = notification.retry_after_s
    return f"given_up {notification.id} {'never' if retry_after_s is None else f'{retry_after_s:.3f}'}"
