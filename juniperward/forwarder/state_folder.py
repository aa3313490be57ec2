"""The lock on a state folder: two processes must never write one journal. `start.py` takes it before all else."""

from __future__ import annotations

import errno
import fcntl
import os
import time
from pathlib import Path

from juniperward.forwarder.telemetry import log

LOCK_TIMEOUT_S = 0.5  # in which a process that is ending may still release the folder
LOCK_RETRY_S = 0.02


class FolderInUseError(OSError):
    """Another process has locked this state folder; `folder` is its path."""

    def __init__(self, folder: Path) -> None:
        """Name the folder."""
        super().__init__(errno.EBUSY, f"{folder}: another forwarder works in this folder")
        self.folder = folder


def lock_folder(folder: Path, timeout_s: float = LOCK_TIMEOUT_S) -> int:
    """Lock a state folder; return the open descriptor that holds the lock.

    The lock is on the folder itself, so it needs no space on a small disk, and the kernel releases it when the
    process ends, however that happens. A file system without locks is logged, and the folder used without one.

    Raises:
        FolderInUseError: where another process has the lock until the timeout.
        OSError: where the folder cannot be opened.

    """
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    give_up_at = time.monotonic() + timeout_s
    while True:
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            if time.monotonic() >= give_up_at:
                os.close(descriptor)
                raise FolderInUseError(folder) from None
            time.sleep(LOCK_RETRY_S)
        except OSError as error:
            log("start", "folder not locked", folder=folder, error=error.strerror)
            return descriptor
        else:
            return descriptor
