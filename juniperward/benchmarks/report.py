"""Reports of measurements: tables in Markdown, with the date, the machine, the seed and the command."""

from __future__ import annotations

import os
import sys
from datetime import UTC, datetime
from pathlib import Path

Row = list[str]


class Report:
    """A page of Markdown; each line is printed when it is added, and `write` writes the page to a file."""

    def __init__(self, title: str, command: str, seed: int) -> None:
        """Add the title, and a line with the date, the machine, the seed and the command."""
        self.lines = [
            f"# {title}", "", f"{datetime.now(UTC):%Y-%m-%d}; {machine()}; seed {seed}; `{command}`", "",
        ]  # fmt: skip
        print("\n".join(self.lines), flush=True)

    def add_paragraph(self, text: str) -> None:
        """Add a paragraph."""
        self.add_lines([text, ""])

    def add_table(self, head: Row, rows: list[Row]) -> None:
        """Add a table with the column titles `head`."""
        header = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
        self.add_lines([*header, *("| " + " | ".join(row) + " |" for row in rows), ""])

    def add_lines(self, lines: list[str]) -> None:
        """Add lines of Markdown unchanged."""
        self.lines += lines
        print("\n".join(lines), flush=True)

    def write(self, file: Path) -> None:
        """Write the page to a file; missing folders are created."""
        file.parent.mkdir(parents=True, exist_ok=True)
        file.write_text("\n".join(self.lines).rstrip() + "\n")


def quantile(values: list[float], fraction: float) -> float:
    """Return the value below which `fraction` of the values lie, or 0 if there are no values."""
    ordered = sorted(values)
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)] if ordered else 0.0


def machine() -> str:
    """Return the number of cores, the memory and the Python version of this machine."""
    memory_gib = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2**30
    return f"{os.cpu_count()} cores, {memory_gib:.0f} GiB, Python {sys.version.split()[0]}"
