"""Rate control of redrives to a destination: additive increase, multiplicative decrease. Pure.

`now` is a monotonic clock in seconds. The redriver adjusts a rate once per round and then consumes its
tokens.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, replace

# A failing destination without live messages gets one redrive per interval as a probe.
PROBE_INTERVAL_S = 3.0
# A rate that was not adjusted for longer starts again at its initial value.
RATE_LIFETIME_S = 10.0
# A longer time between two adjustments adds no further tokens and no further increase.
MAX_ADJUSTMENT_INTERVAL_S = 1.0
# After a decrease, the rate is neither decreased nor increased for this time.
MIN_DECREASE_INTERVAL_S = 1.0
HEALTH_FAILING, HEALTH_WARMING_UP = "failing", "warming"  # redrives are suspended in these states
REASON_NO_ANSWER = "no forwarder responds"
REASON_PROBE = "the destination is failing; sending one redrive as a probe"
REASON_RETRY_AFTER = "waiting for the destination's Retry-After"
REASON_LIVE_TRAFFIC = "live messages have priority"


@dataclass(frozen=True, slots=True)
class RedriveRateLimits:
    """Limits on the redrives to a destination from the whole fleet; rates are in messages per second.

    Attributes:
        initial_per_s: the rate with which redrives to a healthy destination begin.
        increase_per_s: added to the rate for each second without a rejection.
        decrease_factor: multiplies the rate at a rejection or a Retry-After.
        max_per_s: the upper limit of the rate.
        fraction_of_rate_limit: the part of the destination's own rate limit that redrives may use.
        fraction_of_slots: the part of the fleet's slots that redrives may have in flight.
    """

    initial_per_s: float = 1.0
    increase_per_s: float = 1.0
    decrease_factor: float = 0.5
    max_per_s: float = 50.0
    fraction_of_rate_limit: float = 0.25
    fraction_of_slots: float = 0.25


@dataclass(frozen=True, slots=True)
class DestinationView:
    """What one forwarder reports about a destination.

    Attributes:
        health: the destination's health as the forwarder names it.
        retry_after_s: time until the destination's Retry-After is over; 0 if none applies.
        rate_limited: the destination has recently rejected messages.
        rate_limit_per_s: the destination's rate limit according to the endpoint list; 0 if it has none.
        waiting: how many live messages wait for the destination.
        slots: how many attempts the forwarder may have in flight to it.
    """

    health: str
    retry_after_s: float
    rate_limited: bool
    rate_limit_per_s: float
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class RedriveRate:
    """The state of the rate control for one destination; times are by the caller's monotonic clock.

    Attributes:
        per_s: redrives per second.
        adjusted_at: time of the latest adjustment; 0 before the first one.
        tokens: how many redrives may begin now.
        decreased_at: time of the latest decrease.
        probed_at: time of the latest redrive that was allowed as a probe.
        reason: explains the rate to an operator.
    """

    per_s: float = 0.0
    adjusted_at: float = 0.0
    tokens: float = 0.0
    decreased_at: float = -math.inf
    probed_at: float = -math.inf
    reason: str = "not adjusted yet"


def adjust_rate(
    rate: RedriveRate, views: Sequence[DestinationView], rejected: bool, now: float, limits: RedriveRateLimits
) -> RedriveRate:
    """Return the rate adjusted to the forwarders' reports; `rejected` means that one rejected a redrive.

    A destination that any forwarder reports as failing or warming up gets no redrives except probes: its
    reduced capacity is for live traffic. A Retry-After that any forwarder has received applies to the whole
    fleet. Waiting live messages have priority over redrives.
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
    return replace(adjusted, tokens=tokens, reason=f"{adjusted.per_s:.1f} per second")


def _stopped(rate: RedriveRate, now: float, reason: str) -> RedriveRate:
    return RedriveRate(0.0, now, 0.0, rate.decreased_at, rate.probed_at, reason)


def _unhealthy(
    rate: RedriveRate, views: Sequence[DestinationView], unhealthy: Sequence[str], now: float
) -> RedriveRate:
    """Return a stopped rate, with one token for a probe if the destination gets no other traffic.

    Forwarders may run no health checks, so without live messages only a probe detects the end of an outage.
    """
    needs_probe = HEALTH_WARMING_UP not in unhealthy and all(view.waiting == 0 for view in views)
    if needs_probe and now - rate.probed_at >= PROBE_INTERVAL_S:
        return RedriveRate(0.0, now, 1.0, rate.decreased_at, now, REASON_PROBE)
    return _stopped(rate, now, f"the destination is {unhealthy[0]}")


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
    if now - decreased_at >= MIN_DECREASE_INTERVAL_S:
        if rate_limited:
            per_s *= limits.decrease_factor
            decreased_at = now
        else:
            per_s += limits.increase_per_s * _elapsed_s(rate, now)
    return RedriveRate(min(per_s, max_per_s), now, 0.0, decreased_at, rate.probed_at)


def _elapsed_s(rate: RedriveRate, now: float) -> float:
    """Return the capped number of seconds since the latest adjustment; 0 for a new rate."""
    return min(max(now - rate.adjusted_at, 0.0), MAX_ADJUSTMENT_INTERVAL_S) if rate.adjusted_at else 0.0


def consume_tokens(rate: RedriveRate, count: int) -> RedriveRate:
    """Return the rate after `count` redrives have begun."""
    return replace(rate, tokens=rate.tokens - count)


def max_in_flight(slots: int, limits: RedriveRateLimits) -> int:
    """Return how many redrives the whole fleet may have in flight; at least one."""
    return max(int(limits.fraction_of_slots * slots), 1)
