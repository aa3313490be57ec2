"""Baselines without a limit of their own: no retry, endpoints in turn, the endpoint with the least in flight."""

from __future__ import annotations

from juniperward.scheduler.events import AttemptFinished, Outcome
from juniperward.simulation.policies.baseline import Baseline, DestinationQueue

FAILURES_THAT_OPEN = 5  # a circuit breaker, in a row
OPEN_S = 2.0


class NoRetry(Baseline):
    """One try for each message, in the order of arrival."""

    keeps_on = False


class RoundRobin(Baseline):
    """Endpoints in turn, retries with backoff."""


class LeastOutstanding(Baseline):
    """The endpoint with the fewest attempts in flight, behind a circuit breaker."""

    def choose(self, destination: DestinationQueue, /) -> int | None:
        """Return the endpoint with the least in flight."""
        out = destination.out
        return min(destination.endpoints, key=lambda endpoint: (out.get(endpoint, 0), endpoint), default=None)

    def learn(self, destination: DestinationQueue, event: AttemptFinished, /) -> None:
        """Open the breaker after several failures in a row."""
        if event.outcome is Outcome.OK:
            destination.fails = 0
        elif event.outcome is not Outcome.OVERLOADED:
            destination.fails += 1
            if destination.fails >= FAILURES_THAT_OPEN:
                destination.open_until = self.now + OPEN_S
                destination.fails = FAILURES_THAT_OPEN - 1  # half open: one more failure opens it again
