"""A connection for each call to an endpoint: from the pool or dialled, and what becomes of it after the answer.

Used by the threads that make attempts (`attempt_call.py`) and health checks (`health_check_call.py`).
"""

from __future__ import annotations

import socket
import time

from juniperward.forwarder.active_call import ActiveCall
from juniperward.forwarder.address import format_address
from juniperward.forwarder.answer_headers import read_retry_after
from juniperward.forwarder.connection_pool import ConnectionPool
from juniperward.forwarder.endpoint_connection import MIN_READ_TIMEOUT_S, EndpointConnection
from juniperward.forwarder.send_gate import SendGate, route_of
from juniperward.forwarder.telemetry import increment, log
from juniperward.net import sockets
from juniperward.net.http_values import HttpResponse


class EndpointConnections:
    """Opens, reuses and releases connections; any number of threads may call it at once."""

    def __init__(
        self,
        pool: ConnectionPool,
        gate: SendGate,
        dial_timeout_s: float,
        read_timeout_s: float = MIN_READ_TIMEOUT_S,
    ) -> None:
        """Take idle connections from a pool; a Retry-After pauses its route at the gate."""
        self._pool, self._gate = pool, gate
        self.dial_timeout_s = dial_timeout_s
        self.read_timeout_s = max(read_timeout_s, MIN_READ_TIMEOUT_S)

    def connect(self, call: ActiveCall) -> EndpointConnection | None:
        """Return a connection for a call, None where none can be established; `call.sock` is its socket."""
        address = (call.effect.host, call.effect.port)
        connection = self._pool.take(call.effect.endpoint, address)
        if connection is None:
            return self._dial(call, address)
        call.sock = connection.sock
        return connection

    def _dial(self, call: ActiveCall, address: tuple[str, int]) -> EndpointConnection | None:
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:  # for want of descriptors: nothing of the call was written
            increment("dials_failed")
            log("dial", "no socket", endpoint=format_address(address), error=error)
            return None
        call.sock = sock
        left_s = min(self.dial_timeout_s, call.effect.deadline - time.monotonic())
        try:
            if call.cancelled or left_s <= 0:
                raise TimeoutError
            sockets.connect(*address, left_s, sock)
            # The time that was left for this dial must not limit later writes on the connection.
            sockets.set_timeout(sock, socket.SO_SNDTIMEO, self.dial_timeout_s)
            sockets.set_timeout(sock, socket.SO_RCVTIMEO, self.read_timeout_s)
        except OSError as error:
            sock.close()
            increment("dials_failed")
            log("dial", "failed", endpoint=format_address(address), error=error or "too late")
            return None
        increment("connections_opened")
        return EndpointConnection(sock, address, self.read_timeout_s)

    def put_back(self, call: ActiveCall, connection: EndpointConnection) -> None:
        """Return a connection that a call has not used."""
        self._pool.put_back(call.effect.endpoint, connection)

    def release(self, call: ActiveCall, connection: EndpointConnection, answer: HttpResponse) -> None:
        """Put a connection back or close it, and pause the route from the moment its Retry-After is read.

        Not from when the loop gets to the answer: between the two, other threads would write what the scheduler
        decided before it knew, on a busy process for longer than the 100 ms that the protocol allows.
        """
        if answer.close or call.cancelled or connection.stream.buffer:
            connection.close()
        else:
            self._pool.put_back(call.effect.endpoint, connection)
        retry_after_s = read_retry_after(answer.headers)
        if retry_after_s > 0:
            self._gate.pause_route(route_of(call.effect), time.monotonic() + retry_after_s)
