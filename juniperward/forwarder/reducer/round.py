"""A round of the reducer: its time, and the effects and scheduler events that its handlers add."""

from __future__ import annotations

import math
from dataclasses import dataclass

from juniperward.forwarder.effects import Effect
from juniperward.forwarder.state import ForwarderState
from juniperward.scheduler.events import Event as SchedulerEvent
from juniperward.scheduler.settings import SchedulerSettings


@dataclass(frozen=True, slots=True)
class MessageLimits:
    """The memory that the reducer may use for what clients choose.

    Attributes:
        message_bytes: The contents of accepted messages that are not completed.
        completed_id_bytes: The ids of completed messages.

    """

    message_bytes: float = math.inf
    completed_id_bytes: float = math.inf


NO_LIMITS = MessageLimits()


class Round:
    """The context that the reducer's handlers share: settings, state, time, effects and scheduler events."""

    def __init__(
        self, settings: SchedulerSettings, state: ForwarderState, message_limits: MessageLimits = NO_LIMITS
    ) -> None:
        """Create the context; `begin` starts the first round."""
        self.settings, self.message_limits = settings, message_limits
        self.state = state
        self.now = 0.0
        self.effects: list[Effect] = []
        self.scheduler_events: list[SchedulerEvent] = []

    def begin(self, now: float) -> None:
        """Start a round without effects and events; `now` is the time of the monotonic clock."""
        self.now = now
        self.effects = []
        self.scheduler_events = []

    def emit(self, *effects: Effect) -> None:
        """Add effects, which are performed in this order."""
        self.effects += effects

    def notify_scheduler(self, event: SchedulerEvent) -> None:
        """Add an event for the scheduler, which gets it at the end of the round."""
        self.scheduler_events.append(event)
