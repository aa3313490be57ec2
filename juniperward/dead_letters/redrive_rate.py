"""How fast dead letters are redriven to a destination: additive increase, multiplicative decrease. Pure.

`now` is any clock in seconds that does not jump. The redriver adjusts the rate once a round and spends its tokens.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, replace

PROBE_INTERVAL_S = 3.0  # between redrives that try a failing destination which no live message tries
RATE_LIFETIME_S = 10.0  # after which a rate says nothing of now, and begins anew
MAX_ADJUSTMENT_INTERVAL_S = 1.0  # of time that one adjustment counts
DECREASE_INTERVAL_S = 1.0  # least time between two decreases, and from one to the next increase
HEALTH_FAILING, HEALTH_WARMING_UP = "failing", "warming"  # healths with which a destination gets no redrives
REASON_NO_ANSWER = "no instance answers"
REASON_PROBE = "it is failing; one goes to try it"
REASON_RETRY_AFTER = "its Retry-After is not over"
REASON_LIVE_TRAFFIC = "live messages wait for it"


@dataclass(frozen=True, slots=True)
class RedriveRateLimits:
    """How fast redrives go to a destination, from all instances together; rates in messages a second."""

    initial_per_s: float = 1.0  # once the forwarders call the destination well
    increase_per_s: float = 1.0  # added for each second without a rejection
    decrease_factor: float = 0.5  # x at a rejection or a Retry-After
    max_per_s: float = 50.0
    fraction_of_rate_limit: float = 0.25  # of the rate that the endpoint list gives
    fraction_of_slots: float = 0.25  # of the fleet's slots that redrives may have in flight


@dataclass(frozen=True, slots=True)
class DestinationView:
    """What one instance reports of a destination."""

    health: str
    retry_after_s: float
    rate_limited: bool  # it rejected messages lately
    rate_limit_per_s: float  # by the endpoint list; 0: none
    waiting: int  # live messages
    slots: int


@dataclass(frozen=True, slots=True)
class RedriveRate:
    """The rate to one destination; `tokens` are redrives that may begin now, `reason` says why at this rate."""

    per_s: float = 0.0
    adjusted_at: float = 0.0
    tokens: float = 0.0
    decreased_at: float = -math.inf
    probed_at: float = -math.inf
    reason: str = "not adjusted yet"


def adjust_rate(
    rate: RedriveRate, views: Sequence[DestinationView], rejected: bool, now: float, limits: RedriveRateLimits
) -> RedriveRate:
    """Return the rate after a look at all instances; `rejected` says that a redrive was, since the last look.

    A destination that any instance reports as failing or warming up gets nothing: what the forwarders allow it is
    for live traffic. A Retry-After that any instance got binds all. Live messages that wait for it go first.
    """
    if now - rate.adjusted_at > RATE_LIFETIME_S:
        rate = RedriveRate(decreased_at=rate.decreased_at, probed_at=rate.probed_at)
    if not views:
        return _stopped(rate, now, REASON_NO_ANSWER)
    unhealthy = [view.health for view in views if view.health in (HEALTH_FAILING, HEALTH_WARMING_UP)]
    if unhealthy:
        return _unhealthy(rate, views, unhealthy, now)
    if any(view.retry_after_s > 0 for view in views):
        decreased = rate.per_s * limits.decrease_factor
        return RedriveRate(decreased, now, 0.0, now, rate.probed_at, REASON_RETRY_AFTER)
    rate_limited = rejected or any(view.rate_limited for view in views)
    adjusted = _increased_or_decreased(rate, rate_limited, _max_per_s(views, limits), now, limits)
    if sum(view.waiting for view in views) > sum(view.slots for view in views):
        return replace(adjusted, tokens=0.0, reason=REASON_LIVE_TRAFFIC)
    tokens = min(rate.tokens + adjusted.per_s * _elapsed_s(rate, now), max(adjusted.per_s, 1.0))
    return replace(adjusted, tokens=tokens, reason=f"{adjusted.per_s:.1f} a second")


def _stopped(rate: RedriveRate, now: float, reason: str) -> RedriveRate:
    return RedriveRate(0.0, now, 0.0, rate.decreased_at, rate.probed_at, reason)


def _unhealthy(
    rate: RedriveRate, views: Sequence[DestinationView], unhealthy: Sequence[str], now: float
) -> RedriveRate:
    """Stop, but for one redrive at a time to a failing destination that nothing else tries.

    There are no health checks: with no live message for it, an outage would never be seen to end. When the
    forwarders make the attempt is theirs to decide.
    """
    untried = HEALTH_WARMING_UP not in unhealthy and all(view.waiting == 0 for view in views)
    if untried and now - rate.probed_at >= PROBE_INTERVAL_S:
        return RedriveRate(0.0, now, 1.0, rate.decreased_at, now, REASON_PROBE)
    return _stopped(rate, now, f"it is {unhealthy[0]}")


def _max_per_s(views: Sequence[DestinationView], limits: RedriveRateLimits) -> float:
    rate_limit_per_s = max(view.rate_limit_per_s for view in views)
    if rate_limit_per_s <= 0:
        return limits.max_per_s
    return min(limits.max_per_s, limits.fraction_of_rate_limit * rate_limit_per_s)


def _increased_or_decreased(
    rate: RedriveRate, rate_limited: bool, max_per_s: float, now: float, limits: RedriveRateLimits
) -> RedriveRate:
    per_s = max(rate.per_s, min(limits.initial_per_s, max_per_s))
    decreased_at = rate.decreased_at
    if now - decreased_at >= DECREASE_INTERVAL_S:
        if rate_limited:
            per_s *= limits.decrease_factor
            decreased_at = now
        else:
            per_s += limits.increase_per_s * _elapsed_s(rate, now)
    return RedriveRate(min(per_s, max_per_s), now, 0.0, decreased_at, rate.probed_at)


def _elapsed_s(rate: RedriveRate, now: float) -> float:
    """Return the seconds since the rate was adjusted, as far as one adjustment counts them; 0 for a new rate."""
    return min(max(now - rate.adjusted_at, 0.0), MAX_ADJUSTMENT_INTERVAL_S) if rate.adjusted_at else 0.0


def consume_tokens(rate: RedriveRate, count: int) -> RedriveRate:
    """Return the rate after so many redrives."""
    return replace(rate, tokens=rate.tokens - count)


def max_in_flight(slots: int, limits: RedriveRateLimits) -> int:
    """Return how many redrives may be in flight in the whole fleet; at least one."""
    return max(int(limits.fraction_of_slots * slots), 1)
