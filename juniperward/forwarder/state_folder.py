"""The lock on a state folder: two processes must never share a journal."""

from __future__ import annotations

import errno
import fcntl
import os
import time
from pathlib import Path

from juniperward.forwarder.telemetry import log

LOCK_TIMEOUT_S = 0.5  # in which the process before may still release the folder
LOCK_RETRY_S = 0.02


class FolderInUseError(OSError):
    """Another process works in this state folder."""

    def __init__(self, folder: Path) -> None:
        """Name the folder."""
        super().__init__(errno.EBUSY, f"{folder}: another forwarder works in this folder")


def lock_folder(folder: Path, timeout_s: float = LOCK_TIMEOUT_S) -> int:
    """Lock a state folder for this process; raises FolderInUseError after the timeout.

    The lock is on the folder itself, so it takes no room on a small disk, and the kernel releases it when the
    process ends, however that happens. The descriptor that comes back holds the lock for as long as it is open.
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
            time.sleep(LOCK_RETRY_S)  # the one before us may be on its way out
        except OSError as error:
            log("start", "folder not locked", folder=folder, error=error.strerror)
            return descriptor
        else:
            return descriptor
