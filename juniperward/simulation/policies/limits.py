"""Baselines that limit the load on a destination by concurrency or by rate."""

from __future__ import annotations

import math

from juniperward.scheduler.events import AttemptFinished, Outcome
from juniperward.simulation.policies.baseline import Baseline, DestinationQueue

MAX_CONCURRENCY_LIMIT = 256.0
MIN_REDUCTION_INTERVAL_S = 0.1
FAILURE_REDUCTION_FACTOR = 0.5
GRADIENT_REDUCTION_FACTOR = 0.8
MIN_GRADIENT = 0.5
# A latency below this multiple of the minimum does not lower the limit.
LATENCY_TOLERANCE_FACTOR = 2.0
# Each success raises the minimum latency by this factor, so that old minima expire.
MIN_LATENCY_GROWTH_FACTOR = 1.001
# A new limit is the weighted sum of the old and the desired limit.
RETAINED_FRACTION, ADOPTED_FRACTION = 0.9, 0.1
DEFAULT_RATE_PER_S = 1000.0  # The rate of a destination without a rate limit in the endpoint list.
MIN_LATENCY_S = 1e-6


class AdditiveIncrease(Baseline):
    """A concurrency limit for each destination, with additive increase and multiplicative decrease (AIMD).

    The limit grows by one for as many successes as the limit allows in flight, and is halved at a failure.
    """

    def admits(self, destination: DestinationQueue, /) -> bool:
        """Return whether the number of attempts in flight is below the limit."""
        return destination.total_in_flight < destination.concurrency_limit

    def observe(self, destination: DestinationQueue, event: AttemptFinished, /) -> None:
        """Raise the limit after a success, reduce it after a failure."""
        limit = destination.concurrency_limit
        if event.outcome is Outcome.OK:
            destination.concurrency_limit = min(limit + 1 / max(limit, 1.0), MAX_CONCURRENCY_LIMIT)
        elif event.outcome is not Outcome.NOT_SENT:
            self._reduce_limit(destination, FAILURE_REDUCTION_FACTOR)

    def _reduce_limit(self, destination: DestinationQueue, factor: float) -> None:
        """Reduce the limit, at most once in MIN_REDUCTION_INTERVAL_S."""
        if self.now - destination.limit_reduced_s > MIN_REDUCTION_INTERVAL_S:
            destination.concurrency_limit = max(destination.concurrency_limit * factor, 1.0)
            destination.limit_reduced_s = self.now


class Gradient(AdditiveIncrease):
    """A concurrency limit that follows the ratio of the minimum latency to the current latency.

    The square root of the limit is added as headroom.
    """

    def observe(self, destination: DestinationQueue, event: AttemptFinished, /) -> None:
        """Move the limit towards the value that the latency allows; reduce it after a failure."""
        if event.outcome is not Outcome.OK:
            self._reduce_limit(destination, GRADIENT_REDUCTION_FACTOR)
            return
        min_latency_s = min(destination.min_latency_s * MIN_LATENCY_GROWTH_FACTOR, event.latency_s)
        destination.min_latency_s = min_latency_s
        ratio = LATENCY_TOLERANCE_FACTOR * min_latency_s / max(event.latency_s, MIN_LATENCY_S)
        gradient = max(MIN_GRADIENT, min(1.0, ratio))
        limit = destination.concurrency_limit
        desired = limit * gradient + math.sqrt(limit)
        smoothed = RETAINED_FRACTION * limit + ADOPTED_FRACTION * desired
        destination.concurrency_limit = min(max(smoothed, 1.0), MAX_CONCURRENCY_LIMIT)


class TokenBucket(Baseline):
    """A token bucket for each destination, filled at this forwarder's part of the listed rate.

    The bucket holds the tokens of one second, but at least one token.
    """

    def _rate(self, destination: DestinationQueue) -> float:
        if not destination.listed_rate_per_s:
            return DEFAULT_RATE_PER_S
        return destination.listed_rate_per_s / max(self.settings.instances, 1)

    def admits(self, destination: DestinationQueue, /) -> bool:
        """Refill the bucket, and return whether it has a token."""
        rate = self._rate(destination)
        refilled = destination.tokens + (self.now - destination.tokens_refilled_s) * rate
        destination.tokens = min(refilled, max(rate, 1.0))
        destination.tokens_refilled_s = self.now
        return destination.tokens >= 1.0

    def admits_at(self, destination: DestinationQueue, /) -> float:
        """Return the time at which the bucket has a token."""
        missing = max(1.0 - destination.tokens, 0.0)
        return destination.tokens_refilled_s + missing / self._rate(destination)

    def on_start(self, destination: DestinationQueue, /) -> None:
        """Take a token."""
        destination.tokens -= 1.0
