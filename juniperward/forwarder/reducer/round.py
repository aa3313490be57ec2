"""A round of the reducer: its time, the effects so far, and the events for the scheduler at its end."""

from __future__ import annotations

from juniperward.forwarder.effects import Effect
from juniperward.forwarder.state import ForwarderState
from juniperward.scheduler.events import Event as SchedulerEvent
from juniperward.scheduler.settings import SchedulerSettings


class Round:
    """What the handlers of the reducer share; each of them adds effects and scheduler events."""

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
        """Add effects, to be performed in this order."""
        self.effects += effects

    def notify_scheduler(self, event: SchedulerEvent) -> None:
        """Pass an event to the scheduler at the end of the round."""
        self.scheduler_events.append(event)
