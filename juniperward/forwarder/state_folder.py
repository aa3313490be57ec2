"""Locks the state folder, so that two processes never write the same journal. `start.py` locks it first of all."""

from __future__ import annotations

import errno
import fcntl
import os
import time
from pathlib import Path

from juniperward.forwarder.telemetry import log

LOCK_TIMEOUT_S = 0.5  # A process that is still exiting releases the lock within this time.
LOCK_RETRY_S = 0.02


class FolderInUseError(OSError):
    """Another process has locked the state folder `folder`."""

    def __init__(self, folder: Path) -> None:
        """Store the path of the folder."""
        super().__init__(errno.EBUSY, f"{folder}: another forwarder works in this folder")
        self.folder = folder


def lock_folder(folder: Path, timeout_s: float = LOCK_TIMEOUT_S) -> int:
    """Lock a state folder and return the descriptor that holds the lock.

    The lock is on the folder itself, so it uses no disk space. The kernel releases it when the process ends, even by
    a crash. Where the file system has no locks, this is logged and the folder is used without a lock.

    Raises:
        FolderInUseError: where another process still holds the lock at the timeout.
        OSError: where the folder cannot be opened.

    """
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    deadline = time.monotonic() + timeout_s
    while True:
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            if time.monotonic() >= deadline:
                os.close(descriptor)
                raise FolderInUseError(folder) from None
            time.sleep(LOCK_RETRY_S)
        except OSError as error:
            log("start", "folder used without a lock", folder=folder, error=error.strerror)
            return descriptor
        else:
            return descriptor
