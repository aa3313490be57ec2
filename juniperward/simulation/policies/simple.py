"""Baselines without a limit on load: no retry, round robin, and fewest outstanding attempts."""

from __future__ import annotations

from juniperward.scheduler.events import AttemptFinished, Outcome
from juniperward.simulation.policies.baseline import Baseline, DestinationQueue

CIRCUIT_OPEN_FAILURE_COUNT = 5  # This many consecutive failures open the circuit breaker.
CIRCUIT_OPEN_DURATION_S = 2.0


class NoRetry(Baseline):
    """Makes one attempt for each message, in the order of arrival."""

    retries = False


class RoundRobin(Baseline):
    """Uses the endpoints in turn, and retries with backoff."""


class LeastOutstanding(Baseline):
    """Uses the endpoint with the fewest attempts in flight, behind a circuit breaker per destination."""

    def choose_endpoint(self, destination: DestinationQueue, /) -> int | None:
        """Return the endpoint with the fewest attempts in flight, or None if there are no endpoints."""
        in_flight = destination.in_flight
        by_load = sorted(destination.endpoints, key=lambda number: (in_flight.get(number, 0), number))
        return by_load[0] if by_load else None

    def observe(self, destination: DestinationQueue, event: AttemptFinished, /) -> None:
        """Open the circuit after CIRCUIT_OPEN_FAILURE_COUNT consecutive failures."""
        if event.outcome is Outcome.OK:
            destination.consecutive_failures = 0
        elif event.outcome is not Outcome.OVERLOADED:
            destination.consecutive_failures += 1
            if destination.consecutive_failures >= CIRCUIT_OPEN_FAILURE_COUNT:
                destination.circuit_open_until = self.now + CIRCUIT_OPEN_DURATION_S
                # Half-open afterwards: one more failure opens the circuit again.
                destination.consecutive_failures = CIRCUIT_OPEN_FAILURE_COUNT - 1
