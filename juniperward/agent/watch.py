"""Watching instances: a thread for each that asks it for its state, gives it orders and sees it end."""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable
from pathlib import Path

import structlog

from juniperward.agent import processes
from juniperward.agent.messages import Event, InstanceAnswered, InstanceUnanswered, ProcessExited
from juniperward.control.client import ControlClient, Refused, Silent
from juniperward.control.protocol import ProtocolError, Status, Verb
from juniperward.fleet.model import Process, Reading

PATIENCE = 1.0  # seconds for an answer
LOOK = 0.05  # seconds between looks at a process whose instance does not answer yet


class Watcher:
    """One instance's thread; `process` may be changed by the loop at any time."""

    def __init__(self, name: str, path: Path, every: float, post: Callable[[Event], None]) -> None:
        self.name, self.every, self.post = name, every, post
        self.client = ControlClient(path, PATIENCE)
        self.orders: queue.SimpleQueue[str | None] = queue.SimpleQueue()
        self.process: Process | None = None
        self.since: float | None = None  # first asked in vain
        self.reported: Process | None = None
        self.ended = False

    def start(self) -> None:
        threading.Thread(target=self._run, name=f"watch-{self.name}", daemon=True).start()

    def watch(self, process: Process | None) -> None:
        """Ask this process from now on."""
        self.process, self.since = process, None
        self.orders.put(None)

    def tell(self, verb: str) -> None:
        """Have an order given, before the next question."""
        self.orders.put(verb)

    def _run(self) -> None:
        while not self.ended:
            try:
                self._round()
            except Exception as error:
                structlog.get_logger().error(
                    "unexpected", where="watcher", instance=self.name, error=repr(error)
                )
                time.sleep(self.every)

    def _round(self) -> None:
        quick = self.process is not None and self.since is not None
        try:
            order = self.orders.get(timeout=LOOK if quick else self.every)
        except queue.Empty:
            order = None
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
        self._ask(process, Verb(order) if order else Verb.STATUS)

    def _ask(self, process: Process, verb: Verb) -> None:
        began = time.monotonic()
        try:
            status = self.client.status() if verb is Verb.STATUS else self.client.order(verb)
        except (Silent, Refused, ProtocolError) as error:
            if self.process != process:
                return
            self.since = self.since if self.since is not None else began
            self.post(InstanceUnanswered(self.name, process, self.since, str(error)))
            if verb is not Verb.STATUS and isinstance(error, Silent):
                time.sleep(LOOK)
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


def reading(s: Status, now: float) -> Reading:
    """What decisions need of a status."""
    return Reading(
        at=now, pid=s.pid, phase=s.phase, ready=s.ready, heard=s.registry_age >= 0, owing=s.owing, held=s.held,
        slots=s.slots, calls_out=s.calls_out, delivered=s.delivered, calls_failed=s.calls_failed,
        given_up=s.given_up, taken_on=s.taken_on, turned_away=s.turned_away, restored=s.restored,
        broken=s.broken, oldest_held=s.oldest_held, journal_bytes=s.journal_bytes,
        registry_age=s.registry_age, sick=s.destinations_sick, version=s.version,
    )  # fmt: skip
