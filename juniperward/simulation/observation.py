"""The oracle policy's view of the simulation: the state of the destinations, and the calls in transit.

The oracles of all forwarders in a world share one `Observation`, so that together they stay within the
capacity of a destination.
"""

from __future__ import annotations

from collections import deque

from juniperward.simulation.model import MEAN_ONE_WAY_S, SimulatedDestination
from juniperward.simulation.recovery_budget import OVERLOAD_SPAN_S
from juniperward.simulation.scenario import FaultKind
from juniperward.simulation.world import World

UNAVAILABLE_FAULTS = (FaultKind.DOWN, FaultKind.UNRESPONSIVE, FaultKind.REJECTING, FaultKind.FAILING)
ROUND_TRIP_S = 2 * MEAN_ONE_WAY_S
RATE_LIMIT_WINDOW_S = 1.0


class Observation:
    """The current state of one world's destinations, with the calls reserved for them."""

    def __init__(self, world: World) -> None:
        """Observe `world`, with no calls in transit."""
        self._world = world
        # By endpoint and destination number: the times until which reserved calls count as in transit.
        self._arrivals_by_endpoint: dict[int, deque[float]] = {}
        self._arrivals_by_destination: dict[int, deque[float]] = {}

    def reserve(self, number: int) -> bool:
        """Return whether the endpoint would serve a call sent now at once; if so, count it as in transit."""
        now = self._world.now
        endpoint = self._world.endpoints[number]
        destination = self._world.destinations[endpoint.destination - 1]
        if destination.fault in UNAVAILABLE_FAULTS or destination.crashed:
            return False
        to_endpoint = self._calls_in_transit(self._arrivals_by_endpoint, endpoint.number)
        to_destination = self._calls_in_transit(self._arrivals_by_destination, destination.number)
        occupied = endpoint.in_service + len(endpoint.queue) + len(to_endpoint)
        if occupied >= destination.group.concurrency:
            return False
        if _over_rate_limit(destination, now, len(to_destination)):
            return False
        if _would_crash(destination, now, len(to_destination)):
            return False
        to_endpoint.append(now + ROUND_TRIP_S)
        to_destination.append(now + ROUND_TRIP_S)
        return True

    def batch_size(self, number: int) -> int:
        """Return the maximum number of messages in one call to endpoint `number`."""
        endpoint = self._world.endpoints[number]
        return self._world.destinations[endpoint.destination - 1].group.batch_size

    def _calls_in_transit(self, calls: dict[int, deque[float]], number: int) -> deque[float]:
        arrivals = calls.setdefault(number, deque())
        while arrivals and arrivals[0] <= self._world.now:  # arrived calls are counted by the destination
            arrivals.popleft()
        return arrivals


def _over_rate_limit(destination: SimulatedDestination, now: float, in_transit: int) -> bool:
    """Return whether one more call would exceed the rate limit of `destination`."""
    rate_limit_per_s = destination.group.rate_limit_per_s
    if not rate_limit_per_s:
        return False
    recent = sum(at > now - RATE_LIMIT_WINDOW_S + ROUND_TRIP_S for at in destination.accepted_at)
    return recent + in_transit + 1 > rate_limit_per_s


def _would_crash(destination: SimulatedDestination, now: float, in_transit: int) -> bool:
    """Return whether `destination` is in slow start and one more call could crash it."""
    since_recovery_s = destination.since_recovery_s(now)
    if since_recovery_s is None:
        return False
    recent = sum(now - at <= OVERLOAD_SPAN_S for at in destination.reached_at) + in_transit
    return recent + 1 > destination.budget.expected_calls(since_recovery_s)
