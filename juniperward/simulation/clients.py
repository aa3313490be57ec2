"""Simulated clients: message arrivals, single and in bursts, and resubmission of rejected messages.

Messages go to the callback `Clients.submit`, which the forwarders set. Arrivals are driven by the timeline.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

import numpy as np

from juniperward.simulation.accounts import Accounts
from juniperward.simulation.model import Message, MessageOutcome, SimulatedDestination
from juniperward.simulation.random_streams import RandomStreams
from juniperward.simulation.scenario import Scenario
from juniperward.simulation.timeline import Timeline

MAX_SUBMISSIONS = 2
MIN_RETRY_DELAY_S = 0.2
MIN_RATE_PER_S = 1e-9


class HotDestination(NamedTuple):
    """A destination that receives `fraction` of all messages in addition to its traffic weight."""

    number: int
    fraction: float


class Clients:
    """Generates messages and passes them to `submit`."""

    def __init__(
        self,
        scenario: Scenario,
        destinations: Sequence[SimulatedDestination],
        timeline: Timeline,
        streams: RandomStreams,
        accounts: Accounts,
    ) -> None:
        """Generate the traffic of `scenario`, spread over `destinations` by their traffic weights."""
        self.submit: Callable[[Message], None] | None = None
        self.hot_destinations: list[HotDestination] = []
        self._traffic, self._ends_s = scenario.traffic, scenario.duration_s
        self._timeline, self._streams, self._accounts = timeline, streams, accounts
        total = sum(destination.traffic_weight for destination in destinations)
        self._cumulative = np.cumsum([destination.traffic_weight / total for destination in destinations])
        self._arrivals_per_message = self._mean_arrivals_per_message(scenario)
        self._burst_probability = self._burst_probability_of(scenario)

    def _mean_arrivals_per_message(self, scenario: Scenario) -> float:
        """Return the mean number of arrivals per message; a burst is one arrival."""
        traffic = scenario.traffic
        bursts = traffic.burst_fraction / traffic.burst_size if traffic.burst_size else 0.0
        return 1 - traffic.burst_fraction + bursts

    def _burst_probability_of(self, scenario: Scenario) -> float:
        """Return the probability that an arrival is a burst."""
        traffic = scenario.traffic
        if not traffic.burst_size:
            return 0.0
        return (traffic.burst_fraction / traffic.burst_size) / self._arrivals_per_message

    def arrive(self) -> None:
        """Submit one message or one burst now, and schedule the next arrival."""
        now = self._timeline.now
        arrivals_per_s = max(self._rate(now) * self._arrivals_per_message, MIN_RATE_PER_S)
        wait_s = self._streams.arrivals.source.exponential(1 / arrivals_per_s)
        self._timeline.after(wait_s, self._arrive_until_end)
        count = self._arrival_size()
        destination = self._choose_destination()
        for _ in range(count):
            self._submit(self._accounts.open(destination, now))

    def _arrive_until_end(self) -> None:
        if self._timeline.now < self._ends_s:
            self.arrive()

    def _rate(self, now: float) -> float:
        """Return the message rate per second at `now`, including its periodic variation."""
        traffic = self._traffic
        if not traffic.swing_fraction:
            return traffic.rate_per_s
        swing = np.sin(2 * np.pi * now / traffic.swing_period_s)
        return float(traffic.rate_per_s * (1 + traffic.swing_fraction * swing))

    def _arrival_size(self) -> int:
        traffic = self._traffic
        if traffic.burst_size and self._streams.arrivals.uniform() < self._burst_probability:
            return traffic.burst_size
        return 1

    def _choose_destination(self) -> int:
        stream = self._streams.arrivals
        for hot in self.hot_destinations:
            if stream.uniform() < hot.fraction:
                return hot.number
        return int(np.searchsorted(self._cumulative, stream.uniform(), side="right")) + 1

    def _submit(self, message: Message) -> None:
        assert self.submit is not None
        self.submit(message)

    def resubmit(self, message: Message, delay_s: float) -> None:
        """Submit `message` again after `delay_s`."""
        self._timeline.after(delay_s, self._submit, message)

    def reject(self, message: Message, retry_after_s: float, outcome: MessageOutcome) -> None:
        """Resubmit a rejected message or close it with `outcome`; the scenario sets the fraction resubmitted."""
        message.outcome = outcome
        may_retry = message.submissions < MAX_SUBMISSIONS
        retries = may_retry and self._streams.clients.uniform() < self._traffic.resubmit_fraction
        if not retries:
            self._accounts.close(message)
            return
        message.submissions += 1
        self.resubmit(message, max(retry_after_s, MIN_RETRY_DELAY_S))
