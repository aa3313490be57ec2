"""Tracks the observed status of instances: their answers, and the start and exit of their processes."""

from __future__ import annotations

import random
from dataclasses import replace

from juniperward.agent.effects import WatchInstance
from juniperward.agent.events import InstanceAnswered, InstanceUnanswered, ProcessExited, ProcessSpawned
from juniperward.agent.reducer.round import Round
from juniperward.fleet.decisions import after_exit
from juniperward.fleet.model import DesiredState, Instance, Phase, Process


class InstanceStatus:
    """Updates instances from polls of their status and from events of their processes."""

    def __init__(self, round_: Round, seed: int) -> None:
        """Seed the random generator that draws the jitter of restarts."""
        self._round = round_
        self._random = random.Random(seed)

    def answered(self, event: InstanceAnswered) -> None:
        """Record the status that an instance reports; ignore an answer of another process."""
        round_, reading = self._round, event.reading
        instance = round_.state.instances.get(event.name)
        if instance is None or instance.process is None or instance.process.pid != reading.pid:
            return
        was_ready = instance.was_ready or (reading.ready and reading.discovery_synced)
        if was_ready and not instance.was_ready:
            seconds = round(round_.now - instance.started_at, 3)
            round_.log("ready", {"instance": event.name, "seconds": seconds})
        elif instance.unanswered_since is not None and round_.phase_of(instance) is Phase.UNRESPONSIVE:
            round_.log("responsive again", {"instance": event.name})
        round_.put(replace(instance, reading=reading, unanswered_since=None, was_ready=was_ready))

    def unanswered(self, event: InstanceUnanswered) -> None:
        """Record since when an instance has not answered, and log when it becomes unresponsive."""
        round_ = self._round
        instance = round_.state.instances.get(event.name)
        if instance is None or instance.process != event.process:
            return
        phase_before = round_.phase_of(instance)
        since = instance.unanswered_since if instance.unanswered_since is not None else event.since
        instance = replace(instance, unanswered_since=since)
        round_.put(instance)
        if round_.phase_of(instance) is Phase.UNRESPONSIVE and phase_before is not Phase.UNRESPONSIVE:
            round_.log("unresponsive", {"instance": event.name, "why": event.error}, "warning")

    def exited(self, event: ProcessExited) -> None:
        """Record the exit of a process; after a crash, schedule a restart or mark a crash loop."""
        instance = self._round.state.instances.get(event.name)
        if instance is not None and instance.process == event.process:
            self._process_ended(instance, event.exit_reason)

    def spawned(self, event: ProcessSpawned) -> None:
        """Record a new process; a failed start counts as a crash, so that it is retried after a backoff."""
        round_ = self._round
        instance = round_.state.instances.get(event.name)
        if instance is None:
            return
        if event.process is None:
            instance = replace(instance, configuration_version=event.configuration_version)
            round_.put(instance)
            self._process_ended(instance, event.error)
            return
        self._process_started(instance, event.process, event.configuration_version)

    def _process_started(self, instance: Instance, process: Process, configuration_version: str) -> None:
        round_ = self._round
        started = Instance(
            instance.name,
            instance.desired_state,
            process,
            started_at=round_.now,
            configuration_version=configuration_version,
            drain_requested=instance.drain_requested,
            last_exit=instance.last_exit,
            crashes=replace(instance.crashes, restart_at=None),
        )
        round_.put(started)
        round_.emit(WatchInstance(instance.name, process))
        fields = {"instance": instance.name, "pid": process.pid, "edition": configuration_version}
        round_.log("started", fields)

    def _process_ended(self, instance: Instance, exit_reason: str) -> None:
        round_ = self._round
        state = round_.state
        ended = after_exit(instance, round_.now, exit_reason, state.rules.restart, self._random.random())
        fields = {"instance": instance.name, "how": exit_reason}
        if instance.stopping_since is not None or instance.desired_state is DesiredState.STOPPED:
            round_.log("process exited", fields)
        else:
            round_.log("crashed", fields, "error")
        crash_loop = ended.crashes.crash_loop
        if crash_loop and not instance.crashes.crash_loop:
            round_.log("crash loop", {"instance": instance.name, "why": crash_loop}, "error")
        round_.emit(WatchInstance(instance.name, None))
        if instance.name in state.removed:
            round_.state = state.without_instance(instance.name)
        else:
            round_.put(ended)
