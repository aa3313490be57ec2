"""The agent's program: one for each fleet on a machine."""

from __future__ import annotations

import contextlib
import fcntl
import os
import secrets
import signal
import threading
import time
from pathlib import Path

import structlog

from juniperward.agent.api import Api
from juniperward.agent.dead_letter_service import DeadLetterService
from juniperward.agent.events import ControlRequest
from juniperward.agent.log import configure
from juniperward.agent.loop import Loop
from juniperward.agent.queries import ReloadReply
from juniperward.agent.replies import ErrorReply, SettingsRejectedReply, SettingsReply
from juniperward.agent.running_fleet import ReadyInstance
from juniperward.agent.store import StateStore
from juniperward.control.errors import ControlSocketError
from juniperward.dead_letters.redrive_settings import RedriveSettings
from juniperward.dead_letters.store_errors import StoreError
from juniperward.fleet.decisions import phase
from juniperward.fleet.model import Phase
from juniperward.settings.load import FleetSettings, SettingsError, load

THREAD_STACK_BYTES = 512 * 1024  # structlog and msgspec go deeper than the forwarder's own code
SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT, signal.SIGHUP})
PRIVATE_FOLDER = 0o700
STOP_MARGIN_S = 2.0  # beyond twice the time from SIGTERM to SIGKILL, for all instances to end
STOP_POLL_S = 0.05
EXIT_ENDED, EXIT_CANNOT_START, EXIT_BAD_SETTINGS = 0, 1, 2


class AgentRunningError(Exception):
    """Another agent looks after this fleet."""

    def __init__(self, folder: Path) -> None:
        """Name the folder that it holds."""
        self.folder = folder
        super().__init__(f"{folder}: another agent looks after this fleet")


class FolderChangedError(ValueError):
    """Settings that are read again name another folder."""

    def __init__(self) -> None:
        """Say what to do."""
        super().__init__("folder: only the next start of the agent takes another one")


def take(folder: Path) -> int:
    """Hold the agent's folder for this process; raises AgentRunningError or OSError."""
    folder.mkdir(mode=PRIVATE_FOLDER, parents=True, exist_ok=True)
    folder.chmod(PRIVATE_FOLDER)
    file = os.open(folder, os.O_RDONLY | os.O_CLOEXEC)
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(file)
        raise AgentRunningError(folder) from None
    return file


class Agent:
    """The parts put together; `run` returns when it is told to end."""

    def __init__(self, settings: FleetSettings) -> None:
        """Hold the folder and open the socket.

        Raises AgentRunningError, ControlSocketError, StoreError or OSError.
        """
        self._lock = take(settings.folder)
        self._loop = Loop(settings, StateStore(settings.folder), secrets.randbits(64))
        self._api = Api(settings.socket, self._loop, self.reload, self.shutdown)
        self._dead_letters: DeadLetterService | None = None
        if settings.redrive is not None:
            self._open_dead_letters(settings.redrive)

    def _open_dead_letters(self, settings: RedriveSettings) -> DeadLetterService:
        """Begin to look after dead letters; raises StoreError."""
        folder = self._loop.settings.folder
        service = DeadLetterService(folder, settings, self._names, self._ready, self._loop.log_event)
        self._dead_letters = service
        self._api.serve_dead_letters(service)
        return service

    def _names(self) -> list[str]:
        return list(self._loop.reducer.state.instances)

    def _ready(self) -> dict[str, ReadyInstance]:
        """Return the instances that take messages: where, and what they last said."""
        state = self._loop.reducer.state  # a value: read by any thread, at once
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
        """Read the settings again; what cannot be used changes nothing and is told."""
        try:
            event = self._loop.configured(self._load_again())
        except SettingsError as error:
            self._loop.log_event("settings rejected", "warning", {"why": str(error)})
            return SettingsRejectedReply(str(error), tuple(str(fault) for fault in error.faults))
        except (OSError, ValueError) as error:
            self._loop.log_event("settings rejected", "warning", {"why": str(error)})
            return ErrorReply(str(error))
        self._loop.post(event)
        self._configure_dead_letters(self._loop.settings.redrive)
        return SettingsReply(event.configuration_version)

    def _load_again(self) -> FleetSettings:
        settings = load(self._loop.settings.file)
        if settings.folder != self._loop.settings.folder:
            raise FolderChangedError
        return settings

    def _configure_dead_letters(self, settings: RedriveSettings | None) -> None:
        """Use new settings; where dead letters are switched off, what is stored stays, and no rule redrives it."""
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

    def shutdown(self, instances: bool) -> None:
        """End the agent; the instances go on, unless they are to be stopped first."""
        threading.Thread(target=self._shutdown, args=(instances,), name="shutdown", daemon=True).start()

    def _shutdown(self, instances: bool) -> None:
        if instances:
            self._stop_instances()
        self._loop.ended = True

    def _stop_instances(self) -> None:
        """Have all instances stopped, and wait for it within a bound."""
        self._loop.post(ControlRequest(0, "stop"))
        until = time.monotonic() + 2 * self._loop.settings.timeouts.stop_s + STOP_MARGIN_S
        while time.monotonic() < until:
            instances = self._loop.reducer.state.instances.values()
            if all(instance.process is None for instance in instances):
                return
            time.sleep(STOP_POLL_S)

    def run(self) -> None:
        """Take up what was left, serve, and end; signals are the caller's business."""
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
                self._dead_letters.ended.set()
            self._loop.log_event("agent stopped", "info", {"fleet": settings.name})
            os.close(self._lock)


def _follow_signals(agent: Agent) -> None:
    """SIGHUP reads the settings again, SIGTERM and SIGINT end the agent."""
    while True:
        if signal.sigwait(SIGNALS) == signal.SIGHUP:
            agent.reload()
        else:
            agent.shutdown(False)


def _log_settings_faults(error: SettingsError) -> None:
    """Log each fault of a settings file with its file, line and field."""
    log = structlog.get_logger()
    for fault in error.faults:
        log.error("settings", file=fault.file, line=fault.line, field=fault.field, why=fault.text)


def main(file: Path, as_json: bool | None = None) -> int:
    """Run an agent and return the exit code: 0 ended, 1 cannot start, 2 settings that cannot be used."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    try:
        settings = load(file)
    except SettingsError as error:
        configure(as_json)
        _log_settings_faults(error)
        return EXIT_BAD_SETTINGS
    configure(as_json if as_json is not None else settings.log_json)
    threading.stack_size(THREAD_STACK_BYTES)
    try:
        agent = Agent(settings)
    except (AgentRunningError, ControlSocketError, StoreError, OSError) as error:
        structlog.get_logger().error("cannot start", why=str(error))
        return EXIT_CANNOT_START
    threading.Thread(target=_follow_signals, args=(agent,), name="signals", daemon=True).start()
    with contextlib.suppress(KeyboardInterrupt):
        agent.run()
    return EXIT_ENDED
