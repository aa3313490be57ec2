"""Records the starts and exits of a fleet's processes from the agent's status.

The checker needs them, because a restart excuses some lost or repeated deliveries.
"""

from __future__ import annotations

import subprocess
import threading
import time
from pathlib import Path
from typing import Any

from juniperward.agent import processes
from juniperward.agent.client import AgentRejectedError, AgentUnreachableError, request
from juniperward.fakes.records import ProcessChange, ProcessEvent, Recorder, now

POLL_INTERVAL_S = 0.1
ANSWER_TIMEOUT_S = 1.0
MAX_EXIT_DETECTION_S = 0.3  # the longest time from a process's exit to the poll that shows it


class ProcessWatcher:
    """Polls the agent while it runs; `pids` has the process id of each running instance by the latest status."""

    def __init__(self, agent_socket: Path, recorder: Recorder) -> None:
        """Record process events of the agent at `agent_socket` to `recorder`."""
        self.pids: dict[str, int] = {}
        self.closed = False
        self._agent_socket, self._recorder = agent_socket, recorder

    def start(self, agent: subprocess.Popen[bytes]) -> None:
        """Start a thread that polls until the agent's process ends or `closed` is set."""
        threading.Thread(target=self._run, args=(agent,), daemon=True).start()

    def _run(self, agent: subprocess.Popen[bytes]) -> None:
        while not self.closed and agent.poll() is None:
            self.poll()
            time.sleep(POLL_INTERVAL_S)

    def poll(self) -> None:
        """Record what has changed since the previous poll; do nothing if the agent does not answer."""
        try:
            status = request(self._agent_socket, "status", timeout_s=ANSWER_TIMEOUT_S)
        except (AgentUnreachableError, AgentRejectedError):
            return
        for instance in status["instances"]:
            self._record(instance)

    def _record(self, instance: dict[str, Any]) -> None:
        """Record a change of one instance; `instance` is its entry in the status."""
        name, pid = instance["name"], instance["pid"]
        before = self.pids.get(name)
        if pid == before:
            if pid is not None and instance["state"] == "stopping":
                self._recorder.add(ProcessEvent(now(), name, ProcessChange.TERMINATE))
            return
        at = now()
        if before is not None:
            self._recorder.add(ProcessEvent(at - MAX_EXIT_DETECTION_S, name, ProcessChange.EXIT))
        if pid is None:
            self.pids.pop(name, None)
            return
        process = processes.identify(pid)
        began_at = processes.started_at(process) if process else at
        self._recorder.add(ProcessEvent(began_at, name, ProcessChange.START))
        self.pids[name] = pid
