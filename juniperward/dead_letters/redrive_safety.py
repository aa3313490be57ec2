"""Whether a dead letter may be redriven, until when, and why or why not. Pure: no clock, no I/O.

All times are Unix time by the clock of the machine on which the message was given up. Callers pass a `now` from
`clock.latest_possible_time`: a window that has closed must not open again because a clock was set back.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum

from juniperward.dead_letters.dead_letter import DeadLetter, Status
from juniperward.scheduler.settings import Idempotency

WINDOW_MARGIN_S = 0.25  # kept clear of a deduplication window's end
MIN_WINDOW_LEFT_S = 0.5  # that must be left of a window for a redrive to begin


class RedriveSafety(StrEnum):
    """What is known of whether a message has taken effect."""

    SAFE = "safe"  # no attempt may have executed, or a repeat does no harm
    IN_WINDOW = "in window"  # one may have executed, and the destination still drops a repeat
    UNCERTAIN = "uncertain"  # one may have executed, and a repeat could take effect a second time


@dataclass(frozen=True, slots=True)
class RedriveAssessment:
    """Whether a message may be redriven, until when (Unix time), and why or why not."""

    kind: RedriveSafety
    is_allowed: bool
    until: float = math.inf  # a redrive must be over by then
    why: str = ""


@dataclass(frozen=True, slots=True)
class _Safety:
    """The part of a judgement that depends on the message and the time alone."""

    kind: RedriveSafety
    until: float
    why: str


def assess_redrive(
    message: DeadLetter, now: float, current_endpoints: frozenset[str] | None, clock_allowance_s: float
) -> RedriveAssessment:
    """Return the judgement on one message.

    `listed` are the endpoints that its destination has now (None: not known), `clock_allowance_s` is how far the
    clocks that took part may differ.
    """
    safety = _safety(message, now, clock_allowance_s)
    reason = _why_not(message, safety, current_endpoints)
    return RedriveAssessment(safety.kind, not reason, safety.until, reason or safety.why)


def _why_not(message: DeadLetter, safety: _Safety, current_endpoints: frozenset[str] | None) -> str:
    """Return what forbids a redrive; empty where nothing does."""
    if message.status is not Status.STORED:
        return f"it is {message.status.value}"
    if safety.kind is RedriveSafety.UNCERTAIN:
        return safety.why
    if current_endpoints is None:
        return "no forwarder has reported the endpoints of its destination"
    if not current_endpoints:
        return f"destination {message.destination} has no endpoints"
    same_destination = not message.endpoints or not current_endpoints.isdisjoint(message.endpoints)
    if not same_destination and not message.destination_confirmed:
        return (
            f"no endpoint of destination {message.destination} is left from then:"
            " the number may mean another destination now"
        )
    return ""


def _safety(message: DeadLetter, now: float, clock_allowance_s: float) -> _Safety:
    if message.idempotency is Idempotency.IDEMPOTENT:
        return _Safety(RedriveSafety.SAFE, math.inf, "its class may be repeated")
    if message.executed_at is None:
        return _Safety(RedriveSafety.SAFE, math.inf, "no attempt may have run")
    has_key = message.idempotency is Idempotency.IDEMPOTENCY_KEY and message.idempotency_key is not None
    if not has_key:
        why = "an attempt may have run, and its class may not be repeated"
        return _Safety(RedriveSafety.UNCERTAIN, 0.0, why)
    return _safety_in_window(message.executed_at, message.deduplication_window_s, now, clock_allowance_s)


def _safety_in_window(executed_at: float, window_s: float, now: float, clock_allowance_s: float) -> _Safety:
    """Judge by the window in which the destination drops a repeat with the same idempotency key."""
    if now < executed_at - clock_allowance_s:
        why = "an attempt may have run, at a time that this clock has not reached"
        return _Safety(RedriveSafety.UNCERTAIN, 0.0, why)
    until = executed_at + window_s - WINDOW_MARGIN_S - clock_allowance_s
    if now + MIN_WINDOW_LEFT_S >= until:
        why = "an attempt may have run, and its destination may not drop a repeat any more"
        return _Safety(RedriveSafety.UNCERTAIN, until, why)
    why = f"an attempt may have run; a repeat is dropped for {until - now:.1f} s more"
    return _Safety(RedriveSafety.IN_WINDOW, until, why)
