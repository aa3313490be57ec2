"""The context that the handlers share in one round: the state, the time and the effects."""

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
    """The agent's state, and the time and effects of the current round.

    Attributes:
        state: Replaced by the handlers.
        now: Seconds of the monotonic clock, fixed for the round.
        effects: What the round has emitted so far, in order.

    """

    def __init__(self) -> None:
        """Start with an empty state."""
        self.state = State()
        self.now = 0.0
        self.effects: list[Effect] = []

    def begin(self, now: float) -> None:
        """Start a round at `now`, with no effects."""
        self.now, self.effects = now, []

    def emit(self, *effects: Effect) -> None:
        """Add effects; they are carried out in order after the round."""
        self.effects += effects

    def put(self, instance: Instance) -> None:
        """Add an instance to the state, or replace the one of the same name."""
        self.state = self.state.with_instance(instance)

    def phase_of(self, instance: Instance) -> Phase:
        """Return the phase of an instance at the time of the round."""
        return phase(instance, self.now, self.state.rules.timeouts)

    def fleet(self) -> FleetView:
        """Return the view of the fleet on which decisions about a roll are based."""
        return FleetView(self.state.instances, self.state.meter, self.now, self.state.rules.timeouts)

    def log(self, event: str, fields: Mapping[str, Any], level: str = "info") -> None:
        """Log an event; add the roll and its stage if the event concerns an instance that a roll is restarting."""
        all_fields = dict(fields)
        roll, name = self.state.roll, all_fields.get("instance")
        if roll is not None and not roll.over and name is not None:
            step = roll.step_of(name)
            if step is not None and step.stage in ACTIVE_STAGES:
                all_fields |= {"roll": roll.id, "step": step.stage.value}
        self.emit(LogEvent(event, all_fields, level))

    def reply(self, client: int, body: ReplyBody) -> None:
        """Answer a client whose request succeeded."""
        self.emit(ReplyToClient(client, ApiResponse(HTTPStatus.OK, body)))

    def reject(self, client: int, status: HTTPStatus, message: str) -> None:
        """Answer a client whose request was rejected."""
        self.emit(ReplyToClient(client, ApiResponse(status, ErrorReply(message))))
