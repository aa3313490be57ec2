"""Writes the reducer's events and effects to standard error, one per line, if ROUTER_TRACE is set.

The log limits its rate, but the trace is complete, as `juniperward simulate traces` counts its lines over all
forwarders of a fleet. A line is `juniperward: trace: TIME KEYWORD FIELD ...`, with TIME in Unix time. The keywords
are a stable format: benchmarks/traces.py also reads the traces of older versions.
"""

from __future__ import annotations

import contextlib
import sys
import time
from collections.abc import Iterable

from juniperward.forwarder.effects import (
    AcceptMessage,
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
    """Writes the events that the loop passes to the reducer, and the effects that it gets back."""

    def __init__(self, unix_offset_s: float) -> None:
        """Start a trace; `unix_offset_s` is Unix time minus monotonic time."""
        self._unix_offset_s = unix_offset_s
        # By request: the destination and the id of the message that was received and not answered yet.
        self._unanswered: dict[int, str] = {}

    def write_events(self, now: float, events: Iterable[Event]) -> None:
        """Write the events of a round."""
        self._write(now, [line for event in events for line in self._event_lines(event)])

    def _event_lines(self, event: Event) -> list[str]:
        lines: list[str] = []
        match event:
            case MessageReceived(request=request, message=message):
                self._unanswered[request] = f"{message.destination} {message.id}"
                lines = [f"handed {self._unanswered[request]} {message.time_left_s:.3f}"]
            case MessageAccepted(client_answered=False, message=number):
                lines = [f"untold {number}"]
            case NotificationAcknowledged(ids=ids):
                lines = [f"noticed {name}" for name in ids]
            case EndpointsUpdated(endpoints=endpoints):
                lines = [_endpoint_line(endpoint) for endpoint in endpoints]
            case AttemptAnswered() | DeadlineReached() | BatchItemWithdrawn() | AttemptCancelled():
                lines = _attempt_lines(event)
        return lines

    def write_effects(self, now: float, effects: Iterable[Effect]) -> None:
        """Write the effects of a round."""
        self._write(now, [line for effect in effects for line in self._effect_lines(effect)])

    def _effect_lines(self, effect: Effect) -> list[str]:
        lines: list[str] = []
        match effect:
            case AcceptMessage(request=request):
                lines = [f"taken {self._unanswered.pop(request, '? ?')}"]
            case ReplyToClient(request=request, status=status, retry_after_s=retry_after_s):
                lines = [f"refused {self._unanswered.pop(request, '? ?')} {status} {retry_after_s:.3f}"]
            case StartAttempt(items=items):
                ids = ",".join(item.content.id for item in items)
                address = f"{effect.host}:{effect.port}"
                lines = [f"call {effect.number} {effect.destination} {address} {len(items)} {ids}"]
            case SendNotifications(notifications=notifications):
                lines = [_notification_line(notification) for notification in notifications]
            case WriteLog(event=event, fields=fields):
                lines = [f"say {format_event(event, dict(fields))}"]
        return lines

    def write_answer(self, attempt_number: int, status: int, close: bool, headers: str) -> None:
        """Write the status and the headers of an endpoint's answer."""
        how = f"fresh {status} {'closes' if close else 'stays'} {headers}"
        self._write(time.monotonic(), [f"answer {attempt_number} {how}"])

    def _write(self, now: float, lines: list[str]) -> None:
        if lines:
            text = "".join(f"{PREFIX} {now + self._unix_offset_s:.3f} {line}\n" for line in lines)
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
