"""A forwarder process that is killed above the memory limit of its settings, as the platform does it.

The process is started by the `run` line of the deploy file. Its resident memory and the files of its state folder
count together, since the platform counts files as memory.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import threading
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from juniperward.benchmarks.cluster_files import BASE_CONFIGURATION, ROOT
from juniperward.benchmarks.errors import ForwarderStartError
from juniperward.benchmarks.ports import reserve_ports
from juniperward.fakes.load_balancer import is_ready
from juniperward.fakes.records import ProcessChange, ProcessEvent, Recorder, now

# The interpreter of the deploy file's `run` line, which its `build` line would have to make first.
DEPLOYED_INTERPRETER = ".venv/bin/python"
BYTES_PER_MB = 1_000_000
BYTES_PER_KIB = 1024
SAMPLE_INTERVAL_S = 0.01
READY_TIMEOUT_S = 30.0
READY_POLL_INTERVAL_S = 0.02
END_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits in a forwarder's settings, under the names that they have there."""

    memory_mb: float = 32
    sockets: int = 1024
    disk_mb: float = 3

    def as_settings(self) -> dict[str, float]:
        """Return the object `limits` of the configuration."""
        return {
            "cores": 1.0,
            "memory_mb": self.memory_mb,
            "sockets": self.sockets,
            "disk_mb": self.disk_mb,
        }


@dataclass
class LimitedForwarder:
    """A forwarder that may be started and killed repeatedly on one address and folder.

    Attributes:
        folder: The folder for its files.
        discovery: The address (HOST:PORT) of discovery.
        peak_bytes: The largest memory of any of its processes: resident memory and files together.
        killed_for_memory: Whether a process went over its limit and was killed.
        exit_codes: The exit code of each process that has ended.
    """

    folder: Path
    discovery: str
    limits: Limits
    name: str = "n0"
    recorder: Recorder = field(default_factory=Recorder)
    settings: dict[str, Any] = field(default_factory=lambda: BASE_CONFIGURATION["settings"])
    process: subprocess.Popen[bytes] | None = None
    peak_bytes: int = 0
    killed_for_memory: bool = False
    exit_codes: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Reserve the address."""
        (self._port,) = reserve_ports(1)
        self.address: tuple[str, int] = self._port.getsockname()
        self.folder.mkdir(parents=True, exist_ok=True)
        self._state = self.folder / "state"
        self._state.mkdir(exist_ok=True)

    @property
    def limit_bytes(self) -> int:
        """The limit on the process's memory."""
        return int(self.limits.memory_mb * BYTES_PER_MB)

    @property
    def log(self) -> str:
        """What all processes have written to standard error."""
        return (self.folder / "log").read_text(errors="replace")

    def start(self) -> None:
        """Start the process and wait until it is ready; raises ForwarderStartError."""
        host, port = self.address
        configuration = {
            "name": self.name,
            "listen": f"{host}:{port}",
            "discovery": self.discovery,
            "seed": "1",
            "state": str(self._state),
            "known": {"version": 0, "full": True, "servers": []},
            "limits": self.limits.as_settings(),
            "settings": self.settings,
        }
        file = self.folder / "config.json"
        file.write_text(json.dumps(configuration))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        run = run.replace(DEPLOYED_INTERPRETER, sys.executable)
        environment = {**os.environ, "ROUTER_CONFIG": str(file), "TMPDIR": str(self.folder)}
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        threading.Thread(target=self._watch, args=(self.process,), daemon=True).start()
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not is_ready(self.address):
            if time.monotonic() > deadline or self.process.poll() is not None:
                raise ForwarderStartError(self.folder / "log")
            time.sleep(READY_POLL_INTERVAL_S)
        self.recorder.add(ProcessEvent(now(), self.name, ProcessChange.START))

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it still runs."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process if it still runs, and wait for its end."""
        if self.process is None:
            return
        self.recorder.add(ProcessEvent(now(), self.name, ProcessChange.KILL))
        self.process.kill()
        self.exit_codes.append(self.process.wait(END_TIMEOUT_S))
        self.process = None

    def close(self) -> None:
        """Kill the process and release the address."""
        self.kill()
        self._port.close()

    def _watch(self, process: subprocess.Popen[bytes]) -> None:
        """Sample the memory of a process until it ends, and kill it above the limit."""
        while process.poll() is None:
            used_bytes = peak_resident_bytes(process.pid) + _file_bytes(self._state)
            self.peak_bytes = max(self.peak_bytes, used_bytes)
            if used_bytes > self.limit_bytes:
                self.killed_for_memory = True
                process.kill()
                return
            time.sleep(SAMPLE_INTERVAL_S)


def peak_resident_bytes(pid: int) -> int:
    """Return the peak of a process's resident memory, 0 if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0
    peaks = [int(line.split()[1]) * BYTES_PER_KIB for line in lines if line.startswith("VmHWM:")]
    return max(peaks, default=0)


def _file_bytes(folder: Path) -> int:
    total = 0
    for file in folder.iterdir():
        try:
            total += file.stat().st_size
        except OSError:  # The file was renamed or deleted meanwhile.
            continue
    return total
