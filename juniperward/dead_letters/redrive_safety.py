"""Decides whether and until when a dead letter may be redriven, with the reason. Pure: no clock, no I/O.

All times are Unix time by the clock of the machine on which the message was given up. Callers take `now` from
`clock.latest_possible_time`, so that a clock that is set back does not reopen a deduplication window.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum

from juniperward.dead_letters.dead_letter import DeadLetter, Status
from juniperward.scheduler.settings import Idempotency

# A redrive must have ended this long before the end of the deduplication window.
WINDOW_MARGIN_S = 0.25
# No redrive begins with less time left.
MIN_WINDOW_LEFT_S = 0.5


class RedriveSafety(StrEnum):
    """Whether a redrive could make a message take effect twice."""

    SAFE = "safe"  # No attempt can have executed, or the message is idempotent.
    IN_WINDOW = "in window"  # An attempt may have executed; the destination still drops repeats.
    UNCERTAIN = "uncertain"  # An attempt may have executed; a repeat could take effect again.


@dataclass(frozen=True, slots=True)
class RedriveAssessment:
    """Whether a message may be redriven.

    Attributes:
        safety: whether a redrive could duplicate the message's effect.
        is_allowed: a redrive may begin now.
        deadline: Unix time by which a redrive must have ended.
        reason: explains the decision to an operator.
    """

    safety: RedriveSafety
    is_allowed: bool
    deadline: float = math.inf
    reason: str = ""


@dataclass(frozen=True, slots=True)
class _Safety:
    """The part of an assessment that depends only on the message and the time."""

    safety: RedriveSafety
    deadline: float
    reason: str


def assess_redrive(
    message: DeadLetter, now: float, current_endpoints: frozenset[str] | None, clock_allowance_s: float
) -> RedriveAssessment:
    """Return whether a message may be redriven at `now`.

    `current_endpoints` are the endpoints now listed for its destination (None: not known).
    `clock_allowance_s` is the largest difference between the clocks of the machines involved.
    """
    assessed = _safety(message, now, clock_allowance_s)
    objection = _objection(message, assessed, current_endpoints)
    return RedriveAssessment(assessed.safety, not objection, assessed.deadline, objection or assessed.reason)


def _objection(message: DeadLetter, assessed: _Safety, current_endpoints: frozenset[str] | None) -> str:
    """Return why a redrive is forbidden; empty if it is allowed."""
    if message.status is not Status.STORED:
        return f"the message is {message.status.value}"
    if assessed.safety is RedriveSafety.UNCERTAIN:
        return assessed.reason
    if current_endpoints is None:
        return "no forwarder has reported the endpoints of its destination"
    if not current_endpoints:
        return f"destination {message.destination} has no endpoints"
    same_destination = not message.endpoints or not current_endpoints.isdisjoint(message.endpoints)
    if not same_destination and not message.destination_confirmed:
        return (
            f"destination {message.destination} has none of its former endpoints:"
            " the number may now denote another destination"
        )
    return ""


def _safety(message: DeadLetter, now: float, clock_allowance_s: float) -> _Safety:
    if message.idempotency is Idempotency.IDEMPOTENT:
        return _Safety(RedriveSafety.SAFE, math.inf, "messages of its class are idempotent")
    if message.executed_at is None:
        return _Safety(RedriveSafety.SAFE, math.inf, "no attempt can have executed")
    has_key = message.idempotency is Idempotency.IDEMPOTENCY_KEY and message.idempotency_key is not None
    if not has_key:
        reason = "an attempt may have executed, and the destination cannot deduplicate a repeat"
        return _Safety(RedriveSafety.UNCERTAIN, 0.0, reason)
    return _safety_in_window(message.executed_at, message.deduplication_window_s, now, clock_allowance_s)


def _safety_in_window(executed_at: float, window_s: float, now: float, clock_allowance_s: float) -> _Safety:
    """Assess a message whose repeats the destination drops by idempotency key for a limited time."""
    if now < executed_at - clock_allowance_s:
        reason = "an attempt may have executed at a time in the future of this machine's clock"
        return _Safety(RedriveSafety.UNCERTAIN, 0.0, reason)
    deadline = executed_at + window_s - WINDOW_MARGIN_S - clock_allowance_s
    if now + MIN_WINDOW_LEFT_S >= deadline:
        reason = "an attempt may have executed, and the deduplication window is over or about to end"
        return _Safety(RedriveSafety.UNCERTAIN, deadline, reason)
    reason = f"an attempt may have executed; the destination drops repeats for {deadline - now:.1f} s more"
    return _Safety(RedriveSafety.IN_WINDOW, deadline, reason)
