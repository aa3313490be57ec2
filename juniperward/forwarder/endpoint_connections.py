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
        gate: SendGate,
        dial_timeout_s: float,
        limits: AnswerLimits = DEFAULT_ANSWER_LIMITS,
    ) -> None:
        """Use the idle connections of `pool`; a Retry-After in an answer pauses its route at `gate`.

        `limits` are those of the reads of all connections.
        """
        self._limits, self._blocking = limits, limits.blocking
        self._pool, self._gate = pool, gate
        self.dial_timeout_s = dial_timeout_s

    def connect(self, call: ActiveCall) -> EndpointConnection | None:
        """Return a connection for a call, None if none can be established; sets `call.sock` to its socket."""
        address = (call.effect.host, call.effect.port)
        connection = self._pool.take(call.effect.endpoint, address)
        if connection is None:
            return self._dial(call, address)
        call.sock = connection.sock
        return connection

    def _dial(self, call: ActiveCall, address: tuple[str, int]) -> EndpointConnection | None:
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
                sockets.connect(*address, remaining_s, sock)
            # Replace the timeout of this dial, which would also limit later writes on the connection.
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
        return EndpointConnection(sock, address, self._limits)

    def put_back(self, call: ActiveCall, connection: EndpointConnection) -> None:
        """Put back a connection on which nothing was sent."""
        with self._gate.lock:
            call.sock = None  # The next call on the connection must not be hit by a cancellation of this one.
        self._pool.put_back(call.effect.endpoint, connection)

    def release(self, call: ActiveCall, connection: EndpointConnection, answer: HttpResponse) -> None:
        """Put back or close the connection of an answered call, and pause its route for a Retry-After.

        The route is paused here and not when the loop handles the answer, since other threads may send calls
        until then. On a busy process that takes longer than the 100 ms that the protocol allows.
        """
        with self._gate.lock:
            call.sock = None
            if not call.cancelled:
                # A cancellation is too late from now on: the outcome counts.
                call.progress = AttemptProgress.FINISHED
        connection.end_answer()
        if answer.close or call.cancelled or connection.stream.buffer:
            connection.close()
        else:
            self._pool.put_back(call.effect.endpoint, connection)
        retry_after_s = read_retry_after(answer.headers)
        if retry_after_s > 0:
            self._gate.pause_route(route_of(call.effect), time.monotonic() + retry_after_s)
