"""Baselines without a limit of their own: no retry, endpoints in turn, the endpoint with the least in flight."""

from __future__ import annotations

from juniperward.scheduler.events import AttemptFinished, Outcome
from juniperward.simulation.policies.baseline import Baseline, DestinationQueue

FAILURES_THAT_OPEN = 5  # a circuit breaker, in a row
CIRCUIT_OPEN_S = 2.0


class NoRetry(Baseline):
    """One attempt for each message, in the order of arrival."""

    retries = False


class RoundRobin(Baseline):
    """Endpoints in turn, retries with backoff."""


class LeastOutstanding(Baseline):
    """The endpoint with the fewest attempts in flight, behind a circuit breaker."""

    def choose_endpoint(self, destination: DestinationQueue, /) -> int | None:
        """Return the endpoint with the least in flight."""
        in_flight = destination.in_flight
        by_load = sorted(destination.endpoints, key=lambda number: (in_flight.get(number, 0), number))
        return by_load[0] if by_load else None

    def observe(self, destination: DestinationQueue, event: AttemptFinished, /) -> None:
        """Open the circuit after several failures in a row."""
        if event.outcome is Outcome.OK:
            destination.consecutive_failures = 0
        elif event.outcome is not Outcome.OVERLOADED:
            destination.consecutive_failures += 1
            if destination.consecutive_failures >= FAILURES_THAT_OPEN:
                destination.circuit_open_until = self.now + CIRCUIT_OPEN_S
                destination.consecutive_failures = (
                    FAILURES_THAT_OPEN - 1
                )  # half open: one more opens it again
