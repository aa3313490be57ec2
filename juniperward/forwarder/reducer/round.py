"""A round of the reducer: its time, the effects asked for so far, and what the scheduler is to be told at its end."""

from __future__ import annotations

from juniperward.forwarder.effects import Effect
from juniperward.forwarder.state import ForwarderState
from juniperward.scheduler.events import Event as SchedulerEvent
from juniperward.scheduler.settings import SchedulerSettings


class Round:
    """What the handlers of the reducer share."""

    def __init__(self, settings: SchedulerSettings, state: ForwarderState) -> None:
        """Begin before the first round."""
        self.settings = settings
        self.state = state
        self.now = 0.0
        self.effects: list[Effect] = []
        self.scheduler_events: list[SchedulerEvent] = []

    def begin(self, now: float) -> None:
        """Begin a round at a moment."""
        self.now = now
        self.effects = []
        self.scheduler_events = []

    def emit(self, *effects: Effect) -> None:
        """Ask for effects, to be carried out in this order."""
        self.effects += effects

    def tell_scheduler(self, event: SchedulerEvent) -> None:
        """Have the scheduler told at the end of the round."""
        self.scheduler_events.append(event)
