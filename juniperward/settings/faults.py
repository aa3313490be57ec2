"""What is wrong with a settings file: each fault with its file, line and field. `load` raises them all at once."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fault:
    """Something wrong with a settings file; `line` counts from 1, 0 where no line can be named."""

    file: str
    line: int
    field: str
    text: str

    def __str__(self) -> str:
        """Return the fault as one line: place, field, what is wrong."""
        place = f"{self.file}:{self.line}" if self.line else self.file
        return f"{place}: {self.field}: {self.text}" if self.field else f"{place}: {self.text}"


class SettingsError(Exception):
    """The file cannot be used; `faults` has all that was found, not only the first."""

    def __init__(self, faults: list[Fault]) -> None:
        """Take one fault at least."""
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults
