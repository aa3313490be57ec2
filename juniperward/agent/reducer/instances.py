"""What happens to an instance's process, and the orders that are carried out on it."""

from __future__ import annotations

import random
import signal
from dataclasses import replace

from juniperward.agent.messages import (
    InstanceAnswered,
    InstanceUnanswered,
    ProcessExited,
    ProcessSpawned,
    SendOrder,
    SendSignal,
    SpawnProcess,
    WatchInstance,
)
from juniperward.agent.reducer.round import Round
from juniperward.fleet.decisions import after_exit, should_kill, should_start
from juniperward.fleet.model import Crashes, DesiredState, Instance, Phase
from juniperward.fleet.roll_commands import skip_instance
from juniperward.fleet.roll_model import Roll, RollCommand, RollOrder, RollStage


class Instances:
    """Follows the instances, and carries orders out on them."""

    def __init__(self, round_: Round, seed: int) -> None:
        """Draw the jitter of restarts from a generator of its own."""
        self._round = round_
        self._random = random.Random(seed)

    # --- events --------------------------------------------------------------------------------------------

    def answered(self, event: InstanceAnswered) -> None:
        """Take in what an instance says of itself; an answer of an earlier process counts for nothing."""
        round_, reading = self._round, event.reading
        instance = round_.state.instances.get(event.name)
        if instance is None or instance.process is None or instance.process.pid != reading.pid:
            return
        was_ready = instance.was_ready or (reading.ready and reading.discovery_synced)
        if was_ready and not instance.was_ready:
            seconds = round(round_.now - instance.started_at, 3)
            round_.log("ready", {"instance": event.name, "seconds": seconds})
        elif instance.unanswered_since is not None and round_.phase_of(instance) is Phase.UNRESPONSIVE:
            round_.log("answers again", {"instance": event.name})
        round_.put(replace(instance, reading=reading, unanswered_since=None, was_ready=was_ready))

    def unanswered(self, event: InstanceUnanswered) -> None:
        """Remember since when an instance has not answered."""
        round_ = self._round
        instance = round_.state.instances.get(event.name)
        if instance is None or instance.process != event.process:
            return
        before = round_.phase_of(instance)
        since = instance.unanswered_since if instance.unanswered_since is not None else event.since
        instance = replace(instance, unanswered_since=since)
        round_.put(instance)
        if round_.phase_of(instance) is Phase.UNRESPONSIVE and before is not Phase.UNRESPONSIVE:
            round_.log("silent", {"instance": event.name, "why": event.text}, "warning")

    def exited(self, event: ProcessExited) -> None:
        """Decide what follows the end of a process."""
        instance = self._round.state.instances.get(event.name)
        if instance is not None and instance.process == event.process:
            self._ended(instance, event.how)

    def _ended(self, instance: Instance, how: str) -> None:
        round_ = self._round
        state = round_.state
        ended = after_exit(instance, round_.now, how, state.rules.restart, self._random.random())
        if instance.stopping_since is not None or instance.desired_state is DesiredState.STOPPED:
            round_.log("ended", {"instance": instance.name, "how": how})
        else:
            round_.log("crashed", {"instance": instance.name, "how": how}, "error")
        if ended.crashes.crash_loop and not instance.crashes.crash_loop:
            round_.log("failed", {"instance": instance.name, "why": ended.crashes.crash_loop}, "error")
        round_.emit(WatchInstance(instance.name, None))
        if instance.name in state.leaving:
            round_.state = state.without_instance(instance.name)
        else:
            round_.put(ended)

    def spawned(self, event: ProcessSpawned) -> None:
        """Take in a new process; one that cannot be started counts as crashed, so it is tried later and later."""
        round_ = self._round
        instance = round_.state.instances.get(event.name)
        if instance is None:
            return
        if event.process is None:
            instance = replace(instance, configuration_version=event.configuration_version)
            round_.put(instance)
            self._ended(instance, event.why)
            return
        fresh = Instance(
            instance.name,
            instance.desired_state,
            event.process,
            started_at=round_.now,
            configuration_version=event.configuration_version,
            drain_requested=instance.drain_requested,
            last_exit=instance.last_exit,
            crashes=replace(instance.crashes, restart_at=None),
        )
        round_.put(fresh)
        round_.emit(WatchInstance(event.name, event.process))
        fields = {
            "instance": event.name,
            "pid": event.process.pid,
            "edition": event.configuration_version,
        }
        round_.log("started", fields)

    # --- time ----------------------------------------------------------------------------------------------

    def supervise(self) -> None:
        """Start what is due, kill what does not end, drain again what came back meanwhile."""
        for instance in list(self._round.state.instances.values()):
            self._supervise(instance)

    def _supervise(self, instance: Instance) -> None:
        round_ = self._round
        state = round_.state
        if should_start(instance, round_.now) and not _started_by_roll(state.roll, instance):
            round_.put(replace(instance, crashes=replace(instance.crashes, restart_at=None)))
            round_.emit(
                SpawnProcess(instance.name, instance.configuration_version or state.configuration_version)
            )
        elif should_kill(instance, round_.now, state.rules.timeouts):
            round_.log("does not end", {"instance": instance.name}, "warning")
            self._kill(instance)
        elif _serves_though_drained(instance):
            round_.emit(SendOrder(instance.name, RollCommand.DRAIN.value))

    # --- orders --------------------------------------------------------------------------------------------

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
                self._kill(instance)
            case RollCommand.DRAIN | RollCommand.RESUME:
                self._send_order(instance, order.command)

    def _start(self, instance: Instance, configuration_version: str) -> None:
        if instance.process is not None or instance.desired_state is not DesiredState.RUNNING:
            return
        configuration_version = configuration_version or instance.configuration_version
        self._round.put(replace(instance, drain_requested=False, configuration_version=configuration_version))
        self._round.emit(
            SpawnProcess(instance.name, configuration_version or self._round.state.configuration_version)
        )

    def _terminate(self, instance: Instance) -> None:
        if instance.process is None or instance.stopping_since is not None:
            return
        self._round.put(replace(instance, stopping_since=self._round.now))
        self._round.emit(SendSignal(instance.name, instance.process, signal.SIGTERM))
        self._round.log("stopping", {"instance": instance.name})

    def _kill(self, instance: Instance) -> None:
        if instance.process is None or instance.kill_sent:
            return
        self._round.put(replace(instance, stopping_since=self._round.now, kill_sent=True))
        self._round.emit(SendSignal(instance.name, instance.process, signal.SIGKILL))
        self._round.log("killed", {"instance": instance.name}, "warning")

    def _send_order(self, instance: Instance, command: RollCommand) -> None:
        if instance.process is None:
            return
        drain = command is RollCommand.DRAIN
        self._round.put(replace(instance, drain_requested=drain))
        self._round.emit(SendOrder(instance.name, command.value))
        self._round.log("drain ordered" if drain else "resume ordered", {"instance": instance.name})

    def want_running(self, name: str) -> None:
        """Mean an instance to run, and forget its crashes."""
        instance = self._round.state.instances[name]
        self._round.put(replace(instance, desired_state=DesiredState.RUNNING, crashes=Crashes()))

    def want_stopped(self, name: str, why: str) -> None:
        """Mean an instance to be stopped; a roll under way has nothing more to do with it."""
        round_ = self._round
        roll = round_.state.roll
        if roll is not None and not roll.over:
            round_.state = replace(round_.state, roll=skip_instance(roll, name, why))
        instance = round_.state.instances[name]
        crashes = replace(instance.crashes, restart_at=None)
        instance = replace(instance, desired_state=DesiredState.STOPPED, crashes=crashes)
        round_.put(instance)
        self._terminate(instance)
        if instance.process is None and name in round_.state.leaving:
            round_.state = round_.state.without_instance(name)


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


def _serves_though_drained(instance: Instance) -> bool:
    """Whether an instance that was ordered to drain takes messages, as its process is a new one."""
    reading = instance.reading
    return (
        instance.drain_requested
        and instance.stopping_since is None
        and reading is not None
        and reading.phase == "serving"
    )
