"""Reads the simulator's lines of JSON into batches; `adapter.serve` answers each batch.

A line is an object with a single key, its name, whose value is the object of its fields. A batch begins with a
`Mark`, which has its time and number, and ends with a `Go`.
"""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from juniperward.simulator_adapter.errors import MisplacedLineError, NotAnObjectError
from juniperward.simulator_adapter.wire import Fields


class Line(NamedTuple):
    """One line of the input."""

    name: str
    fields: Fields


class Batch(NamedTuple):
    """The lines of one moment; `turn` comes back in the answer."""

    time_ms: float
    turn: Any
    lines: list[Line]


class BatchReader:
    """Collects lines until a batch is complete."""

    def __init__(self) -> None:
        """Begin outside a batch."""
        self._mark: Fields | None = None
        self._lines: list[Line] = []

    @property
    def inside_batch(self) -> bool:
        """Whether a batch has begun that is not complete yet."""
        return self._mark is not None

    def add(self, text: str) -> Batch | None:
        """Add a line; returns the batch that it completes; raises WireError, ValueError or KeyError."""
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
    message = json.loads(text)
    if not isinstance(message, dict) or len(message) != 1:
        raise NotAnObjectError
    ((name, fields),) = message.items()
    if not isinstance(fields, dict):
        raise NotAnObjectError
    return Line(name, fields)
