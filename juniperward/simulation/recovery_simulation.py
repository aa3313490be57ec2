"""Simulation of a destination that recovers from an outage, and of the forwarders that call it.

It measures how many calls the destination receives in each span while it warms up, and from which
forwarders, to check the overload invariant. The model has one destination, no client retries and no
restarts. Times are in seconds, rates in calls per second.
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

BURST_MESSAGE_COUNT = 12
# The probability that an arrival is a burst, in cases with bursts.
BURST_PROBABILITY = 0.04
TRAFFIC_RANK_EXPONENT = 1.2  # uneven traffic is proportional to 1 / rank ** exponent of a forwarder

SchedulerFactory = Callable[[SchedulerSettings, int], DeliveryScheduler]


class RecoverySimulation:
    """One recovery run of a fleet of schedulers."""

    def __init__(
        self,
        case: RecoveryCase,
        forwarders: int,
        seed: int,
        make_scheduler: SchedulerFactory = DeliveryScheduler,
    ) -> None:
        """Draw the parameters from the seed; `make_scheduler` creates the scheduler of each forwarder."""
        self._case = case
        self._random = random.Random(f"{case.name} {forwarders} {seed}")
        self._timeline = Timeline()
        self._parameters = RecoveryParameters.draw(case, forwarders, self._random)
        self._result = RecoveryResult(case, forwarders, seed, self._parameters.capacity_per_s)
        load = LoadRecorder(self._parameters.budget, self._parameters.recovers_s, self._result)
        self._destination = RecoveryDestination(self._parameters, self._random, self._timeline, load)
        settings = self._parameters.settings
        schedulers = [make_scheduler(settings, self._random.getrandbits(31)) for _ in range(forwarders)]
        self._fleet = RecoveryFleet(
            schedulers, self._parameters, self._destination, self._timeline, self._result
        )
        exponent = TRAFFIC_RANK_EXPONENT if case.uneven_traffic else 0.0
        self._weights = [1.0 / rank**exponent for rank in range(1, forwarders + 1)]

    def run(self) -> RecoveryResult:
        """Run from the start to the end of the warm-up, and return the result."""
        self._fleet.list_endpoints()
        self._timeline.at(self._parameters.recovers_s, self._destination.recover)
        self._timeline.at(0.0, self._arrive)
        self._timeline.run_before(self._parameters.ends_s)
        self._result.utility = self._fleet.total_utility / max(self._result.offered, 1)
        return self._result

    def _arrive(self) -> None:
        """Submit the next message or burst, and schedule the one after it."""
        burst = self._case.bursts and self._random.random() < BURST_PROBABILITY
        mean_messages = 1.0
        if self._case.bursts:
            mean_messages += BURST_PROBABILITY * (BURST_MESSAGE_COUNT - 1)
        arrivals_per_s = self._parameters.traffic_per_s / mean_messages
        self._timeline.after(self._random.expovariate(arrivals_per_s), self._arrive)
        number = self._random.choices(range(len(self._weights)), self._weights)[0]
        if self._case.half_idle and number % 2 and self._destination.in_outage:
            return
        self._fleet.submit(number, BURST_MESSAGE_COUNT if burst else 1)
