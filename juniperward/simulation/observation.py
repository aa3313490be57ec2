"""What an oracle sees of the world: the true state of partners now, and the calls that are on their way to them."""

from __future__ import annotations

from collections import deque

from juniperward.simulation.model import ONE_WAY_S, Partner
from juniperward.simulation.recovery_budget import OVERLOAD_MULTIPLE, OVERLOAD_SPAN_S, WARM_UP_S
from juniperward.simulation.world import World

CLOSED = ("DOWN", "SILENT", "SHUT", "FAILING")
ROUND_TRIP_S = 2 * ONE_WAY_S


class Observation:
    """One for each world: all forwarders' oracles share it, as they would have to agree on who calls."""

    def __init__(self, world: World) -> None:
        """Look at this world."""
        self._world = world
        self._coming: dict[int, deque[float]] = {}  # until when calls count as on their way; partners below 0

    def might_serve(self, number: int) -> bool:
        """Return whether a call that goes now would be served at once, and well; if so, its place is held for it."""
        now, endpoint = self._world.now, self._world.endpoints[number]
        partner = self._world.partners[endpoint.partner - 1]
        if partner.mode in CLOSED or partner.fallen:
            return False
        to_endpoint, to_partner = self._on_their_way(endpoint.number), self._on_their_way(-partner.number)
        if endpoint.busy + len(endpoint.queue) + len(to_endpoint) >= partner.spec.at_once:
            return False
        if self._over_limit(partner, now, len(to_partner)) or _would_fall(partner, now, len(to_partner)):
            return False
        to_endpoint.append(now + ROUND_TRIP_S)
        to_partner.append(now + ROUND_TRIP_S)
        return True

    @staticmethod
    def _over_limit(partner: Partner, now: float, coming: int) -> bool:
        recent = sum(at > now - 1.0 + ROUND_TRIP_S for at in partner.span)
        return bool(partner.spec.rate and recent + coming + 1 > partner.spec.rate)

    def _on_their_way(self, number: int) -> deque[float]:
        found = self._coming.setdefault(number, deque())
        while found and found[0] <= self._world.now:  # it has come, and is counted where it is
            found.popleft()
        return found

    def batch(self, number: int) -> int:
        """Return how many messages one call to an endpoint carries."""
        return self._world.partners[self._world.endpoints[number].partner - 1].batch


def _would_fall(partner: Partner, now: float, coming: int) -> bool:
    """Return whether one more call would push a cold partner over."""
    if partner.back_at is None or now - partner.back_at >= WARM_UP_S:
        return False
    pushed = sum(now - at <= OVERLOAD_SPAN_S for at in partner.pushes) + coming
    return pushed + 1 > OVERLOAD_MULTIPLE * partner.present(now) * OVERLOAD_SPAN_S
