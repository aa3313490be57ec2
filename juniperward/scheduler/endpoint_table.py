"""The endpoints that the list names, and their destinations; idle_expiry.py decides what is removed."""

from __future__ import annotations

import math

from juniperward.scheduler.events import EndpointEntry, EndpointListUpdated, EndpointPhase, ListScope
from juniperward.scheduler.records import Destination, Endpoint
from juniperward.scheduler.round import Round
from juniperward.scheduler.route_state import RouteState


class EndpointTable:
    """Destinations and endpoints by number."""

    def __init__(self, round_: Round) -> None:
        """Begin without any."""
        self._round = round_
        self.destinations: dict[int, Destination] = {}
        self.endpoints: dict[int, Endpoint] = {}
        self.listed_rate_total = 0.0  # sum of the destinations' listed rates

    def destination(self, number: int) -> Destination:
        """Return a destination, which is added if it is new."""
        return self.destinations.setdefault(number, Destination(number))

    def apply(self, update: EndpointListUpdated) -> list[Destination]:
        """Apply an update of the list; returns the destinations of its entries, in their order."""
        if update.scope is not ListScope.DELTA:
            named = {entry.endpoint for entry in update.entries}
            for endpoint in self.endpoints.values():
                if endpoint.id not in named:
                    endpoint.set_phase(EndpointPhase.REMOVED)
        return [self._apply_entry(entry) for entry in update.entries]

    def remove_endpoint(self, endpoint: Endpoint) -> None:
        """Remove an endpoint, from its destination too."""
        del self.endpoints[endpoint.id]
        endpoint.destination.remove(endpoint)

    def remove_destination(self, destination: Destination) -> None:
        """Remove a destination."""
        self.listed_rate_total -= destination.listed_rate
        del self.destinations[destination.id]

    def _apply_entry(self, entry: EndpointEntry) -> Destination:
        destination = self.destination(entry.destination)
        endpoint = self.endpoints.get(entry.endpoint)
        if endpoint is None:
            endpoint = self._create(entry, destination)
        endpoint.set_phase(entry.phase)
        if self._round.settings.rates_listed and 0 < entry.listed_rate < math.inf:
            self.listed_rate_total += entry.listed_rate - destination.listed_rate
            destination.listed_rate = entry.listed_rate
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
