"""A local cluster: real forwarders under an agent, with fake discovery, destinations, load balancer and clients.

All processes listen on loopback, at ports chosen by the system, and keep their files in one folder. The demo, the
measurements and the tests use it.
"""

from __future__ import annotations

import contextlib
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from juniperward.agent import processes
from juniperward.agent.client import AgentRejectedError, AgentUnreachableError, request
from juniperward.benchmarks.cluster_files import ACCOUNTS, ROOT, ClusterFiles, Instance
from juniperward.benchmarks.errors import AgentStartError, StatusTimeoutError
from juniperward.benchmarks.ports import reserve_ports
from juniperward.benchmarks.process_watcher import ProcessWatcher
from juniperward.fakes.checker import check
from juniperward.fakes.clients import ClientOptions, Clients, Traffic
from juniperward.fakes.destination_spec import DestinationSpec
from juniperward.fakes.destinations import FakeDestination
from juniperward.fakes.discovery import FakeDiscovery
from juniperward.fakes.load_balancer import LoadBalancer
from juniperward.fakes.records import Recorder
from juniperward.fakes.verdict import DEFAULT_BOUNDS, Bounds, Verdict

DEFAULT_DESTINATIONS = tuple(DestinationSpec(number, latency_s=0.03) for number in (1, 2, 3, 4))
READY_TIMEOUT_S = 30.0
AGENT_START_TIMEOUT_S = 20.0
AGENT_POLL_INTERVAL_S = 0.02
REQUEST_TIMEOUT_S = 10.0
STATUS_POLL_INTERVAL_S = 0.05
STATUS_AGE_TOLERANCE_S = 0.1  # for rounding and delays in the reported age of a forwarder's status
SHUTDOWN_TIMEOUT_S = 15.0

FleetStatus = dict[str, Any]  # the answer of the agent's API to `status`


@dataclass(frozen=True)
class ClusterOptions:
    """Further options of a `LocalCluster`.

    Attributes:
        discovery_delay_s: The delay with which discovery publishes changes.
        settings: Values of the fleet file, by message ("patience", "roll") and field.
    """

    discovery_delay_s: float = 0.0
    settings: dict[str, dict[str, float]] = field(default_factory=dict)


DEFAULT_OPTIONS = ClusterOptions()


