"""What all forwarders of a fleet did, counted by second and by destination, and its tables.

`traces` reads the forwarders' traces into `FleetCounts`; `format_tables` prints them for a person.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

DEFAULT_LATENCY_OBJECTIVE_S = 3.0  # where no forwarder traced its settings

# The columns are the names that counts have in the tables; people compare them with tables of earlier runs.
COLUMNS = (
    "asked", "door", "calls", "again", "ok", "full", "told", "tables", "failed", "opened", "in_time", "late",
    "given_up", "sick",
)  # fmt: skip
HEAD = " ".join(f"{column:>8}" for column in COLUMNS)


@dataclass(slots=True)
class FleetCounts:
    """All that was counted: `counts` has a dict by column for each second since `began_at` and destination."""

    counts: dict[tuple[int, int], dict[str, int]] = field(default_factory=dict)
    rates: dict[int, float] = field(default_factory=dict)  # by destination: as listed, calls a second
    delays_s: dict[int, list[float]] = field(default_factory=dict)  # by second: from accepted to delivered
    unread: list[str] = field(default_factory=list)  # the first lines that could not be read
    unread_count: int = 0
    forwarders: int = 0
    lines: int = 0
    latency_objective_s: float = DEFAULT_LATENCY_OBJECTIVE_S
    began_at: float = math.inf  # the time of the first line of all

    def add(self, at: float, destination: int, column: str, by: int = 1) -> None:
        """Add to a column of the destination's second in which `at` lies."""
        row = self.counts.setdefault((int(at - self.began_at), destination), {})
        row[column] = row.get(column, 0) + by

    def add_delay(self, at: float, delay_s: float) -> None:
        """Add the delay of a message that was delivered at `at`."""
        self.delays_s.setdefault(int(at - self.began_at), []).append(delay_s)

    def rows(self, destination: int | None = None) -> list[tuple[int, dict[str, int]]]:
        """Return (second, counts), of one destination or of all together."""
        return self._sum(lambda second, counted: second if destination in (None, counted) else None)

    def by_destination(self) -> list[tuple[int, dict[str, int]]]:
        """Return (destination, counts) over all seconds."""
        return self._sum(lambda _, counted: counted)

    def peak(self, destination: int) -> int:
        """Return the most calls that all forwarders made to a destination within a second."""
        rows = (row for (_, counted), row in self.counts.items() if counted == destination)
        return max((row.get("calls", 0) for row in rows), default=0)

    def _sum(self, key: Callable[[int, int], int | None]) -> list[tuple[int, dict[str, int]]]:
        """Return the sums by `key(second, destination)`, sorted; what has the key None is left out."""
        sums: dict[int, dict[str, int]] = {}
        for (second, destination), counted in self.counts.items():
            group = key(second, destination)
            if group is None:
                continue
            row = sums.setdefault(group, {})
            for column, number in counted.items():
                row[column] = row.get(column, 0) + number
        return sorted(sums.items())


def format_tables(fleet: FleetCounts, destination: int | None = None) -> str:
    """Return the table by second, of one destination or all; with all, also the table by destination."""
    lines = [
        f"{fleet.forwarders} forwarders, {fleet.lines} lines, {fleet.unread_count} of them not read, "
        f"in time within {fleet.latency_objective_s:g} s"
    ]
    lines += fleet.unread
    lines += _table_by_second(fleet, destination)
    if destination is None:
        lines += _table_by_destination(fleet)
    return "\n".join(lines)


def _table_by_second(fleet: FleetCounts, destination: int | None) -> list[str]:
    lines = [f"{'second':>8} {HEAD} {'median':>8}"]
    ejected = 0
    for second, row in fleet.rows(destination):
        ejected += row.get("sick", 0)
        delays_s = sorted(fleet.delays_s.get(second, [])) if destination is None else []
        median = f"{delays_s[len(delays_s) // 2]:.3f}" if delays_s else "-"
        lines.append(f"{second:>8} {_cells({**row, 'sick': ejected})} {median:>8}")
    return lines


def _table_by_destination(fleet: FleetCounts) -> list[str]:
    lines = [f"{'dest.':>8} {HEAD} {'listed':>8} {'peak':>8}"]
    for number, row in fleet.by_destination():
        rate = f"{fleet.rates.get(number, 0.0):g}"
        lines.append(f"{number:>8} {_cells(row)} {rate:>8} {fleet.peak(number):>8}")
    return lines


def _cells(row: dict[str, int]) -> str:
    return " ".join(f"{row.get(column, 0):>8}" for column in COLUMNS)
