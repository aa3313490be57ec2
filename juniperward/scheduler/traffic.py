"""What part of the traffic and of the limits is this forwarder's, as far as it can tell; rates are calls a second."""

from __future__ import annotations

from juniperward.scheduler import tuning
from juniperward.scheduler.endpoint_table import EndpointTable
from juniperward.scheduler.records import Destination
from juniperward.scheduler.round import Round
from juniperward.scheduler.route_state import RouteState
from juniperward.scheduler.token_bucket import TokenBucket


class TrafficEstimates:
    """Shares and rates by what was admitted, listed, reported and delivered."""

    def __init__(self, round_: Round, table: EndpointTable) -> None:
        """Begin without traffic."""
        self._round, self._table = round_, table
        self.admitted = 0  # messages so far
        settings = round_.settings
        self._quotas = [TokenBucket(t.quota_per_s / settings.instances) for t in settings.tenants]
        self.min_deadline_s = min(c.deadline_s for c in settings.classes)

    def consume_quota(self, tenant: int) -> bool:
        """Count a message; returns whether it is within this forwarder's part of its tenant's quota."""
        return not 0 <= tenant < len(self._quotas) or self._quotas[tenant].take(self._round.now)

    def fraction(self) -> float:
        """Return this forwarder's part of all traffic, by what came here of what is listed, else an even one."""
        instances, listed = self._round.settings.instances, self._table.listed_rate_total
        if not self._round.large_fleet:
            return 1.0
        if listed <= 0:
            return 1.0 / instances
        memory_s, seen_s = tuning.RATE_MEMORY_S, self._round.now - self._round.started_at
        return min(1.0, (self.admitted / listed + memory_s / instances) / (seen_s + memory_s))

    def rate_quota(self, destination: Destination, route: RouteState) -> float:
        """Return this forwarder's part of the rate that is listed, or else reported; 0 where none is known."""
        listed = destination.listed_rate / (1 + self._round.settings.listed_rate_error)
        return (listed or route.reported_limit_per_s) / self._round.settings.instances

    def expected_rate(self, destination: Destination, route: RouteState) -> float:
        """Return what a route usually gets; latest rates of all forwarders would add up to more after bursts."""
        instances, memory_s = self._round.settings.instances, tuning.RATE_MEMORY_S
        if (share := self.rate_quota(destination, route)) > 0:
            return max(share * instances, tuning.RATE_FLOOR) * self.fraction()
        even = memory_s * tuning.RATE_FLOOR / instances
        return (route.delivery_count + even) / (self._round.now - self._round.started_at + memory_s)

    def has_capacity_left(self, route: RouteState) -> bool:
        """Return whether reports say that rejections have another reason than the limit."""
        return route.has_capacity_left(self._round.now, tuning.USED_UP_FRACTION, tuning.LOAD_REPORT_DELAY_S)
