"""HTTP/1.1 requests: bytes of a stream to a value, and a request to bytes. No sockets."""

from __future__ import annotations

import re
from collections.abc import Callable

from juniperward.net.http_errors import (
    ConnectionClosedError,
    IncompleteMessageError,
    MalformedMessageError,
    MessageTimeoutError,
)
from juniperward.net.http_head import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    TOKEN_BYTES,
    VERSIONS,
    content_length,
    ends_connection,
    read_headers,
)
from juniperward.net.http_status import HttpStatus
from juniperward.net.http_values import HttpRequest
from juniperward.net.stream import Stream

TARGET_START = re.compile(rb"(?:[Hh][Tt][Tt][Pp]://[^/?#]+)?/")  # of a path, or of its absolute form
REQUEST_LINE_PARTS = 3


def _do_nothing() -> None:
    """Send no 100 (Continue)."""


def read_request(stream: Stream, send_continue: Callable[[], None] = _do_nothing) -> HttpRequest:
    """Return the next request; `send_continue` is called where the client waits for it before the body.

    Raises:
        ConnectionClosedError: where the client closes between two requests.
        MalformedMessageError: with the status to answer.
        IncompleteMessageError: where the client closes within a request, MessageTimeoutError where time is up.

    """
    method, target, version = _read_request_line(stream)
    headers = read_headers(stream)
    if "transfer-encoding" in headers:
        raise MalformedMessageError(HttpStatus.LENGTH_REQUIRED, "bodies are taken with a content-length only")
    length = content_length(headers) or 0
    if length > MAX_BODY_BYTES:
        raise MalformedMessageError(HttpStatus.CONTENT_TOO_LARGE, "the body is too large")
    if headers.get("expect", "").lower() == "100-continue" and len(stream.buffer) < length:
        send_continue()
    body = stream.read_exactly(length)
    path, _, _ = TARGET_START.sub(b"/", target, count=1).decode("latin-1").partition("?")
    return HttpRequest(method.decode(), path, headers, body, ends_connection(version, headers))


def _read_request_line(stream: Stream) -> tuple[bytes, bytes, bytes]:
    """Return method, target and version; empty lines ahead are skipped."""
    line = b""
    while not line:
        if not stream.buffer:
            _read_first_bytes(stream)
        line = stream.read_line(MAX_HEAD_BYTES, HttpStatus.HEADER_FIELDS_TOO_LARGE)
    parts = line.split(b" ")
    if len(parts) != REQUEST_LINE_PARTS:
        raise MalformedMessageError(HttpStatus.BAD_REQUEST, "the request line is malformed")
    method, target, version = parts
    if not method or not TOKEN_BYTES.issuperset(method) or not TARGET_START.match(target):
        raise MalformedMessageError(HttpStatus.BAD_REQUEST, "the request line is malformed")
    if version not in VERSIONS:
        is_http = version.startswith(b"HTTP/")
        status = HttpStatus.VERSION_NOT_SUPPORTED if is_http else HttpStatus.BAD_REQUEST
        raise MalformedMessageError(status, "not HTTP/1.1")
    return method, target, version


def _read_first_bytes(stream: Stream) -> None:
    try:
        stream.read_more()
    except MessageTimeoutError:
        raise
    except IncompleteMessageError as error:
        raise ConnectionClosedError from error


def encode_request(method: str, target: str, host: str, headers: dict[str, str], body: bytes | None) -> bytes:
    """Return the bytes of a request; without a body there is no Content-Length."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (body or b"")
