"""Counters, invariants and the log of a running forwarder; docs/on-call.md explains each of them.

A line of the log is `juniperward: KIND: EVENT KEY=VALUE ...`; values with spaces are quoted.
"""

from __future__ import annotations

import contextlib
import json
import sys
import threading
import time
from dataclasses import dataclass

MAX_LINES_PER_S = 5  # of one kind; the next line of the kind has how many were left out

_lock = threading.Lock()
_counts: dict[str, int] = {}


class InvariantBrokenError(AssertionError):
    """Something that must always hold does not; raised in debug builds only."""

    def __init__(self, name: str) -> None:
        """Name the invariant."""
        self.name = name
        super().__init__(f"invariant broken: {name}")


@dataclass(slots=True)
class _LineBudget:
    """A token bucket for the lines of one kind."""

    tokens: float
    refilled_at: float
    left_out: int = 0  # lines since the last one that was printed

    def take(self, now: float) -> bool:
        """Return whether a line may be printed now."""
        refilled = self.tokens + (now - self.refilled_at) * MAX_LINES_PER_S
        self.tokens = min(float(MAX_LINES_PER_S), refilled)
        self.refilled_at = now
        if self.tokens < 1.0:
            self.left_out += 1
            return False
        self.tokens -= 1.0
        return True


_budgets: dict[str, _LineBudget] = {}


def increment(name: str, by: int = 1) -> None:
    """Add to a counter."""
    with _lock:
        _counts[name] = _counts.get(name, 0) + by


def counters() -> dict[str, int]:
    """Return the present values of all counters, by name."""
    with _lock:
        return dict(sorted(_counts.items()))


def log(kind: str, event: str, **fields: object) -> None:
    """Print one line to standard error, at most MAX_LINES_PER_S of a kind."""
    now = time.monotonic()
    with _lock:
        budget = _budgets.setdefault(kind, _LineBudget(float(MAX_LINES_PER_S), now))
        if not budget.take(now):
            return
        left_out = budget.left_out
        budget.left_out = 0
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
    """Check what must always hold; return whether it does.

    A release build (`python -O`) counts and logs it where it does not.

    Raises:
        InvariantBrokenError: in a debug build.

    """
    if not holds:
        if __debug__:
            raise InvariantBrokenError(name)
        increment(f"broken_{name}")
        log("invariant", "broken", name=name)
    return holds


def report_fault(where: str, error: BaseException) -> None:
    """Count and log an unexpected error; the caller goes on, and its work still gets an outcome."""
    increment("unexpected_errors")
    log("unexpected", "error", where=where, type=type(error).__name__, error=error, at=_raised_at(error))


def _raised_at(error: BaseException) -> str:
    """Return file and line of the innermost frame of an error."""
    innermost = error.__traceback__
    if innermost is None:
        return "?"
    while innermost.tb_next is not None:
        innermost = innermost.tb_next
    file_name = innermost.tb_frame.f_code.co_filename.rsplit("/", 1)[-1]
    return f"{file_name}:{innermost.tb_lineno}"


def report_counters() -> None:
    """Print all counters in one line."""
    text = " ".join(f"{name}={value}" for name, value in counters().items())
    with contextlib.suppress(OSError, ValueError):
        print(f"juniperward: counters: {text}", file=sys.stderr, flush=True)
