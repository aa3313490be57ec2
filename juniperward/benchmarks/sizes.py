"""Measures how a forwarder's CPU time and memory grow with the number of endpoints and of forwarders.

The CPU time of an endpoint list, a message and an idle second is that of a reducer without sockets, driven by a
simulated clock. Memory, threads and descriptors are those of a real process with the same list. All messages go to
a destination with one endpoint; the other endpoints belong to 19 further destinations.
"""

from __future__ import annotations

import functools
import time
from collections.abc import Callable
from pathlib import Path

from juniperward.benchmarks.idle_process import idle_cost
from juniperward.benchmarks.reducer_rig import ReducerRig
from juniperward.benchmarks.report import Report

ENDPOINTS = (1, 20, 300, 1024)
FORWARDERS = (1, 40, 230, 1024)
FIXED_ENDPOINTS = 20  # while the number of forwarders varies
FIXED_FORWARDERS = 200  # while the number of endpoints varies
IDLE_S = 60.0  # in simulated time
LIST_ROUNDS = 5


def _mean_cpu_s(action: Callable[[], object], times: int) -> float:
    """Return the mean CPU seconds of an action that is run `times` times."""
    began = time.process_time()
    for _ in range(times):
        action()
    return (time.process_time() - began) / times


def sizes(seed: int, out: Path, rounds: int = 1000) -> bool:
    """Measure by the number of endpoints, then of forwarders, with `rounds` messages each.

    Writes sizes.md to `out`. Always returns True: no result counts as a failure.
    """
    command = f"juniperward measure sizes --rounds {rounds}"
    report = Report("What endpoints and forwarders cost one forwarder", command, seed)
    rows = []
    cases = [(number, FIXED_FORWARDERS) for number in ENDPOINTS]
    cases += [(FIXED_ENDPOINTS, number) for number in FORWARDERS]
    for endpoints, forwarders in cases:
        rig = ReducerRig(endpoints, forwarders, seed)
        rig.receive_list()
        list_s = _mean_cpu_s(rig.receive_list, LIST_ROUNDS)
        message_s = _mean_cpu_s(rig.deliver_message, rounds)
        idle_s = _mean_cpu_s(functools.partial(rig.idle, IDLE_S), 1) / IDLE_S
        process = idle_cost(endpoints, forwarders)
        rows.append([
            f"{endpoints:,}", f"{forwarders:,}", f"{1e3 * list_s:.1f}", f"{1e6 * message_s:.0f}",
            f"{1e6 * idle_s:.0f}", f"{process.resident_mb:.1f}", str(process.threads), str(process.descriptors),
            f"{process.cpu_ms_per_s:.1f}",
        ])  # fmt: skip
    report.add_table(
        ["endpoints", "forwarders", "a complete list, ms", "a message, us", "an idle second, us", "resident, MB",
         "threads", "descriptors", "an idle second of the process, ms"], rows,
    )  # fmt: skip
    report.write(out / "sizes.md")
    return True
