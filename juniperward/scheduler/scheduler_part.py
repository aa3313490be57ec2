"""What the parts of a scheduler have in common: the round, and the state that decides nothing."""

from __future__ import annotations

import random
from collections.abc import Callable

from juniperward.scheduler.actions import Action
from juniperward.scheduler.backlog import Backlog
from juniperward.scheduler.endpoint_table import EndpointTable
from juniperward.scheduler.latency import LatencyEstimates
from juniperward.scheduler.queues import Rank
from juniperward.scheduler.records import Message
from juniperward.scheduler.round import Round
from juniperward.scheduler.settings import SchedulerSettings
from juniperward.scheduler.traffic import TrafficEstimates

GiveUp = Callable[[Message], None]  # gives a message its final answer undelivered


class SchedulerState:
    """The state of one scheduler."""

    def __init__(self, settings: SchedulerSettings, seed: int, rank: Callable[[Message], Rank]) -> None:
        """Begin empty; `rank` says in which order the messages of a destination go."""
        self.round = Round(settings, seed)
        self.backlog = Backlog(self.round, rank)
        self.table = EndpointTable(self.round)
        self.latency = LatencyEstimates(settings)
        self.traffic = TrafficEstimates(self.round, self.table)
        self.parts: list[SchedulerPart] = []

    def begin_round(self, now: float) -> None:
        """Begin a round at a moment, which all parts are told."""
        self.round.begin(now)
        for part in self.parts:
            part._now = now


class SchedulerPart:
    """The base of the parts that decide: access to the state, and to the round by shorter names."""

    def __init__(self, state: SchedulerState) -> None:
        """Work on a scheduler's state."""
        self._round = state.round
        self._settings = state.round.settings
        self._large_fleet = state.round.large_fleet
        self._backlog, self._table = state.backlog, state.table
        self._latency, self._traffic = state.latency, state.traffic
        self._now = 0.0  # of the present round: an attribute, as it is read some thirty times a message
        state.parts.append(self)

    @property
    def _random(self) -> random.Random:
        return self._round.random

    def _schedule(self, at: float, callback: Callable[..., None], *arguments: object) -> None:
        self._round.timers.schedule(at, callback, *arguments)

    def _act(self, action: Action) -> None:
        self._round.actions.append(action)
