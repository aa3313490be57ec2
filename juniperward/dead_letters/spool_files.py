"""The files of a spool, shared by its writer and its reader: segments and the acknowledgement file.

`spool.Spool` in the forwarder writes the segments; `agent.running_fleet` reads them. Standard library only.
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
    """Return the path of the segment with a number."""
    return folder / f"{number:08d}{SEGMENT_SUFFIX}"


def segments(folder: Path) -> list[tuple[int, Path]]:
    """Return the number and path of each segment, the oldest first; empty if there is no folder."""
    found = []
    with contextlib.suppress(FileNotFoundError):
        for path in folder.glob(f"*{SEGMENT_SUFFIX}"):
            if path.stem.isdigit():
                found.append((int(path.stem), path))
    return sorted(found)


def read(path: Path, offset: int) -> Iterator[tuple[SpooledMessage | None, int]]:
    """Yield each message of a segment from an offset on, with the offset after it; None for a damaged line.

    A last line without a line end is not yielded, because it may still be being written.
    """
    with path.open("rb") as file:
        file.seek(offset)
        for data in file:
            if not data.endswith(b"\n"):
                return
            offset += len(data)
            yield decode_message(data[:-1]), offset


def acknowledged_segment(folder: Path) -> int:
    """Return the number of the last segment that is completely in the agent's store; 0 if none is."""
    try:
        return int((folder / ACKNOWLEDGED_FILE).read_text())
    except (FileNotFoundError, ValueError):
        return 0


def acknowledge_segment(folder: Path, number: int) -> None:
    """Record that all segments up to this number are in the agent's store."""
    new_file = folder / NEW_ACKNOWLEDGED_FILE
    new_file.write_text(str(number))
    new_file.replace(folder / ACKNOWLEDGED_FILE)
