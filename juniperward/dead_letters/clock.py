"""Wall-clock time that does not run backwards, derived from two clocks. Pure: the caller reads the clocks."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClockReading:
    """One reading of the machine's clocks.

    Attributes:
        wall: Unix time, which can be set back.
        boot: seconds since the machine booted; monotonic until the next boot.
        boot_id: identifies the boot that `boot` counts from.
    """

    wall: float
    boot: float
    boot_id: str


def latest_possible_time(clock: ClockReading, recorded: ClockReading | None) -> float:
    """Return the latest Unix time that `clock` may stand for, given an earlier recorded reading.

    The result is never before the recorded time plus the time elapsed since, so a wall clock that is set back
    does not reopen a deduplication window. If the machine has rebooted and its wall clock is before the
    recorded time, the elapsed time is unknown: the result is infinity, which closes every window.
    """
    if recorded is None:
        return clock.wall
    if clock.boot_id == recorded.boot_id:
        elapsed_s = max(clock.boot - recorded.boot, 0.0)
        return max(clock.wall, recorded.wall + elapsed_s)
    return clock.wall if clock.wall >= recorded.wall else math.inf
