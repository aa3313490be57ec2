"""What the agent begins with: the operator's settings, and what an earlier agent left behind."""

from __future__ import annotations

import signal
from dataclasses import replace

from juniperward.agent.messages import LogEvent, SendSignal, SettingsLoaded, StateRestored, WatchInstance
from juniperward.agent.reducer.instances import Instances
from juniperward.agent.reducer.round import Round
from juniperward.fleet.model import DesiredState, Instance, Process
from juniperward.fleet.roll_model import Roll, RollStage


class Configuration:
    """Takes in the settings, and the state of an earlier agent."""

    def __init__(self, round_: Round, instances: Instances) -> None:
        """Stop what the settings no longer name through `instances`."""
        self._round, self._instances = round_, instances

    def settings_loaded(self, event: SettingsLoaded) -> None:
        """Know the instances that the settings name; what they no longer name is stopped and forgotten."""
        round_ = self._round
        before = round_.state
        instances = before.instances
        for name in event.names:
            if name not in instances:
                wanted = DesiredState.STOPPED if name in event.stopped else DesiredState.RUNNING
                instances = instances.set(name, Instance(name, wanted))
        gone = frozenset(name for name in instances if name not in event.names)
        round_.state = replace(
            before,
            instances=instances,
            configuration_version=event.configuration_version,
            rules=event.rules,
            leaving=gone,
        )
        for name in sorted(gone):
            round_.log("taken out of the settings", {"instance": name})
            self._instances.want_stopped(name, "taken out of the settings")
        changed = before.configuration_version != event.configuration_version
        if before.configuration_version and changed:
            self._log_change(event.configuration_version, before.configuration_version, before.roll)
        if event.requested_by is not None:
            round_.reply(event.requested_by, {"edition": event.configuration_version, "changed": changed})

    def _log_change(self, configuration_version: str, before: str, roll: Roll | None) -> None:
        fields = {"edition": configuration_version, "before": before}
        if roll is not None and not roll.over:
            fields |= {"roll": roll.id, "goes_on_to": roll.target_version}
        self._round.log("settings changed", fields)

    def restored(self, event: StateRestored) -> None:
        """Take up what an earlier agent left. Orders it had sent its processes are sent again if need be."""
        round_, durable = self._round, event.durable
        running = {found.name for found in event.running}
        for instance in durable.instances:
            if instance.process is not None and instance.name not in running:
                instance = _ended_unseen(instance)
            round_.put(instance)
        for found in event.running:
            self._adopt(found.name, found.process, found.started_at, durable.roll)
        roll = durable.roll
        round_.state = replace(
            round_.state,
            roll=roll,
            rolls_made=durable.rolls_made,
            configuration_version=durable.configuration_version,
            saved=durable,
        )
        if roll is not None and not roll.over:
            round_.emit(LogEvent("roll taken up", {"roll": roll.id, "mode": roll.mode.value}))

    def _adopt(self, name: str, process: Process, started_at: float, roll: Roll | None) -> None:
        """Go on with a process that outlived the earlier agent."""
        round_ = self._round
        instance = round_.state.instances.get(name, Instance(name, DesiredState.RUNNING))
        same = instance.process == process
        if not same:
            # A version that was never written down belongs to a start that was under way.
            configuration_version = _version_being_started(roll, name) or instance.configuration_version
            instance = replace(
                instance, stopping_since=None, configuration_version=configuration_version, was_ready=False
            )
        round_.put(replace(instance, process=process, started_at=started_at))
        if instance.stopping_since is not None:
            # Ordered to end: ordered again, as that may not have reached it, and killed at the time set before.
            round_.emit(SendSignal(name, process, signal.SIGTERM))
        round_.emit(WatchInstance(name, process))
        round_.emit(LogEvent("adopted", {"instance": name, "pid": process.pid}))


def _ended_unseen(instance: Instance) -> Instance:
    """Return an instance whose process ended while no agent looked; how is not known, and held against nobody."""
    return replace(
        instance, process=None, was_ready=False, stopping_since=None, last_exit="ended while no agent looked"
    )


def _version_being_started(roll: Roll | None, name: str) -> str:
    """Return the configuration version that a roll under way would start this instance with, if it is at that."""
    if roll is None or roll.over:
        return ""
    step = roll.step_of(name)
    if step is None or step.stage not in (RollStage.STARTING, RollStage.SOAKING):
        return ""
    return roll.version_for(step)
