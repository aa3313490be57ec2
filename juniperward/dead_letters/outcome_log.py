"""The outcomes of redrives that a forwarder remembers, in its spool's file `fates`. Standard library only.

An outcome that is not written down before the message is over could only be guessed later. The first line that is
a number is the Unix time since which the log is complete.
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

MAX_OUTCOMES = 100_000  # remembered; beyond it the oldest half is forgotten, and `complete_since` says so
FILE = "fates"
NEW_FILE = "fates.new"


class OutcomeLog(Mapping[str, RedriveOutcome]):
    """The remembered outcomes by redrive id; used by the forwarder's loop only."""

    def __init__(self, folder: Path) -> None:
        """Read the outcomes of earlier processes; raises OSError."""
        self.complete_since = time.time()  # Unix time; of before it an unknown id says nothing
        self._folder = folder
        self._descriptor = -1
        self._outcomes: dict[str, RedriveOutcome] = {}
        self._load()

    def __len__(self) -> int:
        """Return how many outcomes are remembered."""
        return len(self._outcomes)

    def __iter__(self) -> Iterator[str]:
        """Yield the redrives' ids, the first recorded first."""
        return iter(self._outcomes)

    def __getitem__(self, redrive_id: str) -> RedriveOutcome:
        """Return the outcome of a redrive; raises KeyError."""
        return self._outcomes[redrive_id]

    def record(self, redrive_id: str, outcome: RedriveOutcome) -> None:
        """Write down the outcome of a redrive; the first one that is known of it stays. Raises OSError."""
        if redrive_id in self._outcomes:
            return
        write_all(self._descriptor, encode_outcome(redrive_id, outcome))
        self._outcomes[redrive_id] = outcome
        if len(self._outcomes) > MAX_OUTCOMES:
            self._forget_oldest_half()

    def mark_incomplete(self) -> None:
        """Have nothing concluded from an outcome's absence any more: one could not be written."""
        self.complete_since = math.inf

    def close(self) -> None:
        """Close the file."""
        if self._descriptor >= 0:
            os.close(self._descriptor)

    def _load(self) -> None:
        good = b""
        with contextlib.suppress(FileNotFoundError):
            for data in (self._folder / FILE).read_bytes().split(b"\n"):
                if self._load_line(data):
                    good += data + b"\n"
        self._rewrite(good or encode_line(self.complete_since))

    def _load_line(self, data: bytes) -> bool:
        """Take a line in; return whether it is one of ours."""
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
        fresh = self._folder / NEW_FILE
        fresh.write_bytes(data)
        fresh.replace(self._folder / FILE)
        self.close()
        flags = os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC
        self._descriptor = os.open(self._folder / FILE, flags)

    def _forget_oldest_half(self) -> None:
        for redrive_id in list(self._outcomes)[: MAX_OUTCOMES // 2]:
            del self._outcomes[redrive_id]
        self.complete_since = time.time()
        lines = [encode_outcome(redrive_id, outcome) for redrive_id, outcome in self._outcomes.items()]
        self._rewrite(encode_line(self.complete_since) + b"".join(lines))


def write_all(descriptor: int, data: bytes) -> None:
    """Write all of it; raises OSError, and then a part may be written."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
