"""Reading of HTTP/1.1 responses from a stream, and their encoding. No sockets are used here."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator, Mapping

from juniperward.net.headers import Headers
from juniperward.net.http_errors import IncompleteMessageError, MalformedMessageError
from juniperward.net.http_head import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    SUPPORTED_VERSIONS,
    content_length,
    ends_connection,
    read_headers,
)
from juniperward.net.http_status import FIRST_FINAL_STATUS, REASON_PHRASES, STATUSES_WITHOUT_BODY, HttpStatus
from juniperward.net.http_values import HttpResponse
from juniperward.net.stream import Stream

MAX_CHUNK_BYTES = 4 * 1024 * 1024  # A chunk from discovery may hold its complete endpoint list.
MAX_CHUNK_LINE_BYTES = 256
# The interpreter takes several steps for each chunk, however small it is.
MAX_BODY_CHUNKS = 512
MAX_INTERIM_RESPONSES = 16
# Checked before int(), which also accepts signs, underscores and blanks.
STATUS_CODE = re.compile(rb"[1-9][0-9]{2}")
CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,8}")


def _ignore_begun(_: bool) -> None:
    """Do nothing when a response begins."""


def read_head(stream: Stream, set_begun: Callable[[bool], None] = _ignore_begun) -> tuple[int, Headers, bool]:
    """Return the status and headers of a response, and whether the connection is closed after it.

    Up to MAX_INTERIM_RESPONSES interim (1xx) responses are skipped; the headers of all of them together may have
    MAX_HEAD_BYTES. `set_begun` is called with False before
    each head and with True once its first bytes are received, so that the caller can limit the time of the
    transfer apart from the time of the wait for it.

    Raises:
        MalformedMessageError: if the first status line is malformed.
        IncompleteMessageError: if the response is incomplete, or invalid after its status line. Its `status`
            is that of the last status line received, None if there was none.

    """
    status: int | None = None
    remaining_bytes = MAX_HEAD_BYTES
    for _ in range(MAX_INTERIM_RESPONSES + 1):
        try:
            _wait_for_response(stream, set_begun)
            version, status = _read_status_line(stream)
            headers = read_headers(stream, remaining_bytes)
        except (IncompleteMessageError, MalformedMessageError) as error:
            if status is None:
                raise
            raise IncompleteMessageError.after(status, error) from error
        if status >= FIRST_FINAL_STATUS:
            return status, headers, ends_connection(version, headers)
        remaining_bytes -= headers.size_bytes
    assert status is not None
    problem = MalformedMessageError(HttpStatus.BAD_REQUEST, "too many interim responses")
    raise IncompleteMessageError.after(status, problem)


def _wait_for_response(stream: Stream, set_begun: Callable[[bool], None]) -> None:
    """Wait for the first bytes of a response."""
    set_begun(False)
    if not stream.buffer:
        stream.read_more()
    set_begun(True)


def _read_status_line(stream: Stream) -> tuple[bytes, int]:
    parts = stream.read_line(MAX_HEAD_BYTES, HttpStatus.BAD_REQUEST).split(b" ", 2)
    if len(parts) < 2 or parts[0] not in SUPPORTED_VERSIONS or not STATUS_CODE.fullmatch(parts[1]):
        raise MalformedMessageError(HttpStatus.BAD_REQUEST, "the status line is malformed")
    return parts[0], int(parts[1])


def read_response(
    stream: Stream, set_begun: Callable[[bool], None] = _ignore_begun, max_body_bytes: int = MAX_BODY_BYTES
) -> HttpResponse:
    """Return a complete response; `set_begun` and the errors are those of `read_head`."""
    status, headers, close = read_head(stream, set_begun)
    try:
        body = _read_body(stream, status, headers, max_body_bytes)
    except (IncompleteMessageError, MalformedMessageError) as error:
        raise IncompleteMessageError.after(status, error) from error
    has_length = "transfer-encoding" in headers or "content-length" in headers
    ends_with_connection = not has_length and status not in STATUSES_WITHOUT_BODY
    return HttpResponse(status, headers, body, close or ends_with_connection)


def _read_body(stream: Stream, status: int, headers: Mapping[str, str], max_bytes: int) -> bytes:
    if status in STATUSES_WITHOUT_BODY:
        return b""
    if "transfer-encoding" in headers:
        return _read_chunked_body(stream, headers, max_bytes)
    length = content_length(headers)
    if length is None:
        return stream.read_to_end(max_bytes)
    if length > max_bytes:
        raise MalformedMessageError(HttpStatus.CONTENT_TOO_LARGE, "the body is too large")
    return stream.read_exactly(length)


def _read_chunked_body(stream: Stream, headers: Mapping[str, str], max_bytes: int) -> bytes:
    if headers["transfer-encoding"].lower() != "chunked" or "content-length" in headers:
        raise MalformedMessageError(
            HttpStatus.BAD_REQUEST, "the body has an unsupported transfer coding, or also a content-length"
        )
    body = bytearray()
    for number, chunk in enumerate(read_chunks(stream, max_bytes), 1):
        body += chunk
        if len(body) > max_bytes or number > MAX_BODY_CHUNKS:
            raise MalformedMessageError(
                HttpStatus.CONTENT_TOO_LARGE, "the body or its number of chunks is too large"
            )
    return bytes(body)


def read_chunks(stream: Stream, max_chunk_bytes: int = MAX_CHUNK_BYTES) -> Iterator[bytes]:
    """Yield the chunks of a body; raises MalformedMessageError or IncompleteMessageError."""
    while True:
        line = stream.read_line(MAX_CHUNK_LINE_BYTES, HttpStatus.BAD_REQUEST)
        size = line.split(b";", 1)[0].strip()
        length = int(size, 16) if CHUNK_SIZE.fullmatch(size) else -1
        if not 0 <= length <= max_chunk_bytes:
            raise MalformedMessageError(HttpStatus.BAD_REQUEST, "a chunk's size is malformed")
        if length == 0:
            read_headers(stream)  # The trailers are not used.
            return
        yield stream.read_exactly(length)
        if stream.read_line(2, HttpStatus.BAD_REQUEST):
            raise MalformedMessageError(HttpStatus.BAD_REQUEST, "a chunk is longer than its size")


def encode_response(status: int, headers: dict[str, str], body: bytes, close: bool) -> bytes:
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status:d} {REASON_PHRASES[status]}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
