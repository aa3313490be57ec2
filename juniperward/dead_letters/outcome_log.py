"""A forwarder's log of redrive outcomes: the file `fates` in its spool. Standard library only.

An outcome is written before its message is completed, so that it survives a crash. A line with a single
number is the Unix time since which the log is complete.
"""

from __future__ import annotations

import contextlib
import math
import os
import time
from collections.abc import Iterator, Mapping
from pathlib import Path

from juniperward.dead_letters.outcome import RedriveOutcome
from juniperward.dead_letters.spool_format import decode_line, decode_outcome, encode_line, encode_outcome

# A log with more outcomes drops the oldest half of them and advances `complete_since`.
MAX_OUTCOMES = 100_000
FILE = "fates"
NEW_FILE = "fates.new"


class OutcomeLog(Mapping[str, RedriveOutcome]):
    """The logged outcomes by redrive id. Not thread-safe: only the forwarder's loop uses it."""

    def __init__(self, folder: Path) -> None:
        """Read the outcomes that earlier processes logged; raises OSError.

        `complete_since` is the Unix time since which no outcome is missing.
        """
        self.complete_since = time.time()
        self._folder = folder
        self._descriptor = -1
        self._outcomes: dict[str, RedriveOutcome] = {}
        self._load()

    def __len__(self) -> int:
        """Return how many outcomes are in the log."""
        return len(self._outcomes)

    def __iter__(self) -> Iterator[str]:
        """Yield the ids of redrives in the order of recording."""
        return iter(self._outcomes)

    def __getitem__(self, redrive_id: str) -> RedriveOutcome:
        """Return the outcome of a redrive; raises KeyError if none is recorded."""
        return self._outcomes[redrive_id]

    def record(self, redrive_id: str, outcome: RedriveOutcome) -> None:
        """Append the outcome of a redrive unless it already has one; raises OSError."""
        if redrive_id in self._outcomes:
            return
        write_all(self._descriptor, encode_outcome(redrive_id, outcome))
        self._outcomes[redrive_id] = outcome
        if len(self._outcomes) > MAX_OUTCOMES:
            self._drop_oldest_half()

    def mark_incomplete(self) -> None:
        """Declare the log incomplete, because an outcome could not be written."""
        self.complete_since = math.inf

    def close(self) -> None:
        """Close the log file."""
        if self._descriptor >= 0:
            os.close(self._descriptor)

    def _load(self) -> None:
        valid_lines = b""
        with contextlib.suppress(FileNotFoundError):
            for data in (self._folder / FILE).read_bytes().split(b"\n"):
                if self._load_line(data):
                    valid_lines += data + b"\n"
        self._rewrite(valid_lines or encode_line(self.complete_since))

    def _load_line(self, data: bytes) -> bool:
        """Load one line; return False if it is damaged or of an unknown form."""
        row = decode_line(data)
        if isinstance(row, float | int):
            self.complete_since = float(row)
            return True
        decoded = decode_outcome(row) if isinstance(row, list) else None
        if decoded is None:
            return False
        self._outcomes.setdefault(*decoded)
        return True

    def _rewrite(self, data: bytes) -> None:
        new_file = self._folder / NEW_FILE
        new_file.write_bytes(data)
        new_file.replace(self._folder / FILE)
        self.close()
        flags = os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC
        self._descriptor = os.open(self._folder / FILE, flags)

    def _drop_oldest_half(self) -> None:
        for redrive_id in list(self._outcomes)[: MAX_OUTCOMES // 2]:
            del self._outcomes[redrive_id]
        self.complete_since = time.time()
        lines = [encode_outcome(redrive_id, outcome) for redrive_id, outcome in self._outcomes.items()]
        self._rewrite(encode_line(self.complete_since) + b"".join(lines))


def write_all(descriptor: int, data: bytes) -> None:
    """Write all of `data`; raises OSError, after which a part of it may have been written."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
