"""Processes of forwarders: starting them so that they outlast the agent, telling them apart, their logs.

A process is known by its pid and its start time: a pid comes again, both together do not. An instance's process
carries the mark `JUNIPERWARD_INSTANCE` in its environment, by which an agent that was killed between starting it
and writing that down finds it again.
"""

from __future__ import annotations

import contextlib
import json
import os
import secrets
import shutil
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any, NamedTuple

from juniperward.fleet.model import Process

INSTANCE_VARIABLE = "JUNIPERWARD_INSTANCE"
TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
LINE_BYTES = 400  # of a log line, at a guess, where the last lines are looked for
PRIVATE_FOLDER = 0o700


def boot_id() -> str:
    """Return the name of this boot of the machine: monotonic times and start times mean nothing across boots."""
    return Path("/proc/sys/kernel/random/boot_id").read_text().strip()


def _stat(pid: int) -> tuple[str, int] | None:
    """The state letter and the start time of a process, or None where there is none."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except (OSError, UnicodeDecodeError):
        return None
    parts = text.rpartition(")")[2].split()  # the name before may hold anything
    return parts[0], int(parts[19])


def identify(pid: int) -> Process | None:
    """Return the process with this pid now."""
    found = _stat(pid)
    return Process(pid, found[1]) if found is not None and found[0] not in "ZX" else None


def alive(process: Process) -> bool:
    """Return whether exactly this process still runs; one that waits to be reaped does not."""
    return identify(process.pid) == process


def started_at(process: Process) -> float:
    """Return when it started, on the monotonic clock of this agent."""
    since_boot = time.clock_gettime(time.CLOCK_BOOTTIME) - process.start / TICKS_A_SECOND
    return time.monotonic() - max(since_boot, 0.0)


def reap(process: Process) -> str | None:
    """Return how it ended, or None while it runs; `gone` where it is not this agent's child."""
    running = alive(process)  # looked at first: what has ended before the wait below is reported by it
    try:
        pid, status = os.waitpid(process.pid, os.WNOHANG)
    except ChildProcessError:
        return None if running else "gone"
    if pid != process.pid:
        return None
    code = os.waitstatus_to_exitcode(status)
    return f"exit {code}" if code >= 0 else f"signal {-code}"


class NotStartedError(OSError):
    """A process ended as soon as it was started."""

    def __init__(self, name: str) -> None:
        """Name its instance."""
        super().__init__(f"{name}: its process ended at once")


def send_signal(process: Process, number: int) -> bool:
    """Signal exactly this process, and return whether it was there. No other one can be hit, whatever its pid."""
    try:
        handle = os.pidfd_open(process.pid)
    except OSError:
        return False
    try:
        running = alive(process)
        if running:
            signal.pidfd_send_signal(handle, number)
    except OSError:
        return False
    else:
        return running
    finally:
        os.close(handle)


def find_instances(mark: str) -> dict[str, Process]:
    """Return the running processes of this user whose mark begins so, by the rest of the mark."""
    found = {}
    start = f"{INSTANCE_VARIABLE}={mark}:".encode()
    for entry in os.scandir("/proc"):
        if not entry.name.isdigit():
            continue
        try:
            environment = Path(f"/proc/{entry.name}/environ").read_bytes().split(b"\0")
        except OSError:
            continue
        for word in environment:
            if word.startswith(start):
                process = identify(int(entry.name))
                if process is not None:
                    found[word[len(start) :].decode(errors="replace")] = process
    return found


class Launcher:
    """Starts instances; their configuration and their log are files of the agent's folder."""

    def __init__(self, folder: Path) -> None:
        """Start instances in the agent's folder."""
        self.folder = folder
        self.mark = str(folder)

    def log_file(self, name: str) -> Path:
        """Return the file that an instance writes its log to."""
        return self.folder / "logs" / f"{name}.log"

    def start(self, name: str, config: dict[str, Any]) -> Process:
        """Start an instance; raises OSError, and KeyError or TypeError for a configuration that is none."""
        run = self.folder / "run"
        for path in (run, self.folder / "logs"):
            path.mkdir(mode=PRIVATE_FOLDER, parents=True, exist_ok=True)
        Path(config["state"]).mkdir(mode=PRIVATE_FOLDER, parents=True, exist_ok=True)
        instance_config = {**config, "seed": secrets.token_hex(8)}
        file = run / f"{name}.json"
        fresh = run / f"{name}.json.new"
        fresh.write_text(json.dumps(instance_config))
        fresh.replace(file)
        environment = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
        environment |= {"ROUTER_CONFIG": str(file), INSTANCE_VARIABLE: f"{self.mark}:{name}"}
        with self.log_file(name).open("ab") as log:
            child = subprocess.Popen(
                [sys.executable, "-O", "-m", "juniperward"],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,  # a file, not a pipe of ours: it must outlast the agent
                env=environment,
                start_new_session=True,
                cwd=Path(__file__).parent.parent.parent,
            )
        child.returncode = 0  # `reap` waits for it; Popen must not
        process = identify(child.pid)
        if process is None:
            raise NotStartedError(name)
        return process

    def rotate(self, name: str, most: int, keep: int) -> bool:
        """Move a log of more than `most` bytes aside, and return whether it was.

        The writer keeps its open file, which is cut to nothing after it is copied; as it appends, it goes on
        at the new end. Lines written between the copy and the cut are lost: a few microseconds' worth.
        """
        file = self.log_file(name)
        try:
            if file.stat().st_size <= most:
                return False
            for number in range(keep, 1, -1):
                with contextlib.suppress(FileNotFoundError):
                    Path(f"{file}.{number - 1}").replace(f"{file}.{number}")
            if keep:
                shutil.copyfile(file, f"{file}.1")
            os.truncate(file, 0)
        except FileNotFoundError:
            return False
        return True

    def tail(self, name: str, lines: int) -> list[str]:
        """Return the last lines of an instance's log."""
        try:
            with self.log_file(name).open("rb") as file:
                file.seek(0, os.SEEK_END)
                file.seek(max(0, file.tell() - LINE_BYTES * lines))
                found = file.read().decode(errors="replace").splitlines()
        except FileNotFoundError:
            return []
        return found[-lines:]


class Usage(NamedTuple):
    """What a process has used of its machine."""

    cpu_s: float
    resident_bytes: int


def usage(pid: int) -> Usage:
    """Return the CPU time and the memory of a process; raises OSError where there is none."""
    parts = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu_ticks = int(parts[11]) + int(parts[12])
    return Usage(cpu_ticks / TICKS_A_SECOND, int(parts[21]) * PAGE_BYTES)
