"""The life cycle of a forwarder's process: start, signals, and its planned end (`python -O -m juniperward`).

`main` reads the configuration, `run` starts the parts in their order, serves until SIGTERM or SIGINT, and ends the
process. SIGUSR1 prints the counters, SIGHUP reads the configuration again.
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
    EndpointsUpdated,
    JournalReplayed,
    ShutdownRequested,
)
from juniperward.forwarder.loop import Loop
from juniperward.forwarder.reload import Reloader
from juniperward.forwarder.state_folder import lock_folder
from juniperward.forwarder.telemetry import increment, log, report_counters, report_fault
from juniperward.forwarder.trace import Trace

if TYPE_CHECKING:
    from juniperward.control.server import ControlServer

THREAD_STACK_BYTES = 128 * 1024  # docs/architecture.md has the measurement
SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP}
SHUTDOWN_TIMEOUT_S = 3.3  # from SIGTERM to the end; SIGKILL follows after 3.7
ACCEPT_GRACE_PERIOD_S = 0.8  # from SIGTERM for which new connections are answered
LOOP_END_MARGIN_S = 0.2


class ExitCode(IntEnum):
    """How the process ended."""

    STOPPED = 0
    CANNOT_START = 1
    BAD_CONFIGURATION = 2
    LOOP_FAILED = 70


def main() -> int:
    """Return the exit code of a process that could not start; one that has started exits in `run`."""
    # From the very start: a SIGHUP before its handling would kill the process.
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
    """Serve until a signal ends the process; raises OSError or ControlSocketError where it cannot start."""
    threading.stack_size(THREAD_STACK_BYTES)
    # Held until the process has ended: its threads write to the folder up to that moment.
    lock_folder(config.state_folder)
    loop = build(config)
    if os.environ.get("ROUTER_TRACE"):
        _start_trace(config, loop)
    end_loop = threading.Event()
    restored = _restore(config, loop)
    loop_thread = threading.Thread(target=_run_loop, args=(loop, end_loop), name="loop")
    loop_thread.start()
    control = open_control(config, loop)
    loop.executor.server.start()
    address = format_address(config.listen)
    log("start", "serving", name=config.name, address=address, restored=restored)
    log("start", "discovery", address=format_address(config.discovery))
    end_signal = _serve_signals(config, loop)
    log("stop", "shutdown requested", signal=end_signal.name)
    increment("stops")
    _shut_down(loop, loop_thread)
    end_loop.set()
    if control is not None:
        control.close()
    log("stop", "ended")
    report_counters()
    sys.stderr.flush()
    os._exit(ExitCode.STOPPED)  # a usual exit would wait for the threads that wait on sockets


def open_control(config: Config, loop: Loop) -> ControlServer | None:
    """Open the control channel where the configuration names its path; raises ControlSocketError."""
    if config.control_socket is None:
        return None
    # Loaded only where a control channel is open: a forwarder without it starts faster.
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


def _restore(config: Config, loop: Loop) -> int:
    """Apply the configuration's endpoint list and the journal's messages; return how many messages there are."""
    known = config.known_endpoints
    loop.executor.discovery.start()
    loop.round([EndpointsUpdated(known.version, known.full, known.endpoints, cached=True)])
    restored = loop.executor.journal.restored()
    loop.round([JournalReplayed(restored)])
    return len(restored)


def _run_loop(loop: Loop, end: threading.Event) -> None:
    try:
        loop.run(end.is_set)
    except BaseException as error:
        report_fault("loop", error)
        report_counters()
        # Without the loop no message is accepted or completed. The next process goes on from the journal.
        os._exit(ExitCode.LOOP_FAILED)


def _serve_signals(config: Config, loop: Loop) -> signal.Signals:
    """Serve SIGUSR1 and SIGHUP; return the signal that ends the process."""
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
    """Have attempts and connections end in their time; returns once the loop has ended, or its time is over."""
    began = time.monotonic()
    server = loop.executor.server
    loop.queue.post(ShutdownRequested(began + ACCEPT_GRACE_PERIOD_S, began + SHUTDOWN_TIMEOUT_S))
    server.stop()
    loop_thread.join(ACCEPT_GRACE_PERIOD_S)
    server.close()
    loop_thread.join(began + SHUTDOWN_TIMEOUT_S + LOOP_END_MARGIN_S - time.monotonic())
