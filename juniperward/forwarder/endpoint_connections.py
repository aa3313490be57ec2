"""Opens or reuses a connection for each call to an endpoint, and returns it to the pool after the answer.

Used by the threads that make attempts (`attempt_call.py`) and health checks (`health_check_call.py`).
"""

from __future__ import annotations

import socket
import time

from juniperward.forwarder.active_call import ActiveCall
from juniperward.forwarder.address import format_address
from juniperward.forwarder.answer_headers import read_retry_after
from juniperward.forwarder.connection_pool import ConnectionPool
from juniperward.forwarder.connection_reuse import ConnectionReuse
from juniperward.forwarder.effects import StartAttempt
from juniperward.forwarder.endpoint_connection import (
    DEFAULT_ANSWER_LIMITS,
    AnswerLimits,
    EndpointConnection,
)
from juniperward.forwarder.model import AttemptProgress
from juniperward.forwarder.send_gate import SendGate, route_of
from juniperward.forwarder.telemetry import increment, log
from juniperward.net import sockets
from juniperward.net.http_values import HttpResponse


class EndpointConnections:
    """Opens, reuses and releases connections; safe to call from any thread."""

    def __init__(
        self,
        pool: ConnectionPool,
        reuse: ConnectionReuse,
        gate: SendGate,
        dial_timeout_s: float,
        limits: AnswerLimits = DEFAULT_ANSWER_LIMITS,
    ) -> None:
        """Use the idle connections of `pool` as `reuse` allows.

        A Retry-After in an answer pauses its route at `gate`; `limits` are those of the reads of all connections.
        """
        self._limits, self._blocking = limits, limits.blocking
        self._pool, self._reuse, self._gate = pool, reuse, gate
        self.dial_timeout_s = dial_timeout_s

    def connect(self, call: ActiveCall) -> EndpointConnection | None:
        """Return a connection for a call, None if none can be established; sets `call.sock` to its socket."""
        connection = self._take_idle(call)
        if connection is None:
            return self.dial(call)
        call.sock = connection.sock
        return connection

    def _take_idle(self, call: ActiveCall) -> EndpointConnection | None:
        """Return an idle connection on which the answer to the call can be told from earlier ones."""
        effect = call.effect
        if isinstance(effect, StartAttempt) and effect.is_repeat:
            return None  # Its answer would come within the doubt window.
        if self._reuse.window(effect.destination) is None:
            if effect.endpoint in self._pool.idle:
                self._pool.close_idle(effect.endpoint)
            return None
        connection = self._pool.take(effect.endpoint, effect.destination, (effect.host, effect.port))
        if connection is None:
            return None
        connection.window = self._reuse.window(effect.destination, connection.round_trip_s)
        if connection.window is None:
            connection.close()
            return None
        return connection

    def dial(self, call: ActiveCall) -> EndpointConnection | None:
        """Return a new connection for a call, None if it cannot be established; sets `call.sock` to its socket."""
        address = (call.effect.host, call.effect.port)
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            increment("dials_failed")
            log("dial", "socket not created; call not sent", endpoint=format_address(address), error=error)
            return None
        call.sock = sock
        remaining_s = min(self.dial_timeout_s, call.effect.deadline - time.monotonic())
        try:
            if call.cancelled or remaining_s <= 0:
                raise TimeoutError
            with self._blocking:
                connecting_since = time.monotonic()
                sockets.connect(*address, remaining_s, sock)
                # Taken before the wait for a slot, which is no part of the round trip.
                round_trip_s = time.monotonic() - connecting_since
            # Replace the timeout of this dial, which would also limit later writes on the connection.
            if remaining_s < self.dial_timeout_s:
                sockets.set_timeout(sock, socket.SO_SNDTIMEO, self.dial_timeout_s)
        except OSError as error:
            sock.close()
            increment("dials_failed")
            log(
                "dial",
                "connection failed; call not sent",
                endpoint=format_address(address),
                error=error or "cancelled, or past its deadline",
            )
            return None
        increment("connections_opened")
        return EndpointConnection(sock, address, self._limits, round_trip_s)

    def put_back(self, call: ActiveCall, connection: EndpointConnection) -> None:
        """Put back a connection on which nothing was sent."""
        with self._gate.lock:
            call.sock = None  # The next call on the connection must not be hit by a cancellation of this one.
        self._put_back_or_close(call, connection)

    def _put_back_or_close(self, call: ActiveCall, connection: EndpointConnection) -> None:
        if self._reuse.window(call.effect.destination, connection.round_trip_s) is None:
            connection.close()
        else:
            self._pool.put_back(call.effect.endpoint, connection)

    def release(
        self, call: ActiveCall, connection: EndpointConnection, answer: HttpResponse, *, intact: bool = True
    ) -> None:
        """Put back or close the connection of an answered call, and pause its route for a Retry-After.

        A connection that is not `intact` is closed, as the answer was not of the expected form.

        The route is paused here and not when the loop handles the answer, since other threads may send calls
        until then. On a busy process that takes longer than the 100 ms that the protocol allows.
        """
        with self._gate.lock:
            call.sock = None
            if not call.cancelled:
                # A cancellation is too late from now on: the outcome counts.
                call.progress = AttemptProgress.FINISHED
        connection.end_answer()
        stray = self._has_stray_bytes(call, connection)
        if answer.close or call.cancelled or stray or not intact:
            connection.close()
        else:
            self._put_back_or_close(call, connection)
        self.pause_route(call, answer)

    def _has_stray_bytes(self, call: ActiveCall, connection: EndpointConnection) -> bool:
        """Return whether more was received than the answer to an answered call, and report it."""
        if connection.is_in_doubt:
            when = "ahead of an answer"
        elif connection.stream.buffer:
            when = "behind an answer"
            increment("answers_with_excess")
        else:
            return False
        self.report_stray_bytes(call, connection, when)
        return True

    def report_stray_bytes(self, call: ActiveCall, connection: EndpointConnection, when: str) -> None:
        """Stop the reuse of connections to the destination of a call, whose endpoint sent what no call caused."""
        self._reuse.report_stray_bytes(call.effect.destination, when, connection.address)

    def add_answer_time(self, call: ActiveCall, connection: EndpointConnection) -> None:
        """Add the time that an endpoint took to answer an attempt, unless it is a repeat."""
        if isinstance(call.effect, StartAttempt) and not call.effect.is_repeat:
            self._reuse.add_answer(call.effect.destination, connection.begun_at - connection.written_at)

    def pause_route(self, call: ActiveCall, answer: HttpResponse) -> None:
        """Pause the route of a call for the Retry-After of an answer, which may be in doubt."""
        retry_after_s = read_retry_after(answer.headers)
        if retry_after_s > 0:
            self._gate.pause_route(route_of(call.effect), time.monotonic() + retry_after_s)
