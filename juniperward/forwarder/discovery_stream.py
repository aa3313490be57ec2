"""An incremental parser for the JSON objects of discovery's stream; it does no I/O.

Objects may be formatted in any way and be split between chunks at any byte.
"""

from __future__ import annotations

import json
import re
from typing import Any

MAX_OBJECT_BYTES = 4 * 1024 * 1024  # An indented endpoint list of about 10,000 servers fits.
JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')  # A JSON string contains no line break.
DECODER = json.JSONDecoder()


class ObjectTooLargeError(ValueError):
    """A JSON object is larger than `max_bytes`."""

    def __init__(self, max_bytes: int) -> None:
        """Create the error for a limit."""
        super().__init__(f"JSON object is larger than {max_bytes} bytes")
        self.max_bytes = max_bytes


class IncompleteObjectError(ValueError):
    """An empty line arrived inside a JSON object."""

    def __init__(self) -> None:
        """Create the error with its message."""
        super().__init__("JSON object is not complete before an empty line")


class JsonObjectParser:
    """Splits a stream into JSON objects, each of one or more lines; empty lines between objects are heartbeats."""

    def __init__(self) -> None:
        """Create a parser at the start of a stream."""
        # The complete lines of the partial object, their number of unclosed braces, and their total size.
        self._lines: list[bytes] = []
        self._open_brace_count = 0
        self._size_bytes = 0
        self._partial_line = b""

    @property
    def has_partial_object(self) -> bool:
        """Whether the input so far ends inside an object."""
        return bool(self._lines or self._partial_line)

    def feed(self, data: bytes) -> list[Any]:
        """Add bytes and return the objects that they complete.

        Raises:
            ValueError: if the input is not valid JSON, or an object is too large or incomplete.

        """
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        complete: list[Any] = []
        for line in lines:
            complete += self._add_line(line)
        complete += self._decode_partial_line()
        if self._size_bytes + len(self._partial_line) > MAX_OBJECT_BYTES:
            raise ObjectTooLargeError(MAX_OBJECT_BYTES)
        return complete

    def _add_line(self, line: bytes) -> list[Any]:
        """Add a line and return the objects that it completes."""
        if not line.strip():
            if self._lines:
                raise IncompleteObjectError
            return []
        self._lines.append(line)
        self._size_bytes += len(line)
        self._open_brace_count += _count_open_braces(line)
        if self._open_brace_count > 0:
            return []
        text = b"".join(self._lines)
        self._clear()
        return _decode(text)

    def _decode_partial_line(self) -> list[Any]:
        """Return objects that end in the partial line: its line break may arrive only with the next heartbeat."""
        if not self._partial_line.rstrip().endswith(b"}"):
            return []
        if self._open_brace_count + _count_open_braces(self._partial_line) != 0:
            return []
        try:
            complete = _decode(b"".join((*self._lines, self._partial_line)))
        except ValueError:
            return []  # The last brace is inside an incomplete string.
        self._clear()
        self._partial_line = b""
        return complete

    def _clear(self) -> None:
        self._lines = []
        self._open_brace_count = 0
        self._size_bytes = 0


def _count_open_braces(line: bytes) -> int:
    """Return the number of opening minus closing braces in a line, ignoring those in strings."""
    without_strings = JSON_STRING.sub(b"", line)
    return without_strings.count(b"{") - without_strings.count(b"}")


def _decode(data: bytes) -> list[Any]:
    """Return the consecutive JSON values of a text; raises ValueError if it is not valid JSON."""
    text = data.decode().strip()
    position = 0
    objects = []
    while position < len(text):
        value, position = DECODER.raw_decode(text, position)
        objects.append(value)
        while text[position : position + 1].isspace():
            position += 1
    return objects
