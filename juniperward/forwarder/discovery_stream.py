"""The JSON objects of discovery's stream, in any layout and cut at any byte. No I/O.

`discovery_watch.py` feeds the chunks of the stream in, and gets the objects that they complete.
"""

from __future__ import annotations

import json
import re
from typing import Any

MAX_OBJECT_BYTES = 4 * 1024 * 1024  # some 10,000 servers, indented
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')  # JSON has no line end inside a string
DECODER = json.JSONDecoder()


class ObjectTooLargeError(ValueError):
    """An object is larger than an endpoint list can be; `max_bytes` is the limit."""

    def __init__(self, max_bytes: int) -> None:
        """Name the limit."""
        super().__init__(f"an object of more than {max_bytes} bytes")
        self.max_bytes = max_bytes


class BrokenObjectError(ValueError):
    """An object is not complete, and an empty line follows."""

    def __init__(self) -> None:
        """Describe it."""
        super().__init__("an object that breaks off")


class JsonObjectParser:
    """Collects objects of one line or of several; an empty line between two of them is a heartbeat."""

    def __init__(self) -> None:
        """Begin between two objects."""
        self._lines: list[bytes] = []  # the complete lines of an object that is not complete
        self._depth = 0  # of braces that are open in them
        self._size = 0  # of them, in bytes
        self._partial_line = b""

    @property
    def begun(self) -> bool:
        """Whether an object has begun that is not complete."""
        return bool(self._lines or self._partial_line)

    def feed(self, data: bytes) -> list[Any]:
        """Return the objects that these bytes complete; raises ValueError for bytes that are not JSON."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        complete: list[Any] = []
        for line in lines:
            complete += self._add_line(line)
        complete += self._decode_partial_line()
        if self._size + len(self._partial_line) > MAX_OBJECT_BYTES:
            raise ObjectTooLargeError(MAX_OBJECT_BYTES)
        return complete

    def _add_line(self, line: bytes) -> list[Any]:
        """Add a line and return the objects that it completes."""
        if not line.strip():
            if self._lines:
                raise BrokenObjectError
            return []
        self._lines.append(line)
        self._size += len(line)
        self._depth += _open_braces(line)
        if self._depth > 0:
            return []
        text = b"".join(self._lines)
        self._clear()
        return _decode(text)

    def _decode_partial_line(self) -> list[Any]:
        """Return the objects that end without a line end, which may be as far away as the next heartbeat."""
        if not self._partial_line.rstrip().endswith(b"}"):
            return []
        if self._depth + _open_braces(self._partial_line) != 0:
            return []
        try:
            complete = _decode(b"".join((*self._lines, self._partial_line)))
        except ValueError:
            return []  # the brace is inside a string that is not complete
        self._clear()
        self._partial_line = b""
        return complete

    def _clear(self) -> None:
        self._lines = []
        self._depth = 0
        self._size = 0


def _open_braces(line: bytes) -> int:
    """Return how many braces of a line are open at its end; negative where it closes earlier ones."""
    without_strings = STRING.sub(b"", line)
    return without_strings.count(b"{") - without_strings.count(b"}")


def _decode(data: bytes) -> list[Any]:
    """Return the objects of a text, one after another; raises ValueError."""
    text = data.decode().strip()
    position = 0
    objects = []
    while position < len(text):
        value, position = DECODER.raw_decode(text, position)
        objects.append(value)
        while text[position : position + 1].isspace():
            position += 1
    return objects
