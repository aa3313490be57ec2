"""Baselines that limit what a destination gets: by concurrency or by rate."""

from __future__ import annotations

import math

from juniperward.scheduler.events import AttemptFinished, Outcome
from juniperward.simulation.policies.baseline import Baseline, DestinationQueue

MAX_LIMIT = 256.0  # attempts in flight
CUT_PAUSE_S = 0.1  # between two cuts
RATE_WITHOUT_LIST = 1000.0  # attempts a second, where the list gives no rate
LEAST_LATENCY_S = 1e-6


class AdditiveIncrease(Baseline):
    """A concurrency limit a destination: one more for each limit's worth of answers, half at a rejection."""

    def admits(self, destination: DestinationQueue, /) -> bool:
        """Return whether the limit has room."""
        return destination.calls < destination.limit

    def learn(self, destination: DestinationQueue, event: AttemptFinished, /) -> None:
        """Move the limit."""
        if event.outcome is Outcome.OK:
            destination.limit = min(destination.limit + 1 / max(destination.limit, 1.0), MAX_LIMIT)
        elif event.outcome is not Outcome.NOT_SENT and self.now - destination.cut_at > CUT_PAUSE_S:
            destination.limit, destination.cut_at = max(destination.limit / 2, 1.0), self.now


class Gradient(AdditiveIncrease):
    """The limit follows the ratio of the least latency to the present one, with room for the root of it."""

    def learn(self, destination: DestinationQueue, event: AttemptFinished, /) -> None:
        """Move the limit towards what the latency allows."""
        if event.outcome is Outcome.OK:
            destination.least = min(destination.least * 1.001, event.latency_s)
            ratio = 2.0 * destination.least / max(event.latency_s, LEAST_LATENCY_S)
            gradient = max(0.5, min(1.0, ratio))
            wanted = destination.limit * gradient + math.sqrt(destination.limit)
            destination.limit = min(max(0.9 * destination.limit + 0.1 * wanted, 1.0), MAX_LIMIT)
        elif self.now - destination.cut_at > CUT_PAUSE_S:
            destination.limit, destination.cut_at = max(destination.limit * 0.8, 1.0), self.now


class TokenBucket(Baseline):
    """A queue a destination, attempts at its share of the listed rate, a second's worth at once at the most."""

    def _rate(self, destination: DestinationQueue) -> float:
        if not destination.rating:
            return RATE_WITHOUT_LIST
        return destination.rating / max(self.set.instances, 1)

    def admits(self, destination: DestinationQueue, /) -> bool:
        """Return whether a token is there."""
        rate = self._rate(destination)
        refilled = destination.tokens + (self.now - destination.tokens_at) * rate
        destination.tokens = min(refilled, max(rate, 1.0))
        destination.tokens_at = self.now
        return destination.tokens >= 1.0

    def ready_at(self, destination: DestinationQueue, /) -> float:
        """Return when the next token will be there."""
        return destination.tokens_at + max(1.0 - destination.tokens, 0.0) / self._rate(destination)

    def spent(self, destination: DestinationQueue, /) -> None:
        """Take a token."""
        destination.tokens -= 1.0
