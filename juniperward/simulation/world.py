"""The world in simulated time: partners, network, clients, and forwarders that are real schedulers.

One timeline; no thread, no clock, no I/O. Each concern draws from a random stream of its own: runs of two policies on
one seed meet the same arrivals, latencies and faults. Times are seconds of the simulated day, rates are a second.
"""

from __future__ import annotations

from juniperward.scheduler.settings import DestinationKind, Idempotency, MessageClass, SchedulerSettings
from juniperward.simulation.accounts import Accounts
from juniperward.simulation.clients import Clients
from juniperward.simulation.destinations import Destinations
from juniperward.simulation.forwarders import Forwarders
from juniperward.simulation.model import (
    Partner,
    Policy,
    RunResult,
    SimulatedEndpoint,
)
from juniperward.simulation.random_streams import RandomStreams
from juniperward.simulation.recovery_budget import (
    OVERLOAD_MULTIPLE,
    OVERLOAD_SPAN_S,
    SLOW_START_FRACTION,
    WARM_UP_S,
)
from juniperward.simulation.scenario import Fault, Scenario, objective_of
from juniperward.simulation.timeline import Timeline

AFTER_LAST_DEADLINE_S = 1.0  # for what was accepted last to get its end


class World:
    """One run of a scenario under a policy."""

    def __init__(self, scenario: Scenario, policy: Policy, seed: int) -> None:
        """Compose the parts; `run` lets the day happen."""
        self.scenario = scenario
        self.timeline = Timeline()
        self.partners = _partners(scenario)
        streams, accounts = RandomStreams.of(seed), Accounts(scenario.traffic)
        settings = scheduler_settings(scenario)
        parts = (self.partners, self.timeline, streams, accounts)
        self.clients = Clients(scenario, *parts)
        self.destinations = Destinations(scenario.traffic, *parts)
        self.forwarders = Forwarders(scenario.forwarders, settings, self.timeline, streams, accounts)
        self._accounts = accounts
        sees = getattr(policy, "sees", None)
        self.forwarders.connect(
            self.clients, self.destinations, policy, sees(self) if sees is not None else None
        )

    @property
    def now(self) -> float:
        """Seconds of the simulated day."""
        return self.timeline.now

    @property
    def endpoints(self) -> list[SimulatedEndpoint]:
        """All endpoints, by number."""
        return self.destinations.endpoints

    def run(self) -> RunResult:
        """Let the whole day happen, and go on until all that was accepted has its end."""
        for forwarder in self.forwarders.all:
            self.forwarders.start(forwarder)
        for fault in self.scenario.faults:
            self.timeline.at(fault.at, self._inject_fault, fault, True)
            self.timeline.at(fault.at + fault.seconds, self._inject_fault, fault, False)
        self.timeline.at(0.0, self.clients.arrive)
        self.timeline.run(self.scenario.seconds + self.scenario.traffic.deadline + AFTER_LAST_DEADLINE_S)
        result = self._accounts.sum_up()
        result.events = self.timeline.actions_run
        result.fallen = sum(partner.fallen for partner in self.partners)
        return result

    def _inject_fault(self, fault: Fault, begins: bool) -> None:
        """Have a fault begin or end."""
        if fault.kind == "KILL":
            self._kill_or_start(fault.size, begins)
            return
        for number in fault.partner:
            if fault.kind == "HOT":
                share = (number, fault.size / len(fault.partner))
                hot = self.clients.hot
                hot.append(share) if begins else hot.remove(share)
            elif begins:
                self.destinations.begin_fault(number, fault.kind, fault.size, fault.seconds)
            else:
                self.destinations.end_fault(number, fault.kind)

    def _kill_or_start(self, share: float, kill: bool) -> None:
        forwarders = self.forwarders.all
        for forwarder in forwarders[: max(1, round(share * len(forwarders)))]:
            if kill:
                self.forwarders.kill(forwarder)
            else:
                self.forwarders.start(forwarder)


def _partners(scenario: Scenario) -> list[Partner]:
    partners: list[Partner] = []
    endpoint = 0
    for kind, group in enumerate(scenario.partners):
        for _ in range(group.count):
            partner = Partner(len(partners) + 1, kind, group, group.share / group.count)
            for _ in range(group.workers):
                partner.workers.append(SimulatedEndpoint(endpoint, partner.number))
                endpoint += 1
            partners.append(partner)
    return partners


def scheduler_settings(scenario: Scenario) -> SchedulerSettings:
    """Return the settings that a scenario's forwarders have."""
    traffic = scenario.traffic
    objective = objective_of(traffic)
    message_class = MessageClass(
        objective.latency_objective_s,
        traffic.deadline,
        Idempotency.IDEMPOTENCY_KEY,
        1.0,
        objective.late_weight,
        deduplication_window_s=traffic.window,
    )
    return SchedulerSettings(
        (message_class,),
        slots=scenario.slots,
        max_open=scenario.max_open,
        kinds=tuple(DestinationKind(max(int(group.batch), 1)) for group in scenario.partners),
        instances=scenario.forwarders,
        max_attempts=8,
        cold_capacity_share=SLOW_START_FRACTION,
        warm_up_s=WARM_UP_S,
        overload_multiple=OVERLOAD_MULTIPLE,
        overload_span_s=OVERLOAD_SPAN_S,
        max_retry_after_s=2.0,
        cancellation=True,
        answer_slack_s=0.02,
        dial_timeout_s=1.0,
        rates_listed=any(group.rate for group in scenario.partners),
    )
