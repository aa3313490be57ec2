"""Starts and identifies the processes of instances, and manages their logs; the processes outlive the agent.

A process is identified by its pid and its start time, as the kernel reuses pids. The environment variable
JUNIPERWARD_INSTANCE of an instance's process holds the path of the agent's folder and the instance's name. With
it, an agent finds a process that an earlier agent started but did not record before it was killed.
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
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Bytes read from the end of a log per requested line; if lines are longer on average, fewer are returned.
TAIL_BYTES_PER_LINE = 400
PRIVATE_FOLDER_MODE = 0o700


def boot_id() -> str:
    """Return the id of the current boot; monotonic times and start times are valid within one boot only."""
    return Path("/proc/sys/kernel/random/boot_id").read_text().strip()


def _stat(pid: int) -> tuple[str, int] | None:
    """Return the state letter and the start time (clock ticks since boot), or None without such a process."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except (OSError, UnicodeDecodeError):
        return None
    # The command name comes first, in parentheses, and may itself contain spaces and parentheses.
    parts = text.rpartition(")")[2].split()
    return parts[0], int(parts[19])


def identify(pid: int) -> Process | None:
    """Return the process that has this pid now; None if there is none or it is a zombie."""
    found = _stat(pid)
    return Process(pid, found[1]) if found is not None and found[0] not in "ZX" else None


def alive(process: Process) -> bool:
    """Return whether the process is running, and not a zombie or another process with its pid."""
    return identify(process.pid) == process


def started_at(process: Process) -> float:
    """Return when a process started, in seconds of the monotonic clock."""
    since_boot = time.clock_gettime(time.CLOCK_BOOTTIME) - process.start / CLOCK_TICKS_PER_S
    return time.monotonic() - max(since_boot, 0.0)


def reap(process: Process) -> str | None:
    """Return the exit code or signal of a process as text, or None while it runs.

    Returns `gone` if the process has exited and is not a child of this agent.
    """
    # Checked before waitpid, which still reports a child that exits in between.
    running = alive(process)
    try:
        pid, status = os.waitpid(process.pid, os.WNOHANG)
    except ChildProcessError:
        return None if running else "gone"
    if pid != process.pid:
        return None
    code = os.waitstatus_to_exitcode(status)
    return f"exit {code}" if code >= 0 else f"signal {-code}"


class NotStartedError(OSError):
    """A process exited immediately after it was started."""

    def __init__(self, name: str) -> None:
        """Build the message from the name of the instance."""
        super().__init__(f"{name}: process exited immediately after its start")


def send_signal(process: Process, number: int) -> bool:
    """Send a signal to a process and return whether it was running; never signals a reused pid."""
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
    """Return the running processes of this user's instances that carry this mark, by instance name."""
    found = {}
    prefix = f"{INSTANCE_VARIABLE}={mark}:".encode()
    for entry in os.scandir("/proc"):
        if not entry.name.isdigit():
            continue
        try:
            environment = Path(f"/proc/{entry.name}/environ").read_bytes().split(b"\0")
        except OSError:
            continue
        for variable in environment:
            if variable.startswith(prefix):
                process = identify(int(entry.name))
                if process is not None:
                    found[variable[len(prefix) :].decode(errors="replace")] = process
    return found


class Launcher:
    """Starts instances, with their configuration and log in files of the agent's folder.

    Attributes:
        folder: The agent's folder.
        mark: The path of the folder, which identifies it in the environment of the processes.

    """

    def __init__(self, folder: Path) -> None:
        """Use `folder` as the agent's folder."""
        self.folder = folder
        self.mark = str(folder)

    def log_file(self, name: str) -> Path:
        """Return the file that an instance writes its log to."""
        return self.folder / "logs" / f"{name}.log"

    def start(self, name: str, config: dict[str, Any]) -> Process:
        """Start the process of an instance with this configuration.

        Raises:
            OSError: If a file cannot be written or the process cannot be started.
            KeyError: If the configuration has no `state`.
            TypeError: If `state` is not a path.

        """
        run = self.folder / "run"
        for path in (run, self.folder / "logs"):
            path.mkdir(mode=PRIVATE_FOLDER_MODE, parents=True, exist_ok=True)
        Path(config["state"]).mkdir(mode=PRIVATE_FOLDER_MODE, parents=True, exist_ok=True)
        instance_config = {**config, "seed": secrets.token_hex(8)}
        file = run / f"{name}.json"
        temporary_file = run / f"{name}.json.new"
        temporary_file.write_text(json.dumps(instance_config))
        temporary_file.replace(file)
        environment = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
        environment |= {"ROUTER_CONFIG": str(file), INSTANCE_VARIABLE: f"{self.mark}:{name}"}
        with self.log_file(name).open("ab") as log:
            child = subprocess.Popen(
                [sys.executable, "-O", "-m", "juniperward"],
                stdin=subprocess.DEVNULL,
                # A file and not a pipe, as the process outlives the agent.
                stdout=log,
                stderr=log,
                env=environment,
                start_new_session=True,
                cwd=Path(__file__).parent.parent.parent,
            )
        # Keeps Popen from waiting for the child, whose exit status `reap` collects.
        child.returncode = 0
        process = identify(child.pid)
        if process is None:
            raise NotStartedError(name)
        return process

    def rotate(self, name: str, max_bytes: int, retained_files: int) -> bool:
        """Rotate a log that is larger than `max_bytes`, and return whether it was rotated.

        The writer keeps the file open in append mode, so the log is copied and then truncated. Lines written
        between the copy and the truncation are lost.
        """
        file = self.log_file(name)
        try:
            if file.stat().st_size <= max_bytes:
                return False
            for number in range(retained_files, 1, -1):
                with contextlib.suppress(FileNotFoundError):
                    Path(f"{file}.{number - 1}").replace(f"{file}.{number}")
            if retained_files:
                shutil.copyfile(file, f"{file}.1")
            os.truncate(file, 0)
        except FileNotFoundError:
            return False
        return True

    def tail(self, name: str, lines: int) -> list[str]:
        """Return at most `lines` of the last lines of an instance's log; none if there is no log."""
        try:
            with self.log_file(name).open("rb") as file:
                file.seek(0, os.SEEK_END)
                file.seek(max(0, file.tell() - TAIL_BYTES_PER_LINE * lines))
                found = file.read().decode(errors="replace").splitlines()
        except FileNotFoundError:
            return []
        return found[-lines:]


class Usage(NamedTuple):
    """The CPU time and resident memory of a process."""

    cpu_s: float
    resident_bytes: int


def usage(pid: int) -> Usage:
    """Return the resource usage of a process; raises OSError if there is none with this pid."""
    parts = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu_ticks = int(parts[11]) + int(parts[12])
    return Usage(cpu_ticks / CLOCK_TICKS_PER_S, int(parts[21]) * PAGE_BYTES)
