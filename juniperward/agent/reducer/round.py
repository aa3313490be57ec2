"""What the handlers of one round share: the state, the time and the effects so far."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

from juniperward.agent.effects import Effect, LogEvent, ReplyToClient
from juniperward.agent.replies import ApiResponse, ErrorReply, ReplyBody
from juniperward.agent.state import State
from juniperward.fleet.decisions import phase
from juniperward.fleet.model import Instance, Phase
from juniperward.fleet.roll_model import ACTIVE_STAGES, FleetView


class Round:
    """The agent's state, changed by the handlers alone, and the round that is being reduced."""

    def __init__(self) -> None:
        """Begin with an empty state."""
        self.state = State()
        self.now = 0.0  # seconds of the machine's monotonic clock
        self.effects: list[Effect] = []

    def begin(self, now: float) -> None:
        """Start a round."""
        self.now, self.effects = now, []

    def emit(self, *effects: Effect) -> None:
        """Add effects; they are carried out in their order."""
        self.effects += effects

    def put(self, instance: Instance) -> None:
        """Put an instance in the place of what was known of it."""
        self.state = self.state.with_instance(instance)

    def phase_of(self, instance: Instance) -> Phase:
        """Return the observed state of an instance."""
        return phase(instance, self.now, self.state.rules.timeouts)

    def fleet(self) -> FleetView:
        """Return the fleet as a decision about a roll sees it."""
        return FleetView(self.state.instances, self.state.meter, self.now, self.state.rules.timeouts)

    def log(self, event: str, fields: Mapping[str, Any], level: str = "info") -> None:
        """Log an event; one of an instance that a roll is restarting names the roll and its stage."""
        found = dict(fields)
        roll, name = self.state.roll, found.get("instance")
        if roll is not None and not roll.over and name is not None:
            step = roll.step_of(name)
            if step is not None and step.stage in ACTIVE_STAGES:
                found |= {"roll": roll.id, "step": step.stage.value}
        self.emit(LogEvent(event, found, level))

    def reply(self, client: int, body: ReplyBody) -> None:
        """Answer a client whose request was followed."""
        self.emit(ReplyToClient(client, ApiResponse(HTTPStatus.OK, body)))

    def reject(self, client: int, status: HTTPStatus, why: str) -> None:
        """Answer a client whose request was not followed."""
        self.emit(ReplyToClient(client, ApiResponse(status, ErrorReply(why))))
