"""Rates of calls and deliveries, and this forwarder's share of them; rates are in calls a second."""

from juniperward.scheduler import tuning
from juniperward.scheduler.endpoint_table import EndpointTable
from juniperward.scheduler.estimators import decayed, observed_fraction
from juniperward.scheduler.records import Destination
from juniperward.scheduler.round import Round
from juniperward.scheduler.route_state import RouteState
from juniperward.scheduler.settings import SchedulerSettings


def is_large_fleet(settings: SchedulerSettings) -> bool:
    """Return whether there are so many forwarders that each must allow for the traffic of the others."""
    return settings.instances > tuning.SMALL_FLEET_MAX_INSTANCES


def record_call(route: RouteState, now: float) -> None:
    """Record the time of a call, and drop times that are older than the rate memory."""
    call_times = route.call_times
    call_times.append(now)
    while call_times[0] < now - tuning.RATE_MEMORY_S:
        call_times.pop(0)


def calls_within(route: RouteState, now: float, span_s: float) -> int:
    """Return how many of the remembered calls were made within the last `span_s` seconds."""
    return sum(at >= now - span_s for at in route.call_times)


def record_delivery(route: RouteState, now: float, sent_at: float) -> None:
    """Count a delivery, add it to the decaying rate, and reset the rejections in a row."""
    memory_s = tuning.RATE_MEMORY_S
    route.delivery_count += 1
    route.consecutive_rejections = 0
    if route.first_delivery_at is None:
        route.first_delivery_at = sent_at
    remaining = decayed(route.delivery_rate_per_s, now - route.last_delivery_at, memory_s)
    route.delivery_rate_per_s = remaining + 1 / memory_s
    route.last_delivery_at = now


def recent_rate(route: RouteState, at: float) -> float:
    """Return the decaying delivery rate at a time, corrected for a short observation; 0 before a delivery."""
    if route.first_delivery_at is None:
        return 0.0
    memory_s = tuning.RATE_MEMORY_S
    observed_s = max(at - route.first_delivery_at, tuning.MIN_RATE_OBSERVATION_S)
    rate = decayed(route.delivery_rate_per_s, at - route.last_delivery_at, memory_s)
    return rate / observed_fraction(observed_s, memory_s)


def record_load_report(route: RouteState, limit_per_s: float, capacity_left: float) -> None:
    """Add a reported limit to its running mean, and store the fraction of it that is left."""
    weight = tuning.LOAD_REPORT_WEIGHT if route.reported_limit_per_s > 0 else 1.0
    route.reported_limit_per_s += weight * (limit_per_s - route.reported_limit_per_s)
    route.reported_capacity_left = min(max(capacity_left, 0.0), 1.0)


class TrafficEstimates:
    """Estimates this forwarder's fraction of the traffic, its quotas of limits, and usual rates of routes.

    Attributes:
        admitted_count: the number of messages admitted so far.
    """

    def __init__(self, round_: Round, table: EndpointTable) -> None:
        """Start without traffic."""
        self._round = round_
        self._table = table
        self._large_fleet = is_large_fleet(round_.settings)
        self.admitted_count = 0

    def own_fraction(self) -> float:
        """Return this forwarder's fraction of the traffic, from 0 to 1.

        It is estimated by comparing the admitted messages to the listed rates. Without listed rates, it is an
        even fraction. In a small fleet it is 1.
        """
        instances = self._round.settings.instances
        listed = self._table.total_listed_rate_per_s
        if not self._large_fleet:
            return 1.0
        if listed <= 0:
            return 1.0 / instances
        memory_s = tuning.RATE_MEMORY_S
        seen_s = self._round.now - self._round.started_at
        return min(1.0, (self.admitted_count / listed + memory_s / instances) / (seen_s + memory_s))

    def rate_quota(self, destination: Destination, route: RouteState) -> float:
        """Return this forwarder's even quota of the listed or else the reported limit; 0 if none is known."""
        listed = destination.listed_rate_per_s / (1 + self._round.settings.listed_rate_error)
        return (listed or route.reported_limit_per_s) / self._round.settings.instances

    def expected_rate(self, destination: Destination, route: RouteState) -> float:
        """Return this forwarder's usual rate of calls to a route.

        It follows a known limit, or else averages the deliveries over the whole uptime. Recent rates are not
        used: after bursts, those of all forwarders would add up to more than the usual total.
        """
        instances = self._round.settings.instances
        memory_s = tuning.RATE_MEMORY_S
        quota = self.rate_quota(destination, route)
        if quota > 0:
            return max(quota * instances, tuning.MIN_TOTAL_RATE_PER_S) * self.own_fraction()
        assumed_count = memory_s * tuning.MIN_TOTAL_RATE_PER_S / instances
        return (route.delivery_count + assumed_count) / (self._round.now - self._round.started_at + memory_s)
