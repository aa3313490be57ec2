"""The status of each destination as the scheduler knows it, for operators; no decision uses it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from juniperward.scheduler.route_state import RouteState
from juniperward.scheduler.scheduler import DeliveryScheduler


class Health(StrEnum):
    """Health of a destination; the control channel uses the values.

    A destination without a recent delivery is UNKNOWN, unless it is ejected or in slow start.
    """

    HEALTHY = "well"
    EJECTED = "failing"
    WARMING_UP = "warming"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class DestinationStatus:
    """Status of one destination; durations in seconds, rates in calls per second."""

    destination: int
    health: Health
    queued: int
    in_flight: int
    rate_limit_per_s: float | None
    listed_rate_per_s: float
    retry_after_s: float
    warming_up_for_s: float | None
    mean_latency_s: float | None
    ready_endpoints: int


def destination_statuses(scheduler: DeliveryScheduler, now: float) -> tuple[DestinationStatus, ...]:
    """Return the status of each destination that the scheduler knows, ordered by number."""
    return tuple(_status(scheduler, number, now) for number in sorted(scheduler.state.table.destinations))


def ejected_destinations(scheduler: DeliveryScheduler) -> int:
    """Return the number of destinations that have an ejected route."""
    destinations = scheduler.state.table.destinations.values()
    return sum(any(e.route.ejected for e in destination.endpoints.values()) for destination in destinations)


def _status(scheduler: DeliveryScheduler, number: int, now: float) -> DestinationStatus:
    destination = scheduler.state.table.destinations[number]
    endpoints = destination.endpoints.values()
    routes = list({id(e.route): e.route for e in endpoints}.values()) or [destination.shared_route]
    warming_up_for_s = _warming_up_for(routes, scheduler.state.round.settings.warm_up_s, now)
    health = Health.HEALTHY if destination.mean_latency_s is not None else Health.UNKNOWN
    if any(route.ejected for route in routes):
        health = Health.EJECTED
    elif warming_up_for_s is not None:
        health = Health.WARMING_UP
    limits = [route.rate_limit_per_s for route in routes if route.rate_limit_per_s is not None]
    return DestinationStatus(
        destination=number,
        health=health,
        queued=len(destination.queue),
        in_flight=destination.slots_in_use,
        rate_limit_per_s=sum(limits) if limits else None,
        listed_rate_per_s=destination.listed_rate_per_s,
        retry_after_s=max(max(route.retry_after_until for route in routes) - now, 0.0),
        warming_up_for_s=warming_up_for_s,
        mean_latency_s=destination.mean_latency_s,
        ready_endpoints=sum(endpoint.is_ready for endpoint in endpoints),
    )


def _warming_up_for(routes: list[RouteState], warm_up_s: float, now: float) -> float | None:
    started_times = [route.slow_start_since for route in routes if route.slow_start_since is not None]
    if not started_times or now - max(started_times) >= warm_up_s:
        return None
    return now - max(started_times)