class LocalCluster:
    """A context manager for a local cluster; leaving the context ends all its processes."""

    def __init__(
        self,
        folder: Path,
        instances: int = 3,
        destinations: list[DestinationSpec] | None = None,
        seed: int = 1,
        options: ClusterOptions = DEFAULT_OPTIONS,
    ) -> None:
        """Prepare `instances` forwarders and `destinations` (DEFAULT_DESTINATIONS if None); files go to `folder`."""
        self.folder, self.seed = folder, seed
        self.recorder = Recorder()
        self.discovery = FakeDiscovery(self.recorder, options.discovery_delay_s)
        self.destinations = {
            spec.destination: FakeDestination(spec, self.recorder, seed + spec.destination)
            for spec in (destinations if destinations is not None else DEFAULT_DESTINATIONS)
        }
        self.names = [f"n{number}" for number in range(instances)]
        self._ports = reserve_ports(instances)
        self.addresses: dict[str, tuple[str, int]] = {
            name: port.getsockname() for name, port in zip(self.names, self._ports, strict=True)
        }
        self.load_balancer = LoadBalancer(self.addresses)
        self.files = ClusterFiles(folder, options.settings)
        self.agent: subprocess.Popen[bytes] | None = None
        self._watcher = ProcessWatcher(self.socket, self.recorder)

    def __enter__(self) -> LocalCluster:
        """Return the cluster, which is not started yet."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close the cluster."""
        self.close()

    # --- parts of the cluster ------------------------------------------------------------------------------

    @property
    def socket(self) -> Path:
        """The socket of the agent's API."""
        return self.folder / "run" / "agent.sock"

    @property
    def base(self) -> dict[str, Any]:
        """The configuration that all forwarders share; a change takes effect after `write_settings` and a reload."""
        return self.files.base

    @property
    def pids(self) -> dict[str, int]:
        """The process id of each forwarder that runs, by the latest status."""
        return self._watcher.pids

    def write_settings(self) -> None:
        """Write the fleet file and the configuration that all forwarders share."""
        self.files.write(
            Instance(name, self.addresses[name], self.discovery.address_for(name)) for name in self.names
        )

    # --- start and stop ------------------------------------------------------------------------------------

    def start(self, ready: bool = True) -> None:
        """Start the fakes and the agent; with `ready`, wait until all forwarders are ready."""
        for destination in self.destinations.values():
            self.discovery.publish(*destination.start())
        self.write_settings()
        self.start_agent()
        if ready:
            self.wait_until(lambda status: status["ready"] == len(self.names), READY_TIMEOUT_S)
        self.load_balancer.start()

    def start_agent(self) -> None:
        """Start the agent and wait until it answers; raises AgentStartError if it does not."""
        log_file = self.folder / "agent.log"
        with log_file.open("ab") as log:
            self.agent = subprocess.Popen(
                [sys.executable, "-m", "juniperward", "agent", "run", str(self.files.fleet_file), "--json"],
                cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            )  # fmt: skip
        deadline = time.monotonic() + AGENT_START_TIMEOUT_S
        while not self._agent_answers():
            if self.agent.poll() is not None or time.monotonic() > deadline:
                raise AgentStartError(log_file)
            time.sleep(AGENT_POLL_INTERVAL_S)
        self._watcher.start(self.agent)

    def _agent_answers(self) -> bool:
        try:
            request(self.socket, "agent", timeout_s=0.5)
        except (AgentUnreachableError, AgentRejectedError):
            return False
        return True

    def kill_agent(self) -> None:
        """Kill the agent by SIGKILL; its forwarders keep running."""
        assert self.agent is not None
        self._watcher.poll()
        self.agent.kill()
        self.agent.wait()

    def close(self) -> None:
        """Stop the agent, kill all forwarders, and close the fakes."""
        self._watcher.closed = True
        self.load_balancer.closed = True
        if self.agent is not None and self.agent.poll() is None:
            self._shut_down(self.agent)
        for process in processes.find_instances(str(self.folder / "run")).values():
            processes.send_signal(process, signal.SIGKILL)
        self.discovery.close()
        for destination in self.destinations.values():
            destination.close()
        for port in self._ports:
            port.close()

    def _shut_down(self, agent: subprocess.Popen[bytes]) -> None:
        """Ask the agent to shut down with its forwarders; kill it after SHUTDOWN_TIMEOUT_S."""
        with contextlib.suppress(AgentUnreachableError, AgentRejectedError):
            request(self.socket, "shutdown", timeout_s=2.0, instances=True)
        try:
            agent.wait(SHUTDOWN_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            agent.kill()
            agent.wait()

    # --- the agent's API -----------------------------------------------------------------------------------

    def request(self, verb: str, names: list[str] | None = None, **options: Any) -> Any:
        """Send a request to the agent and return its answer; raises AgentUnreachableError or AgentRejectedError."""
        return request(self.socket, verb, names, REQUEST_TIMEOUT_S, **options)

    def instance(self, name: str) -> dict[str, Any]:
        """Return the entry of an instance in the fleet's status."""
        rows: list[dict[str, Any]] = self.request("status")["instances"]
        return next(row for row in rows if row["name"] == name)

    def wait_until(self, condition: Callable[[FleetStatus], bool], timeout_s: float = 20.0) -> FleetStatus:
        """Poll the status until it meets a condition, and return it; raises StatusTimeoutError."""
        deadline = time.monotonic() + timeout_s
        status: FleetStatus = {}
        while time.monotonic() < deadline:
            with contextlib.suppress(AgentUnreachableError):
                status = self.request("status")
                if condition(status):
                    return status
            time.sleep(STATUS_POLL_INTERVAL_S)
        raise StatusTimeoutError(timeout_s, status)

    def roll(self, timeout_s: float = 120.0, **options: Any) -> dict[str, Any]:
        """Start a roll, wait until it has ended or paused, and return its status."""
        self.request("roll", **options)
        return self.roll_end(timeout_s)

    def roll_end(self, timeout_s: float = 120.0) -> dict[str, Any]:
        """Wait until the current roll has ended or paused, and return its status."""
        roll: dict[str, Any] = self.wait_until(_roll_has_stopped, timeout_s)["roll"]
        return roll

    # --- load and verdict ----------------------------------------------------------------------------------

    def clients(self, rate: float, seconds: float, threads: int = 48, name: str = "c") -> Clients:
        """Start clients that send `rate` messages per second for `seconds`, to all destinations equally.

        `name` is the prefix of all message ids.
        """
        weights = tuple((number, 1.0) for number in self.destinations)
        traffic = Traffic(rate, weights, ACCOUNTS)
        options = ClientOptions(threads, name)
        clients = Clients(traffic, self.load_balancer, self.recorder, self.seed, options)
        clients.start(seconds)
        return clients

    def settle(self, timeout_s: float = 30.0) -> None:
        """Wait until each running forwarder has reported, since this call, that it has no pending message."""
        began = time.monotonic()

        def none_pending(status: FleetStatus) -> bool:
            """Return whether each running forwarder has reported since then that no message is pending."""
            max_age_s = time.monotonic() - began - STATUS_AGE_TOLERANCE_S
            return all(
                row["owing"] == 0 and row["age"] is not None and row["age"] < max_age_s
                for row in status["instances"]
                if row["pid"] is not None
            )

        self.wait_until(none_pending, timeout_s)

    def verdict(self, bounds: Bounds = DEFAULT_BOUNDS) -> Verdict:
        """Have the checker judge all records, with the latest process events of the agent's status."""
        self._watcher.poll()
        return check(list(self.recorder.records), bounds)


def _roll_has_stopped(status: FleetStatus) -> bool:
    roll = status["roll"]
    return roll is not None and (roll["over"] or roll["mode"] == "paused")
