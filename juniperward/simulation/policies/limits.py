"""Baselines that limit what a destination gets: by concurrency or by rate."""

from __future__ import annotations

import math

from juniperward.scheduler.events import AttemptFinished, Outcome
from juniperward.simulation.policies.baseline import Baseline, DestinationQueue

MAX_LIMIT = 256.0  # attempts in flight
CUT_PAUSE_S = 0.1  # between two cuts of a limit
REJECTION_CUT = 0.5
GRADIENT_CUT = 0.8
LEAST_GRADIENT = 0.5
LATENCY_TOLERANCE = 2.0  # times the least latency, up to which a limit is not lowered
LEAST_LATENCY_GROWTH = 1.001  # a success lets an old minimum fade
RETAINED, ADOPTED = 0.9, 0.1  # of the limit and of the desired one, at each success
RATE_WITHOUT_LIST = 1000.0  # attempts a second, where the list gives no rate
LEAST_LATENCY_S = 1e-6


class AdditiveIncrease(Baseline):
    """A concurrency limit a destination: one more for each limit's worth of answers, half at a rejection."""

    def admits(self, destination: DestinationQueue, /) -> bool:
        """Return whether fewer attempts are in flight than the limit."""
        return destination.total_in_flight < destination.concurrency_limit

    def observe(self, destination: DestinationQueue, event: AttemptFinished, /) -> None:
        """Raise the limit at a success, cut it at a failure."""
        limit = destination.concurrency_limit
        if event.outcome is Outcome.OK:
            destination.concurrency_limit = min(limit + 1 / max(limit, 1.0), MAX_LIMIT)
        elif event.outcome is not Outcome.NOT_SENT:
            self._cut(destination, REJECTION_CUT)

    def _cut(self, destination: DestinationQueue, factor: float) -> None:
        """Lower the limit, once in CUT_PAUSE_S."""
        if self.now - destination.limit_cut_s > CUT_PAUSE_S:
            destination.concurrency_limit = max(destination.concurrency_limit * factor, 1.0)
            destination.limit_cut_s = self.now


class Gradient(AdditiveIncrease):
    """The limit follows the ratio of the least latency to the present one, with the root of it to spare."""

    def observe(self, destination: DestinationQueue, event: AttemptFinished, /) -> None:
        """Move the limit towards what the latency allows."""
        if event.outcome is not Outcome.OK:
            self._cut(destination, GRADIENT_CUT)
            return
        least_s = min(destination.least_latency_s * LEAST_LATENCY_GROWTH, event.latency_s)
        destination.least_latency_s = least_s
        ratio = LATENCY_TOLERANCE * least_s / max(event.latency_s, LEAST_LATENCY_S)
        gradient = max(LEAST_GRADIENT, min(1.0, ratio))
        limit = destination.concurrency_limit
        desired = limit * gradient + math.sqrt(limit)
        smoothed = RETAINED * limit + ADOPTED * desired
        destination.concurrency_limit = min(max(smoothed, 1.0), MAX_LIMIT)


class TokenBucket(Baseline):
    """A queue a destination, attempts at its fraction of the listed rate, a second's tokens at the most."""

    def _rate(self, destination: DestinationQueue) -> float:
        if not destination.listed_rate_per_s:
            return RATE_WITHOUT_LIST
        return destination.listed_rate_per_s / max(self.settings.instances, 1)

    def admits(self, destination: DestinationQueue, /) -> bool:
        """Return whether a token is there, after a refill."""
        rate = self._rate(destination)
        refilled = destination.tokens + (self.now - destination.tokens_refilled_s) * rate
        destination.tokens = min(refilled, max(rate, 1.0))
        destination.tokens_refilled_s = self.now
        return destination.tokens >= 1.0

    def admits_at(self, destination: DestinationQueue, /) -> float:
        """Return when the next token will be there."""
        missing = max(1.0 - destination.tokens, 0.0)
        return destination.tokens_refilled_s + missing / self._rate(destination)

    def on_start(self, destination: DestinationQueue, /) -> None:
        """Take a token."""
        destination.tokens -= 1.0
