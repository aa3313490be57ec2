"""When what was learned of an idle destination expires, and when endpoints and destinations are removed."""

from juniperward.scheduler import tuning
from juniperward.scheduler.events import EndpointPhase
from juniperward.scheduler.records import Destination
from juniperward.scheduler.route_state import RouteState
from juniperward.scheduler.scheduler_part import SchedulerPart
from juniperward.scheduler.timers import TIME_EPSILON_S


class IdleExpiry(SchedulerPart):
    """Looks at a destination once nothing is in flight there."""

    def record_call_end(self, destination: Destination) -> None:
        """Schedule one look at a destination that may stay idle, not one for each call."""
        if not destination.slots_in_use and not destination.idle_check_scheduled:
            self._check_later(destination)

    def check_idle(self, destination: Destination) -> None:
        """Forget what was learned of a destination that has been idle for long enough."""
        destination.idle_check_scheduled = False
        if destination.queue or destination.slots_in_use:
            return
        if destination.last_used_at + tuning.IDLE_EXPIRY_S > self._now + TIME_EPSILON_S:
            self._check_later(destination)
        else:
            self._forget(destination)

    def prune(self) -> None:
        """Remove endpoints that the list names no more, and destinations without endpoints and messages."""
        for endpoint in list(self._table.endpoints.values()):
            if endpoint.phase is EndpointPhase.REMOVED and not endpoint.in_flight:
                self._table.remove_endpoint(endpoint)
        referenced = {message.destination.id for message in self._backlog.messages.values()}
        for destination in list(self._table.destinations.values()):
            idle = destination.last_used_at + tuning.IDLE_EXPIRY_S <= self._now
            in_use = destination.endpoints or destination.on_ring or destination.id in referenced
            if idle and not in_use:
                self._table.remove_destination(destination)

    def _check_later(self, destination: Destination) -> None:
        destination.idle_check_scheduled = True
        self._schedule(destination.last_used_at + tuning.IDLE_EXPIRY_S, self.check_idle, destination)

    def _forget(self, destination: Destination) -> None:
        destination.latency_by_class_s = {}
        destination.mean_latency_s = None
        destination.baseline_latency_s = 0.0
        destination.deficit_s = 0.0
        for endpoint in destination.endpoints.values():
            endpoint.mark_healthy()
            endpoint.open_connections = 0
            self._forget_route(endpoint.route)

    def _forget_route(self, route: RouteState) -> None:
        """Forget what was learned, but for what rules 4 and 6 require: an ejection, and a Retry-After."""
        remembered = RouteState(
            next_call_at=route.next_call_at,
            retry_after_until=route.retry_after_until,
            ejected=self._large_fleet and route.ejected,
            ejected_at=route.ejected_at,
            delivery_count=route.delivery_count,
        )
        route.copy_from(remembered)
