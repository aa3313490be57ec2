"""The offset from the monotonic clock to the journal's Unix time, carried over a restart.

In come the state folder, this boot's id and the offset that the two clocks give now; out comes the offset to use, so
that no deduplication window or deadline is longer after a restart. The wall clock may be a second behind or ahead of
the one that an earlier process read. On the same boot the monotonic clock shows by how much: the larger of the two
offsets is used, so that a time of the journal lies as far back as either clock says, and never further ahead. Without
that reference (an older version's folder, another boot or machine) all times count as MAX_CLOCK_ERROR_S further back.
Within a process the offset is constant: a wall clock that steps while it runs changes nothing. Called by `assembly`.
"""

from __future__ import annotations

import json
import math
from pathlib import Path

from juniperward.forwarder.telemetry import increment, log

REFERENCE_NAME, REFERENCE_NEW_NAME = "clock", "clock.new"
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
MAX_CLOCK_ERROR_S = 1.0  # how far apart the wall clocks of two machines, or of two boots, may be
MAX_STEP_BACK_S = (
    5.0  # a step back beyond this is no clock error: the reference is of another monotonic clock
)


def read_boot_id() -> str:
    """Return the kernel's id of this boot; empty where it has none."""
    try:
        return BOOT_ID.read_text(encoding="ascii").strip()
    except (OSError, ValueError):
        return ""


def choose_unix_offset(folder: Path, unix_offset_s: float, boot_id: str, journal_name: str) -> float:
    """Return the offset to use in this process, and write it down for the next one."""
    offset = unix_offset_s
    if (folder / journal_name).exists():
        before = _read_reference(folder, boot_id)
        if before is None or before - unix_offset_s > MAX_STEP_BACK_S:
            increment("clock_references_missing")
            log("start", "clock reference missing", times_moved_back_s=MAX_CLOCK_ERROR_S)
            offset = unix_offset_s + MAX_CLOCK_ERROR_S
        else:
            offset = max(before, unix_offset_s)
    _write_reference(folder, boot_id, offset)
    return offset


def _read_reference(folder: Path, boot_id: str) -> float | None:
    """Return the offset that an earlier process of this boot used; None where there is none, or it is unreadable."""
    try:
        boot, offset = json.loads((folder / REFERENCE_NAME).read_text(encoding="ascii"))
        offset = float(offset)
    except FileNotFoundError:
        return None
    except (OSError, ValueError, TypeError) as error:
        log("start", "clock reference unreadable", file=folder / REFERENCE_NAME, error=error)
        return None
    return offset if boot_id and boot == boot_id and math.isfinite(offset) else None


def _write_reference(folder: Path, boot_id: str, offset: float) -> None:
    """Replace the file atomically: a kill leaves the old one or the new one."""
    new_path = folder / REFERENCE_NEW_NAME
    try:
        new_path.write_text(json.dumps([boot_id, offset]), encoding="ascii")
        new_path.replace(folder / REFERENCE_NAME)
    except OSError as error:  # the next start then knows less, which is no reason not to serve now
        increment("clock_references_unwritten")
        log("start", "clock reference unwritable", file=folder / REFERENCE_NAME, error=error)
