"""Why a local cluster did not come to be as it should."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any


class AgentStartError(RuntimeError):
    """The agent did not answer after its start."""

    def __init__(self, log: Path) -> None:
        """Tell the end of its log."""
        super().__init__(f"the agent does not answer: {log.read_text()[-2000:]}")


class StatusTimeoutError(TimeoutError):
    """What was waited for did not hold in time."""

    def __init__(self, patience_s: float, status: dict[str, Any]) -> None:
        """Tell the latest status."""
        super().__init__(f"not within {patience_s} s: {json.dumps(status)}")
