"""The forwarder's end of its spool: messages that were given up, appended for the agent. Standard library only.

A forwarder appends to segments `00000001.kept`, …: a line a message, with a checksum as in the journal. A new
process begins a new segment. The agent reads segments in order and says in the file `acked` which of them are in
its store; only the forwarder deletes, after it has read at a start which messages the segments name. So neither
needs the other to run, a segment is never deleted before both have read it, and one that is read twice says the
same. `OutcomeLog` writes the outcomes of redrives beside them.
"""

from __future__ import annotations

import contextlib
import errno
import os
from pathlib import Path

from juniperward.dead_letters.outcome_log import OutcomeLog, write_all
from juniperward.dead_letters.spool_files import acknowledged_segment, read, segment_path, segments
from juniperward.dead_letters.spool_format import SpooledMessage, encode_message

MAX_SEGMENT_BYTES = 1_000_000  # of a segment before the next one is begun
PRIVATE_FOLDER_MODE = 0o700
PRIVATE_FILE_MODE = 0o600


class SpoolFullError(OSError):
    """The spool has all the bytes that the settings give it."""

    def __init__(self, max_bytes: int) -> None:
        """Take the limit."""
        self.max_bytes = max_bytes
        super().__init__(errno.ENOSPC, f"the spool has its {max_bytes} bytes")


class Spool:
    """Used by the forwarder's loop only."""

    def __init__(self, folder: Path, max_bytes: int) -> None:
        """Read which messages are in the spool, and delete what the agent has stored; raises OSError."""
        folder.mkdir(mode=PRIVATE_FOLDER_MODE, parents=True, exist_ok=True)
        self._folder, self._max_bytes = folder, max_bytes
        self.ids: set[str] = set()  # that the segments name: a message among them was given up already
        self._number = self._read_ids()  # of the newest segment
        self._bytes = sum(path.stat().st_size for _, path in segments(folder))  # of all segments
        self._descriptor = -1  # of the open segment; -1: none is open
        self._size = 0  # of the open segment
        self.outcomes = OutcomeLog(folder)

    def _read_ids(self) -> int:
        """Read the ids of all segments, delete those that are acknowledged; return the newest segment's number."""
        acknowledged = acknowledged_segment(self._folder)
        found = segments(self._folder)
        for number, path in found:
            self.ids.update(message.id for message, _ in read(path, 0) if message is not None)
            if number <= acknowledged:
                path.unlink()
        return found[-1][0] if found else acknowledged

    def append(self, message: SpooledMessage) -> None:
        """Write a message down; raises OSError (SpoolFullError among them), and then nothing of it is there."""
        if message.id in self.ids:
            return
        data = encode_message(message)
        if self._bytes + len(data) > self._max_bytes:
            self._delete_acknowledged()
        if self._bytes + len(data) > self._max_bytes:
            raise SpoolFullError(self._max_bytes)
        if self._descriptor < 0 or self._size > MAX_SEGMENT_BYTES:
            self.begin_segment()
        try:
            write_all(self._descriptor, data)
        except OSError:
            # What was written of it must not stand in front of the next line.
            with contextlib.suppress(OSError):
                os.ftruncate(self._descriptor, self._size)
            raise
        self._size += len(data)
        self._bytes += len(data)

    def begin_segment(self) -> None:
        """Close the open segment and begin the next one; raises OSError."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
            self._delete_acknowledged()
        self._number += 1
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        self._descriptor = os.open(segment_path(self._folder, self._number), flags, PRIVATE_FILE_MODE)
        self._size = 0

    def close(self) -> None:
        """Close the files."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
        self.outcomes.close()

    def _delete_acknowledged(self) -> None:
        """Delete segments that the agent has stored, but for the one that is open."""
        acknowledged = acknowledged_segment(self._folder)
        for number, path in segments(self._folder):
            is_open = number == self._number and self._descriptor >= 0
            if number <= acknowledged and not is_open:
                self._bytes -= path.stat().st_size
                path.unlink()
