"""Plays a scenario of the simulation on sockets: fake clients and destinations, real forwarders under an agent.

For a policy other than the scheduler, the forwarders import a generated `sitecustomize` module that replaces the
scheduler in the reducer; the rest of the forwarder is unchanged.
"""

from __future__ import annotations

import os
import tempfile
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from juniperward.benchmarks.cluster_files import ACCOUNTS, ROOT
from juniperward.benchmarks.local_cluster import LocalCluster
from juniperward.benchmarks.report import quantile
from juniperward.fakes.clients import ClientOptions, Clients, Traffic
from juniperward.fakes.destination_spec import DestinationSpec, FaultMode
from juniperward.fakes.verdict import Bounds, Verdict
from juniperward.simulation.scenario import Fault, FaultKind, Scenario
from juniperward.simulation.scenario_loader import SCENARIOS_FOLDER, load

OWN_POLICY = "juniperward"
OUTCOME_MARGIN_S = 1.0  # waited for outcomes after the deadline of the last message
FAULT_MODES = {
    FaultKind.DOWN: FaultMode.DOWN,
    FaultKind.FAILING: FaultMode.FAILING,
    FaultKind.REJECTING: FaultMode.REJECTING,
    FaultKind.UNRESPONSIVE: FaultMode.UNRESPONSIVE,
}
# The source of `sitecustomize` in the forwarders.
POLICY_PATCH = '''
import juniperward.forwarder.reducer.reducer as reducer
from juniperward.simulation.policies import POLICIES
from juniperward.scheduler import DeliveryScheduler
from juniperward.scheduler.actions import PollEndpointList
from juniperward.scheduler.events import EndpointListUpdated, ListScope

class OtherPolicy(DeliveryScheduler):
    """Another policy in the scheduler's place; it polls the endpoint list as the scheduler does."""

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        self.policy = POLICIES["{policy}"](settings, seed)
        self.polled = False

    def handle(self, now, events):
        events = list(events)
        failed = [e for e in events if isinstance(e, EndpointListUpdated) and e.scope is ListScope.FAILED]
        actions = self.policy.handle(now, [e for e in events if e not in failed])
        if failed or not self.polled:
            self.polled = True
            actions = [PollEndpointList(), *actions]
        return actions

reducer.DeliveryScheduler = OtherPolicy
'''


@dataclass(frozen=True, slots=True)
class PlayResult:
    """The result of a scenario on sockets.

    Attributes:
        priority_weight: The fraction of the offered priority weight that was delivered.
        lateness_p99_s: The 99th percentile of the seconds by which the clients sent each message late.
        violations: The number of rules violated, by the checker.
        crashed: The number of destinations that crashed.
    """

    priority_weight: float
    lateness_p99_s: float
    violations: int
    crashed: int


def play(name: str, policy: str, seed: int) -> PlayResult:
    """Play the scenario in the file `name`.textproto under a policy."""
    scenario = load(SCENARIOS_FOLDER / f"{name}.textproto")
    with tempfile.TemporaryDirectory(prefix="jw-") as folder, policy_in_forwarders(policy, Path(folder)):
        cluster = LocalCluster(Path(folder), scenario.forwarders, _destinations(scenario), seed)
        _configure(cluster, scenario)
        with cluster:
            cluster.start()
            clients = _clients(cluster, scenario, seed)
            verdict = _run(cluster, scenario, clients)
            return PlayResult(
                verdict.priority_weight_delivered,
                quantile(clients.lateness_s, 0.99),
                len(verdict.violations),
                sum(destination.capacity.crashed for destination in cluster.destinations.values()),
            )


def _run(cluster: LocalCluster, scenario: Scenario, clients: Clients) -> Verdict:
    """Inject the scenario's faults, wait for the outcomes of all messages, and return the checker's verdict."""
    objective = scenario.traffic.objective
    started_at = time.monotonic()
    for fault in scenario.faults:
        threading.Thread(target=_inject_fault, args=(cluster, fault, started_at), daemon=True).start()
    clients.done.wait(scenario.duration_s + 2 * objective.deadline_s)
    ends_at = started_at + scenario.duration_s + objective.deadline_s + OUTCOME_MARGIN_S
    time.sleep(max(ends_at - time.monotonic(), 0.0))
    bounds = Bounds(
        latency_objective_s=objective.latency_objective_s,
        deadline_s=objective.deadline_s,
        late_weight=objective.late_weight,
    )
    return cluster.verdict(bounds)


