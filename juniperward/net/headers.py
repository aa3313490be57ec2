"""The headers of an HTTP message, held as the bytes that were received.

A peer chooses the number of header lines. A look-up searches the bytes of all lines at once, so that neither the
memory of the headers nor the interpreter's work for them grows by an object or a step for each line.
"""

from __future__ import annotations

import functools
from collections.abc import Iterator, Mapping
from typing import TypeVar, overload

from juniperward.net.http_errors import MalformedMessageError
from juniperward.net.http_status import HttpStatus

T = TypeVar("T")

WHITESPACE = b" \t"
SINGLE_VALUE_HEADERS = (
    "content-length",
    "transfer-encoding",
    "host",
    "x-correlation-id",
    "x-time-left",
    "retry-after",
)


class Headers(Mapping[str, str]):
    """Header values by name in lower case; a value is decoded at each look-up.

    The values of a repeated header are joined by commas. Two copies of the lines are held, one of them in lower case
    for look-ups.
    """

    __slots__ = ("_lines", "_lookup_lines")

    def __init__(self, lines: bytes) -> None:
        """Use well-formed lines, each with a line feed as its end.

        Raises:
            MalformedMessageError: with status 400 if a header of SINGLE_VALUE_HEADERS is repeated.

        """
        self._lines = lines
        # The line feed in front lets a look-up find the first line like the others.
        self._lookup_lines = b"\n" + lines.lower()
        self._check_single_values()

    def _check_single_values(self) -> None:
        for prefix in SINGLE_VALUE_PREFIXES:
            first = self._lookup_lines.find(prefix)
            if first >= 0 and self._lookup_lines.find(prefix, first + 1) >= 0:
                name = prefix.strip(b"\n:").decode("ascii")
                raise MalformedMessageError(HttpStatus.BAD_REQUEST, f"{name} stands twice")

    @property
    def size_bytes(self) -> int:
        """The size of all lines, each with one byte for its line end."""
        return len(self._lines)

    def __getitem__(self, name: str) -> str:
        """Return the value of a header; raises KeyError if it is absent."""
        value = self._find_value(name)
        if value is None:
            raise KeyError(name)
        return value

    def __contains__(self, name: object) -> bool:
        """Return whether a header is present."""
        return isinstance(name, str) and self._lookup_lines.find(_line_prefix(name)) >= 0

    @overload
    def get(self, name: str, /) -> str | None: ...
    @overload
    def get(self, name: str, default: str, /) -> str: ...
    @overload
    def get(self, name: str, default: T, /) -> str | T: ...
    def get(self, name: str, default: T | None = None, /) -> str | T | None:
        """Return the value of a header, or a default if it is absent."""
        value = self._find_value(name)
        return default if value is None else value

    def _find_value(self, name: str) -> str | None:
        prefix = _line_prefix(name)
        found_at = self._lookup_lines.find(prefix)
        if found_at < 0:
            return None
        values = []
        while found_at >= 0:
            # A position in `_lookup_lines` is one more than in `_lines`, as is that of the line feed in `prefix`.
            value_at = found_at + len(prefix) - 1
            end = self._lines.find(b"\n", value_at)
            values.append(self._lines[value_at:end].strip(WHITESPACE))
            found_at = self._lookup_lines.find(prefix, end)
        return b", ".join(values).decode("latin-1")

    def __iter__(self) -> Iterator[str]:
        """Yield each name once, in the order received."""
        names = (line.partition(b":")[0] for line in self._lookup_lines[1:].splitlines())
        return iter(dict.fromkeys(name.decode("ascii") for name in names))

    def __len__(self) -> int:
        """Return the number of names."""
        return sum(1 for _ in self)


@functools.cache
def _line_prefix(name: str) -> bytes:
    """Return the bytes with which the line of a header begins in `_lookup_lines`, after the line before it.

    The names that are looked up are constants of the program, so the cache stays small.
    """
    return f"\n{name}:".encode("latin-1")


SINGLE_VALUE_PREFIXES = tuple(map(_line_prefix, SINGLE_VALUE_HEADERS))
