"""Estimates of the open connections to endpoints; decides when new ones open and idle ones close."""

from juniperward.scheduler import tuning
from juniperward.scheduler.actions import CloseIdleConnections
from juniperward.scheduler.records import Endpoint
from juniperward.scheduler.scheduler_part import SchedulerPart
from juniperward.scheduler.timers import TIME_EPSILON_S


class Connections(SchedulerPart):
    """Estimates open connections, as the caller pools them and does not report which are open."""

    def may_open(self, endpoint: Endpoint) -> bool:
        """Return whether a new connection to an endpoint may be opened."""
        return endpoint.no_new_connection_until <= self._now

    def has_free_stream(self, endpoint: Endpoint) -> bool:
        """Return whether a call fits on a connection that is estimated to be open."""
        if self._now - endpoint.last_used_at > self._settings.keepalive_s:
            endpoint.open_connections = 0
        streams = endpoint.open_connections * self._settings.streams_per_connection
        return len(endpoint.in_flight) < streams

    def record_call(self, endpoint: Endpoint) -> None:
        """Raise the estimate to the number of connections that the calls in flight need."""
        endpoint.open_connections = max(endpoint.open_connections, self._needed(endpoint))

    def record_answer(self, endpoint: Endpoint) -> None:
        """Raise the idle timeout of the endpoint's connections, up to the usual one."""
        endpoint.keepalive_factor = min(endpoint.keepalive_factor * tuning.KEEPALIVE_RAISE_FACTOR, 1.0)

    def record_full_table(self, endpoint: Endpoint, reported: bool) -> None:
        """Open no new connections to an endpoint for a while, and cut the idle timeout.

        `reported` tells whether the endpoint itself said that its connection table is full.
        """
        endpoint.open_connections = self._needed(endpoint)
        endpoint.keepalive_factor *= tuning.KEEPALIVE_CUT_FACTOR
        pause_s = self._settings.dial_timeout_s
        if reported:
            pause_s = tuning.RETRY_INITIAL_BACKOFF_S * self._random.random()
        endpoint.no_new_connection_until = self._now + pause_s

    def record_call_end(self, endpoint: Endpoint) -> None:
        """Schedule the closing of idle connections to an endpoint in a large fleet.

        Idle connections of many forwarders would fill the connection table of an endpoint. Each forwarder
        therefore divides the idle timeout by the number of forwarders.
        """
        if not self._large_fleet or endpoint.in_flight:
            return
        idle_s = endpoint.keepalive_factor * self._settings.keepalive_s / self._settings.instances
        endpoint.close_idle_at = self._now + idle_s
        self._schedule(endpoint.close_idle_at, self._close_idle, endpoint)

    def _close_idle(self, endpoint: Endpoint) -> None:
        expired = self._now >= endpoint.close_idle_at - TIME_EPSILON_S
        if not endpoint.in_flight and expired and endpoint.open_connections:
            self._act(CloseIdleConnections(endpoint.id))
            endpoint.open_connections = 0

    def _needed(self, endpoint: Endpoint) -> int:
        # Division rounded up.
        return -(-len(endpoint.in_flight) // self._settings.streams_per_connection)
