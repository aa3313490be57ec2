"""Opens a connection for each call to an endpoint, or takes one opened ahead, and closes it after the answer.

All that arrives on a connection is thus the answer to its one call. Used by the threads that make attempts
(`attempt_call.py`) and health checks (`health_check_call.py`).
"""

from __future__ import annotations

import functools
import socket
import time

from juniperward.forwarder.active_call import ActiveCall
from juniperward.forwarder.address import format_address
from juniperward.forwarder.answer_headers import read_partial_retry_after, read_retry_after
from juniperward.forwarder.endpoint_connection import (
    DEFAULT_ANSWER_LIMITS,
    AnswerLimits,
    EndpointConnection,
)
from juniperward.forwarder.model import AttemptProgress
from juniperward.forwarder.send_gate import SendGate, route_of
from juniperward.forwarder.spare_connections import SpareConnections
from juniperward.forwarder.stray_answers import report_stray_bytes
from juniperward.forwarder.telemetry import increment, log
from juniperward.net import sockets
from juniperward.net.http_status import HttpStatus
from juniperward.net.http_values import HttpResponse
from juniperward.net.partial_response import PartialResponse, parse_partial_response

# The statuses that may carry a Retry-After.
REJECTIONS = (HttpStatus.TOO_MANY_REQUESTS, HttpStatus.SERVICE_UNAVAILABLE)


class EndpointConnections:
    """Opens and closes connections; safe to call from any thread."""

    def __init__(
        self,
        gate: SendGate,
        spares: SpareConnections,
        dial_timeout_s: float,
        limits: AnswerLimits = DEFAULT_ANSWER_LIMITS,
    ) -> None:
        """Use `spares` before new connections, and pause routes at `gate` for each Retry-After.

        `limits` are those of the reads of all connections.
        """
        self.spares = spares
        self._gate, self._limits, self._blocking = gate, limits, limits.blocking
        self.dial_timeout_s = dial_timeout_s

    def connect(self, call: ActiveCall) -> EndpointConnection | None:
        """Return a connection for a call, None if it cannot be established; sets `call.sock` to its socket."""
        address = (call.effect.host, call.effect.port)
        sock = self.spares.take(call.effect.endpoint, address)
        if sock is None:
            sock = self._dial(call, address)
            if sock is None:
                return None
            increment("connections_opened")
        call.sock = sock
        connection = call.connection = EndpointConnection(sock, address, self._limits)
        connection.on_incomplete = functools.partial(self.heed_incomplete, call, connection)
        return connection

    def _dial(self, call: ActiveCall, address: tuple[str, int]) -> socket.socket | None:
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
                self._connect(call, sock, address, remaining_s)
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
        return sock

    def _connect(
        self, call: ActiveCall, sock: socket.socket, address: tuple[str, int], timeout_s: float
    ) -> None:
        """Connect a socket, and record how long that took; raises OSError."""
        began_at = time.monotonic()
        try:
            sockets.connect(*address, timeout_s, sock)
        finally:
            if not call.cancelled:
                self.spares.record_dial(call.effect.endpoint, time.monotonic() - began_at)

    def heed_incomplete(self, call: ActiveCall, connection: EndpointConnection) -> PartialResponse:
        """Pause the route of a call for a Retry-After that has arrived ahead of the rest of its answer.

        Return what has arrived.
        """
        answer = parse_partial_response(bytes(connection.received))
        retry_after_s = read_partial_retry_after(answer)
        if retry_after_s > connection.retry_after_s:
            connection.retry_after_s, connection.paused_at = retry_after_s, time.monotonic()
            self._pause_route(call, retry_after_s)
        return answer

    def release(self, call: ActiveCall, connection: EndpointConnection, answer: HttpResponse) -> None:
        """Close the connection of an answered call, and pause its route for a Retry-After.

        The route is paused here and not when the loop handles the answer, since other threads may send calls
        until then. On a busy process that takes longer than the 100 ms that the protocol allows.
        """
        self._finish(call)
        if connection.stream.buffer:
            increment("answers_with_excess")
            report_stray_bytes("behind an answer", connection.address)
        connection.close()
        retry_after_s = read_retry_after(answer.headers)
        if answer.status in REJECTIONS:
            self._gate.record_retry_after(route_of(call.effect), retry_after_s, time.monotonic())
        self._pause_route(call, retry_after_s)

    def release_incomplete(
        self, call: ActiveCall, connection: EndpointConnection
    ) -> tuple[PartialResponse, float]:
        """Close the connection of a call whose answer is not complete, and pause its route if it was rejected.

        Return what the answer says, and the Retry-After that still holds. If the header of a rejection may have been
        lost, that is the latest one of the route.
        """
        answer = parse_partial_response(bytes(connection.received))
        self._finish(call)
        connection.close()
        retry_after_s = read_partial_retry_after(answer)
        if answer.status in REJECTIONS and not answer.has_head:
            is_certain = answer.status == HttpStatus.TOO_MANY_REQUESTS
            assumed_s = self._gate.assumed_retry_after_s(route_of(call.effect), is_certain)
            retry_after_s = max(retry_after_s, assumed_s)
        if connection.retry_after_s > 0:
            retry_after_s = max(retry_after_s - (time.monotonic() - connection.paused_at), 0.0)
        self._pause_route(call, retry_after_s)
        return answer, retry_after_s

    def _finish(self, call: ActiveCall) -> None:
        with self._gate.lock:
            call.sock = None  # A cancellation is too late from now on: the outcome counts.
            call.progress = AttemptProgress.FINISHED

    def _pause_route(self, call: ActiveCall, retry_after_s: float) -> None:
        if retry_after_s > 0:
            self._gate.pause_route(route_of(call.effect), time.monotonic() + retry_after_s)
