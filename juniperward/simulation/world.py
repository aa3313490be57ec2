"""One simulation run: clients, forwarders, network and destinations, and the faults of a scenario.

Everything runs on one timeline, without threads, a real clock or I/O. Each concern draws from its own random
stream, so that policies run with the same seed get the same arrivals and faults. Times are in simulated
seconds, rates per second.
"""

from __future__ import annotations

from collections.abc import Sequence

from juniperward.scheduler.settings import DestinationKind, Idempotency, MessageClass, SchedulerSettings
from juniperward.simulation.accounts import Accounts
from juniperward.simulation.clients import Clients, HotDestination
from juniperward.simulation.destinations import DestinationService
from juniperward.simulation.forwarders import Forwarders
from juniperward.simulation.model import Policy, RunResult, SimulatedDestination, SimulatedEndpoint
from juniperward.simulation.random_streams import RandomStreams
from juniperward.simulation.recovery_budget import (
    OVERLOAD_MULTIPLE,
    OVERLOAD_SPAN_S,
    SLOW_START_FRACTION,
    WARM_UP_S,
)
from juniperward.simulation.scenario import Fault, FaultKind, Scenario
from juniperward.simulation.timeline import Timeline

DRAIN_TIME_S = 1.0  # A run lasts this long after the last deadline, so that pending messages end.


class World:
    """One run of a scenario under a policy."""

    def __init__(self, scenario: Scenario, policy: Policy, seed: int) -> None:
        """Create the parts of the simulation; `run` runs it."""
        self.scenario = scenario
        self.timeline = Timeline()
        self.destinations = _make_destinations(scenario)
        streams, accounts = RandomStreams.of(seed), Accounts(scenario.traffic.objective)
        parts = (self.destinations, self.timeline, streams, accounts)
        self.clients = Clients(scenario, *parts)
        self.service = DestinationService(scenario.traffic, *parts)
        self.forwarders = Forwarders(
            scenario.forwarders, scheduler_settings(scenario), self.timeline, streams, accounts
        )
        self._accounts = accounts
        observation_type = getattr(policy, "observation_type", None)
        observation = observation_type(self) if observation_type is not None else None
        self.forwarders.connect(self.clients, self.service, policy, observation)

    @property
    def now(self) -> float:
        """The simulated time in seconds."""
        return self.timeline.now

    @property
    def endpoints(self) -> Sequence[SimulatedEndpoint]:
        """The endpoints of all destinations, indexed by number."""
        return self.service.endpoints

    def run(self) -> RunResult:
        """Run the scenario, and continue until the last accepted message has ended."""
        for forwarder in self.forwarders.all:
            self.forwarders.start(forwarder)
        for fault in self.scenario.faults:
            self.timeline.at(fault.starts_s, self._begin_fault, fault)
            self.timeline.at(fault.starts_s + fault.duration_s, self._end_fault, fault)
        self.timeline.at(0.0, self.clients.arrive)
        deadline_s = self.scenario.traffic.objective.deadline_s
        self.timeline.run(self.scenario.duration_s + deadline_s + DRAIN_TIME_S)
        result = self._accounts.finalize()
        result.events = self.timeline.actions_run
        result.destinations_crashed = sum(destination.crashed for destination in self.destinations)
        return result

    # --- faults --------------------------------------------------------------------------------------------

    def _begin_fault(self, fault: Fault) -> None:
        match fault.kind:
            case FaultKind.KILL:
                for number in self._killed_by(fault):
                    self.forwarders.kill(self.forwarders.all[number])
            case FaultKind.HOT:
                self.clients.hot_destinations.extend(_hot_destinations(fault))
            case _:
                for number in fault.destinations:
                    self.service.begin_fault(number, fault)

    def _end_fault(self, fault: Fault) -> None:
        match fault.kind:
            case FaultKind.KILL:
                for number in self._killed_by(fault):
                    self.forwarders.start(self.forwarders.all[number])
            case FaultKind.HOT:
                for hot in _hot_destinations(fault):
                    self.clients.hot_destinations.remove(hot)
            case _:
                for number in fault.destinations:
                    self.service.end_fault(number, fault)

    def _killed_by(self, fault: Fault) -> range:
        """Return the numbers of the forwarders that a fault kills and restarts at its end."""
        forwarders = len(self.forwarders.all)
        return range(min(max(1, round(fault.magnitude * forwarders)), forwarders))


def _hot_destinations(fault: Fault) -> list[HotDestination]:
    fraction = fault.magnitude / len(fault.destinations)
    return [HotDestination(number, fraction) for number in fault.destinations]


def _make_destinations(scenario: Scenario) -> list[SimulatedDestination]:
    destinations: list[SimulatedDestination] = []
    endpoints = 0
    for kind, group in enumerate(scenario.groups):
        for _ in range(group.count):
            number = len(destinations) + 1
            destination = SimulatedDestination(number, kind, group, group.traffic_fraction / group.count)
            for _ in range(group.endpoints):
                destination.endpoints.append(SimulatedEndpoint(endpoints, number))
                endpoints += 1
            destinations.append(destination)
    return destinations


def scheduler_settings(scenario: Scenario) -> SchedulerSettings:
    """Return the scheduler settings of a scenario's forwarders."""
    traffic = scenario.traffic
    message_class = MessageClass(
        traffic.objective.latency_objective_s,
        traffic.objective.deadline_s,
        Idempotency.IDEMPOTENCY_KEY,
        1.0,
        traffic.objective.late_weight,
        deduplication_window_s=traffic.deduplication_window_s,
    )
    return SchedulerSettings(
        (message_class,),
        slots=scenario.slots,
        max_open=scenario.max_pending,
        kinds=tuple(DestinationKind(group.batch_size) for group in scenario.groups),
        instances=scenario.forwarders,
        max_attempts=8,
        slow_start_capacity_fraction=SLOW_START_FRACTION,
        warm_up_s=WARM_UP_S,
        overload_multiple=OVERLOAD_MULTIPLE,
        overload_span_s=OVERLOAD_SPAN_S,
        max_retry_after_s=2.0,
        cancellation=True,
        answer_slack_s=0.02,
        dial_timeout_s=1.0,
        rates_listed=any(group.rate_limit_per_s for group in scenario.groups),
    )
