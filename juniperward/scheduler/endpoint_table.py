"""The table of endpoints that the endpoint list names, and of their destinations.

idle_expiry.py decides when entries are removed.
"""

from __future__ import annotations

import math

from juniperward.scheduler.events import EndpointEntry, EndpointListUpdated, EndpointPhase, ListScope
from juniperward.scheduler.records import Destination, Endpoint
from juniperward.scheduler.round import Round
from juniperward.scheduler.route_state import RouteState


class EndpointTable:
    """Destinations and endpoints by number.

    Attributes:
        total_listed_rate_per_s: the sum of the listed rates of all destinations.
    """

    def __init__(self, round_: Round) -> None:
        """Start with an empty table."""
        self._round = round_
        self.destinations: dict[int, Destination] = {}
        self.endpoints: dict[int, Endpoint] = {}
        self.total_listed_rate_per_s = 0.0

    def destination(self, number: int) -> Destination:
        """Return the destination with a number; it is created if it does not exist."""
        return self.destinations.setdefault(number, Destination(number))

    def apply(self, update: EndpointListUpdated) -> list[Destination]:
        """Apply an update of the endpoint list, and return the destinations of its entries in their order.

        Endpoints that a full list does not name get the phase REMOVED.
        """
        if update.scope is not ListScope.DELTA:
            named = {entry.endpoint for entry in update.entries}
            for endpoint in self.endpoints.values():
                if endpoint.id not in named:
                    endpoint.set_phase(EndpointPhase.REMOVED)
        return [self._apply_entry(entry) for entry in update.entries]

    def remove_endpoint(self, endpoint: Endpoint) -> None:
        """Remove an endpoint from the table and from its destination."""
        del self.endpoints[endpoint.id]
        endpoint.destination.remove(endpoint)

    def remove_destination(self, destination: Destination) -> None:
        """Remove a destination, and subtract its listed rate from the total."""
        self.total_listed_rate_per_s -= destination.listed_rate_per_s
        del self.destinations[destination.id]

    def _apply_entry(self, entry: EndpointEntry) -> Destination:
        destination = self.destination(entry.destination)
        endpoint = self.endpoints.get(entry.endpoint)
        if endpoint is None:
            endpoint = self._create(entry, destination)
        endpoint.set_phase(entry.phase)
        if self._round.settings.rates_listed and 0 < entry.listed_rate_per_s < math.inf:
            self.total_listed_rate_per_s += entry.listed_rate_per_s - destination.listed_rate_per_s
            destination.listed_rate_per_s = entry.listed_rate_per_s
        return destination

    def _create(self, entry: EndpointEntry, destination: Destination) -> Endpoint:
        separate = self._round.settings.kind(entry.kind).separate_routes
        endpoint = Endpoint(
            entry.endpoint,
            destination,
            RouteState() if separate else destination.shared_route,
            entry.phase,
            entry.kind,
            entry.zone,
            tie_breaker=self._round.random.random(),
        )
        self.endpoints[endpoint.id] = endpoint
        destination.add(endpoint)
        return endpoint
