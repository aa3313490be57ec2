"""What the parts of a scheduler share: its state, and the base class that gives them access to it."""

from __future__ import annotations

import random
from collections.abc import Callable

from juniperward.scheduler.actions import Action
from juniperward.scheduler.backlog import Backlog
from juniperward.scheduler.endpoint_table import EndpointTable
from juniperward.scheduler.latency import LatencyEstimates
from juniperward.scheduler.records import Message
from juniperward.scheduler.round import Round
from juniperward.scheduler.settings import SchedulerSettings
from juniperward.scheduler.traffic import TrafficEstimates, is_large_fleet

GiveUp = Callable[[Message], None]  # gives a message its final answer undelivered


class SchedulerState:
    """The state of one scheduler."""

    def __init__(self, settings: SchedulerSettings, seed: int) -> None:
        """Begin empty."""
        self.round = Round(settings, seed)
        self.backlog = Backlog(self.round)
        self.table = EndpointTable(self.round)
        self.latency = LatencyEstimates(settings)
        self.traffic = TrafficEstimates(self.round, self.table)
        self.parts: list[SchedulerPart] = []

    def begin_round(self, now: float) -> None:
        """Begin a round at a moment, which all parts get."""
        self.round.begin(now)
        for part in self.parts:
            part._now = now


class SchedulerPart:
    """The base of the parts that decide: access to the state, and to the round by shorter names."""

    def __init__(self, state: SchedulerState) -> None:
        """Work on a scheduler's state."""
        self._round = state.round
        self._settings = state.round.settings
        self._large_fleet = is_large_fleet(state.round.settings)
        self._backlog = state.backlog
        self._table = state.table
        self._latency = state.latency
        self._traffic = state.traffic
        self._now = 0.0  # of the present round: an attribute, as it is read some thirty times a message
        state.parts.append(self)

    @property
    def _random(self) -> random.Random:
        return self._round.random

    def _schedule(self, at: float, callback: Callable[..., None], *arguments: object) -> None:
        self._round.timers.schedule(at, callback, *arguments)

    def _act(self, action: Action) -> None:
        self._round.actions.append(action)
