"""Parses the simulator's JSON lines into batches.

A line is an object with a single key, the name of the line; the value is an object with its fields. A batch
begins with a `Mark` line, which has its time and its turn, and ends with a `Go` line.
"""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from juniperward.simulator_adapter.errors import MisplacedLineError, NotAnObjectError
from juniperward.simulator_adapter.wire import Fields


class Line(NamedTuple):
    """The name and the fields of an input line."""

    name: str
    fields: Fields


class Batch(NamedTuple):
    """The lines between a `Mark` and its `Go`; the answer repeats `turn`."""

    time_ms: float
    turn: Any
    lines: list[Line]


class BatchReader:
    """Collects lines until they form a complete batch."""

    def __init__(self) -> None:
        """Create a reader that expects the beginning of a batch."""
        self._mark: Fields | None = None
        self._lines: list[Line] = []

    @property
    def inside_batch(self) -> bool:
        """Whether a batch has begun and is not complete."""
        return self._mark is not None

    def add(self, text: str) -> Batch | None:
        """Add a line and return the batch that it completes, None if there is none.

        Raises WireError for a line that is misplaced or not an object, ValueError for invalid JSON, and
        KeyError for a `Mark` without time or turn.
        """
        line = _parse(text)
        match line.name, self._mark:
            case "Mark", None:
                self._mark = line.fields
                self._lines = []
            case (name, None):
                raise MisplacedLineError(name, inside_batch=False)
            case "Mark", _:
                raise MisplacedLineError(line.name, inside_batch=True)
            case "Go", mark:
                self._mark = None
                return Batch(mark["TimeMs"], mark["turn"], self._lines)
            case _:
                self._lines.append(line)
        return None


def _parse(text: str) -> Line:
    value = json.loads(text)
    if not isinstance(value, dict) or len(value) != 1:
        raise NotAnObjectError
    ((name, fields),) = value.items()
    if not isinstance(fields, dict):
        raise NotAnObjectError
    return Line(name, fields)
