"""The round that a scheduler is in: its time and its actions, and the timers and random numbers of all rounds."""

from __future__ import annotations

import math
import random

from juniperward.scheduler.actions import Action
from juniperward.scheduler.settings import SchedulerSettings
from juniperward.scheduler.timers import TimerQueue


class Round:
    """The present round; a scheduler has no clock and no I/O."""

    def __init__(self, settings: SchedulerSettings, seed: int) -> None:
        """Begin before the first round."""
        self.settings = settings
        self.random = random.Random(seed)
        self.timers = TimerQueue()
        self.actions: list[Action] = []
        self.now = 0.0
        self.started_at = math.inf  # of the first round

    def begin(self, now: float) -> None:
        """Set the time, and begin a new list of actions."""
        self.now = now
        self.started_at = min(self.started_at, now)
        self.actions = []
