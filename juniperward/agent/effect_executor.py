"""Carries out the effects of the agent's reducer: saves, processes, signals, orders, replies and log events."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from juniperward.agent import processes
from juniperward.agent.effects import (
    Effect,
    LogEvent,
    ReplyToClient,
    SaveState,
    SendOrder,
    SendSignal,
    SpawnProcess,
    WatchInstance,
)
from juniperward.agent.events import Event, ProcessSpawned, StateSaved
from juniperward.agent.processes import Launcher
from juniperward.agent.replies import ApiResponse
from juniperward.agent.store import StateStore
from juniperward.agent.watch import Watcher
from juniperward.settings.configuration_versions import ConfigurationVersions

# Takes the event, the level and the fields.
LogFunction = Callable[[str, str, dict[str, Any]], None]
# Takes the number of the client and the response.
ReplyFunction = Callable[[int, ApiResponse], None]


class EffectExecutor:
    """Carries out effects on the loop's thread; not thread-safe.

    Attributes:
        reply: Sends a response to a client; while it is None, replies are dropped.

    """

    def __init__(
        self,
        store: StateStore,
        launcher: Launcher,
        versions: ConfigurationVersions,
        new_watcher: Callable[[str], Watcher],
        log: LogFunction,
    ) -> None:
        """Use `new_watcher` to create the watcher of an instance at the first effect that needs it."""
        self.reply: ReplyFunction | None = None
        self._store, self._launcher, self._versions = store, launcher, versions
        self._new_watcher, self._log = new_watcher, log
        self._watchers: dict[str, Watcher] = {}

    def execute(self, effect: Effect) -> Event | None:
        """Carry out an effect; return the event that reports its outcome to the reducer, or None."""
        match effect:
            case SaveState():
                return self._save(effect)
            case SpawnProcess():
                return self._spawn(effect)
            case SendSignal():
                self._signal(effect)
            case SendOrder(name=name, process=process, verb=verb):
                self._watcher(name).send_order(verb, process)
            case WatchInstance(name=name, process=process):
                self._watcher(name).watch(process)
            case ReplyToClient(client=client, response=response):
                if self.reply is not None:
                    self.reply(client, response)
            case LogEvent(event=event, fields=fields, level=level):
                self._log(event, level, fields)
        return None

    def _save(self, effect: SaveState) -> StateSaved:
        try:
            self._store.save(effect.state)
        except OSError as error:
            return StateSaved(effect.state, error.strerror or str(error))
        return StateSaved(effect.state)

    def _spawn(self, effect: SpawnProcess) -> ProcessSpawned:
        name, version = effect.name, effect.configuration_version
        try:
            process = self._launcher.start(name, self._versions.read(version, name))
        except (OSError, ValueError, KeyError) as error:
            return ProcessSpawned(name, version, None, f"cannot be started: {error}")
        return ProcessSpawned(name, version, process)

    def _signal(self, effect: SendSignal) -> None:
        if not processes.send_signal(effect.process, effect.signal):
            fields = {"instance": effect.name, "pid": effect.process.pid}
            self._log("signal not sent, process has exited", "warning", fields)

    def _watcher(self, name: str) -> Watcher:
        if name not in self._watchers:
            self._watchers[name] = self._new_watcher(name)
            self._watchers[name].start()
        return self._watchers[name]
