"""How many calls a fleet sends to a destination in slow start after an outage, against what that bears (rule 4).

`juniperward measure slow-start` plays `simulation/recovery_simulation.py` over cases, sizes of the fleet and seeds,
and writes down every seed on which a span went over the bound, with who sent it.
Its page: docs/measurements/cold-return.md.
"""

from __future__ import annotations

import concurrent.futures
from pathlib import Path

from juniperward.benchmarks.report import Report
from juniperward.simulation.recovery_cases import CASES, RecoveryCase
from juniperward.simulation.recovery_load import LoadSpan, RecoveryResult
from juniperward.simulation.recovery_simulation import RecoverySimulation

FLEET_SIZES = (1, 3, 20, 30, 200, 230)
PROCESSES = 2
TERMS = (
    "N = FallMultiple x FallMs x capacity x (ColdShare + (1 - ColdShare) x min(1, time since the return / "
    "WarmWithinMs)), at the end of the span; a span is over the bound with more than N + 2 x root of N + 2 calls "
    "since the return in FallMs. It is put down to forwarders that had been notified if over two thirds of its calls "
    "are theirs. Notified: an attempt that was sent in the outage has failed, been rejected, reset or given up."
)


def play(case: RecoveryCase, forwarders: int, seed: int) -> RecoveryResult:
    """One run, for a process of its own."""
    return RecoverySimulation(case, forwarders, seed).run()


def play_all(
    cases: tuple[RecoveryCase, ...], sizes: tuple[int, ...], seeds: range, processes: int = PROCESSES
) -> list[RecoveryResult]:
    """All cases at all sizes over all seeds, in that order."""
    jobs = [(case, size, seed) for case in cases for size in sizes for seed in seeds]
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        return list(pool.map(play, *zip(*jobs, strict=True), chunksize=20))


def slow_start(seed: int, out: Path, rounds: int = 100) -> bool:
    """Measure the calls of all forwarders to a destination that returns, over `rounds` seeds; write the page.

    Returns True if no overload is put down to notified forwarders. Called by `juniperward measure slow-start`.
    """
    report = Report(
        "Calls to a destination that comes back and warms up",
        f"juniperward measure slow-start --rounds {rounds}",
        seed,
    )
    report.add_paragraph(f"Seeds {seed} to {seed + rounds - 1} of each case and size. {TERMS}")
    results = play_all(CASES, FLEET_SIZES, range(seed, seed + rounds))
    _sums(report, results)
    _by_case(report, results)
    _every_overload(report, results)
    report.write(out / "cold-return.md")
    return not any(result.violates_invariant for result in results)


def _sums(report: Report, results: list[RecoveryResult]) -> None:
    """What each size of the fleet came to."""
    rows = []
    for size in FLEET_SIZES:
        played = [r for r in results if r.forwarders == size]
        delivered_in_slow_start = sum(r.delivered for r in played) / len(played)
        rows.append([
            f"{size}", f"{len(played):,}", f"{sum(r.first_overload is not None for r in played)}",
            f"{sum(r.violates_invariant for r in played)}", f"{sum(r.overload_by_notified for r in played)}",
            f"{sum(r.overload_by_mean for r in played)}", f"{sum(r.overload_with_outage for r in played)}",
            f"{sum(r.utility for r in played) / len(played):.4f}", f"{delivered_in_slow_start:.1f}",
        ])  # fmt: skip
    report.add_table(
        ["forwarders", "runs", "over the bound", "put down to the notified", "notified calls alone over it",
         "over it by the span's mean capacity", "over it with the outage's last calls",
         "fraction of priority weight since the outage began", "delivered in slow start, mean"], rows,
    )  # fmt: skip


def _by_case(report: Report, results: list[RecoveryResult]) -> None:
    """Runs over the bound, those put down to the notified, and the fullest span as a fraction of the bound."""
    report.add_paragraph(
        "By case: runs over the bound / put down to the notified; the fullest span as a fraction of the bound; "
        "fraction of priority weight."
    )
    rows = []
    for case in CASES:
        row = [case.name]
        for size in FLEET_SIZES:
            played = [r for r in results if r.case == case and r.forwarders == size]
            over = sum(r.first_overload is not None for r in played)
            broken = sum(r.violates_invariant for r in played)
            fullest = max((r.peak.load_fraction for r in played if r.peak is not None), default=0.0)
            priority_weight = sum(r.utility for r in played) / len(played)
            row.append(f"{over} / {broken}; {fullest:.2f}; {priority_weight:.3f}")
        rows.append(row)
    report.add_table(["case", *(f"{size}" for size in FLEET_SIZES)], rows)


def _first_overload(span: LoadSpan) -> str:
    return f"{span.calls} of {span.max_calls:.1f}, {span.from_notified}"


def _every_overload(report: Report, results: list[RecoveryResult]) -> None:
    """Each seed over the bound, and who sent it."""
    report.add_paragraph(
        "Every seed over the bound, at its first span over it: seed: calls of the most borne, of them by the "
        "notified."
    )
    rows = []
    for case in CASES:
        for size in FLEET_SIZES:
            overloads = [
                f"{r.seed}: {_first_overload(r.first_overload)}"
                + (" **broken**" if r.violates_invariant else "")
                for r in results
                if r.case == case and r.forwarders == size and r.first_overload is not None
            ]
            if overloads:
                rows.append([case.name, f"{size}", "; ".join(overloads)])
    report.add_table(["case", "forwarders", "seeds"], rows)
