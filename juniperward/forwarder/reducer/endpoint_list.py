"""The endpoint list: the watch on discovery, the updates it delivers, and removed endpoints.

Called by `Scheduling` when the scheduler polls, and by the reducer with discovery's events. Each update is
passed to the scheduler as `EndpointListUpdated`.
"""

from __future__ import annotations

import math

from juniperward.forwarder.effects import ForgetEndpoint, SetEndpointDraining, StartWatch, SwitchDiscovery
from juniperward.forwarder.events import EndpointsUpdated, WatchLost
from juniperward.forwarder.model import Endpoint
from juniperward.forwarder.reducer.round import Round
from juniperward.forwarder.telemetry import increment
from juniperward.scheduler.events import EndpointEntry, EndpointListUpdated, EndpointPhase, ListScope

# A destination whose last endpoint was removed keeps accepting messages for this long.
EMPTY_DESTINATION_RETENTION_S = 60.0


class EndpointList:
    """Applies discovery's updates; owns the directory of endpoints."""

    def __init__(self, round_: Round) -> None:
        """Start without endpoints and without a watch."""
        self._round = round_

    def watch(self) -> None:
        """Start a watch unless one is active; discovery serves a forwarder one watch at a time."""
        directory = self._round.state.directory
        if not directory.watching:
            directory.watching = True
            self._round.emit(StartWatch(directory.version, directory.epoch))

    def address_changed(self, address: tuple[str, int]) -> None:
        """Start a watch at a new address; the old watch has a lower epoch, so its updates are ignored."""
        directory = self._round.state.directory
        directory.epoch += 1
        directory.watching = False
        self._round.emit(SwitchDiscovery(address, directory.epoch))
        self.watch()

    def watch_lost(self, event: WatchLost) -> None:
        """Report the loss of the watch to the scheduler, which polls again."""
        directory = self._round.state.directory
        if event.epoch != directory.epoch:
            return
        increment("watches_lost")
        directory.watching = False
        if event.established:
            # An empty update first resets the scheduler's poll backoff: the watch worked until now.
            self._round.notify_scheduler(EndpointListUpdated(ListScope.DELTA))
        self._round.notify_scheduler(EndpointListUpdated(ListScope.FAILED))

    def updated(self, event: EndpointsUpdated) -> None:
        """Apply an update of the current watch, or the cached list of the configuration."""
        if event.cached or event.epoch == self._round.state.directory.epoch:
            self._apply(event)
        if event.cached:
            # Discovery sends updates over a watch only, so the first one starts before the scheduler polls.
            self.watch()

    def _apply(self, event: EndpointsUpdated) -> None:
        directory = self._round.state.directory
        directory.version = event.version
        if not event.cached:
            directory.updated_at = self._round.now
        increment("endpoint_list_updates")
        entries = tuple(self._apply_entry(endpoint) for endpoint in event.endpoints)
        if event.full:
            listed = {entry.endpoint for entry in entries}
            missing = [number for number in directory.endpoints if number not in listed]
            directory.removed.update(missing)
            self._round.emit(*(SetEndpointDraining(number, True) for number in missing))
        scope = ListScope.FULL if event.full else ListScope.DELTA
        if event.cached:
            scope = ListScope.CACHED
        self._round.notify_scheduler(EndpointListUpdated(scope, entries))
        self._drop_removed()

    def _apply_entry(self, endpoint: Endpoint) -> EndpointEntry:
        directory = self._round.state.directory
        number = directory.number(endpoint.id)
        directory.endpoints[number] = endpoint
        if endpoint.phase is EndpointPhase.REMOVED:
            directory.removed.add(number)
        else:
            directory.removed.discard(number)
        self._round.emit(SetEndpointDraining(number, endpoint.phase is not EndpointPhase.READY))
        return EndpointEntry(
            number,
            endpoint.destination,
            endpoint.phase,
            endpoint.kind,
            endpoint.zone,
            endpoint.listed_rate_per_s,
        )

    def _drop_removed(self) -> None:
        """Drop removed endpoints without attempts, and expired destinations, to bound memory."""
        directory = self._round.state.directory
        busy = {attempt.endpoint for attempt in self._round.state.attempts_in_flight.values()}
        listed = {
            endpoint.destination
            for number, endpoint in directory.endpoints.items()
            if number not in directory.removed
        }
        for number in sorted(directory.removed - busy):
            directory.removed.discard(number)
            del directory.numbers[directory.endpoints.pop(number).id]
            self._round.emit(ForgetEndpoint(number))
        for destination in listed:
            directory.destinations[destination] = math.inf
        for destination, until in list(directory.destinations.items()):
            if destination in listed:
                continue
            if until <= self._round.now:
                del directory.destinations[destination]
            elif until == math.inf:
                directory.destinations[destination] = self._round.now + EMPTY_DESTINATION_RETENTION_S
