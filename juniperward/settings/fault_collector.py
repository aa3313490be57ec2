"""Collects every fault of a settings file, each with its line; the checkers of its parts add to it."""

from __future__ import annotations

import re
from pathlib import Path

from juniperward.settings.faults import Fault, SettingsError
from juniperward.settings.line_index import field_lines

# Parts that a file has once are named without a number in a fault, and with one in the index of lines.
_SINGLE_PARTS = re.compile(r"^(restart|patience|roll|logs|kept)\.(?:(pace)\.)?")


class FaultCollector:
    """The faults of one file, in the order in which they are found."""

    def __init__(self, file: Path, text: str) -> None:
        """Take the file's name and its text, which gives the lines."""
        self._file = file
        self._lines = field_lines(text)
        self._faults: list[Fault] = []

    def add(self, field: str, text: str) -> None:
        """Record a fault at a field, or where that is absent at the part that should have it."""
        self._faults.append(Fault(str(self._file), self._line(field), field, text))

    def has(self, field: str) -> bool:
        """Return whether a fault is recorded at this field."""
        return any(fault.field == field for fault in self._faults)

    def raise_if_any(self) -> None:
        """Raise SettingsError with all faults, if there are any."""
        if self._faults:
            raise SettingsError(self._faults)

    def _line(self, field: str) -> int:
        """Return the line of a field or of the nearest part around it; 0 where none is in the file."""
        place = _SINGLE_PARTS.sub(_indexed, field)
        while place:
            if place in self._lines:
                return self._lines[place]
            place = place.rpartition(".")[0]
        return 0


def _indexed(found: re.Match[str]) -> str:
    """Return the parts of a field's name as the lines are indexed."""
    return "".join(f"{part}[0]." for part in found.groups() if part)
