"""The agent's folder, locked for one process: two agents of a fleet would both start its instances."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

PRIVATE_FOLDER = 0o700


class AgentRunningError(Exception):
    """Another agent runs for this fleet."""

    def __init__(self, folder: Path) -> None:
        """Name the folder that it has locked."""
        self.folder = folder
        super().__init__(f"{folder}: another agent looks after this fleet")


def lock_folder(folder: Path) -> int:
    """Lock the folder for this process, and return its open file, which holds the lock.

    Raises:
        AgentRunningError: where another process has locked it.
        OSError: where it cannot be made or opened.

    """
    folder.mkdir(mode=PRIVATE_FOLDER, parents=True, exist_ok=True)
    folder.chmod(PRIVATE_FOLDER)
    file = os.open(folder, os.O_RDONLY | os.O_CLOEXEC)
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(file)
        raise AgentRunningError(folder) from None
    return file
