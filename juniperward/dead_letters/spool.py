"""The spool, to which a forwarder appends the messages that it gives up. Standard library only.

The messages are checksummed lines in segments `00000001.kept`, …; a new process begins a new segment. The
agent reads the segments in order and writes to the file `acked` the last one that is in its store. Only the
forwarder deletes segments. At its start it first reads the ids in all of them, so that it does not append a
message again that an earlier process has appended. `OutcomeLog` is in the same folder.
"""

from __future__ import annotations

import contextlib
import errno
import os
from pathlib import Path

from juniperward.dead_letters.outcome_log import OutcomeLog, write_all
from juniperward.dead_letters.spool_files import acknowledged_segment, read, segment_path, segments
from juniperward.dead_letters.spool_format import SpooledMessage, encode_message

MAX_SEGMENT_BYTES = 1_000_000  # A new segment begins when the current one is larger.
PRIVATE_FOLDER_MODE = 0o700
PRIVATE_FILE_MODE = 0o600


class SpoolFullError(OSError):
    """The spool has reached its size limit."""

    def __init__(self, max_bytes: int) -> None:
        """Describe the limit that was reached."""
        self.max_bytes = max_bytes
        super().__init__(errno.ENOSPC, f"the spool has reached its limit of {max_bytes} bytes")


class Spool:
    """A forwarder's spool. Not thread-safe: only the forwarder's loop uses it."""

    def __init__(self, folder: Path, max_bytes: int) -> None:
        """Read the ids of the spooled messages, then delete acknowledged segments; raises OSError.

        `ids` are the messages that an earlier process has appended.
        """
        folder.mkdir(mode=PRIVATE_FOLDER_MODE, parents=True, exist_ok=True)
        self._folder, self._max_bytes = folder, max_bytes
        self.ids: set[str] = set()
        self._segment_number = self._read_ids()
        self._total_bytes = sum(path.stat().st_size for _, path in segments(folder))
        self._descriptor = -1  # -1: no segment is open
        self._segment_bytes = 0
        self.outcomes = OutcomeLog(folder)

    def _read_ids(self) -> int:
        """Read the ids in all segments, delete acknowledged ones, and return the newest one's number."""
        acknowledged = acknowledged_segment(self._folder)
        found = segments(self._folder)
        for number, path in found:
            self.ids.update(message.id for message, _ in read(path, 0) if message is not None)
            if number <= acknowledged:
                path.unlink()
        return found[-1][0] if found else acknowledged

    def append(self, message: SpooledMessage) -> None:
        """Append a message unless an earlier process has; appends nothing if it raises OSError."""
        if message.id in self.ids:
            return
        data = encode_message(message)
        if self._total_bytes + len(data) > self._max_bytes:
            self._delete_acknowledged()
        if self._total_bytes + len(data) > self._max_bytes:
            raise SpoolFullError(self._max_bytes)
        if self._descriptor < 0 or self._segment_bytes > MAX_SEGMENT_BYTES:
            self.begin_segment()
        try:
            write_all(self._descriptor, data)
        except OSError:
            # Remove a partial line, which would damage the next one.
            with contextlib.suppress(OSError):
                os.ftruncate(self._descriptor, self._segment_bytes)
            raise
        self._segment_bytes += len(data)
        self._total_bytes += len(data)

    def begin_segment(self) -> None:
        """Close the open segment and begin the next one; raises OSError."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
            self._delete_acknowledged()
        self._segment_number += 1
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        self._descriptor = os.open(segment_path(self._folder, self._segment_number), flags, PRIVATE_FILE_MODE)
        self._segment_bytes = 0

    def close(self) -> None:
        """Close the open segment and the outcome log."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
        self.outcomes.close()

    def _delete_acknowledged(self) -> None:
        """Delete the segments that the agent has acknowledged, except the open one."""
        acknowledged = acknowledged_segment(self._folder)
        for number, path in segments(self._folder):
            is_open = number == self._segment_number and self._descriptor >= 0
            if number <= acknowledged and not is_open:
                self._total_bytes -= path.stat().st_size
                path.unlink()
