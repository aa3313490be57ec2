"""Reports of measurements: tables in Markdown, with the date, the machine, the seed and the command."""

from __future__ import annotations

import os
import sys
from datetime import UTC, datetime
from pathlib import Path

Row = list[str]


class Report:
    """Lines of Markdown, printed as they come and written in the end."""

    def __init__(self, title: str, command: str, seed: int) -> None:
        """Begin with the title, the date, the machine, the seed and the command."""
        self.lines = [
            f"# {title}", "", f"{datetime.now(UTC):%Y-%m-%d}; {machine()}; seed {seed}; `{command}`", "",
        ]  # fmt: skip
        print("\n".join(self.lines), flush=True)

    def say(self, text: str) -> None:
        """Add a paragraph."""
        self.add([text, ""])

    def table(self, head: Row, rows: list[Row]) -> None:
        """Add a table."""
        made = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
        self.add([*made, *("| " + " | ".join(r) + " |" for r in rows), ""])

    def add(self, lines: list[str]) -> None:
        """Add lines as they are."""
        self.lines += lines
        print("\n".join(lines), flush=True)

    def write(self, file: Path) -> None:
        """Write all to a file."""
        file.parent.mkdir(parents=True, exist_ok=True)
        file.write_text("\n".join(self.lines).rstrip() + "\n")


def quantile(values: list[float], fraction: float) -> float:
    """Return the value below which that fraction lies; 0 of none."""
    ordered = sorted(values)
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)] if ordered else 0.0


def machine() -> str:
    """Return what a measurement was made on."""
    memory_gib = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2**30
    return f"{os.cpu_count()} cores, {memory_gib:.0f} GiB, Python {sys.version.split()[0]}"
