"""Locks the agent's folder, as two agents of one fleet would both start its instances."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

PRIVATE_FOLDER_MODE = 0o700


class AgentRunningError(Exception):
    """Another agent is running for this fleet."""

    def __init__(self, folder: Path) -> None:
        """Build the message from the folder that the other agent has locked."""
        self.folder = folder
        super().__init__(f"{folder}: another agent is already running for this fleet")


def lock_folder(folder: Path) -> int:
    """Create and lock the folder, and return the file descriptor that holds the lock.

    Raises:
        AgentRunningError: If another process has locked it.
        OSError: If it cannot be created or opened.

    """
    folder.mkdir(mode=PRIVATE_FOLDER_MODE, parents=True, exist_ok=True)
    folder.chmod(PRIVATE_FOLDER_MODE)
    descriptor = os.open(folder, os.O_RDONLY | os.O_CLOEXEC)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(descriptor)
        raise AgentRunningError(folder) from None
    return descriptor
