"""Counters, invariants and the log: what the people on call see of a running forwarder."""

from __future__ import annotations

import contextlib
import sys
import threading
import time

LINES_A_SECOND = 5  # of one kind; what is over is counted and told with the kind's next line

_lock = threading.Lock()
_counts: dict[str, int] = {}
_budget: dict[str, tuple[float, float, int]] = {}


def count(name: str, by: int = 1) -> None:
    """Add to a counter."""
    with _lock:
        _counts[name] = _counts.get(name, 0) + by


def counters() -> dict[str, int]:
    """All counters as they stand, by name."""
    with _lock:
        return dict(sorted(_counts.items()))


def log(kind: str, text: str) -> None:
    """Print one line to standard error, at most LINES_A_SECOND of a kind."""
    now = time.monotonic()
    with _lock:
        level, at, left_out = _budget.get(kind, (float(LINES_A_SECOND), now, 0))
        level = min(float(LINES_A_SECOND), level + (now - at) * LINES_A_SECOND)
        if level < 1.0:
            _budget[kind] = (level, now, left_out + 1)
            return
        _budget[kind] = (level - 1.0, now, 0)
    more = f" (and {left_out} such lines left out)" if left_out else ""
    try:
        print(f"juniperward: {kind}: {text}{more}", file=sys.stderr, flush=True)
    except (OSError, ValueError):
        count("log_lines_lost")


def holds(fact: bool, name: str) -> bool:
    """What must hold: asserted in debug builds, counted and logged in release builds."""
    if not fact:
        assert False, f"invariant broken: {name}"  # noqa: B011
        count(f"broken_{name}")
        log("invariant", f"{name} does not hold")
    return fact


def trouble(where: str, error: BaseException) -> None:
    """An unexpected error in a thread: counted and logged; the thread's work still gets an outcome."""
    count("unexpected_errors")
    place = error.__traceback__
    while place is not None and place.tb_next is not None:
        place = place.tb_next
    spot = f"{place.tb_frame.f_code.co_filename.rsplit('/', 1)[-1]}:{place.tb_lineno}" if place else "?"
    log("unexpected", f"{where}: {type(error).__name__}: {error} at {spot}")


def report() -> None:
    """Print all counters in one line."""
    text = " ".join(f"{name}={value}" for name, value in counters().items())
    with contextlib.suppress(OSError, ValueError):
        print(f"juniperward: counters: {text}", file=sys.stderr, flush=True)
