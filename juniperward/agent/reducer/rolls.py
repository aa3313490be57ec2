"""Advances the active roll and stores each change before its orders are carried out.

If a change cannot be stored, its orders are dropped and the roll returns to its previous state, paused.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from http import HTTPStatus
from typing import Any

from juniperward.agent import views
from juniperward.agent.effects import LogEvent, SaveState
from juniperward.agent.events import StateSaved
from juniperward.agent.reducer.instance_orders import InstanceOrders
from juniperward.agent.reducer.round import Round
from juniperward.agent.state import State
from juniperward.fleet.roll_commands import pause
from juniperward.fleet.roll_model import Roll, RollMode, RollOrder, RollStage
from juniperward.fleet.roll_progress import advance

SAVE_RETRY_DELAY_S = 1.0


class Rolls:
    """Advances the roll and stores its changes."""

    def __init__(self, round_: Round, orders: InstanceOrders) -> None:
        """Use `orders` to carry out the roll's orders."""
        self._round, self._orders = round_, orders

    def advance(self) -> None:
        """Advance the roll as far as the state of the fleet allows, unless a change is being stored."""
        roll = self._round.state.roll
        if roll is None or roll.over or self._round.state.saving_roll:
            return
        changed, orders = advance(roll, self._round.fleet())
        if changed != roll:
            self.save(changed, orders)
            return
        for order in orders:
            self._orders.carry_out(order)

    def save(self, changed: Roll, orders: Sequence[RollOrder], client: int | None = None) -> None:
        """Store a changed roll; once it is stored, `saved` carries out `orders` and answers `client`."""
        state = self._round.state
        self._round.state = replace(
            state,
            roll=changed,
            saving_roll=True,
            roll_before_save=state.roll_before_save if state.saving_roll else state.roll,
            pending_orders=(*state.pending_orders, *orders),
            waiting_clients=state.waiting_clients if client is None else (*state.waiting_clients, client),
        )
        self._round.emit(SaveState(self._round.state.persistent()))

    def saved(self, event: StateSaved) -> None:
        """Carry out the orders of a stored roll; if it could not be stored, restore the previous one."""
        before = self._round.state
        self._round.state = replace(
            before, saving_roll=False, roll_before_save=None, pending_orders=(), waiting_clients=()
        )
        if event.error:
            self._save_failed(before, event.error)
            return
        self._round.state = replace(self._round.state, last_saved=event.state)
        roll = before.roll
        if roll is None or not before.saving_roll:
            return
        self._log_changes(before.roll_before_save, roll)
        for order in before.pending_orders:
            self._orders.carry_out(order)
        for client in before.waiting_clients:
            self._round.reply(client, views.roll_view(roll))

    def _save_failed(self, before: State, error: str) -> None:
        round_ = self._round
        round_.log("state not saved", {"why": error}, "error")
        round_.state = replace(round_.state, save_retry_at=round_.now + SAVE_RETRY_DELAY_S)
        reason = f"the roll cannot be stored: {error}"
        if before.roll is not None and before.saving_roll:
            previous = before.roll_before_save
            if previous is not None and previous.id == before.roll.id:
                previous = pause(previous, reason)
            round_.state = replace(round_.state, roll=previous)
        for client in before.waiting_clients:
            round_.reject(client, HTTPStatus.SERVICE_UNAVAILABLE, reason)

    def _log_changes(self, before: Roll | None, roll: Roll) -> None:
        """Log the new stage of each instance, and the new mode of the roll."""
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