def _destinations(scenario: Scenario) -> list[DestinationSpec]:
    """Return the fake destinations of a scenario."""
    specs: list[DestinationSpec] = []
    for number, group in enumerate(scenario.groups):
        for _ in range(group.count):
            specs.append(DestinationSpec(
                len(specs) + 1, f"kind-{number}", group.endpoints, group.latency_s, group.latency_variation,
                group.concurrency, group.queue_limit, group.rate_limit_per_s, group.retry_after_fraction,
                group.batch_size, scenario.traffic.deduplication_window_s,
            ))  # fmt: skip
    return specs


def _configure(cluster: LocalCluster, scenario: Scenario) -> None:
    """Set the scenario's parameters in the configuration of the forwarders."""
    objective = scenario.traffic.objective
    settings = cluster.base["settings"]
    settings["Services"][0] |= {
        "AimMs": 1000 * objective.latency_objective_s, "DeadlineMs": 1000 * objective.deadline_s,
        "LateWorth": objective.late_weight, "WindowMs": 1000 * scenario.traffic.deduplication_window_s,
    }  # fmt: skip
    groups = scenario.groups
    settings["Limits"]["MaxOpen"] = scenario.max_pending
    settings["Specifics"]["MaxCalls"] = scenario.slots
    settings["Specifics"]["BatchByKind"] = [group.batch_size for group in groups]
    settings["Specifics"]["RoutesApart"] = [False] * len(groups)
    settings["Weights"] = "nominal" if any(group.rate_limit_per_s for group in groups) else "none"
    settings["Kinds"] = [f"kind-{number}" for number in range(len(groups))]


def _clients(cluster: LocalCluster, scenario: Scenario, seed: int) -> Clients:
    """Start open-loop clients with the scenario's rate and weights; its bursts are not played."""
    weights: list[tuple[int, float]] = []
    for group in scenario.groups:
        weight = group.traffic_fraction / group.count
        weights += [(len(weights) + 1 + number, weight) for number in range(group.count)]
    traffic = Traffic(
        scenario.traffic.rate_per_s,
        tuple(weights),
        ACCOUNTS,
        deadline_s=scenario.traffic.objective.deadline_s,
        max_submissions=2 if scenario.traffic.resubmit_fraction else 1,
    )
    clients = Clients(traffic, cluster.load_balancer, cluster.recorder, seed, ClientOptions(threads=64))
    clients.start(scenario.duration_s)
    return clients


def _inject_fault(cluster: LocalCluster, fault: Fault, started_at: float) -> None:
    """Wait for the fault's start, counted from `started_at`, and apply it to its destinations for its duration."""
    time.sleep(max(started_at + fault.starts_s - time.monotonic(), 0.0))
    for destination in fault.destinations:
        cluster.destinations[destination].inject_fault(
            FAULT_MODES[fault.kind], fault.duration_s, fault.magnitude
        )
    time.sleep(fault.duration_s)
    for destination in fault.destinations:
        cluster.destinations[destination].inject_fault(FaultMode.HEALTHY)


@contextmanager
def policy_in_forwarders(policy: str, folder: Path) -> Iterator[None]:
    """Have forwarders that are started within this context use a policy; `folder` gets the patch."""
    if policy == OWN_POLICY:
        yield
        return
    former_path = os.environ.get("PYTHONPATH")
    (folder / "sitecustomize.py").write_text(POLICY_PATCH.format(policy=policy))
    os.environ["PYTHONPATH"] = os.pathsep.join(
        [str(folder), str(ROOT), *([former_path] if former_path else [])]
    )
    try:
        yield
    finally:
        if former_path is None:
            os.environ.pop("PYTHONPATH", None)
        else:
            os.environ["PYTHONPATH"] = former_path
