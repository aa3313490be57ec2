"""Errors of the benchmarks: a process that did not start, a status that was not reached."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

LOG_CHARACTERS = 2000  # of the end of a log, in an error


class AgentStartError(RuntimeError):
    """The agent did not answer after its start."""

    def __init__(self, log: Path) -> None:
        """Quote the end of its log."""
        super().__init__(f"the agent does not answer: {_end_of(log)}")


class ForwarderStartError(RuntimeError):
    """A forwarder that was started without an agent did not become ready."""

    def __init__(self, log: Path) -> None:
        """Quote the end of its log."""
        super().__init__(f"the forwarder is not ready: {_end_of(log)}")
        self.log = log


class StatusTimeoutError(TimeoutError):
    """What was waited for did not hold in time."""

    def __init__(self, patience_s: float, status: dict[str, Any]) -> None:
        """Quote the latest status."""
        super().__init__(f"not within {patience_s} s: {json.dumps(status)}")


def _end_of(log: Path) -> str:
    return log.read_text()[-LOG_CHARACTERS:]
