"""Expires what was learned of idle destinations, and removes unused endpoints and destinations."""

from juniperward.scheduler import tuning
from juniperward.scheduler.events import EndpointPhase
from juniperward.scheduler.records import Destination
from juniperward.scheduler.route_state import RouteState
from juniperward.scheduler.scheduler_part import SchedulerPart
from juniperward.scheduler.timers import TIME_EPSILON_S


class IdleExpiry(SchedulerPart):
    """Checks whether destinations without calls in flight have become idle."""

    def record_call_end(self, destination: Destination) -> None:
        """Schedule the idle check of a destination without calls in flight, unless one is scheduled."""
        if not destination.slots_in_use and not destination.idle_check_scheduled:
            self._schedule_check(destination)

    def check_idle(self, destination: Destination) -> None:
        """Reset what was learned of a destination if it has been idle for the expiry time."""
        destination.idle_check_scheduled = False
        if destination.queue or destination.slots_in_use:
            return
        if destination.last_used_at + tuning.IDLE_EXPIRY_S > self._now + TIME_EPSILON_S:
            self._schedule_check(destination)
        else:
            self._reset(destination)

    def prune(self) -> None:
        """Remove endpoints that the list no longer names, and idle destinations that are not in use."""
        for endpoint in list(self._table.endpoints.values()):
            if endpoint.phase is EndpointPhase.REMOVED and not endpoint.in_flight:
                self._table.remove_endpoint(endpoint)
        referenced = {message.destination.id for message in self._backlog.messages.values()}
        for destination in list(self._table.destinations.values()):
            idle = destination.last_used_at + tuning.IDLE_EXPIRY_S <= self._now
            in_use = destination.endpoints or destination.on_ring or destination.id in referenced
            if idle and not in_use:
                self._table.remove_destination(destination)

    def _schedule_check(self, destination: Destination) -> None:
        destination.idle_check_scheduled = True
        self._schedule(destination.last_used_at + tuning.IDLE_EXPIRY_S, self.check_idle, destination)

    def _reset(self, destination: Destination) -> None:
        destination.latency_by_class_s = {}
        destination.mean_latency_s = None
        destination.baseline_latency_s = 0.0
        destination.deficit_s = 0.0
        for endpoint in destination.endpoints.values():
            endpoint.mark_healthy()
            endpoint.open_connections = 0
            self._reset_route(endpoint.route)

    def _reset_route(self, route: RouteState) -> None:
        """Reset the state of a route, but keep its Retry-After and, in a large fleet, its ejection.

        Without the ejection, all forwarders of a large fleet would soon call a destination that is down.
        """
        kept_state = RouteState(
            next_call_at=route.next_call_at,
            retry_after_until=route.retry_after_until,
            ejected=self._large_fleet and route.ejected,
            ejected_at=route.ejected_at,
            delivery_count=route.delivery_count,
        )
        route.copy_from(kept_state)
