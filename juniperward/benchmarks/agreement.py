"""The lab's model against real sockets: the same scenarios under the same policies, both ways.

On sockets a scenario is played by the stand-ins against real forwarders under an agent. Another policy than our
module takes its place inside a forwarder by a wrapper that only this rig puts on the path; everything round it
(sockets, journal, reducer) stays what it is.
"""

from __future__ import annotations

import concurrent.futures
import os
import tempfile
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from juniperward.benchmarks.cluster_files import ACCOUNTS
from juniperward.benchmarks.local_cluster import LocalCluster
from juniperward.benchmarks.report import Report
from juniperward.fakes.clients import ClientOptions, Clients, Traffic
from juniperward.fakes.destination_spec import DestinationSpec, FaultMode
from juniperward.fakes.verdict import Bounds
from juniperward.simulation.experiment import one
from juniperward.simulation.scenario import Fault, FaultKind, Scenario
from juniperward.simulation.scenario_loader import FOLDER, load

SCENARIOS = ("calm", "outage", "fast-errors", "shut", "silent", "overload")
POLICIES = ("juniperward", "round-robin", "one-try")
FAULT_MODES = {
    FaultKind.DOWN: FaultMode.DOWN,
    FaultKind.FAILING: FaultMode.FAILING,
    FaultKind.REJECTING: FaultMode.REJECTING,
    FaultKind.UNRESPONSIVE: FaultMode.UNRESPONSIVE,
}
WITHIN = 0.03  # of worth, that model and sockets may differ by
APART = 0.01  # policies closer than this in either are not ordered
AT_ONCE = 6  # clusters at a time
WRAPPER = '''
import juniperward.forwarder.reducer as reducer
from juniperward.simulation.policies import POLICIES
from juniperward.scheduler import DeliveryScheduler
from juniperward.scheduler.actions import PollEndpointList
from juniperward.scheduler.events import EndpointListUpdated, ListScope

class Other(DeliveryScheduler):
    """Another policy in the scheduler's place; it asks for the list as the scheduler does."""

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        self.inner, self.asked = POLICIES["{policy}"](settings, seed), False

    def handle(self, now, events):
        events = list(events)
        failed = [e for e in events if isinstance(e, EndpointListUpdated) and e.scope is ListScope.FAILED]
        lost = bool(failed)
        events = [e for e in events if e not in failed]
        actions = self.inner.handle(now, events)
        if lost or not self.asked:
            self.asked = True
            actions = [PollEndpointList(), *actions]
        return actions

reducer.DeliveryScheduler = Other
'''


def playable(s: Scenario) -> bool:
    """Whether the stand-ins have all that a scenario asks for."""
    return all(t.kind in FAULT_MODES for t in s.faults)


def specs(s: Scenario) -> list[DestinationSpec]:
    """A scenario's partners as the stand-ins have them."""
    made: list[DestinationSpec] = []
    for number, g in enumerate(s.groups):
        for _ in range(g.count):
            made.append(DestinationSpec(
                len(made) + 1, f"kind-{number}", g.endpoints, g.latency_s, g.latency_variation, g.concurrency,
                g.queue_limit, g.rate_limit_per_s, g.retry_after_fraction, g.batch_size,
                s.traffic.deduplication_window_s,
            ))  # fmt: skip
    return made


@contextmanager
def wrapped(policy: str, folder: Path) -> Iterator[None]:
    """Forwarders that are started meanwhile decide by this policy."""
    before = os.environ.get("PYTHONPATH")
    if policy != "juniperward":
        (folder / "sitecustomize.py").write_text(WRAPPER.format(policy=policy))
        os.environ["PYTHONPATH"] = os.pathsep.join([str(folder), *([before] if before else [])])
    try:
        yield
    finally:
        if before is None:
            os.environ.pop("PYTHONPATH", None)
        else:
            os.environ["PYTHONPATH"] = before


