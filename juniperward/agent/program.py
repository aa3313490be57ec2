"""The agent as a whole: starts and stops its loop, its API and its dead-letter service together."""

from __future__ import annotations

import os
import secrets
import threading
import time

from juniperward.agent.api import Api
from juniperward.agent.dead_letter_service import DeadLetterService
from juniperward.agent.events import ControlRequest
from juniperward.agent.folder_lock import lock_folder
from juniperward.agent.loop import Loop
from juniperward.agent.queries import ReloadReply
from juniperward.agent.replies import ErrorReply, SettingsRejectedReply, SettingsReply
from juniperward.agent.running_fleet import ReadyInstance
from juniperward.agent.store import StateStore
from juniperward.dead_letters.redrive_settings import RedriveSettings
from juniperward.dead_letters.store_errors import StoreError
from juniperward.fleet.decisions import phase
from juniperward.fleet.model import Phase
from juniperward.settings.load import FleetSettings, SettingsError, load

# Added to twice the stop timeout when a shutdown waits for all instances to exit.
STOP_MARGIN_S = 2.0
STOP_POLL_INTERVAL_S = 0.05


class FolderChangedError(ValueError):
    """Reloaded settings name another folder."""

    def __init__(self) -> None:
        """Build the message, which says what to do instead."""
        super().__init__("folder: cannot change on a reload; restart the agent to use another folder")


class Agent:
    """Owns the agent's parts; `run` returns after `shutdown`."""

    def __init__(self, settings: FleetSettings) -> None:
        """Lock the folder and open the socket.

        Raises AgentRunningError, ControlSocketError, StoreError or OSError.
        """
        self._lock = lock_folder(settings.folder)
        self._loop = Loop(settings, StateStore(settings.folder), secrets.randbits(64))
        self._api = Api(settings.socket, self._loop, self.reload, self.shutdown)
        self._dead_letters: DeadLetterService | None = None
        if settings.redrive is not None:
            self._open_dead_letters(settings.redrive)

    def _open_dead_letters(self, settings: RedriveSettings) -> DeadLetterService:
        """Create the dead-letter service, without starting it; raises StoreError."""
        folder = self._loop.settings.folder
        service = DeadLetterService(folder, settings, self._names, self._ready, self._loop.log_event)
        self._dead_letters = service
        self._api.serve_dead_letters(service)
        return service

    def _names(self) -> list[str]:
        return list(self._loop.reducer.state.instances)

    def _ready(self) -> dict[str, ReadyInstance]:
        """Return the ready instances with their addresses and last readings."""
        # Called by other threads: the state is an immutable value, so one read of it is consistent.
        state = self._loop.reducer.state
        addresses = {instance.name: instance.listen for instance in self._loop.settings.instances}
        found = {}
        for name, instance in state.instances.items():
            if name not in addresses or instance.reading is None:
                continue
            if phase(instance, time.monotonic(), state.rules.timeouts) is Phase.READY:
                host, _, port = addresses[name].rpartition(":")
                found[name] = ReadyInstance((host, int(port)), instance.reading)
        return found

    def reload(self) -> ReloadReply:
        """Reload the settings file; if it is rejected, the settings in use stay and the reply says why."""
        try:
            event = self._loop.store_settings(self._load_settings())
        except SettingsError as error:
            self._loop.log_event("settings rejected", "warning", {"why": str(error)})
            return SettingsRejectedReply(str(error), tuple(str(fault) for fault in error.faults))
        except (OSError, ValueError) as error:
            self._loop.log_event("settings rejected", "warning", {"why": str(error)})
            return ErrorReply(str(error))
        self._loop.post(event)
        self._configure_dead_letters(self._loop.settings.redrive)
        return SettingsReply(event.configuration_version)

    def _load_settings(self) -> FleetSettings:
        settings = load(self._loop.settings.file)
        if settings.folder != self._loop.settings.folder:
            raise FolderChangedError
        return settings

    def _configure_dead_letters(self, settings: RedriveSettings | None) -> None:
        """Apply new redrive settings, or with None disable all redrive rules; stored dead letters stay."""
        service = self._dead_letters
        if service is not None:
            if settings is None:
                settings = RedriveSettings(rate_limits=service.redriver.settings.rate_limits)
            service.configure(settings)
        elif settings is not None:
            try:
                self._open_dead_letters(settings).start()
            except StoreError as error:
                self._loop.log_event("dead letters unavailable", "error", {"why": str(error)})

    def shutdown(self, stop_instances: bool) -> None:
        """Shut the agent down in the background; instances keep running unless `stop_instances` is set."""
        threading.Thread(target=self._shutdown, args=(stop_instances,), name="shutdown", daemon=True).start()

    def _shutdown(self, stop_instances: bool) -> None:
        if stop_instances:
            self._stop_instances()
        self._loop.ended = True

    def _stop_instances(self) -> None:
        """Stop all instances, and wait for their exit for a limited time."""
        self._loop.post(ControlRequest(0, "stop"))
        until = time.monotonic() + 2 * self._loop.settings.timeouts.stop_s + STOP_MARGIN_S
        while time.monotonic() < until:
            instances = self._loop.reducer.state.instances.values()
            if all(instance.process is None for instance in instances):
                return
            time.sleep(STOP_POLL_INTERVAL_S)

    def run(self) -> None:
        """Restore the stored state, serve until `shutdown`, and close the parts; the caller handles signals."""
        self._loop.begin()
        self._api.start()
        if self._dead_letters is not None:
            self._dead_letters.start()
        settings = self._loop.settings
        self._loop.log_event(
            "agent started", "info", {"fleet": settings.name, "socket": str(settings.socket)}
        )
        try:
            self._loop.run()
        finally:
            self._api.close()
            if self._dead_letters is not None:
                self._dead_letters.stop_requested.set()
            self._loop.log_event("agent stopped", "info", {"fleet": settings.name})
            os.close(self._lock)
