"""The faults of a settings file, each with file, line and field, and the error that reports all of them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fault:
    """An error in a settings file.

    Attributes:
        file: The path of the file.
        line: The line, from 1; 0 if the fault belongs to no line.
        field: The path of the field, such as `instance[1].listen`; empty if the fault belongs to no field.
        text: What is wrong, or what is expected.

    """

    file: str
    line: int
    field: str
    text: str

    def __str__(self) -> str:
        """Return the fault as `FILE:LINE: FIELD: TEXT`."""
        place = f"{self.file}:{self.line}" if self.line else self.file
        return f"{place}: {self.field}: {self.text}" if self.field else f"{place}: {self.text}"


class SettingsError(Exception):
    """A settings file is unusable.

    Attributes:
        faults: All faults that were found in the file.

    """

    def __init__(self, faults: list[Fault]) -> None:
        """Take at least one fault."""
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults
