"""The load of a recovery, judged: what a destination gets in each span after its return, and what came of a run.

`LoadRecorder` gets each call that reaches the destination, from `recovery_destination`, and writes what it finds into
a `RecoveryResult`. The destination is not made to crash, so that the load of a whole recovery is seen also after the
first span over the bound.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from juniperward.simulation.recovery_budget import NOTIFIED_FRACTION_LIMIT, RecoveryBudget
from juniperward.simulation.recovery_cases import RecoveryCase


@dataclass(frozen=True, slots=True)
class LoadSpan:
    """Calls that came in one span, against what the destination bears; times count from the return."""

    ends_s: float
    calls: int
    from_notified: int
    max_calls: float

    @property
    def load_fraction(self) -> float:
        """The calls as a fraction of what the destination bears; above 1 it crashes."""
        return self.calls / self.max_calls

    @property
    def overloads(self) -> bool:
        """Whether it crashes the destination."""
        return self.calls > self.max_calls

    @property
    def violates_invariant(self) -> bool:
        """Whether over two thirds of what crashed it came from forwarders that had been notified."""
        return self.overloads and self.from_notified > NOTIFIED_FRACTION_LIMIT * self.calls


@dataclass(slots=True)
class RecoveryResult:
    """What came of one recovery."""

    case: RecoveryCase
    forwarders: int
    seed: int
    capacity_per_s: float = 0.0
    first_overload: LoadSpan | None = None
    peak: LoadSpan | None = None  # by its load fraction
    overload_by_mean: bool = False  # some span is over the bound by the mean capacity over it
    overload_with_outage: bool = (
        False  # some span is over the bound if calls of the outage's end count as well
    )
    overload_by_notified: bool = False  # calls of notified forwarders alone are over the bound in some span
    notified: int = 0  # forwarders notified of the outage (by a failure) before the return
    offered: int = 0  # messages that came from the outage's beginning to the end of the warm-up
    delivered: int = 0  # messages delivered in the warm-up
    utility: float = 0.0  # of the offered messages, a mean from 0 to 1

    @property
    def violates_invariant(self) -> bool:
        """Whether the first overload is put down to forwarders that had been notified."""
        return self.first_overload is not None and self.first_overload.violates_invariant


class LoadRecorder:
    """Counts the calls of the last span, and compares them with the budget at each call."""

    def __init__(self, budget: RecoveryBudget, returns_s: float, result: RecoveryResult) -> None:
        """Begin with no call; the destination returns at `returns_s`, and `result` is written to."""
        self._budget = budget
        self._returns_s = returns_s
        self._result = result
        self._since_return: deque[tuple[float, bool]] = deque()  # when, and whether from a notified forwarder
        self._before_return: deque[float] = deque()

    def record(self, now: float, notified: bool) -> None:
        """Count a call that reaches the destination at `now`, also one that it rejects."""
        if now < self._returns_s:
            self._before_return.append(now)
            return
        self._since_return.append((now, notified))
        self._drop_before(now - self._budget.overload_span_s)
        since_return_s = now - self._returns_s
        from_notified = sum(by_notified for _, by_notified in self._since_return)
        max_calls = self._budget.max_calls(since_return_s)
        self._judge(LoadSpan(since_return_s, len(self._since_return), from_notified, max_calls))

    def _drop_before(self, span_began: float) -> None:
        while self._since_return[0][0] <= span_began:
            self._since_return.popleft()
        while self._before_return and self._before_return[0] <= span_began:
            self._before_return.popleft()

    def _judge(self, span: LoadSpan) -> None:
        result = self._result
        if result.peak is None or span.load_fraction > result.peak.load_fraction:
            result.peak = span
        if span.overloads and result.first_overload is None:
            result.first_overload = span
        result.overload_by_mean |= span.calls > self._budget.max_calls_by_mean(span.ends_s)
        result.overload_with_outage |= span.calls + len(self._before_return) > span.max_calls
        result.overload_by_notified |= span.from_notified > span.max_calls
