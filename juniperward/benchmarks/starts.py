"""How long forwarders take to be ready: one, forty and two hundred, with empty and full folders, discovery away."""

from __future__ import annotations

import json
import os
import select
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from juniperward.agent import processes
from juniperward.benchmarks.cluster_files import BASE_CONFIGURATION, ROOT
from juniperward.benchmarks.loaded_cluster import DESTINATIONS
from juniperward.benchmarks.local_cluster import LocalCluster
from juniperward.benchmarks.report import Report, quantile
from juniperward.fakes.load_balancer import is_ready
from juniperward.forwarder.clock import choose_unix_offset, read_boot_id
from juniperward.forwarder.journal import JOURNAL_NAME, Journal, JournalFullError
from juniperward.forwarder.model import Message
from juniperward.forwarder.records import AcceptedRecord

READY_WITHIN_S = 60.0  # after that a start has failed
BODY = bytes(400)
DEADLINE_S = 20.0
EXPIRES_WITHIN_S = 60.0  # two hundred folders are filled before the first start


@dataclass
class Fleet:
    """Forwarders over folders of their own, started at once and killed in the end."""

    folder: Path
    base: dict[str, Any]
    discovery: str
    servers: list[dict[str, Any]] = field(default_factory=list)  # the list that each is given at its start
    command: tuple[str, ...] = ("-m", "juniperward")
    addresses: dict[str, tuple[str, int]] = field(default_factory=dict)
    children: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    reserved: list[socket.socket] = field(
        default_factory=list
    )  # bound and not listening: nobody else gets the port

    def state(self, name: str) -> Path:
        """The folder of one that lasts."""
        state = self.folder / f"state-{name}"
        state.mkdir(exist_ok=True)
        return state

    def fill(self, name: str, *, destination: int = 1, body: bytes = BODY) -> list[str]:
        """Fill the folder of one with messages until its journal takes no more; their ids."""
        to_unix = time.time() - time.monotonic()
        state = self.state(name)
        offset = choose_unix_offset(state, to_unix, read_boot_id(), JOURNAL_NAME)
        journal = Journal(state, int(self.base["limits"]["disk_mb"] * 1_000_000), offset)
        expires = time.monotonic() + EXPIRES_WITHIN_S
        ids: list[str] = []
        try:
            while True:
                message = f"{name}-{len(ids):05d}"
                call = Message(message, 0, 0, destination, DEADLINE_S, f"k{message}", body)
                journal.append(AcceptedRecord(call, expires))
                ids.append(message)
        except JournalFullError:
            return ids
        finally:
            journal.close()

    def _reserve(self, name: str) -> tuple[str, int]:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
        )  # the forwarder binds beside it, with the same
        sock.bind(("127.0.0.1", 0))
        self.reserved.append(sock)
        self.addresses[name] = ("127.0.0.1", sock.getsockname()[1])
        return self.addresses[name]

    @property
    def prints_parts(self) -> bool:
        """Whether the processes are run by `start_parts`."""
        return self.command[-1].endswith("start_parts")

    def spawn(self, name: str) -> float:
        """Start one; when that was."""
        address = self._reserve(name)
        config = {
            **self.base, "name": name, "listen": "{}:{}".format(*address), "discovery": self.discovery,
            "seed": "1", "state": str(self.state(name)),
            "known": {"version": 1, "full": True, "servers": self.servers},
        }  # fmt: skip
        file = self.folder / f"{name}.json"
        file.write_text(json.dumps(config))
        began = time.monotonic()
        more = [f"{began}"] if self.prints_parts else []
        self.children[name] = subprocess.Popen(
            [sys.executable, "-O", *self.command, *more], cwd=ROOT, stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL, env={**os.environ, "ROUTER_CONFIG": str(file)},
        )  # fmt: skip
        return began

    def wait_ready(self, name: str, began: float) -> float:
        """Seconds from its start to its ready page; infinity where that does not come."""
        while not is_ready(self.addresses[name]):
            if time.monotonic() - began > READY_WITHIN_S or self.children[name].poll() is not None:
                return float("inf")
            time.sleep(0.005)
        return time.monotonic() - began

    def printed(self, name: str) -> dict[str, list[float]]:
        """The parts of its start; none where they are not printed."""
        if not self.prints_parts:
            return {}
        stdout = self.children[name].stdout
        assert stdout is not None
        if not select.select([stdout], [], [], READY_WITHIN_S)[0]:
            return {}
        parts: dict[str, list[float]] = json.loads(stdout.readline() or b"{}")
        return parts

    def kill(self, name: str) -> None:
        """End one."""
        child = self.children.pop(name, None)
        if child is not None:
            child.kill()
            child.wait()
            if child.stdout is not None:
                child.stdout.close()

    def close(self) -> None:
        """End all."""
        for name in list(self.children):
            self.kill(name)
        for sock in self.reserved:
            sock.close()


