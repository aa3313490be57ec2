"""One destination that has an outage and recovers in slow start, and a fleet of `DeliveryScheduler`s that call it.

Small on purpose: one destination, no clients that retry, no restarts. It answers one question, by which the overload
invariant (rule 4 of WIRE-juniperward.md) is judged: how many calls does the destination get in each span while it
warms up, and from whom. Input: a case, the number of forwarders and a seed; output: a `RecoveryResult`. Called by
`juniperward measure slow-start`. Times are seconds, rates calls a second.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from juniperward.scheduler import DeliveryScheduler
from juniperward.scheduler.settings import SchedulerSettings
from juniperward.simulation.recovery_cases import RecoveryCase
from juniperward.simulation.recovery_destination import RecoveryDestination
from juniperward.simulation.recovery_fleet import RecoveryFleet
from juniperward.simulation.recovery_load import LoadRecorder, RecoveryResult
from juniperward.simulation.recovery_parameters import RecoveryParameters
from juniperward.simulation.timeline import Timeline

BURST_MESSAGES = 12
BURST_PROBABILITY = 0.04  # of an arrival, in a case with bursts
UNEVEN_EXPONENT = 1.2  # of a forwarder's rank, for its part of uneven traffic

SchedulerFactory = Callable[[SchedulerSettings, int], DeliveryScheduler]


class RecoverySimulation:
    """One run; `run` returns its result."""

    def __init__(
        self,
        case: RecoveryCase,
        forwarders: int,
        seed: int,
        make_scheduler: SchedulerFactory = DeliveryScheduler,
    ) -> None:
        """Draw the day from the seed; `make_scheduler` makes each forwarder's scheduler."""
        self._case = case
        self._random = random.Random(f"{case.name} {forwarders} {seed}")
        self._timeline = Timeline()
        self._parameters = RecoveryParameters.draw(case, forwarders, self._random)
        self._result = RecoveryResult(case, forwarders, seed, self._parameters.capacity_per_s)
        load = LoadRecorder(self._parameters.budget, self._parameters.returns_s, self._result)
        self._destination = RecoveryDestination(self._parameters, self._random, self._timeline, load)
        settings = self._parameters.settings
        schedulers = [make_scheduler(settings, self._random.getrandbits(31)) for _ in range(forwarders)]
        self._fleet = RecoveryFleet(
            schedulers, self._parameters, self._destination, self._timeline, self._result
        )
        exponent = UNEVEN_EXPONENT if case.uneven_traffic else 0.0
        self._weights = [1.0 / rank**exponent for rank in range(1, forwarders + 1)]

    def run(self) -> RecoveryResult:
        """Run from the start to the end of the warm-up."""
        self._fleet.list_endpoints()
        self._timeline.at(self._parameters.returns_s, self._destination.recover)
        self._timeline.at(0.0, self._arrive)
        self._timeline.run_before(self._parameters.ends_s)
        self._result.utility = self._fleet.utility / max(self._result.offered, 1)
        return self._result

    def _arrive(self) -> None:
        """Submit the next message or burst, and schedule the one after it."""
        burst = self._case.bursts and self._random.random() < BURST_PROBABILITY
        mean_messages = 1.0
        if self._case.bursts:
            mean_messages += BURST_PROBABILITY * (BURST_MESSAGES - 1)
        arrivals_per_s = self._parameters.traffic_per_s / mean_messages
        self._timeline.after(self._random.expovariate(arrivals_per_s), self._arrive)
        number = self._random.choices(range(len(self._weights)), self._weights)[0]
        if self._case.half_idle and number % 2 and self._destination.in_outage:
            return
        self._fleet.submit(number, BURST_MESSAGES if burst else 1)
