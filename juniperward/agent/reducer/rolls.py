"""The roll under way: its steps, each written down before its orders are given.

A changed roll is saved first; `saved` gives the orders once it is on disk. Where it cannot be written, the roll
stays where it was and pauses.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from juniperward.agent import views
from juniperward.agent.messages import LogEvent, SaveState, State, StateSaved
from juniperward.agent.reducer.instances import Instances
from juniperward.agent.reducer.round import Round
from juniperward.fleet.roll_commands import pause
from juniperward.fleet.roll_model import Roll, RollMode, RollOrder, RollStage
from juniperward.fleet.roll_progress import advance

SAVE_RETRY_S = 1.0  # after which a state that could not be written is tried again


class Rolls:
    """Takes the roll on, and has its steps written down."""

    def __init__(self, round_: Round, instances: Instances) -> None:
        """Carry the roll's orders out through `instances`."""
        self._round, self._instances = round_, instances

    def advance(self) -> None:
        """Take the roll as far as the fleet lets it go, unless a step is being written down."""
        roll = self._round.state.roll
        if roll is None or roll.over or self._round.state.writing:
            return
        changed, orders = advance(roll, self._round.fleet())
        if changed != roll:
            self.write(changed, orders)
            return
        for order in orders:
            self._instances.carry_out(order)

    def write(self, changed: Roll, orders: Sequence[RollOrder], client: int | None = None) -> None:
        """Have a changed roll written down; its orders are given then, and the client is answered."""
        state = self._round.state
        self._round.state = replace(
            state,
            roll=changed,
            before=state.before if state.writing else state.roll,
            pending=(*state.pending, *orders),
            replies=state.replies if client is None else (*state.replies, client),
            writing=True,
        )
        self._round.emit(SaveState(self._round.state.durable()))

    def saved(self, event: StateSaved) -> None:
        """Give the orders of the step that is on disk now, or go back to the step before."""
        before = self._round.state
        self._round.state = replace(before, pending=(), before=None, replies=(), writing=False)
        if event.error:
            self._not_saved(before, event.error)
            return
        self._round.state = replace(self._round.state, saved=event.durable)
        roll = before.roll
        if roll is not None and before.writing:
            self._log_changes(before.before, roll)
        for order in before.pending:
            self._instances.carry_out(order)
        for client in before.replies:
            self._round.reply(client, views.roll_view(roll) if roll is not None else {})

    def _not_saved(self, state: State, error: str) -> None:
        round_ = self._round
        round_.log("cannot write the state", {"why": error}, "error")
        round_.state = replace(round_.state, save_again_at=round_.now + SAVE_RETRY_S)
        why = f"the plan cannot be written: {error}"
        if state.roll is not None and state.writing:
            previous = state.before
            if previous is not None and previous.id == state.roll.id:
                previous = pause(previous, why)
            round_.state = replace(round_.state, roll=previous)
        for client in state.replies:
            round_.reply(client, {"error": why}, 503)

    def _log_changes(self, before: Roll | None, roll: Roll) -> None:
        if before is not None and before.id != roll.id:
            before = None
        stages = {step.name: step.stage for step in before.steps} if before is not None else {}
        for step in roll.steps:
            if step.stage is stages.get(step.name, RollStage.WAITING):
                continue
            fields = {"instance": step.name, "roll": roll.id, "step": step.stage.value}
            if step.detail:
                fields["note"] = step.detail
            self._round.emit(LogEvent("roll step", fields))
        if before is None or before.mode is not roll.mode:
            self._log_mode(roll)

    def _log_mode(self, roll: Roll) -> None:
        fields: dict[str, Any] = {"roll": roll.id, "mode": roll.mode.value, "target": roll.target_version}
        if roll.reason:
            fields["why"] = roll.reason
        self._round.emit(LogEvent("roll", fields, "warning" if roll.mode is RollMode.PAUSED else "info"))
