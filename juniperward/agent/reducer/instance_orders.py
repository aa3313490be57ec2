"""Carries out orders to instances, which come from clients, rolls and the supervisor."""

from __future__ import annotations

import signal
from dataclasses import replace

from juniperward.agent.effects import SendOrder, SendSignal, SpawnProcess
from juniperward.agent.reducer.round import Round
from juniperward.fleet.model import Crashes, DesiredState, Instance
from juniperward.fleet.roll_commands import skip_instance
from juniperward.fleet.roll_model import RollCommand, RollOrder


class InstanceOrders:
    """Carries out orders to instances, and sets their desired state."""

    def __init__(self, round_: Round) -> None:
        """Change the state of `round_` and emit effects to it."""
        self._round = round_

    def carry_out(self, order: RollOrder) -> None:
        """Carry out an order; one that is already carried out, or names no known instance, has no effect."""
        instance = self._round.state.instances.get(order.name)
        if instance is None:
            return
        match order.command:
            case RollCommand.START:
                self._start(instance, order.configuration_version)
            case RollCommand.STOP:
                self._terminate(instance)
            case RollCommand.KILL:
                self.kill(instance)
            case RollCommand.DRAIN | RollCommand.RESUME:
                self._send_order(instance, order.command)

    def kill(self, instance: Instance) -> None:
        """Send SIGKILL to an instance's process, unless it was sent before."""
        if instance.process is None or instance.kill_sent:
            return
        self._round.put(replace(instance, stopping_since=self._round.now, kill_sent=True))
        self._round.emit(SendSignal(instance.name, instance.process, signal.SIGKILL))
        self._round.log("killed", {"instance": instance.name}, "warning")

    def set_desired_running(self, name: str) -> None:
        """Set the desired state to running, and clear the crash history."""
        instance = self._round.state.instances[name]
        self._round.put(replace(instance, desired_state=DesiredState.RUNNING, crashes=Crashes()))

    def set_desired_stopped(self, name: str, reason: str) -> None:
        """Set the desired state to stopped and send SIGTERM; an active roll skips the instance, with this reason."""
        round_ = self._round
        roll = round_.state.roll
        if roll is not None and not roll.over:
            round_.state = replace(round_.state, roll=skip_instance(roll, name, reason))
        instance = round_.state.instances[name]
        crashes = replace(instance.crashes, restart_at=None)
        instance = replace(instance, desired_state=DesiredState.STOPPED, crashes=crashes)
        round_.put(instance)
        self._terminate(instance)
        if instance.process is None and name in round_.state.removed:
            round_.state = round_.state.without_instance(name)

    def _start(self, instance: Instance, configuration_version: str) -> None:
        if instance.process is not None or instance.desired_state is not DesiredState.RUNNING:
            return
        version = configuration_version or instance.configuration_version
        self._round.put(replace(instance, drain_requested=False, configuration_version=version))
        self._round.emit(SpawnProcess(instance.name, version or self._round.state.configuration_version))

    def _terminate(self, instance: Instance) -> None:
        if instance.process is None or instance.stopping_since is not None:
            return
        self._round.put(replace(instance, stopping_since=self._round.now))
        self._round.emit(SendSignal(instance.name, instance.process, signal.SIGTERM))
        self._round.log("stopping", {"instance": instance.name})

    def _send_order(self, instance: Instance, command: RollCommand) -> None:
        if instance.process is None:
            return
        drain = command is RollCommand.DRAIN
        self._round.put(replace(instance, drain_requested=drain))
        self._round.emit(SendOrder(instance.name, instance.process, command.value))
        self._round.log("drain ordered" if drain else "resume ordered", {"instance": instance.name})
