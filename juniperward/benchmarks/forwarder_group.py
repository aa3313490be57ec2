"""Starts forwarders together without an agent, each with a state folder of its own, and times their starts.

`starts` and `tests/test_mass_restart.py` create a `ForwarderGroup`, fill its journals, and call `start_all`.
"""

from __future__ import annotations

import json
import os
import select
import socket
import subprocess
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

from juniperward.benchmarks.cluster_files import ROOT
from juniperward.benchmarks.start_marks import PartTime
from juniperward.fakes.load_balancer import is_ready
from juniperward.forwarder.clock import choose_unix_offset, read_boot_id
from juniperward.forwarder.journal import JOURNAL_NAME, Journal, JournalFullError
from juniperward.forwarder.model import Message
from juniperward.forwarder.records import AcceptedRecord

READY_TIMEOUT_S = 60.0
READY_POLL_INTERVAL_S = 0.005
MESSAGE_BODY = bytes(400)
MESSAGE_DEADLINE_S = 20.0
# Long enough that no message expires while the journals of a whole group are filled.
MESSAGE_EXPIRES_AFTER_S = 60.0
PARTS_PROGRAM = ("-m", "juniperward.benchmarks.start_parts")


class StartResult(NamedTuple):
    """How long a forwarder's start took.

    Attributes:
        ready_after_s: The seconds until the forwarder reported that it was ready; infinity if it never did.
        parts: The times of the parts of the start, in order; empty if the forwarder does not print them.
    """

    ready_after_s: float
    parts: dict[str, PartTime]


@dataclass
class ForwarderGroup:
    """Forwarders by name, each with a state folder of its own; `close` kills those that run.

    Attributes:
        folder: The folder for the files of all forwarders.
        base: The configuration that all forwarders share.
        discovery: The address (HOST:PORT) of discovery.
        servers: The endpoint list in each forwarder's configuration.
        command: The interpreter's arguments that start a forwarder.
        addresses: The address of each forwarder that was started.
        children: The processes that run.
        reserved: Sockets that are bound and do not listen, so that no other process gets the forwarders' ports.
    """

    folder: Path
    base: dict[str, Any]
    discovery: str
    servers: list[dict[str, Any]] = field(default_factory=list)
    command: tuple[str, ...] = ("-m", "juniperward")
    addresses: dict[str, tuple[str, int]] = field(default_factory=dict)
    children: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    reserved: list[socket.socket] = field(default_factory=list)

    def state_folder(self, name: str) -> Path:
        """Return the folder of a forwarder's journal; creates it if it is missing."""
        folder = self.folder / f"state-{name}"
        folder.mkdir(exist_ok=True)
        return folder

    def fill(self, name: str, *, destination: int = 1, body: bytes = MESSAGE_BODY) -> list[str]:
        """Append messages to a forwarder's journal until it is full; return their ids."""
        unix_offset_s = time.time() - time.monotonic()
        folder = self.state_folder(name)
        offset = choose_unix_offset(folder, unix_offset_s, read_boot_id(), JOURNAL_NAME)
        journal = Journal(folder, int(self.base["limits"]["disk_mb"] * 1_000_000), offset)
        expires_at = time.monotonic() + MESSAGE_EXPIRES_AFTER_S
        ids: list[str] = []
        try:
            while True:
                message_id = f"{name}-{len(ids):05d}"
                message = Message(message_id, 0, 0, destination, MESSAGE_DEADLINE_S, f"k{message_id}", body)
                journal.append(AcceptedRecord(message, expires_at))
                ids.append(message_id)
        except JournalFullError:
            return ids
        finally:
            journal.close()

    @property
    def prints_parts(self) -> bool:
        """Whether the forwarders are run by `start_parts`, which prints the times of the parts of a start."""
        return self.command[-1].endswith("start_parts")

    def spawn(self, name: str) -> float:
        """Start a forwarder; return the time of its start by the monotonic clock."""
        file = self._write_configuration(name, self._reserve_address(name))
        began_at = time.monotonic()
        arguments = [f"{began_at}"] if self.prints_parts else []
        self.children[name] = subprocess.Popen(
            [sys.executable, "-O", *self.command, *arguments],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            env={**os.environ, "ROUTER_CONFIG": str(file)},
        )
        return began_at

    def wait_ready(self, name: str, began_at: float) -> float:
        """Return the seconds from a forwarder's start until it is ready; infinity if it ends or times out before."""
        while not is_ready(self.addresses[name]):
            timed_out = time.monotonic() - began_at > READY_TIMEOUT_S
            if timed_out or self.children[name].poll() is not None:
                return float("inf")
            time.sleep(READY_POLL_INTERVAL_S)
        return time.monotonic() - began_at

    def read_parts(self, name: str) -> dict[str, PartTime]:
        """Return the times of the parts of a forwarder's start, in order; empty if it does not print them."""
        if not self.prints_parts:
            return {}
        stdout = self.children[name].stdout
        assert stdout is not None
        readable, _, _ = select.select([stdout], [], [], READY_TIMEOUT_S)
        if not readable:
            return {}
        printed: dict[str, list[float]] = json.loads(stdout.readline() or b"{}")
        return {part: PartTime(*times) for part, times in printed.items()}

    def kill(self, name: str) -> None:
        """Kill a forwarder, if it runs, and wait until its process has ended."""
        child = self.children.pop(name, None)
        if child is None:
            return
        child.kill()
        child.wait()
        if child.stdout is not None:
            child.stdout.close()

    def close(self) -> None:
        """Kill all forwarders that run, and release the ports."""
        for name in list(self.children):
            self.kill(name)
        for sock in self.reserved:
            sock.close()

    def _write_configuration(self, name: str, address: tuple[str, int]) -> Path:
        host, port = address
        configuration = {
            **self.base,
            "name": name,
            "listen": f"{host}:{port}",
            "discovery": self.discovery,
            "seed": "1",
            "state": str(self.state_folder(name)),
            "known": {"version": 1, "full": True, "servers": self.servers},
        }
        file = self.folder / f"{name}.json"
        file.write_text(json.dumps(configuration))
        return file

    def _reserve_address(self, name: str) -> tuple[str, int]:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        # The forwarder sets the option too; both sockets need it to be bound to one port.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
        self.reserved.append(sock)
        self.addresses[name] = ("127.0.0.1", sock.getsockname()[1])
        return self.addresses[name]


def unused_address() -> str:
    """Return an address (HOST:PORT) that refuses connections, to simulate an outage of discovery."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        host, port = sock.getsockname()
        return f"{host}:{port}"


def start_all(group: ForwarderGroup, names: list[str], most_running: int = 0) -> list[StartResult]:
    """Start all forwarders, at most `most_running` at a time unless it is 0; return the results in order of `names`.

    With such a limit, each forwarder is killed once it is ready, so that the next one can start.
    """
    slots = threading.BoundedSemaphore(most_running or len(names))

    def start_one(name: str) -> StartResult:
        """Start a forwarder, wait until it is ready and return the times of its start."""
        with slots:
            ready_after_s = group.wait_ready(name, group.spawn(name))
            parts = group.read_parts(name)
            if most_running:
                group.kill(name)
            return StartResult(ready_after_s, parts)

    with ThreadPoolExecutor(len(names)) as pool:
        return list(pool.map(start_one, names))
