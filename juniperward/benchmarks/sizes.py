"""What servers and forwarders cost one forwarder by their number: a list, a message, an idle second, memory.

The reducer is driven without sockets by a clock of its own; beside it a real process is started with the same list,
discovery away, and looked at through /proc. A message concerns one destination with one server; all other servers
belong to nineteen others.
"""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from juniperward.benchmarks.report import Report
from juniperward.forwarder.discovery_stream import JsonObjects
from juniperward.forwarder.effects import AcceptMessage, SetTimer, StartAttempt
from juniperward.forwarder.endpoint_list_codec import read_endpoint_list_update
from juniperward.forwarder.events import (
    AttemptAnswered,
    EndpointsUpdated,
    Event,
    MessageAccepted,
    MessageReceived,
    TimerEvent,
)
from juniperward.forwarder.model import ItemOutcome, Message
from juniperward.forwarder.reducer import Reducer
from juniperward.forwarder.settings_names import SettingsNames
from juniperward.scheduler.events import Outcome
from juniperward.scheduler.settings import DestinationKind, Idempotency, MessageClass, SchedulerSettings

SERVERS, FORWARDERS = (1, 20, 300, 1024), (1, 40, 230, 1024)
FEW, USUAL = 20, 200  # servers and forwarders while the other number changes
IDLE = 60.0  # simulated seconds without a message
WATCHED = 5.0  # seconds for which a real process is left alone
NAMES = SettingsNames(("c",), (20.0,), ("acme",), ("k",), ("z",))


def listed(servers: int) -> dict[str, Any]:
    """A whole list in discovery's form."""
    rows = [
        {"id": f"s-{n:08x}", "addr": f"127.1.{n >> 8}.{n & 255}:8081", "zone": "z", "kind": "k",
         "cell": 1 + n % 19 if n else 0, "state": "Ready", "weight": 20.0, "started_ms": 0}
        for n in range(servers)
    ]  # fmt: skip
    return {"version": 7, "full": True, "servers": rows}


class Drive:
    """A reducer and its clock; what it asks for is answered at once."""

    def __init__(self, servers: int, forwarders: int, seed: int) -> None:
        """Begin with a list of so many servers, as one of so many forwarders."""
        classes = (
            MessageClass(3.0, 20.0, Idempotency.IDEMPOTENCY_KEY, 1.0, 0.3, deduplication_window_s=12.0),
        )
        self.reducer = Reducer(
            SchedulerSettings(
                classes,
                slots=8,
                max_open=200,
                kinds=(DestinationKind(),),
                instances=forwarders,
                rates_listed=True,
            ),
            seed,
        )
        self.now, self.number = 100.0, 0
        self.timers: list[tuple[float, int, TimerEvent]] = []
        self.text = json.dumps(listed(servers), indent=2).encode() + b"\n"

    def do(self, *events: Event) -> list[Any]:
        """One round; timers are kept."""
        effects = self.reducer.reduce(self.now, events)
        self.timers += [(e.at, len(self.timers), e.event) for e in effects if isinstance(e, SetTimer)]
        return effects

    def list(self) -> None:
        """The whole list, as it comes over a watch."""
        objects = JsonObjects()
        for first in range(0, len(self.text), 16384):
            for value in objects.feed(self.text[first : first + 16384]):
                update = read_endpoint_list_update(value, NAMES)
                self.do(EndpointsUpdated(update.version, update.full, update.endpoints))

    def message(self) -> None:
        """A message handed in, taken on, sent and delivered 10 ms later."""
        self.number += 1
        (accept,) = self.do(
            MessageReceived(1, Message(f"{self.number:016x}", 0, 0, 0, 20.0, "k", b"x"), self.now)
        )
        assert isinstance(accept, AcceptMessage)
        for e in self.do(MessageAccepted(accept.message, True)):
            if isinstance(e, StartAttempt):
                self.now += 0.01
                self.do(AttemptAnswered(e.number, tuple(ItemOutcome(p.message, Outcome.OK) for p in e.items)))
        self.run(self.now + 0.1)

    def rest(self) -> None:
        """Nothing comes for a while."""
        self.run(self.now + IDLE)

    def run(self, until: float) -> None:
        """Fire what is due."""
        while due := [t for t in self.timers if t[0] <= until]:
            self.timers = [t for t in self.timers if t[0] > until]
            for at, _, what in sorted(due, key=lambda t: t[:2]):
                self.now = max(self.now, at)
                self.do(what)
        self.now = until


