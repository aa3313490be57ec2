"""The destination of a recovery run: before and during its outage, and in slow start.

Forwarders pass calls to `receive`; each outcome goes to the callback `on_answer` after the network delay.
`LoadRecorder` records each call that reaches the destination. Times are in seconds.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

from juniperward.scheduler.events import Outcome
from juniperward.simulation.recovery_cases import Outage
from juniperward.simulation.recovery_load import LoadRecorder
from juniperward.simulation.recovery_model import SimulatedCall
from juniperward.simulation.recovery_parameters import RecoveryParameters
from juniperward.simulation.timeline import Timeline

MEAN_ONE_WAY_S = 0.002  # mean network delay in one direction
# A network delay is MEAN_ONE_WAY_S times a random factor in this range.
NETWORK_FACTOR_RANGE = (0.7, 1.3)
# The destination takes this long to reject a call or to answer it with an error.
REJECTION_LATENCY_S = 0.001
MEAN_SERVICE_S = 0.06
SERVICE_GAMMA_SHAPE = 4.0
# In slow start, the service time is at most this multiple of the usual one.
MAX_SLOWDOWN_FACTOR = 10.0
# Each message of a batch after the first adds this fraction to the service time.
EXTRA_MESSAGE_LATENCY_FRACTION = 0.1
MOSTLY_FAILING_FRACTION = 0.8
# Half of the rejections over the rate limit carry a Retry-After, which is in this range.
RETRY_AFTER_RANGE_S = (0.2, 1.0)
MIN_RETRY_AFTER_S = 0.01
RATE_LIMIT_WINDOW_S = 1.0


OnAnswer = Callable[[SimulatedCall, Outcome, float], None]  # call, outcome, Retry-After in seconds (0: none)


class RecoveryDestination:
    """Answers calls as the case of the run prescribes."""

    def __init__(
        self,
        parameters: RecoveryParameters,
        source: random.Random,
        timeline: Timeline,
        load: LoadRecorder,
    ) -> None:
        """Start warm and idle; the fleet sets `on_answer` before the first call."""
        self.on_answer: OnAnswer | None = None
        self._case, self._parameters = parameters.case, parameters
        self._random, self._timeline, self._load = source, timeline, load
        self._budget = parameters.budget
        # The times of the calls that count against the rate limit.
        self._accepted_at: deque[float] = deque()
        self._unanswered: list[SimulatedCall] = []

    @property
    def in_outage(self) -> bool:
        """Whether the destination is in its outage now."""
        return self._parameters.in_outage(self._timeline.now)

    def one_way_latency_s(self) -> float:
        """Return a random network delay in one direction, in seconds."""
        return MEAN_ONE_WAY_S * self._random.uniform(*NETWORK_FACTOR_RANGE)

    def receive(self, call: SimulatedCall, notified: bool) -> None:
        """Handle an arriving call; `notified`: its forwarder knew of the outage when it sent the call."""
        in_outage = self.in_outage
        if in_outage and self._case.outage is Outage.DOWN:
            self._answer(call, Outcome.CONNECT_FAILED)
            return
        self._load.record(self._timeline.now, notified)
        if in_outage:
            self._receive_in_outage(call)
        elif self._case.rate_listed and not self._within_limit():
            retry_after_s = self._random.choice((0.0, self._random.uniform(*RETRY_AFTER_RANGE_S)))
            self._answer(call, Outcome.OVERLOADED, retry_after_s)
        else:
            self._serve(call)

    def recover(self) -> None:
        """End the outage; reset the calls that an unresponsive destination never answered."""
        for call in self._unanswered:
            self._answer(call, Outcome.RESET)
        self._unanswered = []

    def _receive_in_outage(self, call: SimulatedCall) -> None:
        match self._case.outage:
            case Outage.FAILING:
                self._answer(call, Outcome.ERROR)
            case Outage.MOSTLY_FAILING:
                if self._random.random() < MOSTLY_FAILING_FRACTION:
                    self._answer(call, Outcome.ERROR)
                else:
                    self._serve(call)
            case Outage.REJECTING:
                self._answer(call, Outcome.OVERLOADED)
            case Outage.REJECTING_WITH_RETRY_AFTER:
                until_recovery_s = self._parameters.recovers_s - self._timeline.now
                self._answer(call, Outcome.OVERLOADED, max(until_recovery_s, MIN_RETRY_AFTER_S))
            case _:
                self._unanswered.append(call)

    def _within_limit(self) -> bool:
        """Return whether a call is within the rate limit; if so, count it."""
        now = self._timeline.now
        while self._accepted_at and now - self._accepted_at[0] >= RATE_LIMIT_WINDOW_S:
            self._accepted_at.popleft()
        if len(self._accepted_at) >= self._parameters.limit_per_s:
            return False
        self._accepted_at.append(now)
        return True

    def _serve(self, call: SimulatedCall) -> None:
        mean_s = (
            MEAN_SERVICE_S
            * self._slowdown()
            * (1.0 + EXTRA_MESSAGE_LATENCY_FRACTION * max(len(call.members) - 1, 0))
        )
        took_s = self._random.gammavariate(SERVICE_GAMMA_SHAPE, mean_s / SERVICE_GAMMA_SHAPE)
        self._timeline.after(took_s, self._answer, call, Outcome.OK)

    def _slowdown(self) -> float:
        """Return the factor on the service time, which in slow start grows as the capacity shrinks."""
        since_recovery_s = self._timeline.now - self._parameters.recovers_s
        if since_recovery_s < 0.0:
            return 1.0
        present = self._budget.current_capacity_per_s(since_recovery_s)
        return min(self._parameters.capacity_per_s / present, MAX_SLOWDOWN_FACTOR)

    def _answer(self, call: SimulatedCall, outcome: Outcome, retry_after_s: float = 0.0) -> None:
        assert self.on_answer is not None
        delivered = outcome is Outcome.OK
        if delivered and self.in_outage and self._case.outage is Outage.UNRESPONSIVE:
            self._unanswered.append(call)
            return
        took_s = 0.0 if delivered else REJECTION_LATENCY_S
        arrives_at = self._timeline.now + took_s + self.one_way_latency_s()
        self._timeline.at(arrives_at, self.on_answer, call, outcome, retry_after_s)
