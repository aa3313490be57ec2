"""Counters, invariants and the log: what the people on call see of a running forwarder (docs/on-call.md).

A line of the log is `juniperward: KIND: EVENT KEY=VALUE ...`; values with spaces are quoted.
"""

from __future__ import annotations

import contextlib
import json
import sys
import threading
import time

LINES_PER_SECOND = 5  # of one kind; what is over is counted and told with the kind's next line

_lock = threading.Lock()
_counts: dict[str, int] = {}
_budget: dict[str, tuple[float, float, int]] = {}


def increment(name: str, by: int = 1) -> None:
    """Add to a counter."""
    with _lock:
        _counts[name] = _counts.get(name, 0) + by


def counters() -> dict[str, int]:
    """Return all counters as they stand, by name."""
    with _lock:
        return dict(sorted(_counts.items()))


def log(kind: str, event: str, **fields: object) -> None:
    """Print one line to standard error, at most LINES_PER_SECOND of a kind."""
    now = time.monotonic()
    with _lock:
        level, at, left_out = _budget.get(kind, (float(LINES_PER_SECOND), now, 0))
        level = min(float(LINES_PER_SECOND), level + (now - at) * LINES_PER_SECOND)
        if level < 1.0:
            _budget[kind] = (level, now, left_out + 1)
            return
        _budget[kind] = (level - 1.0, now, 0)
    if left_out:
        fields["left_out"] = left_out
    try:
        print(f"juniperward: {kind}: {format_event(event, fields)}", file=sys.stderr, flush=True)
    except (OSError, ValueError):
        increment("log_lines_lost")


def format_event(event: str, fields: dict[str, object]) -> str:
    """Return an event with its fields, as the log has them."""
    return " ".join([event, *(f"{key}={_quoted(value)}" for key, value in fields.items())])


def _quoted(value: object) -> str:
    text = f"{value:g}" if isinstance(value, float) else str(value)
    return json.dumps(text, ensure_ascii=False) if not text or any(c in text for c in ' "\n') else text


def check_invariant(holds: bool, name: str) -> bool:
    """Assert what must hold in debug builds; count and log it in release builds. Returns whether it holds."""
    if not holds:
        assert False, f"invariant broken: {name}"  # noqa: B011
        increment(f"broken_{name}")
        log("invariant", "broken", name=name)
    return holds


def report_fault(where: str, error: BaseException) -> None:
    """Count and log an unexpected error in a thread, whose work still gets an outcome."""
    increment("unexpected_errors")
    place = error.__traceback__
    while place is not None and place.tb_next is not None:
        place = place.tb_next
    spot = f"{place.tb_frame.f_code.co_filename.rsplit('/', 1)[-1]}:{place.tb_lineno}" if place else "?"
    log("unexpected", "error", where=where, type=type(error).__name__, error=error, at=spot)


def report_counters() -> None:
    """Print all counters in one line."""
    text = " ".join(f"{name}={value}" for name, value in counters().items())
    with contextlib.suppress(OSError, ValueError):
        print(f"juniperward: counters: {text}", file=sys.stderr, flush=True)
