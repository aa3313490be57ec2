"""HTTP/1.1: a parser and an encoder, no sockets. A `Stream` reads from whatever `receive` gives."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from juniperward.net.http_errors import (
    ConnectionClosedError,
    IncompleteMessageError,
    MalformedMessageError,
    MessageTimeoutError,
)

MOST_HEAD, MOST_BODY, MOST_CHUNK = 16 * 1024, 64 * 1024, 4 * 1024 * 1024  # a chunk holds a whole list
WITHOUT_BODY = (204, 304)  # statuses
MOST_INTERIM = 16  # 1xx answers ahead of one that counts
REASONS = {
    200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 403: "Forbidden", 404: "Not Found",
    405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict", 411: "Length Required",
    413: "Content Too Large", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
    500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}  # fmt: skip
STATUS, HEX = re.compile(rb"[1-9][0-9]{2}"), re.compile(rb"[0-9A-Fa-f]{1,8}")  # int() takes far more
# Seconds as a header gives them, with as many decimals as a program may print of a double; float() takes far more.
DECIMAL = re.compile(r"[0-9]{1,9}(?:\.[0-9]{0,60})?|\.[0-9]{1,60}")
ONCE = ("content-length", "transfer-encoding", "host", "x-correlation-id", "x-time-left", "retry-after")
TARGET = re.compile(rb"(?:[Hh][Tt][Tt][Pp]://[^/?#]+)?/")  # of a request: a path, or the absolute form of it
VERSIONS = (b"HTTP/1.1", b"HTTP/1.0")
TOKEN = frozenset(b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A call with its whole body."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    close: bool


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response with its whole body."""

    status: int
    headers: dict[str, str]
    body: bytes
    close: bool


class Stream:
    """Bytes as they come, cut at any place."""

    def __init__(self, receive: Callable[[int], bytes]) -> None:
        """Read by a function that returns some bytes, none at the end."""
        self.receive = receive
        self.buffer = bytearray()

    def _more(self) -> None:
        try:
            data = self.receive(16384)
        except (TimeoutError, BlockingIOError) as error:
            raise MessageTimeoutError from error
        except ConnectionError as error:
            raise IncompleteMessageError(str(error)) from error
        if not data:
            raise IncompleteMessageError("closed")
        self.buffer += data

    def line(self, most: int, status: int) -> bytes:
        """Up to the next line end, which is left out."""
        start = 0
        while (end := self.buffer.find(b"\n", start)) < 0:
            if len(self.buffer) > most:
                raise MalformedMessageError(status, "a line is too long")
            start = len(self.buffer)
            self._more()
        text = bytes(self.buffer[:end])
        del self.buffer[: end + 1]
        return text.removesuffix(b"\r")

    def exactly(self, length: int) -> bytes:
        """So many bytes."""
        while len(self.buffer) < length:
            self._more()
        data = bytes(self.buffer[:length])
        del self.buffer[:length]
        return data

    def rest(self, most: int) -> bytes:
        """All until the other side closes."""
        try:
            while len(self.buffer) <= most:
                self._more()
        except MessageTimeoutError:
            raise
        except IncompleteMessageError:
            data = bytes(self.buffer)
            self.buffer.clear()
            return data
        raise MalformedMessageError(413, "the body is too large")


def _headers(stream: Stream) -> dict[str, str]:
    headers: dict[str, str] = {}
    left = MOST_HEAD
    while line := stream.line(left, 431):
        left -= len(line)
        if left < 0:
            raise MalformedMessageError(431, "the headers are too large")
        name, colon, value = line.partition(b":")
        if not colon or not name or not TOKEN.issuperset(name):
            raise MalformedMessageError(400, "a header line is malformed")
        key, text = name.decode("ascii").lower(), value.strip(b" \t").decode("latin-1")
        if any(c < " " and c != "\t" for c in text):
            raise MalformedMessageError(400, "a header has control characters")
        if key in headers:
            if key in ONCE:
                raise MalformedMessageError(400, f"{key} stands twice")
            text = f"{headers[key]}, {text}"
        headers[key] = text
    return headers


def _length(headers: dict[str, str]) -> int | None:
    text = headers.get("content-length")
    if text is None:
        return None
    if not text.isascii() or not text.isdigit():
        raise MalformedMessageError(400, "content-length is not a number")
    return int(text) if len(text) < 12 else 10**12


def _closes(version: bytes, headers: dict[str, str]) -> bool:
    words = {w.strip().lower() for w in headers.get("connection", "").split(",")}
    return "close" in words or (version == b"HTTP/1.0" and "keep-alive" not in words)


