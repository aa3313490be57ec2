"""A cluster: a registry, destinations and clients of the stand-ins, round a fleet of real forwarders under an agent.

Everything is on loopback, at ports that the system gives, in one folder. The demo, the measurements and the
tests drive fleets through it.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from google.protobuf import text_format

from juniperward.agent import processes
from juniperward.agent.client import AgentRejectedError, AgentUnreachableError, request
from juniperward.benchmarks.errors import AgentStartError, StatusTimeoutError
from juniperward.fakes.checker import check
from juniperward.fakes.clients import ClientOptions, Clients, Traffic
from juniperward.fakes.destination_spec import DestinationSpec
from juniperward.fakes.destinations import FakeDestination
from juniperward.fakes.discovery import FakeDiscovery
from juniperward.fakes.load_balancer import LoadBalancer
from juniperward.fakes.records import ProcessChange, ProcessEvent, Recorder, now
from juniperward.fakes.verdict import DEFAULT_BOUNDS, Bounds, Verdict
from juniperward.settings import fleet_pb2

ROOT = Path(__file__).parent.parent.parent
BASE: dict[str, Any] = {
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
    "settings": {
        "Services": [
            {
                "Name": "booking-update", "AimMs": 3000.0, "DeadlineMs": 20000.0, "Effect": "by_key",
                "DedupScope": "all", "WindowMs": 12000.0, "LateWorth": 0.3, "Worth": 1.0,
            },
        ],
        "Limits": {
            "MaxOpen": 400, "MaxAttempts": 8, "RetryAfter": True, "MaxRetryAfterMs": 2000.0, "Cancel": True,
            "DialTimeoutMs": 1000.0, "KeepaliveMs": 10000.0,
        },
        "Specifics": {"MaxCalls": 32, "BatchByKind": [20, 1], "RoutesApart": [False, False]},
        "Invariants": {"AnswerSlackMs": 20.0, "DrainGraceMs": 250.0, "FallMultiple": 2.0, "FallMs": 3000.0},
        "Kinds": ["booking-sites", "small-partners"],
        "FailureDomains": ["aluva"],
        "Tenants": [
            {"Name": "valiya-cluster", "QuotaPerS": 1000.0, "Share": 0.6},
            {"Name": "kovil-cluster", "QuotaPerS": 1000.0, "Share": 0.4},
        ],
        "MembershipMode": "on_request",
        "ResolutionMs": 5.0,
    },
}  # fmt: skip
ACCOUNTS = (("valiya-cluster", 0.6), ("kovil-cluster", 0.4))


def reserve(count: int) -> list[socket.socket]:
    """Ports for others' listeners, each held by a socket that is bound and does not listen.

    For as long as it is open the system gives the port to nobody else, while a listener that sets SO_REUSEADDR may
    take it (Linux: two may share an address while neither, or only one, listens). A port that was merely looked up
    could be given away before its forwarder starts, or while that is down.
    """
    held = []
    for _ in range(count):
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
        held.append(sock)
    return held


@dataclass(frozen=True)
class ClusterOptions:
    """What a `LocalCluster` may be given beyond its size: discovery's delay, and parts of the fleet's file."""

    discovery_delay_s: float = 0.0
    settings: dict[str, dict[str, float]] = field(
        default_factory=dict
    )  # a part ("patience", "roll"): its values


class LocalCluster:
    """A fleet and its world; use it as a context, so that nothing is left behind."""

    def __init__(
        self, folder: Path, instances: int = 3, destinations: list[DestinationSpec] | None = None, seed: int = 1,
        options: ClusterOptions | None = None,
    ) -> None:  # fmt: skip
        """Prepare it in `folder`, with `instances` forwarders and `destinations` (four by default)."""
        chosen = options if options is not None else ClusterOptions()
        self.folder, self.seed = folder, seed
        self.recorder = Recorder()
        self.discovery = FakeDiscovery(self.recorder, chosen.discovery_delay_s)
        specs = (
            destinations
            if destinations is not None
            else [DestinationSpec(d, latency_s=0.03) for d in (1, 2, 3, 4)]
        )
        self.destinations = {
            s.destination: FakeDestination(s, self.recorder, seed + s.destination) for s in specs
        }
        self.names = [f"n{n}" for n in range(instances)]
        self.ports = reserve(instances)
        self.addresses: dict[str, tuple[str, int]] = {
            n: sock.getsockname() for n, sock in zip(self.names, self.ports, strict=True)
        }
        self.file = folder / "fleet.textproto"
        self.agent: subprocess.Popen[bytes] | None = None
        self.load_balancer = LoadBalancer(self.addresses)
        self.sets = chosen.settings
        self.base = json.loads(json.dumps(BASE))
        self.keep: fleet_pb2.Kept | None = None
        self.watching = True
        self.pids: dict[str, int] = {}
        self.events_at = 0

    def __enter__(self) -> LocalCluster:
        """Return the cluster; `start` starts it."""
        return self

    def __exit__(self, *_: object) -> None:
        """End all of it."""
        self.close()

    @property
    def socket(self) -> Path:
        """The socket of the agent's API."""
        return self.folder / "run" / "agent.sock"

    def write_settings(self, names: list[str] | None = None, **more: dict[str, float]) -> None:
        """Write the fleet's file and the base that all its forwarders share."""
        (self.folder / "base.json").write_text(json.dumps(self.base))
        fleet = fleet_pb2.Fleet(name="cluster", folder="run", base="base.json")
        for name in names or self.names:
            host, port = self.addresses[name]
            fleet.instance.add(name=name, listen=f"{host}:{port}", registry=self.discovery.address_for(name))
        parts = {
            "patience": {"silent": 1.0, "start": 8.0, "stop": 4.0},
            "roll": {"drain": 6.0, "soak": 0.5, "soak_most": 3.0, "least_calls": 5, "patience": 8.0},
            "restart": {"first": 0.2, "most": 2.0},
        }
        if self.keep is not None:
            fleet.kept.CopyFrom(self.keep)
        for part, values in [*parts.items(), *self.sets.items(), *more.items()]:
            for name, value in values.items():
                setattr(getattr(fleet, part), name, value)
        self.file.write_text(text_format.MessageToString(fleet))

    def start(self, ready: bool = True) -> None:
        """Start the world and the agent; wait until all forwarders are ready."""
        for destination in self.destinations.values():
            self.discovery.publish(*destination.start())
        self.write_settings()
        self.start_agent()
        if ready:
            self.until(lambda s: s["ready"] == len(self.names), 30.0)
        self.load_balancer.start()

    def start_agent(self) -> None:
        """Start the agent's process and wait until it answers."""
        with (self.folder / "agent.log").open("ab") as log:
            self.agent = subprocess.Popen(
                [sys.executable, "-m", "juniperward", "agent", "run", str(self.file), "--json"],
                cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            )  # fmt: skip
        until = time.monotonic() + 20.0
        while True:
            try:
                request(self.socket, "agent", patience=0.5)
                break
            except (AgentUnreachableError, AgentRejectedError):
                if self.agent.poll() is not None or time.monotonic() > until:
                    raise AgentStartError(self.folder / "agent.log") from None
                time.sleep(0.02)
        self.events_at = 0
        threading.Thread(target=self._lives, args=(self.agent,), daemon=True).start()

    def kill_agent(self) -> None:
        """End the agent by SIGKILL; its forwarders go on."""
        assert self.agent is not None
        self._take_events()
        self.agent.kill()
        self.agent.wait()

    def ask(self, verb: str, names: list[str] | None = None, **options: Any) -> Any:
        """Ask the agent; raises AgentUnreachableError or AgentRejectedError."""
        return request(self.socket, verb, names, 10.0, **options)

    def row(self, name: str) -> dict[str, Any]:
        """An instance's row of the status."""
        rows: list[dict[str, Any]] = self.ask("status")["instances"]
        return next(r for r in rows if r["name"] == name)

    def until(self, holds: Any, patience: float = 20.0) -> dict[str, Any]:
        """Ask for the status until something holds of it; raises TimeoutError with the latest."""
        end = time.monotonic() + patience
        status: dict[str, Any] = {}
        while time.monotonic() < end:
            with contextlib.suppress(AgentUnreachableError):
                status = self.ask("status")
                if holds(status):
                    return status
            time.sleep(0.05)
        raise StatusTimeoutError(patience, status)

    def roll(self, patience: float = 120.0, **options: Any) -> dict[str, Any]:
        """Roll, and wait until it is over or has paused."""
        self.ask("roll", **options)
        return self.roll_end(patience)

    def roll_end(self, patience: float = 120.0) -> dict[str, Any]:
        """Wait until the roll under way is over or has paused."""
        status = self.until(
            lambda s: s["roll"] is not None and (s["roll"]["over"] or s["roll"]["mode"] == "paused"), patience
        )
        found: dict[str, Any] = status["roll"]
        return found

    def clients(self, rate: float, seconds: float, threads: int = 48, name: str = "c") -> Clients:
        """Begin to send: all destinations alike, for so long."""
        weights = tuple((d, 1.0) for d in self.destinations)
        clients = Clients(
            Traffic(rate, weights, ACCOUNTS),
            self.load_balancer,
            self.recorder,
            self.seed,
            ClientOptions(threads, name),
        )
        clients.start(seconds)
        return clients

    def settle(self, patience: float = 30.0) -> None:
        """Wait until no forwarder owes anything, by what each has said since this call."""
        began = time.monotonic()

        def settled(status: dict[str, Any]) -> bool:
            rows = [r for r in status["instances"] if r["pid"] is not None]
            since = time.monotonic() - began - 0.1
            return all(r["owing"] == 0 and r["age"] is not None and r["age"] < since for r in rows)

        self.until(settled, patience)

    def verdict(self, bounds: Bounds = DEFAULT_BOUNDS) -> Verdict:
        """What the records say, with the lives of the forwarders as the agent had them."""
        self._take_events()
        return check(list(self.recorder.records), bounds)

    def _lives(self, agent: subprocess.Popen[bytes]) -> None:
        while self.watching and agent.poll() is None:
            self._take_events()
            time.sleep(0.1)

    def _take_events(self) -> None:
        """Starts and ends of forwarders, by what the processes themselves show."""
        try:
            status = request(self.socket, "status", patience=1.0)
        except (AgentUnreachableError, AgentRejectedError):
            return
        for r in status["instances"]:
            name, pid = r["name"], r["pid"]
            before = self.pids.get(name)
            if pid == before:
                if r["state"] == "stopping" and pid is not None:
                    self._life(name, ProcessChange.TERMINATE)
                continue
            at = now()
            if before is not None:
                self.recorder.add(ProcessEvent(at - 0.3, name, ProcessChange.EXIT))
            if pid is not None:
                began = processes.identify(pid)
                self.recorder.add(
                    ProcessEvent(processes.started_at(began) if began else at, name, ProcessChange.START)
                )
                self.pids[name] = pid
            else:
                self.pids.pop(name, None)

    def _life(self, name: str, change: ProcessChange) -> None:
        self.recorder.add(ProcessEvent(now(), name, change))

    def close(self) -> None:
        """End everything that was started here."""
        self.watching = False
        self.load_balancer.closed = True
        if self.agent is not None and self.agent.poll() is None:
            with contextlib.suppress(AgentUnreachableError, AgentRejectedError):
                request(self.socket, "shutdown", patience=2.0, instances=True)
            try:
                self.agent.wait(15.0)
            except subprocess.TimeoutExpired:
                self.agent.kill()
                self.agent.wait()
        for process in processes.find(str(self.folder / "run")).values():
            processes.send(process, signal.SIGKILL)
        self.discovery.close()
        for destination in self.destinations.values():
            destination.close()
        for sock in self.ports:
            sock.close()


def machine() -> str:
    """What measurements were made on."""
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2**30
    return f"{os.cpu_count()} cores, {memory:.0f} GiB, Python {sys.version.split()[0]}"
