"""Start, signals, and the counters at the end: `python -O -m juniperward`."""

from __future__ import annotations

import os
import signal
import sys
import threading
import time
from typing import TYPE_CHECKING

from juniperward.control.protocol import ControlError
from juniperward.forwarder.clock import carry_over, read_boot_id
from juniperward.forwarder.config import Config, ConfigError, load
from juniperward.forwarder.counters import count, log, report, trouble
from juniperward.forwarder.descriptors import LEAST_SOCKETS, share_out
from juniperward.forwarder.journal import NAME as JOURNAL_NAME
from juniperward.forwarder.journal import Journal, take_folder
from juniperward.forwarder.keeping import Keeper
from juniperward.forwarder.loop import Loop
from juniperward.forwarder.messages import ControlRequested, EndpointsUpdated, Replayed, Stop
from juniperward.forwarder.reducer import Reducer
from juniperward.forwarder.registry import Registry
from juniperward.forwarder.reload import Reloader
from juniperward.forwarder.server import Server
from juniperward.forwarder.trace import Trace
from juniperward.forwarder.workers import Workers
from juniperward.kept.spool import Spool

if TYPE_CHECKING:
    from juniperward.control.server import ControlServer

STACK = 128 * 1024  # bytes for each thread; docs/architecture.md has the measurement
SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP}
STOP_WITHIN = 3.3  # seconds from SIGTERM to the end; SIGKILL follows after 3.7
STILL_OPEN = 0.8  # seconds from SIGTERM for which new connections are answered


def build(config: Config) -> Loop:
    """Put the parts together; the journal is replayed and nothing runs yet."""
    loop_started = time.time()
    to_unix = time.time() - time.monotonic()
    journal_to_unix = carry_over(config.state, to_unix, read_boot_id(), journal_name=JOURNAL_NAME)
    journal = Journal(config.state, config.disk_bytes, journal_to_unix)
    keeper = None
    if config.spool is not None:
        spool = Spool(config.spool, config.spool_bytes)
        keeper = Keeper(spool, config.settings, config.names, to_unix)
    kept = frozenset(keeper.spool.ids) if keeper is not None else frozenset()
    reducer = Reducer(config.settings, config.seed, keeper is not None, kept)
    loop = Loop(reducer, journal)
    loop.keeper = keeper
    loop.name, loop.started = config.name, loop_started
    if config.sockets < LEAST_SOCKETS:
        log(
            "start",
            f"limits: sockets: {config.sockets} is less than the {LEAST_SOCKETS} that a forwarder may need",
        )
    bounds = share_out(config.sockets, config.settings.slots)
    loop.server = Server(config.listen, config.names, bounds.clients, loop.post, bounds.leaving_clients)
    loop.workers = Workers(
        config.settings.dial_timeout_s,
        config.settings.keepalive_s,
        most_threads=bounds.calls,
        most_idle=bounds.idle_to_endpoints,
        post=loop.post,
        note=journal.append,
        longest=max(c.deadline_s for c in config.settings.classes),
    )
    loop.registry = Registry(config.registry, config.names, loop.post)
    return loop


def open_control(config: Config, loop: Loop) -> ControlServer | None:
    """Open the control channel where the settings name its path; raises ControlError."""
    if config.control is None:
        return None
    from juniperward.control.server import ControlServer  # not loaded where it is not used

    control = ControlServer(
        config.control, lambda client, request: loop.post(ControlRequested(client, request)), count, trouble
    )
    loop.tell = control.tell
    loop.end_process = lambda: os.kill(os.getpid(), signal.SIGTERM)
    control.start()
    log("start", f"the control channel is at {config.control}")
    return control


def run(config: Config) -> int:
    """Serve until a signal ends it."""
    threading.stack_size(STACK)
    take_folder(config.state)  # held until the process ends, and not a moment less: its threads still write
    loop = build(config)
    if os.environ.get("ROUTER_TRACE"):
        loop.trace = loop.workers.trace = Trace(time.time() - time.monotonic())
        log("trace", f"{config.settings}")
    done = threading.Event()

    def work() -> None:
        try:
            loop.run(done.is_set)
        except BaseException as error:
            trouble("loop", error)
            report()
            os._exit(70)  # nothing can be accepted or ended without it; the journal has what is owed

    known = config.known
    loop.registry.start()
    loop.round([EndpointsUpdated(known.version, known.full, known.workers, known=True)])
    restored = loop.journal.restored()
    loop.round([Replayed(restored)])
    thread = threading.Thread(target=work, name="loop")
    thread.start()
    control = open_control(config, loop)
    loop.server.start()
    log("start", f"{config.name} serves on {config.listen[0]}:{config.listen[1]}, {len(restored)} restored")
    log("start", f"the registry is at {config.registry[0]}:{config.registry[1]}")
    reloader = Reloader(config, os.environ)
    while (got := signal.sigwait(SIGNALS)) in (signal.SIGUSR1, signal.SIGHUP):
        if got == signal.SIGUSR1:
            report()
            continue
        try:
            if (moved := reloader.again()) is not None:
                loop.post(moved)
        except Exception as error:
            trouble("reload", error)
    began = time.monotonic()
    log("stop", f"{signal.Signals(got).name}: new messages are turned away from now on")
    count("stops")
    loop.post(Stop(began + STILL_OPEN, began + STOP_WITHIN))
    loop.server.stop()
    thread.join(STILL_OPEN)
    loop.server.close()
    thread.join(began + STOP_WITHIN + 0.2 - time.monotonic())
    done.set()
    if control is not None:
        control.close()
    log("stop", "ended")
    report()
    sys.stderr.flush()
    os._exit(0)  # threads that wait on sockets would be waited for otherwise


def main() -> int:
    """The exit code: 0 stopped, 2 a configuration that cannot be used, 1 anything else at the start."""
    # From the very start: a SIGHUP before its handling would kill the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(f"juniperward: configuration: {error}", file=sys.stderr)
        return 2
    try:
        return run(config)
    except (OSError, ControlError) as error:
        print(f"juniperward: cannot start: {error}", file=sys.stderr)
        return 1
