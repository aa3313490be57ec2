"""What can be read of an HTTP/1.1 response of which only the first bytes have arrived, or which is malformed.

A response that `http_responses.py` could not read completely may have said something nevertheless: its status code,
some of its header lines, a part of its body. `parse_partial_response` finds out what, for any number of bytes.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from juniperward.net.http_responses import CHUNK_SIZE, MAX_CHUNK_LINE_BYTES, MAX_INTERIM_RESPONSES
from juniperward.net.http_status import FIRST_FINAL_STATUS

# A status code is known with its third digit, as all of them have three.
STATUS_LINE_START = re.compile(rb"HTTP/1\.[01] ([1-9][0-9]{2})(?=[ \r\n]|\Z)")
HEAD_END = re.compile(rb"\n\r?\n")
CHUNKED = re.compile(rb"^transfer-encoding:[ \t]*chunked[ \t]*\r?$", re.IGNORECASE | re.MULTILINE)


@dataclass(frozen=True, slots=True)
class PartialResponse:
    """The known part of a response.

    Attributes:
        status: The status code of the final response, None if it is not known.
        has_status_line: Whether the whole status line is known.
        head: The bytes of the header lines that are known; the last line may be a part.
        has_head: Whether all header lines are known.
        body: The known bytes of the body, without those that a transfer coding adds.
    """

    status: int | None = None
    has_status_line: bool = False
    head: bytes = b""
    has_head: bool = False
    body: bytes = b""

    def header_values(self, name: str) -> list[str]:
        """Return the values of all header lines with a name; the value of the last line may be a part of it."""
        pattern = rb"^" + re.escape(name.encode("ascii")) + rb":[ \t]*([^\r\n]*)"
        values = re.findall(pattern, self.head, re.IGNORECASE | re.MULTILINE)
        return [value.strip().decode("latin-1") for value in values]


NOTHING_KNOWN = PartialResponse()


def parse_partial_response(received: bytes) -> PartialResponse:
    """Return what is known of the final response in `received`, all that a connection has received for a request."""
    begin = 0
    for _ in range(MAX_INTERIM_RESPONSES + 1):
        match = STATUS_LINE_START.match(received, begin)
        if match is None:
            break
        status = int(match[1])
        line_end = received.find(b"\n", match.end())
        head_end = HEAD_END.search(received, line_end) if line_end >= 0 else None
        if status >= FIRST_FINAL_STATUS:
            return _known_part(received, status, line_end, head_end)
        if head_end is None:
            break
        begin = head_end.end()
    return NOTHING_KNOWN


def _known_part(
    received: bytes, status: int, line_end: int, head_end: re.Match[bytes] | None
) -> PartialResponse:
    if line_end < 0:
        return PartialResponse(status)
    if head_end is None:
        return PartialResponse(status, True, received[line_end + 1 :])
    head, body = received[line_end + 1 : head_end.start() + 1], received[head_end.end() :]
    return PartialResponse(status, True, head, True, _without_chunks(body) if CHUNKED.search(head) else body)


def _without_chunks(data: bytes) -> bytes:
    """Return the data of the chunks that are known, the last one as far as it is."""
    parts: list[bytes] = []
    begin = 0
    while (line_end := data.find(b"\n", begin, begin + MAX_CHUNK_LINE_BYTES)) >= 0:
        size = data[begin:line_end].split(b";", 1)[0].strip()
        length = int(size, 16) if CHUNK_SIZE.fullmatch(size) else 0
        if length == 0:
            break
        parts.append(data[line_end + 1 : line_end + 1 + length])
        next_line = data.find(b"\n", line_end + 1 + length)
        if next_line < 0:
            break
        begin = next_line + 1
    return b"".join(parts)
