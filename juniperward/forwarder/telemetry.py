"""Counters, invariants and the log of a running forwarder; docs/on-call.md lists them.

A line of the log is `juniperward: KIND: EVENT KEY=VALUE ...`; values with spaces are quoted.
"""

from __future__ import annotations

import contextlib
import json
import sys
import threading
import time
from collections.abc import Iterable
from dataclasses import dataclass

# The limit of log lines of each kind. The next line of the kind gives the number of lines suppressed before it.
MAX_LINES_PER_S = 5

_lock = threading.Lock()
_counts: dict[str, int] = {}
_peaks: dict[str, int] = {}
_limits: dict[str, int] = {}


class InvariantBrokenError(AssertionError):
    """An invariant does not hold; raised in debug builds only."""

    def __init__(self, name: str) -> None:
        """Name the invariant."""
        self.name = name
        super().__init__(f"invariant broken: {name}")


@dataclass(slots=True)
class _TokenBucket:
    """A token bucket that limits the log lines of one kind; `suppressed` counts those since the last printed one."""

    tokens: float
    refilled_at: float
    suppressed: int = 0

    def try_take(self, now: float) -> bool:
        """Take a token and return True, or count a suppressed line and return False."""
        refilled = self.tokens + (now - self.refilled_at) * MAX_LINES_PER_S
        self.tokens = min(float(MAX_LINES_PER_S), refilled)
        self.refilled_at = now
        if self.tokens < 1.0:
            self.suppressed += 1
            return False
        self.tokens -= 1.0
        return True


_buckets: dict[str, _TokenBucket] = {}


def increment(name: str, by: int = 1) -> None:
    """Add to a counter."""
    with _lock:
        _counts[name] = _counts.get(name, 0) + by


def counters() -> dict[str, int]:
    """Return the values of all counters, sorted by name."""
    with _lock:
        return dict(sorted(_counts.items()))


def record_peak(name: str, value: int) -> None:
    """Keep the highest value of a gauge."""
    if value <= _peaks.get(name, 0):
        return
    with _lock:
        _peaks[name] = max(value, _peaks.get(name, 0))


def set_limit(name: str, limit: int) -> None:
    """Set the limit of a gauge, which is printed beside its highest value."""
    with _lock:
        _limits[name] = limit


def peaks() -> dict[str, int]:
    """Return the highest value of each gauge, sorted by name."""
    with _lock:
        return dict(sorted(_peaks.items()))


def log(kind: str, event: str, **fields: object) -> None:
    """Print a line to standard error, at most MAX_LINES_PER_S of each kind."""
    now = time.monotonic()
    with _lock:
        bucket = _buckets.setdefault(kind, _TokenBucket(float(MAX_LINES_PER_S), now))
        if not bucket.try_take(now):
            return
        suppressed = bucket.suppressed
        bucket.suppressed = 0
    if suppressed:
        fields["left_out"] = suppressed
    try:
        print(f"juniperward: {kind}: {format_event(event, fields)}", file=sys.stderr, flush=True)
    except (OSError, ValueError):
        increment("log_lines_lost")


def format_event(event: str, fields: dict[str, object]) -> str:
    """Return an event and its fields in the format of the log."""
    return " ".join([event, *(f"{key}={_quoted(value)}" for key, value in fields.items())])


def _quoted(value: object) -> str:
    text = f"{value:g}" if isinstance(value, float) else str(value)
    return json.dumps(text, ensure_ascii=False) if not text or any(c in text for c in ' "\n') else text


def check_invariant(holds: bool, name: str) -> bool:
    """Check an invariant and return whether it holds.

    A release build (`python -O`) counts and logs a broken invariant and goes on.

    Raises:
        InvariantBrokenError: in a debug build, if the invariant is broken.

    """
    if not holds:
        if __debug__:
            raise InvariantBrokenError(name)
        increment(f"broken_{name}")
        log("invariant", "broken", name=name)
    return holds


def report_fault(where: str, error: BaseException) -> None:
    """Count and log an unexpected error; the caller handles its consequences."""
    increment("unexpected_errors")
    log("unexpected", "error", where=where, type=type(error).__name__, error=error, at=_raised_at(error))


def _raised_at(error: BaseException) -> str:
    """Return the file and line of the innermost frame of an error."""
    innermost = error.__traceback__
    if innermost is None:
        return "?"
    while innermost.tb_next is not None:
        innermost = innermost.tb_next
    file_name = innermost.tb_frame.f_code.co_filename.rsplit("/", 1)[-1]
    return f"{file_name}:{innermost.tb_lineno}"


def report_counters() -> None:
    """Print all counters to standard error in one line, and the gauges with their limits in another."""
    _print_line("counters", (f"{name}={value}" for name, value in counters().items()))
    _print_line("gauges", (f"{name}={value}/{_limits.get(name, '-')}" for name, value in peaks().items()))


def _print_line(kind: str, values: Iterable[str]) -> None:
    with contextlib.suppress(OSError, ValueError):
        print(f"juniperward: {kind}: {' '.join(values)}", file=sys.stderr, flush=True)
