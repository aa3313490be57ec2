"""The health pages of this process: whether it is live, and whether it is ready to accept messages.

`client_session.py` answers every request that is not a message with `answer_page`.
"""

from __future__ import annotations

from dataclasses import dataclass

from juniperward.forwarder.codec import MESSAGE_PATH
from juniperward.net.http_responses import encode_response
from juniperward.net.http_status import HttpStatus
from juniperward.net.http_values import HttpRequest

LIVE_PATH = "/health/live"
READY_PATH = "/health/ready"


@dataclass(frozen=True, slots=True)
class Page:
    """A status and a plain-text body."""

    status: int
    body: bytes


def answer_page(request: HttpRequest, ready: bool, close: bool) -> bytes:
    """Return the encoded response to a request that is not a message.

    `ready` is the readiness of this process; with `close`, the connection is closed after the response.
    """
    page = _page(request, ready)
    headers = {"Content-Type": "text/plain; charset=utf-8"}
    if page.status == HttpStatus.METHOD_NOT_ALLOWED:
        headers["Allow"] = "POST" if request.path == MESSAGE_PATH else "GET, HEAD"
    data = encode_response(page.status, headers, page.body, close)
    return data.removesuffix(page.body) if request.method == "HEAD" else data


def _page(request: HttpRequest, ready: bool) -> Page:
    page = Page(HttpStatus.OK, b"ok\n")
    if request.path == MESSAGE_PATH:
        page = Page(HttpStatus.METHOD_NOT_ALLOWED, b"use POST\n")
    elif request.path not in (READY_PATH, LIVE_PATH):
        page = Page(HttpStatus.NOT_FOUND, b"no such page\n")
    elif request.method not in ("GET", "HEAD"):
        page = Page(HttpStatus.METHOD_NOT_ALLOWED, b"use GET\n")
    elif request.path == READY_PATH and not ready:
        page = Page(HttpStatus.SERVICE_UNAVAILABLE, b"not ready\n")
    return page
