"""Measures an idle forwarder process with a long endpoint list during an outage of discovery, by /proc."""

from __future__ import annotations

import contextlib
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from juniperward.benchmarks.ports import reserve_ports
from juniperward.benchmarks.reducer_rig import endpoint_list

READY_TIMEOUT_S = 30.0
SETTLE_S = 3.0  # by then the forwarder has closed the connection that showed that it listens
MEASUREMENT_S = 5.0


@dataclass(frozen=True, slots=True)
class IdleCost:
    """The memory, threads, file descriptors and CPU time of an idle process."""

    resident_mb: float
    threads: int
    descriptors: int
    cpu_ms_per_s: float


def idle_cost(endpoints: int, forwarders: int) -> IdleCost:
    """Start a forwarder with a list of `endpoints` in a fleet of `forwarders`, measure it while idle, and end it."""
    with contextlib.ExitStack() as stack:
        name = stack.enter_context(tempfile.TemporaryDirectory())
        folder = Path(name)
        listen, discovery = (_address(stack.enter_context(port)) for port in reserve_ports(2))
        path = folder / "config.json"
        path.write_text(json.dumps(_configuration(folder, listen, discovery, endpoints, forwarders)))
        environment = {**os.environ, "ROUTER_CONFIG": str(path), "ROUTER_STATE": name}
        command = [sys.executable, "-O", "-m", "juniperward"]
        with subprocess.Popen(command, env=environment, stderr=subprocess.DEVNULL) as process:
            try:
                _wait_until_listening(listen)
                return _measure(Path(f"/proc/{process.pid}"))
            finally:
                process.terminate()


def _configuration(
    folder: Path, listen: str, discovery: str, endpoints: int, forwarders: int
) -> dict[str, Any]:
    settings = {
        "Services": [{"Name": "c", "AimMs": 3000, "DeadlineMs": 20000, "Effect": "by_key", "WindowMs": 12000}],
        "Kinds": ["k"], "FailureDomains": ["z"], "Instances": forwarders, "Weights": "nominal",
        "Tenants": [], "Specifics": {"MaxCalls": 8, "BatchByKind": [1], "RoutesApart": [False]},
        "Limits": {"MaxOpen": 200, "MaxAttempts": 8}, "Family": "deliver",
    }  # fmt: skip
    return {
        "name": "n0", "listen": listen, "discovery": discovery, "seed": "1", "settings": settings,
        "limits": {"sockets": 256, "disk_mb": 3}, "known": endpoint_list(endpoints), "state": str(folder),
    }  # fmt: skip


def _address(port: socket.socket) -> str:
    host, number = port.getsockname()
    return f"{host}:{number}"


def _wait_until_listening(address: str) -> None:
    host, port = address.split(":")
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            socket.create_connection((host, int(port)), 1.0).close()
        except OSError:
            time.sleep(0.02)
        else:
            return


def _measure(process: Path) -> IdleCost:
    """Measure a process; `process` is its folder in /proc."""
    time.sleep(SETTLE_S)
    ticks_before = _cpu_ticks(process)
    time.sleep(MEASUREMENT_S)
    cpu_ms = (_cpu_ticks(process) - ticks_before) * 1000 / os.sysconf("SC_CLK_TCK")
    status = dict(line.split(":", 1) for line in (process / "status").read_text().splitlines())
    resident_mb = int(status["VmRSS"].split()[0]) / 1000
    descriptors = len(list((process / "fd").iterdir()))
    return IdleCost(resident_mb, int(status["Threads"]), descriptors, cpu_ms / MEASUREMENT_S)


def _cpu_ticks(process: Path) -> int:
    """Return the user and system time of a process, in clock ticks."""
    fields = (process / "stat").read_text().rsplit(")", 1)[1].split()
    return int(fields[11]) + int(fields[12])
