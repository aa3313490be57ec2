"""Parsing of what requests and responses have in common: header lines, Content-Length and Connection."""

from __future__ import annotations

from juniperward.net.http_errors import MalformedMessageError
from juniperward.net.http_status import HttpStatus
from juniperward.net.stream import Stream

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024
MAX_LENGTH_DIGITS = 11
# `content_length` returns this for more than MAX_LENGTH_DIGITS digits; it exceeds each limit of a body.
OVERSIZED_LENGTH_BYTES = 10**12
SUPPORTED_VERSIONS = (b"HTTP/1.1", b"HTTP/1.0")
TOKEN_BYTES = frozenset(b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")
SINGLE_VALUE_HEADERS = (
    "content-length",
    "transfer-encoding",
    "host",
    "x-correlation-id",
    "x-time-left",
    "retry-after",
)


def read_headers(stream: Stream) -> dict[str, str]:
    """Return the headers by name in lower case; the values of a repeated header are joined.

    Raises:
        MalformedMessageError: for a malformed header line, or headers of more than MAX_HEAD_BYTES.
        IncompleteMessageError: if the stream ends or the time limit is reached before the empty line.

    """
    headers: dict[str, str] = {}
    remaining_bytes = MAX_HEAD_BYTES
    while line := stream.read_line(remaining_bytes, HttpStatus.HEADER_FIELDS_TOO_LARGE):
        remaining_bytes -= len(line)
        if remaining_bytes < 0:
            raise MalformedMessageError(HttpStatus.HEADER_FIELDS_TOO_LARGE, "the headers are too large")
        name, text = _parse_header(line)
        if name in headers:
            if name in SINGLE_VALUE_HEADERS:
                raise MalformedMessageError(HttpStatus.BAD_REQUEST, f"{name} stands twice")
            text = f"{headers[name]}, {text}"
        headers[name] = text
    return headers


def _parse_header(line: bytes) -> tuple[str, str]:
    name, colon, value = line.partition(b":")
    if not colon or not name or not TOKEN_BYTES.issuperset(name):
        raise MalformedMessageError(HttpStatus.BAD_REQUEST, "a header line is malformed")
    text = value.strip(b" \t").decode("latin-1")
    if any(c < " " and c != "\t" for c in text):
        raise MalformedMessageError(HttpStatus.BAD_REQUEST, "a header has control characters")
    return name.decode("ascii").lower(), text


def content_length(headers: dict[str, str]) -> int | None:
    """Return the value of Content-Length, None without the header; raises MalformedMessageError."""
    text = headers.get("content-length")
    if text is None:
        return None
    if not text.isascii() or not text.isdigit():
        raise MalformedMessageError(HttpStatus.BAD_REQUEST, "content-length is not a number")
    return int(text) if len(text) <= MAX_LENGTH_DIGITS else OVERSIZED_LENGTH_BYTES


def ends_connection(version: bytes, headers: dict[str, str]) -> bool:
    """Return whether the sender of this message closes the connection after the exchange."""
    options = {option.strip().lower() for option in headers.get("connection", "").split(",")}
    return "close" in options or (version == b"HTTP/1.0" and "keep-alive" not in options)
