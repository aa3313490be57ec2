"""The agent's command: loads the settings, runs the agent and handles signals."""

from __future__ import annotations

import contextlib
import signal
import threading
from pathlib import Path

import structlog

from juniperward.agent.folder_lock import AgentRunningError
from juniperward.agent.log import configure
from juniperward.agent.program import Agent
from juniperward.control.errors import ControlSocketError
from juniperward.dead_letters.store_errors import StoreError
from juniperward.settings.load import SettingsError, load

# structlog and msgspec need deeper stacks than the forwarder's threads.
THREAD_STACK_BYTES = 512 * 1024
SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT, signal.SIGHUP})
EXIT_OK, EXIT_CANNOT_START, EXIT_BAD_SETTINGS = 0, 1, 2


def _handle_signals(agent: Agent) -> None:
    """Reload the settings on SIGHUP; shut the agent down on SIGTERM and SIGINT."""
    while True:
        if signal.sigwait(SIGNALS) == signal.SIGHUP:
            agent.reload()
        else:
            agent.shutdown(False)


def _log_settings_faults(error: SettingsError) -> None:
    """Log each fault of a settings file with its file, line and field."""
    log = structlog.get_logger()
    for fault in error.faults:
        log.error("settings invalid", file=fault.file, line=fault.line, field=fault.field, why=fault.text)


def main(file: Path, as_json: bool | None = None) -> int:
    """Run an agent and return its exit code: 0 after a shutdown, 1 if it cannot start, 2 for invalid settings."""
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
    threading.Thread(target=_handle_signals, args=(agent,), name="signals", daemon=True).start()
    with contextlib.suppress(KeyboardInterrupt):
        agent.run()
    return EXIT_OK
