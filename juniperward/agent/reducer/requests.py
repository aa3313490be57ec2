"""Handles requests of clients: the status, orders to instances, and commands to rolls."""

from __future__ import annotations

from dataclasses import replace
from http import HTTPStatus

from juniperward.agent import views
from juniperward.agent.events import ControlRequest
from juniperward.agent.reducer.instance_orders import InstanceOrders
from juniperward.agent.reducer.roll_options import DRY_RUN, roll_rules
from juniperward.agent.reducer.rolls import Rolls
from juniperward.agent.reducer.round import Round
from juniperward.agent.replies import DoneReply
from juniperward.fleet.roll_commands import check_not_over, end, pause, plan, resume, undo
from juniperward.fleet.roll_errors import (
    NoRollError,
    RollBeingSavedError,
    RollRejectedError,
    RollUnderWayError,
    UnknownInstanceError,
    UnknownVerbError,
)
from juniperward.fleet.roll_model import Roll, RollCommand, RollOrder, RollProgress


class Requests:
    """Carries out requests of clients, or replies why they are rejected."""

    def __init__(self, round_: Round, orders: InstanceOrders, rolls: Rolls) -> None:
        """Use `orders` for instances and `rolls` for the roll."""
        self._round, self._orders, self._rolls = round_, orders, rolls

    def requested(self, event: ControlRequest) -> None:
        """Carry out one request and send one reply; the reply to a change of the roll waits until it is stored."""
        round_ = self._round
        known = round_.state.instances
        if event.verb == "status":
            round_.reply(event.client, views.status(round_.state, round_.now))
            return
        unknown = [name for name in event.names if name not in known]
        if unknown:
            message = str(UnknownInstanceError(unknown))
            round_.reject(event.client, HTTPStatus.NOT_FOUND, message)
            return
        names = list(event.names or sorted(known))
        try:
            if event.verb.startswith("roll"):
                self._roll_requested(event, names)
                return
            for name in names:
                self._order(event.verb, name)
        except RollRejectedError as error:
            round_.reject(event.client, HTTPStatus.CONFLICT, str(error))
            return
        round_.reply(event.client, DoneReply(event.verb, tuple(names)))

    def _order(self, verb: str, name: str) -> None:
        match verb:
            case "start":
                self._orders.set_desired_running(name)
            case "stop":
                self._orders.set_desired_stopped(name, "stopped on request")
            case "kill" | "drain" | "resume":
                self._orders.carry_out(RollOrder(RollCommand(verb), name))
            case _:
                raise UnknownVerbError(verb)

    def _roll_requested(self, event: ControlRequest, names: list[str]) -> None:
        state = self._round.state
        if state.saving_roll:
            raise RollBeingSavedError
        if event.verb == "roll":
            self._new_roll(event, names)
        elif state.roll is None:
            raise NoRollError
        elif event.verb == "roll_show":
            self._round.reply(event.client, views.roll_view(state.roll))
        else:
            changed, orders = _apply_command(state.roll, event.verb)
            self._rolls.save(changed, orders, event.client)

    def _new_roll(self, event: ControlRequest, names: list[str]) -> None:
        state = self._round.state
        if state.roll is not None and not state.roll.over:
            raise RollUnderWayError(state.roll.id, state.roll.mode.value)
        rules = roll_rules(state.rules.roll, event.options, len(names))
        number = state.rolls_made + 1
        roll = plan(f"r{number}", state.configuration_version, names, rules, self._round.fleet())
        if event.options.get(DRY_RUN):
            self._round.reply(event.client, views.roll_view(roll))
            return
        self._round.state = replace(state, rolls_made=number)
        self._rolls.save(roll, [], event.client)


def _apply_command(roll: Roll, verb: str) -> RollProgress:
    """Return the roll after a client's command, and the orders to instances; raises RollRejectedError."""
    match verb:
        case "roll_pause":
            check_not_over(roll)
            return RollProgress(pause(roll, "paused on request"))
        case "roll_resume":
            return RollProgress(resume(roll))
        case "roll_undo":
            return undo(roll)
        case "roll_end":
            return end(roll)
        case _:
            raise UnknownVerbError(verb)
