"""Watches instances: one thread for each polls its status, sends its orders and detects its exit."""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
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
UNANSWERED_POLL_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class ProcessOrder:
    """An order to one process of an instance."""

    verb: Verb
    process: Process


class Watcher:
    """Watches one instance on a thread of its own.

    Attributes:
        process: The process to poll, or None; the loop may change it at any time.
        unanswered_since: The time of the first unanswered poll, in monotonic seconds; None after an answer.
        reported_exit: The last process whose exit was posted.

    """

    def __init__(self, name: str, path: Path, interval_s: float, post: Callable[[Event], None]) -> None:
        """Poll the control socket at `path` every `interval_s` seconds; pass events to `post`."""
        self.name, self.interval_s, self.post = name, interval_s, post
        self.client = ControlClient(path, ANSWER_TIMEOUT_S)
        self.orders: queue.SimpleQueue[ProcessOrder | None] = queue.SimpleQueue()
        self.process: Process | None = None
        self.unanswered_since: float | None = None
        self.reported_exit: Process | None = None
        self.ended = False

    def start(self) -> None:
        """Start the thread; it polls nothing until `watch` is called."""
        threading.Thread(target=self._run, name=f"watch-{self.name}", daemon=True).start()

    def watch(self, process: Process | None) -> None:
        """Poll this process from now on; with None, poll nothing."""
        self.process, self.unanswered_since = process, None
        self.orders.put(None)

    def send_order(self, verb: str, process: Process) -> None:
        """Queue an order, sent in place of the next poll of the status unless another process is watched then."""
        self.orders.put(ProcessOrder(Verb(verb), process))

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
        exit_reason = processes.reap(process)
        if exit_reason is not None:
            self.client.close()
            if self.reported_exit != process:
                self.reported_exit = process
                self.post(ProcessExited(self.name, process, exit_reason))
            return
        if order is not None and order.process == process:
            self._poll(process, order.verb)
        else:
            self._poll(process, Verb.STATUS)

    def _next_order(self) -> ProcessOrder | None:
        """Wait for the next order; return None when a poll is due or another process is to be watched."""
        unanswered = self.process is not None and self.unanswered_since is not None
        try:
            return self.orders.get(timeout=UNANSWERED_POLL_INTERVAL_S if unanswered else self.interval_s)
        except queue.Empty:
            return None

    def _poll(self, process: Process, verb: Verb) -> None:
        started_at = time.monotonic()
        try:
            status = self.client.status() if verb is Verb.STATUS else self.client.order(verb)
        except ControlError as error:
            if self.process != process:
                return
            self.unanswered_since = self.unanswered_since if self.unanswered_since is not None else started_at
            self.post(InstanceUnanswered(self.name, process, self.unanswered_since, str(error)))
            if verb is not Verb.STATUS and isinstance(error, ControlUnreachableError):
                time.sleep(UNANSWERED_POLL_INTERVAL_S)
            return
        if status.pid != process.pid:
            # The socket belongs to another process, such as one started by hand or an earlier one.
            self.client.close()
            self.unanswered_since = self.unanswered_since if self.unanswered_since is not None else started_at
            self.post(
                InstanceUnanswered(
                    self.name,
                    process,
                    self.unanswered_since,
                    f"another process answers on its socket: pid {status.pid}",
                )
            )
            return
        self.unanswered_since = None
        self.post(InstanceAnswered(self.name, reading(status, time.monotonic())))


def reading(status: Status, now: float) -> Reading:
    """Return the part of a status that decisions need, read at `now` in monotonic seconds."""
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
