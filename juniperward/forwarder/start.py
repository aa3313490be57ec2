"""Start, signals, and the counters at the end: `python -O -m juniperward`."""

from __future__ import annotations

import os
import signal
import sys
import threading
import time
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
EXIT_WITHIN_S = 3.3  # from SIGTERM to the end; SIGKILL follows after 3.7
ACCEPT_FOR_S = 0.8  # from SIGTERM for which new connections are answered
LOOP_END_SLACK_S = 0.2
EXIT_STOPPED, EXIT_CANNOT_START, EXIT_BAD_CONFIGURATION, EXIT_LOOP_FAILED = 0, 1, 2, 70


def open_control(config: Config, loop: Loop) -> ControlServer | None:
    """Open the control channel where the settings name its path; raises ControlSocketError."""
    if config.control_socket is None:
        return None
    # Not loaded where they are not used.
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


def run(config: Config) -> int:
    """Serve until a signal ends it."""
    threading.stack_size(THREAD_STACK_BYTES)
    lock_folder(
        config.state_folder
    )  # held until the process ends, and not a moment less: its threads still write
    loop = build(config)
    if os.environ.get("ROUTER_TRACE"):
        loop.trace = loop.executor.endpoint_client.calls.trace = Trace(time.time() - time.monotonic())
        log("trace", "settings", value=config.settings)
    done = threading.Event()
    restored = _restore(config, loop)
    thread = threading.Thread(target=_run_loop, args=(loop, done), name="loop")
    thread.start()
    control = open_control(config, loop)
    loop.executor.server.start()
    address = format_address(config.listen)
    log("start", "serving", name=config.name, address=address, restored=restored)
    log("start", "discovery", address=format_address(config.discovery))
    got = _serve_signals(config, loop)
    log("stop", "shutdown requested", signal=got.name)
    increment("stops")
    _stop(loop, thread)
    done.set()
    if control is not None:
        control.close()
    log("stop", "ended")
    report_counters()
    sys.stderr.flush()
    os._exit(EXIT_STOPPED)  # threads that wait on sockets would be waited for otherwise


def _restore(config: Config, loop: Loop) -> int:
    """Take in the list that the configuration names and what the journal has; returns how many messages."""
    known = config.known_endpoints
    loop.executor.discovery.start()
    loop.round([EndpointsUpdated(known.version, known.full, known.endpoints, cached=True)])
    restored = loop.executor.journal.restored()
    loop.round([JournalReplayed(restored)])
    return len(restored)


def _run_loop(loop: Loop, done: threading.Event) -> None:
    try:
        loop.run(done.is_set)
    except BaseException as error:
        report_fault("loop", error)
        report_counters()
        os._exit(
            EXIT_LOOP_FAILED
        )  # nothing can be accepted or ended without it; the journal has what is owed


def _serve_signals(config: Config, loop: Loop) -> signal.Signals:
    """Print counters and read the configuration again when told to; returns the signal that ends the process."""
    reloader = Reloader(config, os.environ)
    while (got := signal.sigwait(SIGNALS)) in (signal.SIGUSR1, signal.SIGHUP):
        if got == signal.SIGUSR1:
            report_counters()
            continue
        try:
            if (changed := reloader.reload()) is not None:
                loop.queue.post(changed)
        except Exception as error:
            report_fault("reload", error)
    return signal.Signals(got)


def _stop(loop: Loop, thread: threading.Thread) -> None:
    """Bring to an end what is under way; the loop ends within its time."""
    began = time.monotonic()
    server = loop.executor.server
    loop.queue.post(ShutdownRequested(began + ACCEPT_FOR_S, began + EXIT_WITHIN_S))
    server.stop()
    thread.join(ACCEPT_FOR_S)
    server.close()
    thread.join(began + EXIT_WITHIN_S + LOOP_END_SLACK_S - time.monotonic())


def main() -> int:
    """Return the exit code: 0 stopped, 2 a configuration that cannot be used, 1 anything else at the start."""
    # From the very start: a SIGHUP before its handling would kill the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(f"juniperward: configuration: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    try:
        return run(config)
    except (OSError, ControlSocketError) as error:
        print(f"juniperward: cannot start: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
