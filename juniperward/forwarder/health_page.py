"""The pages for health checks of this process: whether it runs, and whether it accepts messages.

`client_session.py` answers each request that is not a message by `answer_page`.
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
    """A status, and a body of plain text."""

    status: int
    body: bytes


def answer_page(request: HttpRequest, ready: bool, close: bool) -> bytes:
    """Return the bytes of the answer to a request that is not a message."""
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
