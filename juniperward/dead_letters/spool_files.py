"""The files of a spool's folder, as both its ends see them: segments, and which of them the agent has stored.

The forwarder's end is `spool.Spool`; the agent's is `agent.running_fleet`. Standard library only.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from pathlib import Path

from juniperward.dead_letters.spool_format import SpooledMessage, decode_message

SEGMENT_SUFFIX = ".kept"
ACKNOWLEDGED_FILE = "acked"
NEW_ACKNOWLEDGED_FILE = "acked.new"


def segment_path(folder: Path, number: int) -> Path:
    """Return the file of a segment."""
    return folder / f"{number:08d}{SEGMENT_SUFFIX}"


def segments(folder: Path) -> list[tuple[int, Path]]:
    """Return all segments with their numbers, the oldest first."""
    found = []
    with contextlib.suppress(FileNotFoundError):
        for path in folder.glob(f"*{SEGMENT_SUFFIX}"):
            if path.stem.isdigit():
                found.append((int(path.stem), path))
    return sorted(found)


def read(path: Path, offset: int) -> Iterator[tuple[SpooledMessage | None, int]]:
    """Yield the messages of a segment from an offset on, each with the offset behind it; None for a damaged line.

    A last line without its end is not yielded: it is being written, or was torn; the next read decides.
    """
    with path.open("rb") as file:
        file.seek(offset)
        for data in file:
            if not data.endswith(b"\n"):
                return
            offset += len(data)
            yield decode_message(data[:-1]), offset


def acknowledged_segment(folder: Path) -> int:
    """Return the last segment that is completely in the agent's store; 0 where none is."""
    try:
        return int((folder / ACKNOWLEDGED_FILE).read_text())
    except (FileNotFoundError, ValueError):
        return 0


def acknowledge_segment(folder: Path, number: int) -> None:
    """Write down that all segments up to this one are in the store."""
    fresh = folder / NEW_ACKNOWLEDGED_FILE
    fresh.write_text(str(number))
    fresh.replace(folder / ACKNOWLEDGED_FILE)
