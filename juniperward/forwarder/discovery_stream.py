"""Discovery's stream of changes: JSON objects in whatever layout, cut at any byte. No I/O."""

from __future__ import annotations

import json
import re
from typing import Any

MOST_OBJECT_BYTES = 4 * 1024 * 1024  # some 10,000 servers, indented
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')  # JSON has no line end inside a string
DECODER = json.JSONDecoder()


class ObjectTooLargeError(ValueError):
    """An object is larger than any list could be."""

    def __init__(self) -> None:
        """Describe it."""
        super().__init__("an object that is too large")


class BrokenObjectError(ValueError):
    """An object breaks off."""

    def __init__(self) -> None:
        """Describe it."""
        super().__init__("an object that breaks off")


class JsonObjects:
    """Collects objects of one line or of several; an empty line is a sign of life between two of them."""

    def __init__(self) -> None:
        """Begin between two objects."""
        self.lines: list[bytes] = []  # whole lines of an object that is not whole
        self.depth = self.size = 0
        self.rest = b""  # of a line that is not whole

    @property
    def begun(self) -> bool:
        """Whether an object has begun that is not whole."""
        return bool(self.lines or self.rest)

    def feed(self, data: bytes) -> list[Any]:
        """Return the objects that these bytes complete; raises ValueError where what came is none."""
        *lines, self.rest = (self.rest + data).split(b"\n")
        found = []
        for line in lines:
            found += self._line(line)
        if self.rest.rstrip().endswith(b"}") and self.depth + _opened(self.rest) == 0:
            # Its line end may be as far away as the next sign of life.
            try:
                early = _decode(b"".join((*self.lines, self.rest)))
            except ValueError:
                pass  # the brace stood in a string that goes on
            else:
                found += early
                self._clear()
                self.rest = b""
        if self.size + len(self.rest) > MOST_OBJECT_BYTES:
            raise ObjectTooLargeError
        return found

    def _line(self, line: bytes) -> list[Any]:
        if not line.strip():
            if self.lines:
                raise BrokenObjectError
            return []
        self.lines.append(line)
        self.size += len(line)
        self.depth += _opened(line)
        if self.depth > 0:
            return []
        text = b"".join(self.lines)
        self._clear()
        return _decode(text)

    def _clear(self) -> None:
        self.lines, self.depth, self.size = [], 0, 0


def _opened(line: bytes) -> int:
    bare = STRING.sub(b"", line)
    return bare.count(b"{") - bare.count(b"}")


def _decode(data: bytes) -> list[Any]:
    text, at, found = data.decode().strip(), 0, []
    while at < len(text):
        value, at = DECODER.raw_decode(text, at)
        found.append(value)
        while text[at : at + 1].isspace():
            at += 1
    return found
