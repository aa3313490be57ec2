"""Health checks of endpoints: started on the scheduler's request, with the outcomes reported back to it."""

from __future__ import annotations

from juniperward.forwarder.effects import PauseRoute, StartHealthCheck
from juniperward.forwarder.events import HealthCheckAnswered
from juniperward.forwarder.reducer.attempts import route_of
from juniperward.forwarder.reducer.round import Round
from juniperward.forwarder.telemetry import increment
from juniperward.scheduler.events import HealthCheckFinished, Outcome

# The time limit of a health check, as a multiple of the dial timeout. It covers the dial and the response.
DIAL_TIMEOUT_FACTOR = 1.5


class HealthChecks:
    """Starts health checks and reports their outcomes to the scheduler; owns those in flight."""

    def __init__(self, round_: Round) -> None:
        """Start without health checks in flight."""
        self._round = round_

    def start(self, number: int) -> None:
        """Check an endpoint; for one that was removed, report `NOT_SENT` to the scheduler instead."""
        state, settings = self._round.state, self._round.settings
        endpoint = state.directory.endpoints.get(number)
        if endpoint is None or number in state.directory.removed:
            self._round.notify_scheduler(HealthCheckFinished(number, Outcome.NOT_SENT, 0.0))
            return
        check = state.call_numbers.next()
        state.health_checks_in_flight[check] = number
        increment("health_checks")
        self._round.emit(
            StartHealthCheck(
                check,
                number,
                endpoint.host,
                endpoint.port,
                endpoint.destination,
                self._round.now + DIAL_TIMEOUT_FACTOR * settings.dial_timeout_s,
                route_of(endpoint, settings),
            )
        )

    def answered(self, event: HealthCheckAnswered) -> None:
        """Report the outcome of a health check to the scheduler and pause the route on a Retry-After."""
        state = self._round.state
        if state.health_checks_in_flight.pop(event.number, None) is None:
            return
        endpoint = state.directory.endpoints.get(event.endpoint)
        if event.retry_after_s > 0 and endpoint is not None:
            until = self._round.now + event.retry_after_s
            self._round.emit(PauseRoute(route_of(endpoint, self._round.settings), until))
        self._round.notify_scheduler(
            HealthCheckFinished(
                event.endpoint,
                event.outcome,
                event.latency_s,
                event.capacity_left,
                event.reported_limit_per_s,
            )
        )
