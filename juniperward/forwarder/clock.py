"""Chooses the offset between monotonic time and the journal's Unix time, so that it survives a restart.

After a restart, no deduplication window or deadline may become longer, although the wall clock may have been adjusted
in between. On the same boot, the offset of the earlier process shows by how much: the larger of the two offsets is
used, which never moves a time of the journal forward. Without that reference (the folder of an older version, another
boot or another machine) all times of the journal are moved back by MAX_CLOCK_ERROR_S. Within a process the offset is
constant, so an adjustment of the wall clock has no effect. Called by `assembly.py`.
"""

from __future__ import annotations

import json
import math
from pathlib import Path

from juniperward.forwarder.telemetry import increment, log

REFERENCE_NAME, REFERENCE_NEW_NAME = "clock", "clock.new"
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
# The maximum difference between the wall clocks of two machines, or of two boots.
MAX_CLOCK_ERROR_S = 1.0
# If the wall clock seems to have gone back by more, the reference belongs to another monotonic clock.
MAX_STEP_BACK_S = 5.0


def read_boot_id() -> str:
    """Return the kernel's id of this boot, or an empty text where it has none."""
    try:
        return BOOT_ID.read_text(encoding="ascii").strip()
    except (OSError, ValueError):
        return ""


def choose_unix_offset(folder: Path, unix_offset_s: float, boot_id: str, journal_name: str) -> float:
    """Return the offset to use in this process, and store it for the next one.

    `unix_offset_s` is the current difference between Unix time and monotonic time.
    """
    offset = unix_offset_s
    if (folder / journal_name).exists():
        earlier_offset_s = _read_reference(folder, boot_id)
        if earlier_offset_s is None or earlier_offset_s - unix_offset_s > MAX_STEP_BACK_S:
            increment("clock_references_missing")
            log(
                "start",
                "clock reference missing; journal times moved back",
                times_moved_back_s=MAX_CLOCK_ERROR_S,
            )
            offset = unix_offset_s + MAX_CLOCK_ERROR_S
        else:
            offset = max(earlier_offset_s, unix_offset_s)
    _write_reference(folder, boot_id, offset)
    return offset


def _read_reference(folder: Path, boot_id: str) -> float | None:
    """Return the offset that an earlier process of this boot used; None if it is missing or unreadable."""
    try:
        boot, offset = json.loads((folder / REFERENCE_NAME).read_text(encoding="ascii"))
        offset = float(offset)
    except FileNotFoundError:
        return None
    except (OSError, ValueError, TypeError) as error:
        log("start", "clock reference unreadable; ignored", file=folder / REFERENCE_NAME, error=error)
        return None
    return offset if boot_id and boot == boot_id and math.isfinite(offset) else None


def _write_reference(folder: Path, boot_id: str, offset: float) -> None:
    """Replace the file atomically: a killed process leaves either the old one or the new one."""
    new_path = folder / REFERENCE_NEW_NAME
    try:
        new_path.write_text(json.dumps([boot_id, offset]), encoding="ascii")
        new_path.replace(folder / REFERENCE_NAME)
    except OSError as error:
        # The next start manages without the reference, so this one goes on.
        increment("clock_references_unwritten")
        log("start", "clock reference not written", file=folder / REFERENCE_NAME, error=error)
