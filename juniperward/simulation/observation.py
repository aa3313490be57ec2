"""What an oracle sees of the world: the true state of destinations now, and the calls that are on their way to them.

One `Observation` a world: all forwarders' oracles share it, as they would have to agree on who calls. Made by the
world for a policy whose `observation_type` it is; it is called by `policies.oracle` before each attempt.
"""

from __future__ import annotations

from collections import deque

from juniperward.simulation.model import ONE_WAY_S, SimulatedDestination
from juniperward.simulation.recovery_budget import OVERLOAD_SPAN_S
from juniperward.simulation.scenario import FaultKind
from juniperward.simulation.world import World

UNAVAILABLE = (FaultKind.DOWN, FaultKind.UNRESPONSIVE, FaultKind.REJECTING, FaultKind.FAILING)
ROUND_TRIP_S = 2 * ONE_WAY_S
RATE_SPAN_S = 1.0


class Observation:
    """The present of one world."""

    def __init__(self, world: World) -> None:
        """Look at this world."""
        self._world = world
        self._to_endpoint: dict[int, deque[float]] = {}  # by number: until when calls count as on their way
        self._to_destination: dict[int, deque[float]] = {}

    def reserve(self, number: int) -> bool:
        """Return whether a call sent now to this endpoint would be served at once, and well; if so, count it in."""
        now = self._world.now
        endpoint = self._world.endpoints[number]
        destination = self._world.destinations[endpoint.destination - 1]
        if destination.fault in UNAVAILABLE or destination.crashed:
            return False
        to_endpoint = self._on_their_way(self._to_endpoint, endpoint.number)
        to_destination = self._on_their_way(self._to_destination, destination.number)
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
        """Return how many messages one call to an endpoint carries."""
        endpoint = self._world.endpoints[number]
        return self._world.destinations[endpoint.destination - 1].group.batch_size

    def _on_their_way(self, calls: dict[int, deque[float]], number: int) -> deque[float]:
        arrivals = calls.setdefault(number, deque())
        while arrivals and arrivals[0] <= self._world.now:  # it has come, and is counted where it is
            arrivals.popleft()
        return arrivals


def _over_rate_limit(destination: SimulatedDestination, now: float, on_their_way: int) -> bool:
    """Return whether one more call would be over a destination's rate limit."""
    rate_limit_per_s = destination.group.rate_limit_per_s
    if not rate_limit_per_s:
        return False
    recent = sum(at > now - RATE_SPAN_S + ROUND_TRIP_S for at in destination.accepted_at)
    return recent + on_their_way + 1 > rate_limit_per_s


def _would_crash(destination: SimulatedDestination, now: float, on_their_way: int) -> bool:
    """Return whether one more call would crash a destination in slow start."""
    since_return_s = destination.since_return_s(now)
    if since_return_s is None:
        return False
    recent = sum(now - at <= OVERLOAD_SPAN_S for at in destination.reached_at) + on_their_way
    return recent + 1 > destination.budget.expected_calls(since_return_s)