def read_request(stream: Stream, go_on: Callable[[], None] = lambda: None) -> HttpRequest:
    """The next call; raises ConnectionClosedError where the other side ends between two.

    `go_on` is called where the other side waits for a 100 before it sends the body.
    """
    first = b""
    while not first:
        if not stream.buffer:
            try:
                stream._more()
            except MessageTimeoutError:
                raise
            except IncompleteMessageError as error:
                raise ConnectionClosedError from error
        first = stream.line(MOST_HEAD, 431)
    parts = first.split(b" ")
    if len(parts) != 3 or not parts[0] or not TOKEN.issuperset(parts[0]) or not TARGET.match(parts[1]):
        raise MalformedMessageError(400, "the request line is malformed")
    method, target, version = parts
    if version not in VERSIONS:
        raise MalformedMessageError(505 if version.startswith(b"HTTP/") else 400, "not HTTP/1.1")
    headers = _headers(stream)
    if "transfer-encoding" in headers:
        raise MalformedMessageError(411, "bodies are taken with a content-length only")
    length = _length(headers) or 0
    if length > MOST_BODY:
        raise MalformedMessageError(413, "the body is too large")
    if headers.get("expect", "").lower() == "100-continue" and len(stream.buffer) < length:
        go_on()
    body = stream.exactly(length)
    path = TARGET.sub(b"/", target, count=1).decode("latin-1").split("?", 1)[0]
    return HttpRequest(method.decode(), path, headers, body, _closes(version, headers))


def _ignore(_: bool) -> None:
    """Take no note of whether a head has begun."""


def read_head(stream: Stream, begun: Callable[[bool], None] = _ignore) -> tuple[int, dict[str, str], bool]:
    """Return status, headers and whether the connection ends, of a response; a few 1xx are passed over.

    `begun` is told whether a head has begun: before, its writer may take its time, then no more. An error raised
    after a status line has come is an IncompleteMessageError that has the status.
    """
    status: int | None = None
    for _ in range(MOST_INTERIM + 1):
        try:
            begun(False)
            if not stream.buffer:
                stream._more()
            begun(True)
            version, status = _status_line(stream)
            headers = _headers(stream)
        except (IncompleteMessageError, MalformedMessageError) as error:
            if status is None:
                raise
            raise IncompleteMessageError.after(status, error) from error
        if status >= 200:
            return status, headers, _closes(version, headers)
    assert status is not None
    raise IncompleteMessageError.after(status, MalformedMessageError(400, "no end of interim answers"))


def _status_line(stream: Stream) -> tuple[bytes, int]:
    parts = stream.line(MOST_HEAD, 400).split(b" ", 2)
    if len(parts) < 2 or parts[0] not in VERSIONS or not STATUS.fullmatch(parts[1]):
        raise MalformedMessageError(400, "the status line is malformed")
    return parts[0], int(parts[1])


def read_response(
    stream: Stream, begun: Callable[[bool], None] = _ignore, most: int = MOST_BODY
) -> HttpResponse:
    """Return a whole response with a body of `most` bytes at most; `begun` and errors as in `read_head`."""
    status, headers, close = read_head(stream, begun)
    try:
        body = _body(stream, status, headers, most)
    except (IncompleteMessageError, MalformedMessageError) as error:
        raise IncompleteMessageError.after(status, error) from error
    ends = "transfer-encoding" not in headers and "content-length" not in headers
    return HttpResponse(status, headers, body, close or (ends and status not in WITHOUT_BODY))


def _body(stream: Stream, status: int, headers: dict[str, str], most: int) -> bytes:
    if status in WITHOUT_BODY:
        return b""
    if "transfer-encoding" in headers:
        return _chunked_body(stream, headers, most)
    length = _length(headers)
    if length is None:
        return stream.rest(most)
    if length > most:
        raise MalformedMessageError(413, "the body is too large")
    return stream.exactly(length)


def _chunked_body(stream: Stream, headers: dict[str, str], most: int) -> bytes:
    if headers["transfer-encoding"].lower() != "chunked" or "content-length" in headers:
        raise MalformedMessageError(400, "the length of the body is not clear")
    body = b""
    for chunk in read_chunks(stream, most):
        body += chunk
        if len(body) > most:
            raise MalformedMessageError(413, "the body is too large")
    return body


def read_chunks(stream: Stream, most: int = MOST_CHUNK) -> Iterator[bytes]:
    """The pieces of a chunked body, until its last."""
    while True:
        size = stream.line(256, 400).split(b";", 1)[0].strip()
        length = int(size, 16) if HEX.fullmatch(size) else -1
        if not 0 <= length <= most:
            raise MalformedMessageError(400, "a chunk's size is malformed")
        if length == 0:
            _headers(stream)
            return
        yield stream.exactly(length)
        if stream.line(2, 400):
            raise MalformedMessageError(400, "a chunk does not end where it should")


def encode_request(method: str, target: str, host: str, headers: dict[str, str], body: bytes | None) -> bytes:
    """A call as it is written."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}", *(f"{k}: {v}" for k, v in headers.items())]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (body or b"")


def encode_response(status: int, headers: dict[str, str], body: bytes, close: bool) -> bytes:
    """A response as it is written."""
    lines = [f"HTTP/1.1 {status} {REASONS[status]}", *(f"{k}: {v}" for k, v in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
