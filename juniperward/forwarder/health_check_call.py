"""Makes a health check on the thread of its call: opens a connection, sends the request and reads the answer.

`endpoint_client.py` calls `HealthCheckCalls.run`. Like an attempt, a health check is not sent to a draining endpoint
or on a paused route.
"""

from __future__ import annotations

import time

from juniperward.forwarder.active_call import ActiveCall
from juniperward.forwarder.address import format_address
from juniperward.forwarder.answer_headers import read_load_report, read_retry_after
from juniperward.forwarder.answers import read_health
from juniperward.forwarder.effects import StartHealthCheck
from juniperward.forwarder.endpoint_connection import EarlyBytesError
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
    """Makes health checks; safe to call from any thread."""

    def __init__(self, connections: EndpointConnections, gate: SendGate) -> None:
        """Use `connections`, and send only the health checks that `gate` allows."""
        self._connections, self._gate = connections, gate

    def run(self, call: ActiveCall, check: StartHealthCheck) -> HealthCheckAnswered:
        """Make a health check and return its result."""
        began = time.monotonic()
        connection = self._connections.connect(call)
        if connection is None:
            return health_check_without_answer(check, Outcome.CONNECT_FAILED, began)
        with self._gate.lock:
            may_send = not call.cancelled and self._gate.is_open(check, time.monotonic())
        if not may_send:
            increment("health_checks_withheld")
            connection.close()
            return health_check_without_answer(check, Outcome.NOT_SENT, began)
        connection.answer_deadline = check.deadline
        try:
            connection.send(encode_health_check(check))
            answer = read_response(connection.stream, connection.set_answer_begun)
        except (IncompleteMessageError, MalformedMessageError, OSError) as error:
            if isinstance(error, EarlyBytesError):
                connection.receive_available()
            _, retry_after_s = self._connections.release_incomplete(call, connection)
            return health_check_without_answer(check, _outcome_of_error(check, error), began, retry_after_s)
        increment("health_checks_answered")
        self._connections.release(call, connection, answer)
        return _answered(check, read_health(answer), began, answer)


def health_check_without_answer(
    check: StartHealthCheck, outcome: Outcome, began: float, retry_after_s: float = 0.0
) -> HealthCheckAnswered:
    """Return the result of a health check without a complete answer; `began` is its start, monotonic."""
    latency_s = time.monotonic() - began
    return HealthCheckAnswered(check.number, check.endpoint, outcome, latency_s, retry_after_s=retry_after_s)


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


def _outcome_of_error(check: StartHealthCheck, error: Exception) -> Outcome:
    # A timeout error does not mean that the deadline has passed, as the transfer has a shorter time limit.
    if time.monotonic() >= check.deadline:
        return Outcome.TIMEOUT
    endpoint = format_address((check.host, check.port))
    increment("health_checks_incomplete")
    log("health_check", "answer incomplete; connection closed", endpoint=endpoint, error=error)
    return Outcome.CONNECT_FAILED if isinstance(error, ConnectionError) else Outcome.RESET
