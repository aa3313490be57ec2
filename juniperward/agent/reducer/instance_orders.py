"""The orders that are carried out on instances: of clients, of a roll and of the supervisor."""

from __future__ import annotations

import signal
from dataclasses import replace

from juniperward.agent.effects import SendOrder, SendSignal, SpawnProcess
from juniperward.agent.reducer.round import Round
from juniperward.fleet.model import Crashes, DesiredState, Instance
from juniperward.fleet.roll_commands import skip_instance
from juniperward.fleet.roll_model import RollCommand, RollOrder


class InstanceOrders:
    """Carries orders out on instances, and changes what they are meant to be."""

    def __init__(self, round_: Round) -> None:
        """Emit the effects into `round_`."""
        self._round = round_

    def carry_out(self, order: RollOrder) -> None:
        """Carry an order out, unless it has been: orders may come twice."""
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
        """End an instance's process by SIGKILL, unless that was done."""
        if instance.process is None or instance.kill_sent:
            return
        self._round.put(replace(instance, stopping_since=self._round.now, kill_sent=True))
        self._round.emit(SendSignal(instance.name, instance.process, signal.SIGKILL))
        self._round.log("killed", {"instance": instance.name}, "warning")

    def set_desired_running(self, name: str) -> None:
        """Have an instance run, and forget its crashes."""
        instance = self._round.state.instances[name]
        self._round.put(replace(instance, desired_state=DesiredState.RUNNING, crashes=Crashes()))

    def set_desired_stopped(self, name: str, why: str) -> None:
        """Have an instance stopped; a roll under way skips it."""
        round_ = self._round
        roll = round_.state.roll
        if roll is not None and not roll.over:
            round_.state = replace(round_.state, roll=skip_instance(roll, name, why))
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
        self._round.emit(SendOrder(instance.name, command.value))
        self._round.log("drain ordered" if drain else "resume ordered", {"instance": instance.name})
