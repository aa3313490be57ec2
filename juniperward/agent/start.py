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
from typing import Any

import structlog

from juniperward.agent.api import Api
from juniperward.agent.dead_letter_service import DeadLetterService
from juniperward.agent.log import configure
from juniperward.agent.loop import Loop
from juniperward.agent.messages import ControlRequest
from juniperward.agent.store import StateStore
from juniperward.control.errors import ControlError
from juniperward.dead_letters.redriver import ResendRules
from juniperward.dead_letters.store import StoreError
from juniperward.fleet.decisions import phase
from juniperward.fleet.model import Phase, Reading
from juniperward.settings.load import FleetSettings, SettingsError, load

STACK = 512 * 1024  # bytes for each thread; structlog and msgspec go deeper than the forwarder's own code
SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}


class AgentRunningError(Exception):
    """Another agent looks after this fleet."""


def take(folder: Path) -> int:
    """Hold the agent's folder for this process; raises Busy or OSError."""
    folder.mkdir(mode=0o700, parents=True, exist_ok=True)
    os.chmod(folder, 0o700)
    file = os.open(folder, os.O_RDONLY | os.O_CLOEXEC)
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(file)
        raise AgentRunningError(f"{folder}: another agent looks after this fleet") from None
    return file


class Agent:
    """The parts put together; `run` returns when it is told to end."""

    def __init__(self, settings: FleetSettings) -> None:
        self.lock = take(settings.folder)
        self.loop = Loop(settings, StateStore(settings.folder), secrets.randbits(64))
        self.api = Api(settings.socket, self.loop, self.reload, self.shutdown)
        self.kept: DeadLetterService | None = None
        if settings.kept is not None:
            self._keep(settings.kept)

    def _keep(self, rules: ResendRules) -> DeadLetterService:
        """Begin to look after kept messages; raises StoreError."""
        self.kept = DeadLetterService(self.loop.settings.folder, rules, self._names, self._ready)
        self.kept.note = self.loop.note
        self.api.kept = self.kept
        return self.kept

    def _names(self) -> list[str]:
        return list(self.loop.reducer.state.instances)

    def _ready(self) -> dict[str, tuple[tuple[str, int], Reading]]:
        """Instances that take messages: where, and what they last said. The state is a value, read at once."""
        s = self.loop.reducer.state
        addresses = {i.name: i.listen for i in self.loop.settings.instances}
        found = {}
        for name, i in s.instances.items():
            if name not in addresses or i.reading is None:
                continue
            if phase(i, time.monotonic(), s.rules.patience) is Phase.READY:
                host, _, port = addresses[name].rpartition(":")
                found[name] = ((host, int(port)), i.reading)
        return found

    def reload(self, _: int = 0) -> dict[str, Any]:
        """Read the settings again; what cannot be used changes nothing and is told."""
        try:
            settings = load(self.loop.settings.file)
            if settings.folder != self.loop.settings.folder:
                raise ValueError("folder: only the next start of the agent takes another one")
            event = self.loop.configured(settings)
        except SettingsError as error:
            self.loop.note("settings stay as they were", "warning", {"why": str(error)})
            return {"error": str(error), "faults": [str(f) for f in error.faults]}
        except (OSError, ValueError) as error:
            self.loop.note("settings stay as they were", "warning", {"why": str(error)})
            return {"error": str(error)}
        self.loop.post(event)
        if self.kept is not None:
            # Switched off, what is kept stays, and nothing goes by rule.
            off = ResendRules(rules=(), pace=self.kept.resender.rules.pace)
            self.kept.configure(settings.kept if settings.kept is not None else off)
        elif settings.kept is not None:
            try:
                self._keep(settings.kept).start()
            except StoreError as error:
                self.loop.note("kept messages cannot be looked after", "error", {"why": str(error)})
        return {"edition": event.edition}

    def shutdown(self, instances: bool) -> None:
        """End the agent; the instances go on, unless they are to be stopped first."""
        threading.Thread(target=self._shutdown, args=(instances,), name="shutdown", daemon=True).start()

    def _shutdown(self, instances: bool) -> None:
        if instances:
            self.loop.post(ControlRequest(0, "stop"))
            until = time.monotonic() + 2 * self.loop.settings.patience.stop + 2.0
            while time.monotonic() < until:
                if all(i.process is None for i in self.loop.reducer.state.instances.values()):
                    break
                time.sleep(0.05)
        self.loop.ended = True

    def run(self) -> None:
        """Take up what was left, serve, and end; signals are the caller's business."""
        self.loop.begin()
        self.api.start()
        if self.kept is not None:
            self.kept.start()
        s = self.loop.settings
        self.loop.note("agent serves", "info", {"fleet": s.name, "socket": str(s.socket)})
        try:
            self.loop.run()
        finally:
            self.api.close()
            if self.kept is not None:
                self.kept.ended.set()
            self.loop.note("agent ended", "info", {"fleet": s.name})
            os.close(self.lock)


def main(file: Path, as_json: bool | None = None) -> int:
    """The exit code: 0 ended, 1 cannot start, 2 settings that cannot be used."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    try:
        settings = load(file)
    except SettingsError as error:
        configure(as_json)
        log = structlog.get_logger()
        for f in error.faults:
            log.error("settings", file=f.file, line=f.line, field=f.field, why=f.text)
        return 2
    configure(as_json if as_json is not None else settings.log_json)
    threading.stack_size(STACK)
    try:
        agent = Agent(settings)
    except (AgentRunningError, ControlError, StoreError, OSError) as error:
        structlog.get_logger().error("cannot start", why=str(error))
        return 1

    def signals() -> None:
        while True:
            got = signal.sigwait(SIGNALS)
            if got == signal.SIGHUP:
                agent.reload()
            else:
                agent.shutdown(False)

    threading.Thread(target=signals, name="signals", daemon=True).start()
    with contextlib.suppress(KeyboardInterrupt):
        agent.run()
    return 0


__all__ = ["Agent", "Busy", "main", "take"]
