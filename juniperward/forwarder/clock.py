"""The Unix time of the journal, carried over a restart so that no repeat window or deadline is taken for longer.

Input: the folder that lasts, this boot's id, and what the two clocks say now. Output: seconds from the monotonic
clock to the journal's Unix time. A wall clock may be a second behind or ahead of the one that an earlier process
saw. On the same boot the monotonic clock tells by how much: of the two offsets the larger one is used, so that a
time of the journal lies as far back as either clock says, and never further ahead. Where nothing tells (an older
version's folder, another boot or machine), all times count as CLOCK_ERROR_S further back. Within a process the offset
is constant: a wall clock that steps while it runs changes nothing.
"""

from __future__ import annotations

import json
import math
from pathlib import Path

from juniperward.forwarder.telemetry import increment, log

REFERENCE_NAME, REFERENCE_FRESH = "clock", "clock.new"
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
CLOCK_ERROR_S = 1.0  # how far apart the wall clocks of two machines, or of two boots, may be
LARGEST_STEP_S = 5.0  # a step back beyond this is no clock's error, the monotonic clocks are not the same one


def read_boot_id() -> str:
    """The kernel's id of this boot; empty where it has none."""
    try:
        return BOOT_ID.read_text(encoding="ascii").strip()
    except (OSError, ValueError):
        return ""


def carry_over(folder: Path, to_unix: float, boot_id: str, journal_name: str) -> float:
    """The offset to use in this process, noted for the next one."""
    carried = to_unix
    if (folder / journal_name).exists():
        before = _read_reference(folder, boot_id)
        if before is None or before - to_unix > LARGEST_STEP_S:
            increment("clock_references_missing")
            log("start", "clock reference missing", times_moved_back_s=CLOCK_ERROR_S)
            carried = to_unix + CLOCK_ERROR_S
        else:
            carried = max(before, to_unix)
    _write_reference(folder, boot_id, carried)
    return carried


def _read_reference(folder: Path, boot_id: str) -> float | None:
    """The offset that an earlier process of this boot used; None where there is none, or it cannot be read."""
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
    """Replace the note whole: a kill leaves the old one or the new one."""
    fresh = folder / REFERENCE_FRESH
    try:
        fresh.write_text(json.dumps([boot_id, offset]), encoding="ascii")
        fresh.replace(folder / REFERENCE_NAME)
    except OSError as error:  # the next start then knows less, which is no reason not to serve now
        increment("clock_references_unwritten")
        log("start", "clock reference unwritable", file=folder / REFERENCE_NAME, error=error)
