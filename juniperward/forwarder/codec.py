"""The client protocol over HTTP, as a codec before the reducer: a second protocol gets one of its own.

It turns a call into a `Call` and an answer of the reducer into bytes; it decides nothing.
"""

from __future__ import annotations

import re

from juniperward.forwarder.config import Names
from juniperward.forwarder.model import Message
from juniperward.kept.spool import PREFIX
from juniperward.net.http import DECIMAL, HttpCall, encode_response

PATH = "/api"
ID = re.compile(r"[!-+\--~]{1,200}")  # printable, and no comma: that is how repeated headers are joined
DESTINATION = re.compile(r"(?:^|[;,\s])dest\s*=\s*([0-9]{1,15})(?=$|[;,\s])")


class BadCall(Exception):
    """The call is HTTP but no message of this protocol; the text tells the client why."""


def decode_call(asked: HttpCall, names: Names) -> Message:
    """The message that a call hands in."""
    headers = asked.headers
    name = headers.get("x-correlation-id", "")
    if not ID.fullmatch(name):
        raise BadCall("X-Correlation-Id: an id of printable characters is needed")
    try:
        cls = names.classes.index(headers.get("x-service-class", ""))
    except ValueError:
        raise BadCall("X-Service-Class: no such class") from None
    tenant = 0
    if names.tenants:
        try:
            tenant = names.tenants.index(headers.get("x-account", ""))
        except ValueError:
            raise BadCall("X-Account: no such account") from None
    text = headers.get("x-time-left", "")
    if not DECIMAL.fullmatch(text):
        raise BadCall("X-Time-Left: seconds are needed")
    left = min(float(text), names.deadlines[cls])
    found = DESTINATION.search(headers.get("x-addressing", ""))
    if found is None:
        raise BadCall("X-Addressing: dest=NUMBER is needed")
    key = headers.get("idempotency-key")
    ran = headers.get("x-kept-ran")
    if ran is not None and (not DECIMAL.fullmatch(ran) or not name.startswith(PREFIX)):
        raise BadCall("X-Kept-Ran: seconds are needed, and the id of a resend")
    return Message(
        name, cls, tenant, int(found[1]), left, key, asked.body, float(ran) if ran is not None else None
    )


def encode_reply(status: int, retry_after: float, close: bool, text: str = "") -> bytes:
    """The answer to a message that was handed in."""
    headers = {"Retry-After": f"{retry_after:.3f}"} if retry_after > 0 else {}
    if text:
        headers["Content-Type"] = "text/plain; charset=utf-8"
    return encode_response(status, headers, f"{text}\n".encode() if text else b"", close)
