"""Parsing of what requests and responses have in common: header lines, Content-Length and Connection."""

from __future__ import annotations

import re
from collections.abc import Mapping

from juniperward.net.headers import Headers
from juniperward.net.http_errors import MalformedMessageError
from juniperward.net.http_status import HttpStatus
from juniperward.net.stream import Stream

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024
MAX_LENGTH_DIGITS = 11
# `content_length` returns this for more than MAX_LENGTH_DIGITS digits; it exceeds each limit of a body.
OVERSIZED_LENGTH_BYTES = 10**12
SUPPORTED_VERSIONS = (b"HTTP/1.1", b"HTTP/1.0")
# A line that does not begin with a name (RFC 9110: a token) and a colon.
MALFORMED_LINE = re.compile(rb"^(?![!#$%&'*+\-.^_`|~0-9A-Za-z]+:)", re.MULTILINE)
# All bytes but control characters; tabs are allowed, and the line feeds are those of the line ends.
HEADER_BYTES = b"\t\n" + bytes(range(0x20, 0x100))
TOKEN_BYTES = frozenset(b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")


def read_headers(stream: Stream, max_bytes: int = MAX_HEAD_BYTES) -> Headers:
    """Return the headers of a message; the empty line that ends them is read too.

    Raises:
        MalformedMessageError: for malformed lines, or lines of more than `max_bytes` together.
        IncompleteMessageError: if the stream ends or the time limit is reached before the empty line.

    """
    blocks: list[bytes] = []
    for block in stream.read_head_lines(max_bytes, HttpStatus.HEADER_FIELDS_TOO_LARGE):
        lines = block.replace(b"\r\n", b"\n")
        _check_lines(lines)
        blocks.append(lines)
    return Headers(b"".join(blocks))


def _check_lines(lines: bytes) -> None:
    # The end of the last line is left out, as an empty line would begin after it.
    if MALFORMED_LINE.search(lines, 0, len(lines) - 1):
        raise MalformedMessageError(HttpStatus.BAD_REQUEST, "a header line is malformed")
    if lines.translate(None, HEADER_BYTES):
        raise MalformedMessageError(HttpStatus.BAD_REQUEST, "a header has control characters")


def content_length(headers: Mapping[str, str]) -> int | None:
    """Return the value of Content-Length, None without the header; raises MalformedMessageError."""
    text = headers.get("content-length")
    if text is None:
        return None
    if not text.isascii() or not text.isdigit():
        raise MalformedMessageError(HttpStatus.BAD_REQUEST, "content-length is not a number")
    return int(text) if len(text) <= MAX_LENGTH_DIGITS else OVERSIZED_LENGTH_BYTES


def ends_connection(version: bytes, headers: Mapping[str, str]) -> bool:
    """Return whether the sender of this message closes the connection after the exchange."""
    options = {option.strip().lower() for option in headers.get("connection", "").split(",")}
    return "close" in options or (version == b"HTTP/1.0" and "keep-alive" not in options)
