"""Encodes attempts and health checks as HTTP requests to endpoints.

The protocol page describes them under 'Forwarders to endpoints'. `answers.py` decodes the answers.
"""

from __future__ import annotations

from juniperward.forwarder.address import format_address
from juniperward.forwarder.batch import encode_batch
from juniperward.forwarder.effects import StartAttempt, StartHealthCheck
from juniperward.net.http_requests import encode_request

MESSAGE_PATH = "/receive"
BATCH_PATH = "/receive-many"
HEALTH_PATH = "/health/live"
MIN_TIME_LEFT_S = 0.001


def encode_attempt(attempt: StartAttempt, now: float) -> bytes:
    """Return the request of an attempt that is sent at `now`; several messages are sent as a batch."""
    host = format_address((attempt.host, attempt.port))
    headers = {"X-Time-Left": f"{max(attempt.deadline - now, MIN_TIME_LEFT_S):.3f}"}
    if len(attempt.items) > 1:
        headers["Content-Type"] = "application/json"
        body = encode_batch(item.content for item in attempt.items)
        return encode_request("POST", BATCH_PATH, host, headers, body)
    message = attempt.items[0].content
    headers["X-Correlation-Id"] = message.id
    if message.idempotency_key is not None:
        headers["Idempotency-Key"] = message.idempotency_key
    return encode_request("POST", MESSAGE_PATH, host, headers, message.body)


def encode_health_check(check: StartHealthCheck) -> bytes:
    """Return the request of a health check."""
    return encode_request("GET", HEALTH_PATH, format_address((check.host, check.port)), {}, None)
