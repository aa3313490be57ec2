"""The life cycle of a forwarder's process: start, signals and graceful shutdown (`python -O -m juniperward`).

`main` reads the configuration. `run` starts the components, serves until SIGTERM or SIGINT, and ends the process.
SIGUSR1 prints the counters, and SIGHUP reloads the configuration.
"""

from __future__ import annotations

import os
import signal
import sys
import threading
import time
from enum import IntEnum
from typing import TYPE_CHECKING

from juniperward.control.errors import ControlSocketError
from juniperward.forwarder.address import format_address
from juniperward.forwarder.assembly import build
from juniperward.forwarder.config import Config, ConfigError, load
from juniperward.forwarder.events import (
    ControlRequested,
    ShutdownRequested,
)
from juniperward.forwarder.loop import Loop
from juniperward.forwarder.reload import Reloader
from juniperward.forwarder.restore import restore
from juniperward.forwarder.state_folder import lock_folder
from juniperward.forwarder.telemetry import increment, log, report_counters, report_fault
from juniperward.forwarder.trace import Trace

if TYPE_CHECKING:
    from juniperward.control.server import ControlServer

# A small stack limits the memory of hundreds of threads; docs/bounds.md says how small it may be.
THREAD_STACK_BYTES = 128 * 1024
SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP}
# The platform sends SIGKILL 3.7 s after SIGTERM; the process must exit before.
SHUTDOWN_TIMEOUT_S = 3.3
# New connections are still accepted and answered for this time after SIGTERM.
ACCEPT_GRACE_PERIOD_S = 0.8
LOOP_STOP_MARGIN_S = 0.2


class ExitCode(IntEnum):
    """The exit codes of the process."""

    STOPPED = 0
    CANNOT_START = 1
    BAD_CONFIGURATION = 2
    LOOP_FAILED = 70


def main() -> int:
    """Run a forwarder; return an exit code only if it could not start, as `run` ends the process."""
    # Blocked first of all, as a SIGHUP before the handling begins would kill the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(f"juniperward: configuration: {error}", file=sys.stderr)
        return ExitCode.BAD_CONFIGURATION
    try:
        return run(config)
    except (OSError, ControlSocketError) as error:
        print(f"juniperward: cannot start: {error}", file=sys.stderr)
        return ExitCode.CANNOT_START


def run(config: Config) -> int:
    """Serve until a signal ends the process; raises OSError or ControlSocketError if it cannot start."""
    threading.stack_size(THREAD_STACK_BYTES)
    # Held until the process has exited, as its threads write to the folder until then.
    lock_folder(config.state_folder)
    loop = build(config)
    if os.environ.get("ROUTER_TRACE"):
        _start_trace(config, loop)
    stop_loop = threading.Event()
    restored = restore(config, loop)
    loop_thread = threading.Thread(target=_run_loop, args=(loop, stop_loop), name="loop")
    loop_thread.start()
    control = open_control(config, loop)
    loop.executor.server.start()
    address = format_address(config.listen)
    log("start", "serving", name=config.name, address=address, restored=restored)
    log("start", "discovery", address=format_address(config.discovery))
    stop_signal = _serve_signals(config, loop)
    log("stop", "shutdown requested", signal=stop_signal.name)
    increment("stops")
    _shut_down(loop, loop_thread)
    stop_loop.set()
    if control is not None:
        control.close()
    log("stop", "ended")
    report_counters()
    sys.stderr.flush()
    # A normal exit would wait for threads that are blocked on sockets.
    os._exit(ExitCode.STOPPED)


def open_control(config: Config, loop: Loop) -> ControlServer | None:
    """Open the control channel if it is configured, else return None; raises ControlSocketError."""
    if config.control_socket is None:
        return None
    # Imported only if a control channel is configured, so that other forwarders start faster.
    from juniperward.control.server import ControlServer
    from juniperward.forwarder.control_output import ControlChannelOutput

    post = loop.queue.post
    control = ControlServer(
        config.control_socket,
        lambda client, request: post(ControlRequested(client, request)),
        increment,
        report_fault,
    )
    loop.executor.control = ControlChannelOutput(control, loop.executor, config.name, time.time())
    control.start()
    log("start", "control channel open", path=config.control_socket)
    return control


def _start_trace(config: Config, loop: Loop) -> None:
    trace = Trace(time.time() - time.monotonic())
    loop.trace = trace
    loop.executor.endpoint_client.attempts.trace = trace
    log("trace", "settings", value=config.settings)


def _run_loop(loop: Loop, stop_loop: threading.Event) -> None:
    try:
        loop.run(stop_loop.is_set)
    except BaseException as error:
        report_fault("loop", error)
        report_counters()
        # Without the loop no message is accepted or completed, so exit; the next process replays the journal.
        os._exit(ExitCode.LOOP_FAILED)


def _serve_signals(config: Config, loop: Loop) -> signal.Signals:
    """Handle SIGUSR1 and SIGHUP until another signal ends the process; return that signal."""
    reloader = Reloader(config, os.environ)
    while True:
        received = signal.Signals(signal.sigwait(SIGNALS))
        match received:
            case signal.Signals.SIGUSR1:
                report_counters()
            case signal.Signals.SIGHUP:
                _reload(reloader, loop)
            case _:
                return received


def _reload(reloader: Reloader, loop: Loop) -> None:
    try:
        address_changed = reloader.reload()
        if address_changed is not None:
            loop.queue.post(address_changed)
    except Exception as error:
        report_fault("reload", error)


def _shut_down(loop: Loop, loop_thread: threading.Thread) -> None:
    """Shut down gracefully; return once the loop has ended or the timeout has passed."""
    started_at = time.monotonic()
    server = loop.executor.server
    loop.queue.post(ShutdownRequested(started_at + ACCEPT_GRACE_PERIOD_S, started_at + SHUTDOWN_TIMEOUT_S))
    server.stop()
    loop_thread.join(ACCEPT_GRACE_PERIOD_S)
    server.close()
    loop_thread.join(started_at + SHUTDOWN_TIMEOUT_S + LOOP_STOP_MARGIN_S - time.monotonic())
