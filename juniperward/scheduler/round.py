"""The current round of a scheduler, with the timers and random numbers that all rounds share."""

from __future__ import annotations

import math
import random

from juniperward.scheduler.actions import Action
from juniperward.scheduler.settings import SchedulerSettings
from juniperward.scheduler.timers import TimerQueue


class Round:
    """The time and the actions of the current round.

    A scheduler has no clock: its caller passes the time with each round.

    Attributes:
        started_at: time of the first round; infinity before it.
    """

    def __init__(self, settings: SchedulerSettings, seed: int) -> None:
        """Create the state from before the first round."""
        self.settings = settings
        self.random = random.Random(seed)
        self.timers = TimerQueue()
        self.actions: list[Action] = []
        self.now = 0.0
        self.started_at = math.inf

    def begin(self, now: float) -> None:
        """Set the time and clear the actions."""
        self.now = now
        self.started_at = min(self.started_at, now)
        self.actions = []
