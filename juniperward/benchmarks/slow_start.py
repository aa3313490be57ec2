"""Measures whether a fleet overloads a destination that is in slow start after an outage.

`juniperward measure slow-start` runs `simulation/recovery_simulation.py` for all cases, fleet sizes and seeds. The
report lists each seed on which the fleet's calls exceeded the destination's capacity, and who sent them.
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
DEFINITIONS = (
    "N = FallMultiple x FallMs x capacity x (ColdShare + (1 - ColdShare) x min(1, time since the return / "
    "WarmWithinMs)), at the end of the span; a span is over the bound with more than N + 2 x root of N + 2 calls "
    "since the return in FallMs. It is put down to notified forwarders if they sent over two thirds of its calls. A "
    "forwarder is notified once one of its attempts during the outage has failed, been rejected, reset or given up."
)


def play(case: RecoveryCase, forwarders: int, seed: int) -> RecoveryResult:
    """Run one simulation; a top-level function, so that a process pool can call it."""
    return RecoverySimulation(case, forwarders, seed).run()


def play_all(
    cases: tuple[RecoveryCase, ...], sizes: tuple[int, ...], seeds: range, processes: int = PROCESSES
) -> list[RecoveryResult]:
    """Run all cases at all fleet sizes over all seeds; return the results in that order."""
    jobs = [(case, size, seed) for case in cases for size in sizes for seed in seeds]
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        return list(pool.map(play, *zip(*jobs, strict=True), chunksize=20))


def slow_start(seed: int, out: Path, rounds: int = 100) -> bool:
    """Simulate all cases and fleet sizes over `rounds` seeds, and write cold-return.md to `out`.

    Returns whether no overload is attributed to forwarders that had been notified of the outage.
    """
    report = Report(
        "Calls to a destination that comes back and warms up",
        f"juniperward measure slow-start --rounds {rounds}",
        seed,
    )
    report.add_paragraph(f"Seeds {seed} to {seed + rounds - 1} of each case and size. {DEFINITIONS}")
    results = play_all(CASES, FLEET_SIZES, range(seed, seed + rounds))
    _report_sums(report, results)
    _report_cases(report, results)
    _report_overloads(report, results)
    report.write(out / "cold-return.md")
    return not any(result.violates_invariant for result in results)


def _report_sums(report: Report, results: list[RecoveryResult]) -> None:
    """Report the sums over all cases and seeds, by fleet size."""
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


def _report_cases(report: Report, results: list[RecoveryResult]) -> None:
    """Report the runs over the bound by case and fleet size, and the highest load as a fraction of the bound."""
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
            violations = sum(r.violates_invariant for r in played)
            peak_fraction = max((r.peak.load_fraction for r in played if r.peak is not None), default=0.0)
            priority_weight = sum(r.utility for r in played) / len(played)
            row.append(f"{over} / {violations}; {peak_fraction:.2f}; {priority_weight:.3f}")
        rows.append(row)
    report.add_table(["case", *(f"{size}" for size in FLEET_SIZES)], rows)


def _format_overload(span: LoadSpan) -> str:
    return f"{span.calls} of {span.max_calls:.1f}, {span.from_notified}"


def _report_overloads(report: Report, results: list[RecoveryResult]) -> None:
    """Report each seed over the bound, and how many of its calls notified forwarders sent."""
    report.add_paragraph(
        "Every seed over the bound, at its first span over it, as SEED: CALLS of BOUND, CALLS OF NOTIFIED FORWARDERS."
    )
    rows = []
    for case in CASES:
        for size in FLEET_SIZES:
            overloads = [
                f"{r.seed}: {_format_overload(r.first_overload)}"
                + (" **broken**" if r.violates_invariant else "")
                for r in results
                if r.case == case and r.forwarders == size and r.first_overload is not None
            ]
            if overloads:
                rows.append([case.name, f"{size}", "; ".join(overloads)])
    report.add_table(["case", "forwarders", "seeds"], rows)
