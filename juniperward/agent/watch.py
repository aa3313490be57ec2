"""Watching instances: a thread for each that polls its status, sends it orders and sees it end."""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable
from pathlib import Path

from juniperward.agent import processes
from juniperward.agent.events import Event, InstanceAnswered, InstanceUnanswered, ProcessExited
from juniperward.agent.log import log_unexpected_error
from juniperward.control.client import ControlClient
from juniperward.control.errors import (
    ControlError,
    ControlUnreachableError,
)
from juniperward.control.protocol import Status, Verb
from juniperward.fleet.model import Process, Reading

ANSWER_TIMEOUT_S = 1.0
POLL_STARTING_S = 0.05  # between polls of a process that does not answer yet


class Watcher:
    """One instance's thread; `process` may be changed by the loop at any time."""

    def __init__(self, name: str, path: Path, interval_s: float, post: Callable[[Event], None]) -> None:
        """Poll at `path` every `interval_s` seconds; what is found goes to `post`."""
        self.name, self.interval_s, self.post = name, interval_s, post
        self.client = ControlClient(path, ANSWER_TIMEOUT_S)
        self.orders: queue.SimpleQueue[str | None] = queue.SimpleQueue()
        self.process: Process | None = None
        self.since: float | None = None  # first polled in vain
        self.reported: Process | None = None
        self.ended = False

    def start(self) -> None:
        """Begin the thread; it watches nothing yet."""
        threading.Thread(target=self._run, name=f"watch-{self.name}", daemon=True).start()

    def watch(self, process: Process | None) -> None:
        """Poll this process from now on."""
        self.process, self.since = process, None
        self.orders.put(None)

    def send_order(self, verb: str) -> None:
        """Have an order sent before the next poll."""
        self.orders.put(verb)

    def _run(self) -> None:
        while not self.ended:
            try:
                self._round()
            except Exception as error:
                log_unexpected_error("watcher", error, instance=self.name)
                time.sleep(self.interval_s)

    def _round(self) -> None:
        order = self._next_order()
        process = self.process
        if process is None:
            return
        how = processes.reap(process)
        if how is not None:
            self.client.close()
            if self.reported != process:
                self.reported = process
                self.post(ProcessExited(self.name, process, how))
            return
        self._poll(process, Verb(order) if order else Verb.STATUS)

    def _next_order(self) -> str | None:
        """Wait for an order, or until the next poll."""
        unanswered = self.process is not None and self.since is not None
        try:
            return self.orders.get(timeout=POLL_STARTING_S if unanswered else self.interval_s)
        except queue.Empty:
            return None

    def _poll(self, process: Process, verb: Verb) -> None:
        began = time.monotonic()
        try:
            status = self.client.status() if verb is Verb.STATUS else self.client.order(verb)
        except ControlError as error:
            if self.process != process:
                return
            self.since = self.since if self.since is not None else began
            self.post(InstanceUnanswered(self.name, process, self.since, str(error)))
            if verb is not Verb.STATUS and isinstance(error, ControlUnreachableError):
                time.sleep(POLL_STARTING_S)
            return
        if status.pid != process.pid:
            # Another process has the socket: one started by hand, or one that is on its way out.
            self.client.close()
            self.since = self.since if self.since is not None else began
            self.post(
                InstanceUnanswered(self.name, process, self.since, f"process {status.pid} answers instead")
            )
            return
        self.since = None
        self.post(InstanceAnswered(self.name, reading(status, time.monotonic())))


def reading(status: Status, now: float) -> Reading:
    """Return what decisions need of a status."""
    return Reading(
        at=now,
        pid=status.pid,
        phase=status.phase,
        ready=status.ready,
        discovery_synced=status.endpoint_list_age_s >= 0,
        unfinished=status.unfinished,
        pending=status.pending,
        slots=status.slots,
        attempts_in_flight=status.attempts_in_flight,
        delivered=status.delivered,
        attempts_failed=status.attempts_failed,
        given_up=status.given_up,
        accepted=status.accepted,
        rejected=status.rejected,
        restored=status.restored,
        invariants_broken=status.invariants_broken,
        oldest_pending_age_s=status.oldest_pending_age_s,
        journal_bytes=status.journal_bytes,
        endpoint_list_age_s=status.endpoint_list_age_s,
        ejected_destinations=status.ejected_destinations,
        version=status.version,
    )
