"""Series of signals to a forwarder, as the platform and operators send them, with a new process after each end."""

from __future__ import annotations

import contextlib
import random
import signal
import subprocess
import time

from juniperward.benchmarks.limited_forwarder import LimitedForwarder
from juniperward.fakes.records import ProcessChange, ProcessEvent, now

SIGNALS_FROM_S, SIGNALS_UNTIL_S = 1.5, 6.0
# The platform kills a process no earlier than this after SIGTERM, and starts the next one this long after its end.
KILL_AFTER_TERM_S = 3.7
DOWNTIME_S = 0.6
SERIES_INTERVAL_S = 0.05


class SignalSeries:
    """Sends signals to one forwarder, drawn from a seed, and starts its next process after each end.

    Attributes:
        unexpected_exits: The exit codes of processes that did not end in order after SIGTERM.
    """

    def __init__(self, forwarder: LimitedForwarder, seed: int) -> None:
        """Prepare signals for a forwarder that runs."""
        self._forwarder = forwarder
        self._random = random.Random(seed)
        self.unexpected_exits: list[int] = []

    def run(self, began_at: float) -> None:
        """Send one or two series of signals within the time for signals."""
        for _ in range(self._random.choice((1, 2))):
            at = began_at + self._random.uniform(SIGNALS_FROM_S, SIGNALS_UNTIL_S)
            time.sleep(max(0.0, at - now()))
            if self._forwarder.killed_for_memory:
                return
            self._random.choice((self._kill, self._terminate, self._reload, self._kill))()

    def _kill(self) -> None:
        self._forwarder.kill()
        self._restart()

    def _terminate(self) -> None:
        """End the process in order, with further signals behind the first; kill it when the platform would."""
        process = self._process()
        self._record(ProcessChange.TERMINATE)
        process.send_signal(signal.SIGTERM)
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1):
            time.sleep(SERIES_INTERVAL_S)
            process.send_signal(number)
        with contextlib.suppress(subprocess.TimeoutExpired):
            code = process.wait(KILL_AFTER_TERM_S)
            if code != 0:
                self.unexpected_exits.append(code)
        self._forwarder.kill()
        self._restart()

    def _reload(self) -> None:
        for number in (signal.SIGHUP, signal.SIGHUP, signal.SIGUSR1, signal.SIGHUP):
            self._process().send_signal(number)
            time.sleep(SERIES_INTERVAL_S)

    def _restart(self) -> None:
        time.sleep(DOWNTIME_S)
        self._forwarder.start()

    def _process(self) -> subprocess.Popen[bytes]:
        process = self._forwarder.process
        assert process is not None
        return process

    def _record(self, change: ProcessChange) -> None:
        self._forwarder.recorder.add(ProcessEvent(now(), self._forwarder.name, change))