def on_sockets(name: str, policy: str, seed: int) -> tuple[float, float, int, int]:
    """Play a scenario on sockets: worth, how late the rig was (p99, seconds), rules broken, partners fallen over."""
    s = load(FOLDER / f"{name}.textproto")
    objective = s.traffic.objective
    with tempfile.TemporaryDirectory(prefix="jw-") as place, wrapped(policy, Path(place)):
        cluster = LocalCluster(Path(place), s.forwarders, specs(s), seed)
        settings = cluster.base["settings"]
        settings["Services"][0] |= {
            "AimMs": 1000 * objective.latency_objective_s, "DeadlineMs": 1000 * objective.deadline_s,
            "LateWorth": objective.late_weight, "WindowMs": 1000 * s.traffic.deduplication_window_s,
        }  # fmt: skip
        settings["Limits"]["MaxOpen"], settings["Specifics"]["MaxCalls"] = s.max_pending, s.slots
        settings["Weights"] = "nominal" if any(g.rate_limit_per_s for g in s.groups) else "none"
        settings["Kinds"] = [f"kind-{n}" for n in range(len(s.groups))]
        settings["Specifics"]["BatchByKind"] = [g.batch_size for g in s.groups]
        settings["Specifics"]["RoutesApart"] = [False] * len(s.groups)
        with cluster:
            cluster.start()
            clients = _clients(cluster, s, seed)
            began = time.monotonic()
            for fault in s.faults:
                threading.Thread(target=_inject_fault, args=(cluster, fault, began), daemon=True).start()
            clients.done.wait(s.duration_s + 2 * objective.deadline_s)
            time.sleep(max(began + s.duration_s + objective.deadline_s + 1.0 - time.monotonic(), 0.0))
            v = cluster.verdict(
                Bounds(
                    latency_objective_s=objective.latency_objective_s,
                    deadline_s=objective.deadline_s,
                    late_weight=objective.late_weight,
                )
            )
            late = sorted(clients.lateness_s)
            fallen = sum(p.capacity.crashed for p in cluster.destinations.values())
            return (
                v.priority_weight_delivered,
                late[int(0.99 * len(late))] if late else 0.0,
                len(v.violations),
                fallen,
            )


def _clients(cluster: LocalCluster, s: Scenario, seed: int) -> Clients:
    """Open-loop clients with the scenario's weights; clumps are not played."""
    weights: list[tuple[int, float]] = []
    for g in s.groups:
        weights += [(len(weights) + 1 + n, g.traffic_fraction / g.count) for n in range(g.count)]
    t = s.traffic
    traffic = Traffic(
        t.rate_per_s,
        tuple(weights),
        ACCOUNTS,
        deadline_s=t.objective.deadline_s,
        max_submissions=2 if t.resubmit_fraction else 1,
    )
    clients = Clients(traffic, cluster.load_balancer, cluster.recorder, seed, ClientOptions(threads=64))
    clients.start(s.duration_s)
    return clients


def _inject_fault(cluster: LocalCluster, t: Fault, began: float) -> None:
    """Have the scenario's partners fail as the fault says, from its moment after `began` and for its seconds."""
    time.sleep(max(began + t.starts_s - time.monotonic(), 0.0))
    for p in t.destinations:
        cluster.destinations[p].inject_fault(FAULT_MODES[t.kind], t.duration_s, t.magnitude)
    time.sleep(t.duration_s)
    for p in t.destinations:
        cluster.destinations[p].inject_fault(FaultMode.HEALTHY)


def _both(name: str, policy: str, seed: int) -> tuple[str, str, float, float, float, int, str]:
    priority_weight, late, broken, fallen = on_sockets(name, policy, seed)
    s = load(FOLDER / f"{name}.textproto")
    text = s.text.replace("again: 0.7", "again: 1.0")  # the stand-ins' clients always come once more
    model = one(text, f"{name}.textproto", policy, seed)
    return name, policy, priority_weight, model.worth, late, broken, f"{fallen}, {model.fallen}"


def ordered_alike(found: list[tuple[Any, ...]]) -> list[str]:
    """Pairs of policies that model and sockets put in different orders, where both put them APART."""
    wrong = []
    for name in dict.fromkeys(f[0] for f in found):
        rows = [f for f in found if f[0] == name]
        for a in rows:
            for b in rows:
                sockets, model = a[2] - b[2], a[3] - b[3]
                if sockets > APART and model < -APART:
                    wrong.append(f"{name}: {a[1]} is above {b[1]} on sockets, below it in the model")
    return wrong


def agreement(seed: int, out: Path, rounds: int = 0) -> bool:
    """Six scenarios, three policies; worth on sockets and in the model, and whether they order policies alike."""
    report = Report("The model against sockets", f"juniperward measure agreement --seed {seed}", seed)
    jobs = [(s, p) for s in SCENARIOS for p in POLICIES][: rounds or None]
    with concurrent.futures.ProcessPoolExecutor(AT_ONCE) as pool:
        runs = [pool.submit(_both, s, p, seed) for s, p in jobs]
        found = []
        for run in runs:
            found.append(run.result())
            print(found[-1], flush=True)
    rows = []
    for name, policy, sockets, model, late, broken, fallen in found:
        near = "yes" if abs(sockets - model) <= WITHIN else "no"
        rows.append([
            name, policy, f"{sockets:.4f}", f"{model:.4f}", f"{sockets - model:+.4f}", near, f"{1000 * late:.0f}",
            f"{broken}", fallen,
        ])  # fmt: skip
    report.table(
        ["scenario", "policy", "worth on sockets", "in the model", "difference", f"within {WITHIN:g}",
         "rig late p99 ms", "rules broken on sockets", "partners fallen: sockets, model"], rows,
    )  # fmt: skip
    wrong = ordered_alike(found)
    report.say("Policies in different orders: " + ("; ".join(wrong) if wrong else "none") + ".")
    report.write(out / "agreement.md")
    return not wrong and all(r[5] == "yes" for r in rows)
