"""Counts of the events of a whole fleet by second and destination, and their tables.

`traces` reads the forwarders' traces into `FleetCounts`; `format_tables` formats it as text.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

DEFAULT_LATENCY_OBJECTIVE_S = 3.0  # if no trace has the settings

# The names of the counts, and of the columns. They do not change, so that tables of earlier runs can be compared.
COLUMNS = (
    "asked", "door", "calls", "again", "ok", "full", "told", "tables", "failed", "opened", "in_time", "late",
    "given_up", "sick",
)  # fmt: skip
HEAD = " ".join(f"{column:>8}" for column in COLUMNS)


@dataclass(slots=True)
class FleetCounts:
    """The counts of a fleet.

    Attributes:
        counts: The counts by column, for each pair of a second since `began_at` and a destination.
        rates: The rate of each destination in its endpoint list, in calls per second.
        delays_s: The seconds from acceptance to delivery of the messages delivered in each second.
        unread: The first malformed lines, each with its place and the error.
        unread_count: The number of malformed lines.
        forwarders: The number of traces.
        lines: The number of lines.
        latency_objective_s: The delay up to which a delivery is in time.
        began_at: The time of the earliest line.
    """

    counts: dict[tuple[int, int], dict[str, int]] = field(default_factory=dict)
    rates: dict[int, float] = field(default_factory=dict)
    delays_s: dict[int, list[float]] = field(default_factory=dict)
    unread: list[str] = field(default_factory=list)
    unread_count: int = 0
    forwarders: int = 0
    lines: int = 0
    latency_objective_s: float = DEFAULT_LATENCY_OBJECTIVE_S
    began_at: float = math.inf

    def add(self, at: float, destination: int, column: str, by: int = 1) -> None:
        """Add `by` to a destination's count for the second in which `at` lies."""
        row = self.counts.setdefault((int(at - self.began_at), destination), {})
        row[column] = row.get(column, 0) + by

    def add_delay(self, at: float, delay_s: float) -> None:
        """Add the delay of a message that was delivered at `at`."""
        self.delays_s.setdefault(int(at - self.began_at), []).append(delay_s)

    def rows(self, destination: int | None = None) -> list[tuple[int, dict[str, int]]]:
        """Return the counts by second, of one destination or of all together (None)."""
        return self._sum(
            lambda second, row_destination: second if destination in (None, row_destination) else None
        )

    def by_destination(self) -> list[tuple[int, dict[str, int]]]:
        """Return the counts by destination, over all seconds."""
        return self._sum(lambda _, row_destination: row_destination)

    def peak(self, destination: int) -> int:
        """Return the largest number of calls to a destination in one second, from all forwarders together."""
        rows = (row for (_, row_destination), row in self.counts.items() if row_destination == destination)
        return max((row.get("calls", 0) for row in rows), default=0)

    def _sum(self, key: Callable[[int, int], int | None]) -> list[tuple[int, dict[str, int]]]:
        """Return the sums grouped by `key(second, destination)`, sorted; counts whose key is None are left out."""
        sums: dict[int, dict[str, int]] = {}
        for (second, destination), row_counts in self.counts.items():
            group = key(second, destination)
            if group is None:
                continue
            row = sums.setdefault(group, {})
            for column, number in row_counts.items():
                row[column] = row.get(column, 0) + number
        return sorted(sums.items())


def format_tables(fleet: FleetCounts, destination: int | None = None) -> str:
    """Return the table by second, of one destination or of all (None); for all, also the table by destination."""
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
