"""Reading of HTTP/1.1 requests from a stream, and their encoding. No sockets are used here."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass

from juniperward.net.http_errors import (
    ConnectionClosedError,
    IncompleteMessageError,
    MalformedMessageError,
    MessageTimeoutError,
)
from juniperward.net.http_head import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    SUPPORTED_VERSIONS,
    TOKEN_BYTES,
    content_length,
    ends_connection,
    read_headers,
)
from juniperward.net.http_status import HttpStatus
from juniperward.net.http_values import HttpRequest
from juniperward.net.stream import Stream

# The start of a target in origin form (a path) or in absolute form (a URL).
TARGET_START = re.compile(rb"(?:[Hh][Tt][Tt][Pp]://[^/?#]+)?/")
REQUEST_LINE_PARTS = 3
INCOMPLETE_EMPTY_LINES = (b"", b"\r")


@dataclass(frozen=True, slots=True)
class RequestHooks:
    """What a server does while it reads a request.

    Attributes:
        send_continue: called if the client expects 100 (Continue).

    """

    send_continue: Callable[[], None]


NO_HOOKS = RequestHooks(lambda: None)


def read_request(stream: Stream, hooks: RequestHooks = NO_HOOKS) -> HttpRequest:
    """Return the next request.

    Raises:
        ConnectionClosedError: if the client closes the connection between two requests.
        MalformedMessageError: if the request is not valid; `status` is the status to answer.
        MessageTimeoutError: if the request is not complete within its time limit.
        IncompleteMessageError: if the client closes the connection before the end of the request.

    """
    method, target, version = _read_request_line(stream)
    headers = read_headers(stream)
    if "transfer-encoding" in headers:
        raise MalformedMessageError(HttpStatus.LENGTH_REQUIRED, "bodies are taken with a content-length only")
    length = content_length(headers) or 0
    if length > MAX_BODY_BYTES:
        raise MalformedMessageError(HttpStatus.CONTENT_TOO_LARGE, "the body is too large")
    if headers.get("expect", "").lower() == "100-continue" and len(stream.buffer) < length:
        hooks.send_continue()
    body = stream.read_exactly(length)
    path, _, _ = TARGET_START.sub(b"/", target, count=1).decode("latin-1").partition("?")
    return HttpRequest(method.decode(), path, headers, body, ends_connection(version, headers))


def _read_request_line(stream: Stream) -> tuple[bytes, bytes, bytes]:
    """Return method, target and version; empty lines before the request line are skipped."""
    _skip_empty_lines(stream)
    line = stream.read_line(MAX_HEAD_BYTES, HttpStatus.HEADER_FIELDS_TOO_LARGE)
    parts = line.split(b" ")
    if len(parts) != REQUEST_LINE_PARTS:
        raise MalformedMessageError(HttpStatus.BAD_REQUEST, "the request line is malformed")
    method, target, version = parts
    if not method or not TOKEN_BYTES.issuperset(method) or not TARGET_START.match(target):
        raise MalformedMessageError(HttpStatus.BAD_REQUEST, "the request line is malformed")
    if version not in SUPPORTED_VERSIONS:
        is_http = version.startswith(b"HTTP/")
        status = HttpStatus.VERSION_NOT_SUPPORTED if is_http else HttpStatus.BAD_REQUEST
        raise MalformedMessageError(status, "not HTTP/1.1")
    return method, target, version


def _skip_empty_lines(stream: Stream) -> None:
    """Wait for the first byte of a request line, and remove the empty lines before it."""
    remaining_bytes = MAX_HEAD_BYTES - stream.skip_empty_lines()
    while stream.buffer in INCOMPLETE_EMPTY_LINES:
        _read_first_bytes(stream)
        remaining_bytes -= stream.skip_empty_lines()
        if remaining_bytes < 0:
            raise MalformedMessageError(HttpStatus.HEADER_FIELDS_TOO_LARGE, "too many empty lines")


def _read_first_bytes(stream: Stream) -> None:
    try:
        stream.read_more()
    except MessageTimeoutError:
        raise
    except IncompleteMessageError as error:
        raise ConnectionClosedError from error


def encode_request(method: str, target: str, host: str, headers: dict[str, str], body: bytes | None) -> bytes:
    """Return the bytes of a request; without a body it has no Content-Length."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (body or b"")
