"""Applies the operator's settings and restores the state that an earlier agent stored."""

from __future__ import annotations

import signal
from dataclasses import replace

from juniperward.agent.effects import LogEvent, SendSignal, WatchInstance
from juniperward.agent.events import RunningProcess, SettingsLoaded, StateRestored
from juniperward.agent.reducer.instance_orders import InstanceOrders
from juniperward.agent.reducer.round import Round
from juniperward.agent.replies import SettingsReply
from juniperward.fleet.model import DesiredState, Instance
from juniperward.fleet.roll_model import Roll, RollStage

REMOVED = "removed from settings"


class Configuration:
    """Applies settings and restores stored state."""

    def __init__(self, round_: Round, orders: InstanceOrders) -> None:
        """Use `orders` to stop instances that are removed from the settings."""
        self._round, self._orders = round_, orders

    def settings_loaded(self, event: SettingsLoaded) -> None:
        """Add the instances that the settings name; stop those that they no longer name, then delete them."""
        round_ = self._round
        before = round_.state
        instances = before.instances
        for name in event.names:
            if name not in instances:
                desired = DesiredState.STOPPED if name in event.stopped else DesiredState.RUNNING
                instances = instances.set(name, Instance(name, desired))
        removed = frozenset(name for name in instances if name not in event.names)
        round_.state = replace(
            before,
            instances=instances,
            configuration_version=event.configuration_version,
            rules=event.rules,
            removed=removed,
        )
        for name in sorted(removed):
            round_.log(REMOVED, {"instance": name})
            self._orders.set_desired_stopped(name, REMOVED)
        self._report_change(event, before.configuration_version)

    def _report_change(self, event: SettingsLoaded, previous_version: str) -> None:
        """Log a new version of the settings, and answer the client that requested the reload, if any."""
        version = event.configuration_version
        changed = previous_version != version
        if previous_version and changed:
            fields = {"edition": version, "before": previous_version}
            roll = self._round.state.roll
            if roll is not None and not roll.over:
                fields |= {"roll": roll.id, "goes_on_to": roll.target_version}
            self._round.log("settings changed", fields)
        if event.requested_by is not None:
            self._round.reply(event.requested_by, SettingsReply(version, changed))

    def restored(self, event: StateRestored) -> None:
        """Restore the state of an earlier agent and adopt its running processes.

        An instance that was being stopped is sent SIGTERM again, as the first signal may not have been sent.
        """
        round_, stored = self._round, event.state
        running = {found.name for found in event.running}
        for instance in stored.instances:
            if instance.process is not None and instance.name not in running:
                instance = _exited_while_agent_was_down(instance)
            round_.put(instance)
        for found in event.running:
            self._adopt(found, stored.roll)
        roll = stored.roll
        round_.state = replace(
            round_.state,
            roll=roll,
            rolls_made=stored.rolls_made,
            configuration_version=stored.configuration_version,
            last_saved=stored,
        )
        if roll is not None and not roll.over:
            round_.emit(LogEvent("roll continued", {"roll": roll.id, "mode": roll.mode.value}))

    def _adopt(self, found: RunningProcess, roll: Roll | None) -> None:
        """Take over a process that an earlier agent started."""
        round_, name, process = self._round, found.name, found.process
        instance = round_.state.instances.get(name, Instance(name, DesiredState.RUNNING))
        if instance.process != process:
            # The earlier agent exited before it stored this start; the roll may say which version was started.
            version = _version_being_started(roll, name) or instance.configuration_version
            instance = replace(instance, stopping_since=None, configuration_version=version, was_ready=False)
        round_.put(replace(instance, process=process, started_at=found.started_at))
        if instance.stopping_since is not None:
            # SIGTERM may not have been sent. The time of SIGKILL still counts from the first stop.
            round_.emit(SendSignal(name, process, signal.SIGTERM))
        round_.emit(WatchInstance(name, process))
        round_.emit(LogEvent("adopted", {"instance": name, "pid": process.pid}))


def _exited_while_agent_was_down(instance: Instance) -> Instance:
    """Return the instance without its process; the exit reason is unknown, so it does not count as a crash."""
    return replace(
        instance,
        process=None,
        was_ready=False,
        stopping_since=None,
        last_exit="exited while no agent was running",
    )


def _version_being_started(roll: Roll | None, name: str) -> str:
    """Return the configuration version with which a roll is starting this instance, or an empty string."""
    if roll is None or roll.over:
        return ""
    step = roll.step_of(name)
    if step is None or step.stage not in (RollStage.STARTING, RollStage.SOAKING):
        return ""
    return roll.version_for(step)
