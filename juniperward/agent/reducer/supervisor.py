"""What follows for instances from time alone: a restart after its backoff, SIGKILL, a drain ordered once more."""

from __future__ import annotations

from dataclasses import replace

from juniperward.agent.effects import SendOrder, SpawnProcess
from juniperward.agent.reducer.instance_orders import InstanceOrders
from juniperward.agent.reducer.round import Round
from juniperward.fleet.decisions import should_kill, should_start
from juniperward.fleet.model import Instance
from juniperward.fleet.roll_model import Roll, RollCommand, RollStage

SERVING = "serving"  # the phase that an instance reports while it accepts messages


class Supervisor:
    """Looks at each instance once a tick."""

    def __init__(self, round_: Round, orders: InstanceOrders) -> None:
        """Kill through `orders`."""
        self._round, self._orders = round_, orders

    def supervise(self) -> None:
        """Bring each instance a step nearer to what it is meant to be."""
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
        elif _serves_despite_drain(instance):
            round_.emit(SendOrder(instance.name, RollCommand.DRAIN.value))


def _started_by_roll(roll: Roll | None, instance: Instance) -> bool:
    """Whether a roll is to start this one, after a stop that it ordered itself."""
    if roll is None or roll.over:
        return False
    step = roll.step_of(instance.name)
    if step is None:
        return False
    if step.stage is RollStage.STARTING:
        return not instance.crashes.consecutive
    return step.stage in (RollStage.DRAINING, RollStage.STOPPING)


def _serves_despite_drain(instance: Instance) -> bool:
    """Whether an instance that was ordered to drain accepts messages, as its process is a new one."""
    reading = instance.reading
    return (
        instance.drain_requested
        and instance.stopping_since is None
        and reading is not None
        and reading.phase == SERVING
    )
