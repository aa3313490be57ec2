"""The state that the parts of a scheduler share, and the base class of the parts."""

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

# Answers a message that will not be delivered, and ends it.
GiveUp = Callable[[Message], None]


class SchedulerState:
    """The state of one scheduler, and the parts that work on it."""

    def __init__(self, settings: SchedulerSettings, seed: int) -> None:
        """Create the state of a scheduler without messages, endpoints and parts."""
        self.round = Round(settings, seed)
        self.backlog = Backlog(self.round)
        self.table = EndpointTable(self.round)
        self.latency = LatencyEstimates(settings)
        self.traffic = TrafficEstimates(self.round, self.table)
        self.parts: list[SchedulerPart] = []

    def begin_round(self, now: float) -> None:
        """Begin a round, and tell all parts its time."""
        self.round.begin(now)
        for part in self.parts:
            part._now = now


class SchedulerPart:
    """The base class of the parts that decide, with short names for what they use of the state."""

    def __init__(self, state: SchedulerState) -> None:
        """Register the part with the state of its scheduler."""
        self._round = state.round
        self._settings = state.round.settings
        self._large_fleet = is_large_fleet(state.round.settings)
        self._backlog = state.backlog
        self._table = state.table
        self._latency = state.latency
        self._traffic = state.traffic
        # A copy of the round's time: a property would be slower, and parts read it very often.
        self._now = 0.0
        state.parts.append(self)

    @property
    def _random(self) -> random.Random:
        return self._round.random

    def _schedule(self, at: float, callback: Callable[..., None], *arguments: object) -> None:
        self._round.timers.schedule(at, callback, *arguments)

    def _act(self, action: Action) -> None:
        self._round.actions.append(action)
