"""The load on a recovering destination in each span, compared with its budget, and the result of a run.

`LoadRecorder` records each call that reaches the destination, and updates a `RecoveryResult`. An overloaded
destination does not crash here, so that the load of the whole recovery is measured.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from juniperward.simulation.recovery_budget import NOTIFIED_FRACTION_LIMIT, RecoveryBudget
from juniperward.simulation.recovery_cases import RecoveryCase


@dataclass(frozen=True, slots=True)
class LoadSpan:
    """The calls that arrived in one span, and the most that the destination withstands.

    Attributes:
        ends_s: the end of the span, in seconds after the recovery.
        from_notified: the calls from forwarders that had been notified of the outage.

    """

    ends_s: float
    calls: int
    from_notified: int
    max_calls: float

    @property
    def load_fraction(self) -> float:
        """The calls as a fraction of `max_calls`; above 1 the destination crashes."""
        return self.calls / self.max_calls

    @property
    def overloads(self) -> bool:
        """Whether the calls crash the destination."""
        return self.calls > self.max_calls

    @property
    def violates_invariant(self) -> bool:
        """Whether the calls crash it and more than two thirds of them came from notified forwarders."""
        return self.overloads and self.from_notified > NOTIFIED_FRACTION_LIMIT * self.calls


@dataclass(slots=True)
class RecoveryResult:
    """The result of one recovery run.

    Attributes:
        peak: the span with the largest load fraction.
        overload_by_mean: whether a span exceeds the budget computed with its mean capacity.
        overload_with_outage: whether a span exceeds the budget if calls from before the recovery count too.
        overload_by_notified: whether the calls of notified forwarders alone exceed the budget in a span.
        notified: the forwarders that a failed call notified of the outage before the recovery.
        offered: the messages that arrived from the start of the outage to the end of the warm-up.
        delivered: the messages delivered during the warm-up.
        utility: the mean utility of the offered messages, from 0 to 1.

    """

    case: RecoveryCase
    forwarders: int
    seed: int
    capacity_per_s: float = 0.0
    first_overload: LoadSpan | None = None
    peak: LoadSpan | None = None
    overload_by_mean: bool = False
    overload_with_outage: bool = False
    overload_by_notified: bool = False
    notified: int = 0
    offered: int = 0
    delivered: int = 0
    utility: float = 0.0

    @property
    def violates_invariant(self) -> bool:
        """Whether the first overload violates the invariant."""
        return self.first_overload is not None and self.first_overload.violates_invariant


class LoadRecorder:
    """Counts the calls within the last span, and compares them with the budget at each call."""

    def __init__(self, budget: RecoveryBudget, recovers_s: float, result: RecoveryResult) -> None:
        """Start without calls; `result` is updated at each call after the recovery at `recovers_s`."""
        self._budget = budget
        self._returns_s = recovers_s
        self._result = result
        # Each call's time, and whether its forwarder had been notified.
        self._calls_since_recovery: deque[tuple[float, bool]] = deque()
        self._calls_before_recovery: deque[float] = deque()

    def record(self, now: float, notified: bool) -> None:
        """Count a call that reaches the destination at `now`, including one that it rejects."""
        if now < self._returns_s:
            self._calls_before_recovery.append(now)
            return
        self._calls_since_recovery.append((now, notified))
        self._drop_before(now - self._budget.overload_span_s)
        since_recovery_s = now - self._returns_s
        from_notified = sum(by_notified for _, by_notified in self._calls_since_recovery)
        max_calls = self._budget.max_calls(since_recovery_s)
        self._update_result(
            LoadSpan(since_recovery_s, len(self._calls_since_recovery), from_notified, max_calls)
        )

    def _drop_before(self, span_starts_s: float) -> None:
        while self._calls_since_recovery[0][0] <= span_starts_s:
            self._calls_since_recovery.popleft()
        while self._calls_before_recovery and self._calls_before_recovery[0] <= span_starts_s:
            self._calls_before_recovery.popleft()

    def _update_result(self, span: LoadSpan) -> None:
        result = self._result
        if result.peak is None or span.load_fraction > result.peak.load_fraction:
            result.peak = span
        if span.overloads and result.first_overload is None:
            result.first_overload = span
        result.overload_by_mean |= span.calls > self._budget.max_calls_by_mean(span.ends_s)
        result.overload_with_outage |= span.calls + len(self._calls_before_recovery) > span.max_calls
        result.overload_by_notified |= span.from_notified > span.max_calls
