"""Measures how long forwarders take to start during an outage of discovery, with empty and full journals.

`juniperward measure starts` calls `starts`.
"""

from __future__ import annotations

import statistics
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from juniperward.agent import processes
from juniperward.benchmarks.cluster_files import BASE_CONFIGURATION
from juniperward.benchmarks.forwarder_group import (
    PARTS_PROGRAM,
    ForwarderGroup,
    StartResult,
    start_all,
    unused_address,
)
from juniperward.benchmarks.loaded_cluster import DESTINATIONS
from juniperward.benchmarks.local_cluster import LocalCluster
from juniperward.benchmarks.report import Report, Row, quantile
from juniperward.benchmarks.start_marks import PartTime

GROUP_SIZES = (1, 40, 200)
PARTS = ("interpreter", "imports", "configuration", "journal read", "messages restored", "listening")
MAX_READY_P90_S = 10.0


@dataclass(frozen=True)
class _GroupStart:
    """One start of a group: the number of messages in each journal, and the result of each forwarder."""

    pending: int
    results: list[StartResult]

    def ready_after_s(self) -> list[float]:
        """Return the seconds from each forwarder's start until it was ready."""
        return [result.ready_after_s for result in self.results]

    def table_row(self) -> Row:
        """Return the group's row in the report: its size, the parts of the start and the times until ready."""
        ready_after_s = self.ready_after_s()
        return [
            f"{len(self.results)}",
            f"{self.pending}",
            *(_part_cell([r.parts[part] for r in self.results if part in r.parts]) for part in PARTS),
            f"{statistics.median(ready_after_s):.2f}",
            f"{quantile(ready_after_s, 0.9):.2f}",
            f"{max(ready_after_s):.2f}",
        ]


def starts(seed: int, out: Path, times: int = 15, most_running: int = 0) -> bool:
    """Measure the memory of a forwarder over `times` starts, then the parts of the start in groups of forwarders.

    Each group is started at once, or at most `most_running` at a time unless that is 0. Writes starts.md to `out`.
    Returns whether 90% of each group were ready within MAX_READY_P90_S.
    """
    command = f"juniperward measure starts --seed {seed}"
    if most_running:
        command = (
            f"juniperward.benchmarks.starts.starts({seed}, out, times={times}, most_running={most_running})"
        )
    report = Report("A forwarder's start", command, seed)
    _report_memory(report, seed, times)
    passed = _report_parts(report, most_running)
    report.write(out / "starts.md")
    return passed


def _report_parts(report: Report, most_running: int) -> bool:
    at_a_time = "all at once"
    if most_running:
        at_a_time = f"at most {most_running} starts at a time, each ended once ready"
    report.add_paragraph(
        f"Parts of the start, wall and CPU ms in the median, during an outage of discovery; {at_a_time}. A full "
        "folder holds as many messages of 400 bytes as the disk limit of 3 MB allows."
    )
    rows: list[Row] = []
    passed = True
    for size in GROUP_SIZES:
        for full in (False, True):
            start = _start_group(size, full, most_running)
            passed &= quantile(start.ready_after_s(), 0.9) <= MAX_READY_P90_S
            rows.append(start.table_row())
            print(rows[-1], flush=True)
    ready_columns = ["ready after, median s", "nine in ten s", "worst s"]
    report.add_table(["forwarders", "messages in each folder", *PARTS, *ready_columns], rows)
    return passed


def _start_group(size: int, full: bool, most_running: int) -> _GroupStart:
    """Start `size` forwarders with new folders; with `full`, their journals are filled before."""
    with tempfile.TemporaryDirectory(prefix="jw-") as folder:
        group = ForwarderGroup(Path(folder), BASE_CONFIGURATION, unused_address(), command=PARTS_PROGRAM)
        names = [f"n{number}" for number in range(size)]
        pending = [len(group.fill(name)) for name in names] if full else [0]
        try:
            return _GroupStart(pending[0], start_all(group, names, most_running))
        finally:
            group.close()


def _part_cell(times: list[PartTime]) -> str:
    """Return the median wall and CPU milliseconds of a part as a table cell."""
    if not times:
        return "-"
    wall_ms = statistics.median(part.wall_s for part in times) * 1000
    cpu_ms = statistics.median(part.cpu_s for part in times) * 1000
    return f"{wall_ms:.0f} / {cpu_ms:.0f}"


def _report_memory(report: Report, seed: int, times: int) -> None:
    with (
        tempfile.TemporaryDirectory(prefix="jw-") as name,
        LocalCluster(Path(name), 1, DESTINATIONS[:2], seed) as cluster,
    ):
        folder = Path(name)
        discovery = cluster.discovery.address_for("n0")
        control = {"control": str(folder / "ctl" / "n0")}
        rows = [
            _memory_row("without", folder, cluster.base, discovery, times),
            _memory_row("with", folder, {**cluster.base, **control}, discovery, times),
        ]
    report.add_table(["forwarder", "ready after, median s", "worst s", "resident MiB"], rows)


def _memory_row(kind: str, parent: Path, base: dict[str, Any], discovery: str, times: int) -> Row:
    """Start one forwarder `times` times, each with a new folder below `parent`, and return the table row."""
    ready_after_s: list[float] = []
    resident_mib: list[float] = []
    for number in range(times):
        folder = parent / f"{kind}{number}"
        folder.mkdir()
        group = ForwarderGroup(folder, base, discovery)
        try:
            ready_after_s.append(group.wait_ready("n0", group.spawn("n0")))
            resident_mib.append(processes.usage(group.children["n0"].pid)[1] / 2**20)
        finally:
            group.close()
    return [
        f"{kind} a control channel",
        f"{statistics.median(ready_after_s):.3f}",
        f"{max(ready_after_s):.3f}",
        f"{statistics.median(resident_mib):.1f}",
    ]
