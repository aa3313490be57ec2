"""Supervises instances on each tick: restarts after the backoff, SIGKILL after the stop timeout, lost drains."""

from __future__ import annotations

from dataclasses import replace

from juniperward.agent.effects import SendOrder, SpawnProcess
from juniperward.agent.reducer.instance_orders import InstanceOrders
from juniperward.agent.reducer.round import Round
from juniperward.fleet.decisions import should_kill, should_start
from juniperward.fleet.model import Instance
from juniperward.fleet.roll_model import Roll, RollCommand, RollStage

# The phase that an instance reports while it accepts messages.
SERVING_PHASE = "serving"


class Supervisor:
    """Restarts, kills and drains instances when they are due."""

    def __init__(self, round_: Round, orders: InstanceOrders) -> None:
        """Use `orders` to kill instances."""
        self._round, self._orders = round_, orders

    def supervise(self) -> None:
        """Take the next step, if any, that brings each instance to its desired state."""
        for instance in list(self._round.state.instances.values()):
            self._supervise(instance)

    def _supervise(self, instance: Instance) -> None:
        round_ = self._round
        state = round_.state
        if should_start(instance, round_.now) and not _started_by_roll(state.roll, instance):
            round_.put(replace(instance, crashes=replace(instance.crashes, restart_at=None)))
            version = instance.configuration_version or state.configuration_version
            round_.emit(SpawnProcess(instance.name, version))
        elif should_kill(instance, round_.now, state.rules.timeouts):
            round_.log("stop timed out", {"instance": instance.name}, "warning")
            self._orders.kill(instance)
        elif instance.process is not None and _serves_despite_drain(instance):
            round_.emit(SendOrder(instance.name, instance.process, RollCommand.DRAIN.value))


def _started_by_roll(roll: Roll | None, instance: Instance) -> bool:
    """Return whether the roll stopped this instance and will start it itself."""
    if roll is None or roll.over:
        return False
    step = roll.step_of(instance.name)
    if step is None:
        return False
    if step.stage is RollStage.STARTING:
        return not instance.crashes.consecutive
    return step.stage in (RollStage.DRAINING, RollStage.STOPPING)


def _serves_despite_drain(instance: Instance) -> bool:
    """Return whether an instance accepts messages despite a drain order, as after a restart of its process."""
    reading = instance.reading
    return (
        instance.drain_requested
        and instance.stopping_since is None
        and reading is not None
        and reading.phase == SERVING_PHASE
    )
