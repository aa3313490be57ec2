"""Collects the faults of a settings file, and finds the line of each."""

from __future__ import annotations

import re
from pathlib import Path

from juniperward.settings.faults import Fault, SettingsError
from juniperward.settings.line_index import field_lines

# Parts that occur once: faults name them without an index (`roll.floor`), the line index with one (`roll[0].floor`).
_SINGULAR_PARTS = re.compile(r"^(restart|patience|roll|logs|kept)\.(?:(pace)\.)?")


class FaultCollector:
    """The faults of one settings file, in the order in which they were added."""

    def __init__(self, file: Path, text: str) -> None:
        """Take the path of the file and its text, from which the lines of faults are taken."""
        self._file = file
        self._lines = field_lines(text)
        self._faults: list[Fault] = []

    def add(self, field: str, text: str) -> None:
        """Record a fault of a field; if the field is absent, it has the line of the part around it."""
        self._faults.append(Fault(str(self._file), self._line(field), field, text))

    def has(self, field: str) -> bool:
        """Return whether a fault of this field is recorded."""
        return any(fault.field == field for fault in self._faults)

    def raise_if_any(self) -> None:
        """Raise SettingsError with all faults if there are any."""
        if self._faults:
            raise SettingsError(self._faults)

    def _line(self, field: str) -> int:
        """Return the line of a field or of the innermost part around it that is in the file; else 0."""
        path = _SINGULAR_PARTS.sub(_add_index, field)
        while path:
            if path in self._lines:
                return self._lines[path]
            path = path.rpartition(".")[0]
        return 0


def _add_index(match: re.Match[str]) -> str:
    return "".join(f"{part}[0]." for part in match.groups() if part)
