"""The endpoint list: the watch on discovery, its updates, and endpoints that were removed.

Called by scheduling where the scheduler polls, and by the reducer with what discovery sent. Each update goes to the
scheduler as `EndpointListUpdated`.
"""

from __future__ import annotations

import math

from juniperward.forwarder.effects import ForgetEndpoint, SetEndpointDraining, StartWatch, SwitchDiscovery
from juniperward.forwarder.events import EndpointsUpdated, WatchLost
from juniperward.forwarder.model import Endpoint
from juniperward.forwarder.reducer.round import Round
from juniperward.forwarder.telemetry import increment
from juniperward.scheduler.events import EndpointEntry, EndpointListUpdated, EndpointPhase, ListScope

EMPTY_DESTINATION_RETENTION_S = 60.0  # for which a destination without endpoints is still known


class EndpointList:
    """Owns the directory of endpoints."""

    def __init__(self, round_: Round) -> None:
        """Begin without endpoints."""
        self._round = round_

    def watch(self) -> None:
        """Start a watch, unless one is started; discovery serves one at a time."""
        directory = self._round.state.directory
        if not directory.watching:
            directory.watching = True
            self._round.emit(StartWatch(directory.version, directory.epoch))

    def address_changed(self, address: tuple[str, int]) -> None:
        """Watch at another address; updates of the old watch, of a lower epoch, are ignored from now on."""
        directory = self._round.state.directory
        directory.epoch += 1
        directory.watching = False
        self._round.emit(SwitchDiscovery(address, directory.epoch))
        self.watch()

    def watch_lost(self, event: WatchLost) -> None:
        """Have the scheduler poll again."""
        directory = self._round.state.directory
        if event.epoch != directory.epoch:
            return
        increment("watches_lost")
        directory.watching = False
        if event.established:  # no failure of one poll after another: the scheduler polls again soon
            self._round.notify_scheduler(EndpointListUpdated(ListScope.DELTA))
        self._round.notify_scheduler(EndpointListUpdated(ListScope.FAILED))

    def updated(self, event: EndpointsUpdated) -> None:
        """Apply an update of the present watch, or the cached list of the configuration."""
        if event.cached or event.epoch == self._round.state.directory.epoch:
            self._apply(event)
        if event.cached:
            # Where lists are pushed they come over a watch only, also before the scheduler polls.
            self.watch()

    def _apply(self, event: EndpointsUpdated) -> None:
        directory = self._round.state.directory
        directory.version = event.version
        if not event.cached:
            directory.updated_at = self._round.now
        increment("endpoint_list_updates")
        entries = tuple(self._apply_entry(endpoint) for endpoint in event.endpoints)
        if event.full:
            named = {entry.endpoint for entry in entries}
            missing = [number for number in directory.endpoints if number not in named]
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
        """Drop removed endpoints without attempts, and their destinations: a process runs for months."""
        directory = self._round.state.directory
        busy = {attempt.endpoint for attempt in self._round.state.attempts_in_flight.values()}
        listed = {
            e.destination for number, e in directory.endpoints.items() if number not in directory.removed
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
