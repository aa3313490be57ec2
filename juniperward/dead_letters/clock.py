"""A moment by two clocks, and the latest that it can be. Pure: the caller reads the clocks."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClockReading:
    """A moment: `wall` (Unix time) can be set, `boot` (seconds since `boot_id` began) cannot."""

    wall: float
    boot: float
    boot_id: str


def latest_possible_time(clock: ClockReading, recorded: ClockReading | None) -> float:
    """Return the latest Unix time that it can be: never earlier than the recorded one and what has passed since.

    A deduplication window that has closed must not open again because a clock was set back. Where the machine was
    started anew and its wall clock is before the recorded one, what passed meanwhile cannot be known: infinity,
    with which every window is closed.
    """
    if recorded is None:
        return clock.wall
    if clock.boot_id == recorded.boot_id:
        passed_s = max(clock.boot - recorded.boot, 0.0)
        return max(clock.wall, recorded.wall + passed_s)
    return clock.wall if clock.wall >= recorded.wall else math.inf
