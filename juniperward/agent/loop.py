"""The agent's loop: events to the reducer, its effects to disk, processes, watchers and clients."""

from __future__ import annotations

import queue
import time
from collections.abc import Callable
from typing import Any

import structlog

from juniperward.agent import processes
from juniperward.agent.log import Events
from juniperward.agent.messages import (
    ControlRequest,
    Effect,
    Event,
    LogEvent,
    ProcessSpawned,
    ReplyToClient,
    Rules,
    SaveState,
    SendOrder,
    SendSignal,
    SettingsLoaded,
    SpawnProcess,
    StateRestored,
    StateSaved,
    Tick,
    WatchInstance,
)
from juniperward.agent.processes import Launcher
from juniperward.agent.reducer import Reducer
from juniperward.agent.store import StateStore
from juniperward.agent.watch import Watcher
from juniperward.settings.configuration_versions import ConfigurationVersions
from juniperward.settings.load import FleetSettings

TICK = 0.1  # seconds between looks at what is due
AT_ONCE = 1000
ROTATE = 5.0  # seconds between looks at the logs' sizes


class Loop:
    """Owns the reducer; everything else only posts events to it."""

    def __init__(self, settings: FleetSettings, store: StateStore, seed: int) -> None:
        self.settings, self.store = settings, store
        self.reducer = Reducer(seed)
        self.launcher = Launcher(settings.folder)
        self.editions = ConfigurationVersions(settings.folder / "editions")
        self.events: queue.SimpleQueue[Event] = queue.SimpleQueue()
        self.notes = Events()
        self.log = structlog.get_logger()
        self.watchers: dict[str, Watcher] = {}
        self.reply: Callable[[int, int, dict[str, Any]], None] = lambda client, status, body: None
        self.follow: list[Event] = []
        self.rotate_at = 0.0
        self.ended = False

    def post(self, event: Event) -> None:
        """Any thread may call this."""
        self.events.put(event)

    def begin(self) -> None:
        """Take up what an earlier agent left: its state, its processes, its roll."""
        durable, told = self.store.load()
        for text in told:
            self.note("state file is damaged", "error", {"why": text})
        running = processes.find(self.launcher.mark)
        for i in durable.instances:
            if i.process is not None and processes.alive(i.process):
                running[i.name] = i.process
        now = time.monotonic()
        started = [(name, p, min(processes.started_at(p), now)) for name, p in sorted(running.items())]
        self.round([StateRestored(durable, tuple(started))])
        self.round([self.configured(self.settings)])

    def configured(self, settings: FleetSettings, asked_by: int | None = None) -> SettingsLoaded:
        """Keep the settings as an edition and tell the reducer; raises OSError."""
        s = self.reducer.state
        in_use = {i.edition for i in s.instances.values()} | ({s.roll.target} if s.roll else set())
        if s.roll is not None:
            in_use |= {x.before for x in s.roll.steps}
        edition = self.editions.keep(settings, in_use)
        self.settings = settings
        return SettingsLoaded(
            tuple(i.name for i in settings.instances),
            frozenset(i.name for i in settings.instances if i.stopped),
            edition,
            Rules(settings.restart, settings.patience, settings.roll),
            asked_by,
        )

    def run(self) -> None:
        """Go on until told to end; the instances go on after it."""
        due = time.monotonic()
        while not self.ended:
            now = time.monotonic()
            if now >= due:
                due = now + TICK
                self.round([Tick()])
                if now >= self.rotate_at:
                    self.rotate_at = now + ROTATE
                    self._rotate()
            events: list[Event] = []
            try:
                events.append(self.events.get(timeout=max(due - time.monotonic(), 0.0)))
                while len(events) < AT_ONCE:
                    events.append(self.events.get_nowait())
            except queue.Empty:
                pass
            self.round(events)

    def round(self, events: list[Event]) -> None:
        """Reduce, and carry out what follows until nothing more follows at once."""
        while events:
            try:
                effects = self.reducer.reduce(time.monotonic(), events)
            except Exception as error:
                self.note("unexpected", "error", {"where": "reducer", "error": repr(error)})
                effects = self.reducer.effects
                for e in events:
                    if isinstance(e, ControlRequest):
                        self.reply(e.client, 500, {"error": f"unexpected: {error!r}"})
            self.follow = []
            for effect in effects:
                try:
                    self._perform(effect)
                except Exception as error:
                    what = type(effect).__name__
                    self.note("unexpected", "error", {"where": what, "error": repr(error)})
            events = self.follow

    def note(self, event: str, level: str, fields: dict[str, Any]) -> None:
        """A line of the log, kept as an event."""
        self.notes.add(event, level, fields)
        getattr(self.log, level)(event, **fields)

    def _perform(self, effect: Effect) -> None:
        match effect:
            case SaveState(durable=durable):
                error = ""
                try:
                    self.store.save(durable)
                except OSError as failure:
                    error = failure.strerror or str(failure)
                self.follow.append(StateSaved(durable, error))
            case SpawnProcess(name=name, edition=edition):
                try:
                    process = self.launcher.start(name, self.editions.read(edition, name))
                    self.follow.append(ProcessSpawned(name, edition, process))
                except (OSError, ValueError, KeyError) as failure:
                    self.follow.append(ProcessSpawned(name, edition, None, f"cannot be started: {failure}"))
            case SendSignal(name=name, process=process, signal=number):
                if not processes.send(process, number):
                    self.note("signal found no process", "warning", {"instance": name, "pid": process.pid})
            case SendOrder(name=name, verb=verb):
                self._watcher(name).tell(verb)
            case WatchInstance(name=name, process=process):
                self._watcher(name).watch(process)
            case ReplyToClient(client=client, status=status, body=body):
                self.reply(client, status, body)
            case LogEvent(event=event, fields=fields, level=level):
                self.note(event, level, fields)

    def _watcher(self, name: str) -> Watcher:
        if name not in self.watchers:
            path = self.settings.folder / "run" / name
            every = max(0.2, 0.005 * len(self.settings.instances))
            self.watchers[name] = Watcher(name, path, every, self.post)
            self.watchers[name].start()
        return self.watchers[name]

    def _rotate(self) -> None:
        for name in self.reducer.state.instances:
            try:
                if self.launcher.rotate(name, self.settings.log_bytes, self.settings.log_keep):
                    self.note("log rotated", "info", {"instance": name})
            except OSError as error:
                self.note("log cannot be rotated", "warning", {"instance": name, "why": str(error)})
