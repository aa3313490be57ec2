"""One health check, on the thread of its call: a connection, the request, and what the answer says.

`endpoint_client.py` calls `HealthCheckCalls.run`. A health check counts as a call: it waits for draining endpoints
and paused routes as an attempt does, and uses an idle connection.
"""

from __future__ import annotations

import time

from juniperward.forwarder.active_call import ActiveCall
from juniperward.forwarder.address import format_address
from juniperward.forwarder.answer_headers import read_load_report, read_retry_after
from juniperward.forwarder.answers import read_health
from juniperward.forwarder.effects import StartHealthCheck
from juniperward.forwarder.endpoint_connections import EndpointConnections
from juniperward.forwarder.endpoint_requests import encode_health_check
from juniperward.forwarder.events import HealthCheckAnswered
from juniperward.forwarder.send_gate import SendGate
from juniperward.forwarder.telemetry import increment, log
from juniperward.net.http_errors import IncompleteMessageError, MalformedMessageError
from juniperward.net.http_responses import read_response
from juniperward.net.http_values import HttpResponse
from juniperward.scheduler.events import Outcome


class HealthCheckCalls:
    """Makes health checks; any number of threads may call it at once."""

    def __init__(self, connections: EndpointConnections, gate: SendGate) -> None:
        """Write calls that the gate lets pass."""
        self._connections, self._gate = connections, gate

    def run(self, call: ActiveCall, check: StartHealthCheck) -> HealthCheckAnswered:
        """Make a health check and return its result."""
        began = time.monotonic()
        connection = self._connections.connect(call)
        if connection is None:
            return without_answer(check, Outcome.CONNECT_FAILED, began)
        with self._gate.lock:
            may_write = not call.cancelled and self._gate.is_open(check, time.monotonic())
        if not may_write:
            increment("health_checks_withheld")
            self._connections.put_back(call, connection)
            return without_answer(check, Outcome.NOT_SENT, began)
        connection.deadline = check.deadline
        on_new_connection = not connection.reused
        try:
            connection.sock.sendall(encode_health_check(check))
            answer = read_response(connection.stream, connection.limit_transfer)
            connection.deadline = None
        except (IncompleteMessageError, MalformedMessageError, OSError) as error:
            connection.close()
            return without_answer(check, _outcome_of_error(check, on_new_connection, error), began)
        increment("health_checks_answered")
        self._connections.release(call, connection, answer)
        return _answered(check, read_health(answer, on_new_connection), began, answer)


def without_answer(check: StartHealthCheck, outcome: Outcome, began: float) -> HealthCheckAnswered:
    """Return the result of a health check that began at a moment and got no complete answer."""
    return HealthCheckAnswered(check.number, check.endpoint, outcome, time.monotonic() - began)


def _answered(
    check: StartHealthCheck, outcome: Outcome, began: float, answer: HttpResponse
) -> HealthCheckAnswered:
    latency_s = time.monotonic() - began
    load_report = read_load_report(answer.headers)
    return HealthCheckAnswered(
        check.number,
        check.endpoint,
        outcome,
        latency_s,
        load_report.capacity_left,
        load_report.limit_per_s,
        read_retry_after(answer.headers),
    )


def _outcome_of_error(check: StartHealthCheck, on_new_connection: bool, error: Exception) -> Outcome:
    # A read that took too long comes as an incomplete message: the time alone tells a timeout.
    if time.monotonic() >= check.deadline:
        return Outcome.TIMEOUT
    endpoint = format_address((check.host, check.port))
    increment("health_checks_incomplete")
    log("health_check", "answer incomplete", endpoint=endpoint, error=error)
    was_rejected = on_new_connection and isinstance(error, ConnectionError)
    return Outcome.CONNECT_FAILED if was_rejected else Outcome.RESET
