"""The agent's loop: passes queued events to the reducer and has its effects carried out."""

from __future__ import annotations

import queue
import time
from http import HTTPStatus
from typing import Any

import structlog

from juniperward.agent import processes
from juniperward.agent.effect_executor import EffectExecutor, ReplyFunction
from juniperward.agent.effects import Effect
from juniperward.agent.events import (
    ControlRequest,
    Event,
    RunningProcess,
    SettingsLoaded,
    StateRestored,
    Tick,
)
from juniperward.agent.log import EventLog
from juniperward.agent.processes import Launcher
from juniperward.agent.reducer import Reducer
from juniperward.agent.replies import ApiResponse, ErrorReply
from juniperward.agent.state import Rules
from juniperward.agent.store import StateStore
from juniperward.agent.watch import Watcher
from juniperward.settings.configuration_versions import ConfigurationVersions
from juniperward.settings.load import FleetSettings

TICK_INTERVAL_S = 0.1
LOG_SIZE_CHECK_INTERVAL_S = 5.0
MAX_EVENTS_PER_ROUND = 1000
MIN_POLL_INTERVAL_S = 0.2
# The poll interval grows with the number of instances, which bounds the CPU time of the agent.
POLL_INTERVAL_PER_INSTANCE_S = 0.005


class Loop:
    """Owns the reducer; other threads only post events."""

    def __init__(self, settings: FleetSettings, store: StateStore, seed: int) -> None:
        """Start with an empty state; `begin` restores the one in `store`. `seed` seeds the jitter of restarts."""
        self.settings, self._store = settings, store
        self.reducer = Reducer(seed)
        self.launcher = Launcher(settings.folder)
        self.event_log = EventLog()
        self.events: queue.SimpleQueue[Event] = queue.SimpleQueue()
        self.ended = False
        self._versions = ConfigurationVersions(settings.folder / "editions")
        self._executor = EffectExecutor(
            store, self.launcher, self._versions, self._new_watcher, self.log_event
        )
        self._log = structlog.get_logger()
        self._next_log_check_at = 0.0

    def post(self, event: Event) -> None:
        """Queue an event for the loop; thread-safe."""
        self.events.put(event)

    def set_reply_function(self, reply: ReplyFunction) -> None:
        """Set the function that sends replies to clients."""
        self._executor.reply = reply

    def begin(self) -> None:
        """Restore the stored state, adopt the instances that run, and apply the settings; raises OSError."""
        stored, problems = self._store.load()
        for problem in problems:
            self.log_event("state file damaged", "error", {"why": problem})
        running = processes.find_instances(self.launcher.mark)
        for instance in stored.instances:
            if instance.process is not None and processes.alive(instance.process):
                running[instance.name] = instance.process
        now = time.monotonic()
        adopted = [
            RunningProcess(name, p, min(processes.started_at(p), now)) for name, p in sorted(running.items())
        ]
        self.round([StateRestored(stored, tuple(adopted))])
        self.round([self.store_settings(self.settings)])

    def store_settings(self, settings: FleetSettings, requested_by: int | None = None) -> SettingsLoaded:
        """Use these settings and store them as a configuration version; return the event for the reducer.

        Raises OSError if they cannot be stored; the settings in use stay.
        """
        state = self.reducer.state
        in_use = {instance.configuration_version for instance in state.instances.values()}
        if state.roll is not None:
            in_use |= {state.roll.target_version} | {step.previous_version for step in state.roll.steps}
        version = self._versions.save(settings, in_use)
        self.settings = settings
        return SettingsLoaded(
            tuple(instance.name for instance in settings.instances),
            frozenset(instance.name for instance in settings.instances if instance.stopped),
            version,
            Rules(settings.restart, settings.timeouts, settings.roll),
            requested_by,
        )

    def run(self) -> None:
        """Run until `ended` is set; the instances keep running."""
        tick_at = time.monotonic()
        while not self.ended:
            now = time.monotonic()
            if now >= tick_at:
                tick_at = now + TICK_INTERVAL_S
                self.round([Tick()])
                self._rotate_logs_periodically(now)
            self.round(self._next_events(tick_at))

    def _next_events(self, until: float) -> list[Event]:
        """Wait for an event until `until`; return those queued by then, at most MAX_EVENTS_PER_ROUND."""
        events: list[Event] = []
        try:
            events.append(self.events.get(timeout=max(until - time.monotonic(), 0.0)))
            while len(events) < MAX_EVENTS_PER_ROUND:
                events.append(self.events.get_nowait())
        except queue.Empty:
            pass
        return events

    def round(self, events: list[Event]) -> None:
        """Reduce events and carry out the effects, then do the same with the events that report their outcome."""
        while events:
            outcomes = (self._execute(effect) for effect in self._reduce(events))
            events = [event for event in outcomes if event is not None]

    def _reduce(self, events: list[Event]) -> list[Effect]:
        """Return the effects of the events; if the reducer raises, those that it has emitted until then."""
        try:
            return self.reducer.reduce(time.monotonic(), events)
        except Exception as error:
            self.log_event("unexpected error", "error", {"where": "reducer", "error": repr(error)})
            for event in events:
                if isinstance(event, ControlRequest) and self._executor.reply is not None:
                    body = ErrorReply(f"internal error: {error!r}")
                    self._executor.reply(event.client, ApiResponse(HTTPStatus.INTERNAL_SERVER_ERROR, body))
            return self.reducer.effects

    def _execute(self, effect: Effect) -> Event | None:
        try:
            return self._executor.execute(effect)
        except Exception as error:
            self.log_event(
                "unexpected error", "error", {"where": type(effect).__name__, "error": repr(error)}
            )
            return None

    def log_event(self, event: str, level: str, fields: dict[str, Any]) -> None:
        """Log an event, and add it to the latest events that clients can read; thread-safe."""
        self.event_log.add(event, level, fields)
        getattr(self._log, level)(event, **fields)

    def _new_watcher(self, name: str) -> Watcher:
        path = self.settings.folder / "run" / name
        interval_s = max(MIN_POLL_INTERVAL_S, POLL_INTERVAL_PER_INSTANCE_S * len(self.settings.instances))
        return Watcher(name, path, interval_s, self.post)

    def _rotate_logs_periodically(self, now: float) -> None:
        """Rotate the logs that are larger than the settings allow."""
        if now < self._next_log_check_at:
            return
        self._next_log_check_at = now + LOG_SIZE_CHECK_INTERVAL_S
        for name in self.reducer.state.instances:
            try:
                if self.launcher.rotate(name, self.settings.log_bytes, self.settings.log_files_retained):
                    self.log_event("log rotated", "info", {"instance": name})
            except OSError as error:
                self.log_event("log rotation failed", "warning", {"instance": name, "why": str(error)})