def _spent(act: Any, times: int) -> float:
    began = time.process_time()
    for _ in range(times):
        act()
    return (time.process_time() - began) / times


def _process(servers: int, forwarders: int) -> tuple[float, int, int, float]:
    """MB resident, threads and descriptors of a real forwarder, and its CPU milliseconds in an idle second."""
    with tempfile.TemporaryDirectory() as folder:
        ports = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
        listen, discovery = (f"127.0.0.1:{p.getsockname()[1]}" for p in ports)
        for p in ports:
            p.close()
        settings = {
            "Services": [{"Name": "c", "AimMs": 3000, "DeadlineMs": 20000, "Effect": "by_key", "WindowMs": 12000}],
            "Kinds": ["k"], "FailureDomains": ["z"], "Instances": forwarders, "Weights": "nominal",
            "Tenants": [], "Specifics": {"MaxCalls": 8, "BatchByKind": [1], "RoutesApart": [False]},
            "Limits": {"MaxOpen": 200, "MaxAttempts": 8}, "Family": "deliver",
        }  # fmt: skip
        config = {
            "name": "n0", "listen": listen, "discovery": discovery, "seed": "1", "settings": settings,
            "limits": {"sockets": 256, "disk_mb": 3}, "known": listed(servers), "state": folder,
        }  # fmt: skip
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config))
        environment = {**os.environ, "ROUTER_CONFIG": str(path), "ROUTER_STATE": folder}
        with subprocess.Popen(
            [sys.executable, "-O", "-m", "juniperward"], env=environment, stderr=subprocess.DEVNULL
        ) as process:
            try:
                host, port = listen.split(":")
                until = time.monotonic() + 30.0
                while time.monotonic() < until:
                    try:
                        socket.create_connection((host, int(port)), 1.0).close()
                        break
                    except OSError:
                        time.sleep(0.02)
                about = Path(f"/proc/{process.pid}")
                time.sleep(3.0)  # its first client's place is free again
                before = _ticks(about)
                time.sleep(WATCHED)
                idle = (_ticks(about) - before) * 1000 / os.sysconf("SC_CLK_TCK") / WATCHED
                rows = dict(line.split(":", 1) for line in (about / "status").read_text().splitlines())
                open_files = len(list((about / "fd").iterdir()))
                return int(rows["VmRSS"].split()[0]) / 1000, int(rows["Threads"]), open_files, idle
            finally:
                process.terminate()


def _ticks(about: Path) -> int:
    fields = (about / "stat").read_text().rsplit(")", 1)[1].split()
    return int(fields[11]) + int(fields[12])


def sizes(seed: int, out: Path, rounds: int = 1000) -> bool:
    """Cost by the number of servers, then of forwarders."""
    command = f"juniperward measure sizes --rounds {rounds}"
    report = Report("What servers and forwarders cost one forwarder", command, seed)
    rows = []
    cases = [(s, USUAL) for s in SERVERS] + [(FEW, f) for f in FORWARDERS]
    for servers, forwarders in cases:
        drive = Drive(servers, forwarders, seed)
        drive.list()
        again = _spent(drive.list, 5)
        message = _spent(drive.message, rounds)
        idle = _spent(drive.rest, 1) / IDLE
        memory, threads, open_files, real = _process(servers, forwarders)
        rows.append([
            f"{servers:,}", f"{forwarders:,}", f"{1e3 * again:.1f}", f"{1e6 * message:.0f}", f"{1e6 * idle:.0f}",
            f"{memory:.1f}", str(threads), str(open_files), f"{real:.1f}",
        ])  # fmt: skip
    report.table(
        ["servers", "forwarders", "a whole list, ms", "a message, us", "an idle second, us", "resident, MB",
         "threads", "descriptors", "an idle second of the process, ms"], rows,
    )  # fmt: skip
    report.write(out / "sizes.md")
    return True
