"""The one destination of a recovery run: in its outage, while it warms up, and after.

Input: calls, by `reach`; output: how each ended, to `on_answer`, once the answer has come back over the network. Each
call that reaches it is recorded by `LoadRecorder`. Called by `recovery_fleet`; times are seconds.
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

NETWORK_S = 0.002  # one way, in the mean
NETWORK_JITTER = (0.7, 1.3)
REJECTION_S = 0.001  # that a rejection or an error takes at the destination
SERVICE_S = 0.06
SERVICE_SHAPE = 4.0  # of its gamma distribution
SLOWEST_SERVICE = 10.0  # times its usual time at which a destination in slow start serves at the most
BATCH_COST = 0.1  # of the service time, for each further message of a call
MOSTLY_FAILING_FRACTION = 0.8
RETRY_AFTER_RANGE_S = (0.2, 1.0)  # of an overloaded destination's rejections, every second of which has none
LEAST_RETRY_AFTER_S = 0.01
RATE_SPAN_S = 1.0  # over which its limit is counted


OnAnswer = Callable[[SimulatedCall, Outcome, float], None]  # call, outcome, Retry-After in seconds (0: none)


class RecoveryDestination:
    """Serves calls as its case says."""

    def __init__(
        self,
        parameters: RecoveryParameters,
        source: random.Random,
        timeline: Timeline,
        load: LoadRecorder,
    ) -> None:
        """Begin warm and idle; `on_answer` is set by the fleet before the first call."""
        self.on_answer: OnAnswer | None = None
        self._case, self._parameters = parameters.case, parameters
        self._random, self._timeline, self._load = source, timeline, load
        self._budget = parameters.budget
        self._accepted_at: deque[float] = deque()  # of the last second: what counts against its limit
        self._unanswered: list[SimulatedCall] = []

    @property
    def in_outage(self) -> bool:
        """Whether the outage lasts."""
        return self._parameters.in_outage(self._timeline.now)

    def network_s(self) -> float:
        """Return the time of one way, with its jitter."""
        return NETWORK_S * self._random.uniform(*NETWORK_JITTER)

    def reach(self, call: SimulatedCall, notified: bool) -> None:
        """Take a call that comes to the destination; `notified`: its forwarder knew of the outage when it sent it."""
        in_outage = self.in_outage
        if in_outage and self._case.outage is Outage.DOWN:
            self._answer(call, Outcome.CONNECT_FAILED)
            return
        self._load.record(self._timeline.now, notified)
        if in_outage:
            self._reach_in_outage(call)
        elif self._case.rate_listed and not self._within_limit():
            retry_after_s = self._random.choice((0.0, self._random.uniform(*RETRY_AFTER_RANGE_S)))
            self._answer(call, Outcome.OVERLOADED, retry_after_s)
        else:
            self._serve(call)

    def recover(self) -> None:
        """End the outage: calls that an unresponsive destination never answered end with their connections."""
        for call in self._unanswered:
            self._answer(call, Outcome.RESET)
        self._unanswered = []

    def _reach_in_outage(self, call: SimulatedCall) -> None:
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
                until_return_s = self._parameters.returns_s - self._timeline.now
                self._answer(call, Outcome.OVERLOADED, max(until_return_s, LEAST_RETRY_AFTER_S))
            case _:
                self._unanswered.append(call)

    def _within_limit(self) -> bool:
        """Return whether the rate limit lets a call in, and count it if so."""
        now = self._timeline.now
        while self._accepted_at and now - self._accepted_at[0] >= RATE_SPAN_S:
            self._accepted_at.popleft()
        if len(self._accepted_at) >= self._parameters.limit_per_s:
            return False
        self._accepted_at.append(now)
        return True

    def _serve(self, call: SimulatedCall) -> None:
        mean_s = SERVICE_S * self._slowdown() * (1.0 + BATCH_COST * max(len(call.members) - 1, 0))
        took_s = self._random.gammavariate(SERVICE_SHAPE, mean_s / SERVICE_SHAPE)
        self._timeline.after(took_s, self._answer, call, Outcome.OK)

    def _slowdown(self) -> float:
        """Return the factor on the service time: in slow start it is as much slower as it can do less."""
        since_return_s = self._timeline.now - self._parameters.returns_s
        if since_return_s < 0.0:
            return 1.0
        present = self._budget.present_capacity(since_return_s)
        return min(self._parameters.capacity_per_s / present, SLOWEST_SERVICE)

    def _answer(self, call: SimulatedCall, outcome: Outcome, retry_after_s: float = 0.0) -> None:
        assert self.on_answer is not None
        delivered = outcome is Outcome.OK
        if delivered and self.in_outage and self._case.outage is Outage.UNRESPONSIVE:
            self._unanswered.append(call)
            return
        took_s = 0.0 if delivered else REJECTION_S
        arrives_at = self._timeline.now + took_s + self.network_s()
        self._timeline.at(arrives_at, self.on_answer, call, outcome, retry_after_s)
