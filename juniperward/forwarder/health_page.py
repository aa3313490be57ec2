"""The pages beside the message API: whether the process lives, and whether it takes messages."""

from __future__ import annotations

from juniperward.forwarder.codec import MESSAGE_PATH
from juniperward.net.http import HttpRequest, encode_response

LIVE_PATH, READY_PATH = "/health/live", "/health/ready"


def answer_page(request: HttpRequest, ready: bool, close: bool) -> bytes:
    """Return the answer to a request that brings no message."""
    status, body = _page(request, ready)
    headers = {"Content-Type": "text/plain; charset=utf-8"}
    if status == 405:
        headers["Allow"] = "POST" if request.path == MESSAGE_PATH else "GET, HEAD"
    data = encode_response(status, headers, body, close)
    return data if request.method != "HEAD" else data[: len(data) - len(body)]


def _page(request: HttpRequest, ready: bool) -> tuple[int, bytes]:
    page = 200, b"ok\n"
    if request.path == MESSAGE_PATH:
        page = 405, b"use POST\n"
    elif request.path not in (READY_PATH, LIVE_PATH):
        page = 404, b"no such page\n"
    elif request.method not in ("GET", "HEAD"):
        page = 405, b"use GET\n"
    elif request.path == READY_PATH and not ready:
        page = 503, b"not ready\n"
    return page
