"""The codec of the client protocol over HTTP: decodes requests as messages and encodes replies.

The header names of the protocol appear in this module only.
"""

from __future__ import annotations

import re
from collections.abc import Mapping

from juniperward.dead_letters.ownership import is_redrive_id
from juniperward.forwarder.model import Message
from juniperward.forwarder.settings_names import SettingsNames
from juniperward.net.http_responses import encode_response
from juniperward.net.http_values import DECIMAL, HttpRequest

MESSAGE_PATH = "/api"
# Printable ASCII without the comma, which joins the values of repeated headers.
MESSAGE_ID = re.compile(r"[!-+\--~]{1,200}")
DESTINATION = re.compile(r"(?:^|[;,\s])dest\s*=\s*([0-9]{1,15})(?=$|[;,\s])")


class UnreadableMessageError(Exception):
    """A valid HTTP request is not a valid message of this protocol; the error text is sent to the client."""

    def __init__(self, header: str, problem: str) -> None:
        """Name the invalid header and describe the problem."""
        super().__init__(f"{header}: {problem}")
        self.header = header


def decode_message(request: HttpRequest, names: SettingsNames) -> Message:
    """Decode the message of a request; raises UnreadableMessageError."""
    headers = request.headers
    message_id = headers.get("x-correlation-id", "")
    if not MESSAGE_ID.fullmatch(message_id):
        raise UnreadableMessageError("X-Correlation-Id", "an id of printable characters is needed")
    class_index = _index(headers, "X-Service-Class", names.classes, "no such class")
    tenant = _index(headers, "X-Account", names.tenants, "no such account") if names.tenants else 0
    time_left_s = _time_left(headers, names.deadlines_s[class_index])
    return Message(
        message_id,
        class_index,
        tenant,
        _destination(headers),
        time_left_s,
        headers.get("idempotency-key"),
        request.body,
        _executed_ago(headers, message_id),
    )


def _index(headers: Mapping[str, str], header: str, names: tuple[str, ...], problem: str) -> int:
    try:
        return names.index(headers.get(header.lower(), ""))
    except ValueError:
        raise UnreadableMessageError(header, problem) from None


def _time_left(headers: Mapping[str, str], deadline_s: float) -> float:
    text = headers.get("x-time-left", "")
    if not DECIMAL.fullmatch(text):
        raise UnreadableMessageError("X-Time-Left", "seconds are needed")
    return min(float(text), deadline_s)


def _destination(headers: Mapping[str, str]) -> int:
    match = DESTINATION.search(headers.get("x-addressing", ""))
    if match is None:
        raise UnreadableMessageError("X-Addressing", "dest=NUMBER is needed")
    return int(match[1])


def _executed_ago(headers: Mapping[str, str], message_id: str) -> float | None:
    text = headers.get("x-kept-ran")
    if text is None:
        return None
    if not DECIMAL.fullmatch(text) or not is_redrive_id(message_id):
        raise UnreadableMessageError("X-Kept-Ran", "seconds are needed, and the id of a resend")
    return float(text)


def encode_reply(status: int, retry_after_s: float, close: bool, text: str = "") -> bytes:
    """Encode the reply to a message; a wait of 0 sends no Retry-After, an empty text no body."""
    headers = {"Retry-After": f"{retry_after_s:.3f}"} if retry_after_s > 0 else {}
    if text:
        headers["Content-Type"] = "text/plain; charset=utf-8"
    return encode_response(status, headers, f"{text}\n".encode() if text else b"", close)
