"""What is closed and forgotten in time: idle connections, and what was learned of idle destinations."""

from __future__ import annotations

from juniperward.scheduler import tuning
from juniperward.scheduler.actions import CloseIdleConnections
from juniperward.scheduler.records import Destination, Endpoint
from juniperward.scheduler.scheduler_part import SchedulerPart
from juniperward.scheduler.timers import TIME_EPSILON_S


class IdleExpiry(SchedulerPart):
    """Looks at endpoints and destinations once nothing is in flight there."""

    def call_ended(self, endpoint: Endpoint) -> None:
        """Plan what is due if the endpoint or its destination stays idle."""
        self._close_connections_later(endpoint)
        destination = endpoint.destination
        if not destination.slots and not destination.idle_check_scheduled:
            self._check_idle_later(destination)

    def prune_endpoints(self) -> None:
        """Forget endpoints that are gone, and destinations that nobody wants."""
        wanted = {message.destination.id for message in self._backlog.messages.values()}
        self._table.prune(wanted, tuning.IDLE_EXPIRY_S)

    def _close_connections_later(self, endpoint: Endpoint) -> None:
        """Idle connections of a large fleet fill a table: together they keep them as long as one alone would."""
        if self._large_fleet and not endpoint.in_flight:
            kept_s = endpoint.keepalive_factor * self._settings.keepalive_s / self._settings.instances
            endpoint.close_idle_at = self._now + kept_s
            self._schedule(endpoint.close_idle_at, self._close_connections, endpoint)

    def _close_connections(self, endpoint: Endpoint) -> None:
        due = self._now >= endpoint.close_idle_at - TIME_EPSILON_S
        if not endpoint.in_flight and due and endpoint.open_connections:
            self._act(CloseIdleConnections(endpoint.id))
            endpoint.open_connections = 0

    def _check_idle_later(self, destination: Destination) -> None:
        """Plan one look at a destination, not one for each call."""
        destination.idle_check_scheduled = True
        idle_at = destination.last_used_at + tuning.IDLE_EXPIRY_S
        self._schedule(idle_at, self.check_idle, destination)

    def check_idle(self, destination: Destination) -> None:
        """Forget what was learned of a destination that has been idle for long enough."""
        destination.idle_check_scheduled = False
        if destination.queue or destination.slots:
            return
        if destination.last_used_at + tuning.IDLE_EXPIRY_S > self._now + TIME_EPSILON_S:
            self._check_idle_later(destination)
        else:
            destination.forget(keep_ejection=self._large_fleet)  # rules 4 and 6 outlast it