def dead_address() -> str:
    """Where discovery is away: nobody listens there."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return "{}:{}".format(*sock.getsockname())


def start_all(
    fleet: Fleet, names: list[str], most_running: int = 0
) -> list[tuple[float, dict[str, list[float]]]]:
    """Start all of them, at most so many starts at a time (0: no bound); the time to ready and the parts of each."""
    slots = threading.BoundedSemaphore(most_running or len(names))

    def start_one(name: str) -> tuple[float, dict[str, list[float]]]:
        with slots:
            taken = fleet.wait_ready(name, fleet.spawn(name))
            parts = fleet.printed(name)
            if most_running:
                fleet.kill(name)  # so that no more than these are there at a time
            return taken, parts

    with ThreadPoolExecutor(len(names)) as pool:
        return list(pool.map(start_one, names))


def starts(seed: int, out: Path, times: int = 15, most_running: int = 0) -> bool:
    """From a forwarder's start to its ready page, what its parts take, and its memory with a control channel."""
    command = f"juniperward measure starts --seed {seed}"
    if most_running:
        command = (
            f"juniperward.benchmarks.starts.starts({seed}, out, times={times}, most_running={most_running})"
        )
    report = Report("A forwarder's start", command, seed)
    _report_memory(report, seed, times)
    good = _report_parts(report, (1, 40, 200), most_running)
    report.write(out / "starts.md")
    return good


def _report_parts(report: Report, sizes: tuple[int, ...], most_running: int) -> bool:
    at_a_time = "all at once"
    if most_running:
        at_a_time = f"at most {most_running} starts at a time, each ended once ready"
    report.say(
        f"Parts of the start, wall and CPU ms in the median, discovery away; {at_a_time}. A full folder "
        "holds as many messages of 400 bytes as the disk limit of 3 MB allows."
    )
    rows, good = [], True
    parts = ("interpreter", "imports", "configuration", "journal read", "messages restored", "listening")
    for size in sizes:
        for full in (False, True):
            with tempfile.TemporaryDirectory(prefix="jw-") as folder:
                command = ("-m", "juniperward.benchmarks.start_parts")
                fleet = Fleet(Path(folder), BASE_CONFIGURATION, dead_address(), command=command)
                names = [f"n{n}" for n in range(size)]
                pending = [len(fleet.fill(name)) for name in names] if full else [0]
                try:
                    results = start_all(fleet, names, most_running)
                finally:
                    fleet.close()
            taken = [t for t, _ in results]
            good &= quantile(taken, 0.9) <= 10.0
            cells = [_part_cell([p[part] for _, p in results if part in p]) for part in parts]
            rows.append([
                f"{size}", f"{pending[0]}", *cells, f"{statistics.median(taken):.2f}", f"{quantile(taken, 0.9):.2f}",
                f"{max(taken):.2f}",
            ])  # fmt: skip
            print(rows[-1], flush=True)
    head = [
        "forwarders",
        "messages in each folder",
        *parts,
        "ready after, median s",
        "nine in ten s",
        "worst s",
    ]
    report.table(head, rows)
    return good


def _part_cell(values: list[list[float]]) -> str:
    if not values:
        return "-"
    wall, cpu = (statistics.median(v[n] for v in values) * 1000 for n in (0, 1))
    return f"{wall:.0f} / {cpu:.0f}"


def _report_memory(report: Report, seed: int, times: int) -> None:
    rows = []
    with (
        tempfile.TemporaryDirectory(prefix="jw-") as name,
        LocalCluster(Path(name), 1, DESTINATIONS[:2], seed) as cluster,
    ):
        for kind in ("without", "with"):
            base = (
                {**cluster.base, "control": str(Path(name) / "ctl" / "n0")}
                if kind == "with"
                else cluster.base
            )
            taken, memory = [], []
            for n in range(times):
                folder = Path(name) / f"{kind}{n}"
                folder.mkdir()
                fleet = Fleet(folder, base, cluster.discovery.address_for("n0"))
                try:
                    taken.append(fleet.wait_ready("n0", fleet.spawn("n0")))
                    memory.append(processes.usage(fleet.children["n0"].pid)[1] / 2**20)
                finally:
                    fleet.close()
            rows.append([
                f"{kind} a control channel", f"{statistics.median(taken):.3f}", f"{max(taken):.3f}",
                f"{statistics.median(memory):.1f}",
            ])  # fmt: skip
    report.table(["forwarder", "ready after, median s", "worst s", "resident MiB"], rows)
