"""Runs the seeds of a soak, each in a process of its own, and writes their report."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import Protocol

from juniperward.benchmarks.report import Report, Row

PARALLEL_RUNS = 2


class SoakResult(Protocol):
    """What one run of a soak has shown."""

    @property
    def seed(self) -> int:
        """The seed of the run."""

    @property
    def problems(self) -> Sequence[str]:
        """What must not happen; empty if the run passed."""

    def cells(self) -> Row:
        """Return the table row of the run."""


def run_seeds(
    run_seed: Callable[[int], SoakResult], seeds: Iterable[int], report: Report, columns: Row, file: Path
) -> bool:
    """Run each seed, PARALLEL_RUNS at once, and write the report to `file`; return whether all runs passed."""
    with ProcessPoolExecutor(PARALLEL_RUNS, get_context("spawn")) as pool:
        results = list(pool.map(run_seed, seeds))
    report.add_table(columns, [result.cells() for result in results])
    failed = [result.seed for result in results if result.problems]
    report.add_paragraph(
        f"{len(results) - len(failed)} of {len(results)} runs held; failed: {failed or 'none'}."
    )
    report.write(file)
    return not failed
