"""Errors of a local cluster: a process did not start, or the fleet did not reach a status in time."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

MAX_LOG_CHARACTERS = 2000


class AgentStartError(RuntimeError):
    """The agent did not answer after its start."""

    def __init__(self, log: Path) -> None:
        """Quote the end of its log in the message."""
        super().__init__(f"the agent did not answer after its start; end of its log: {_end_of(log)}")


class ForwarderStartError(RuntimeError):
    """A forwarder that was started without an agent did not become ready."""

    def __init__(self, log: Path) -> None:
        """Quote the end of its log in the message."""
        super().__init__(f"the forwarder did not become ready; end of its log: {_end_of(log)}")
        self.log = log


class StatusTimeoutError(TimeoutError):
    """The fleet's status did not meet a condition in time."""

    def __init__(self, timeout_s: float, status: dict[str, Any]) -> None:
        """Quote the latest status in the message."""
        super().__init__(
            f"the fleet did not reach the status within {timeout_s} s; latest status: {json.dumps(status)}"
        )


def _end_of(log: Path) -> str:
    return log.read_text()[-MAX_LOG_CHARACTERS:]
