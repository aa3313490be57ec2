"""Calls to endpoints as the loop sees them: a thread each while one is in flight, and the cancelling of calls."""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from juniperward.forwarder.answers import outcomes_of_all
from juniperward.forwarder.connection_pool import LONGEST_READ_S, ConnectionPool
from juniperward.forwarder.effects import StartAttempt, StartHealthCheck
from juniperward.forwarder.endpoint_call import ActiveCall, EndpointCalls
from juniperward.forwarder.events import AttemptAnswered, Event, HealthCheckAnswered
from juniperward.forwarder.model import AttemptProgress, RouteKey
from juniperward.forwarder.records import JournalRecord
from juniperward.forwarder.send_gate import SendGate
from juniperward.forwarder.telemetry import report_fault
from juniperward.net import sockets
from juniperward.scheduler.events import Outcome


@dataclass(frozen=True, slots=True)
class EndpointClientLimits:
    """The bounds of an endpoint client; times in seconds."""

    dial_timeout_s: float
    keepalive_s: float  # of the endpoints
    max_threads: int
    max_idle_connections: int
    longest_read_s: float = LONGEST_READ_S


def build_endpoint_client(
    limits: EndpointClientLimits,
    post: Callable[[Event], None],
    append: Callable[[JournalRecord], None],
) -> EndpointClient:
    """Return an endpoint client with a pool and a gate of its own; `append` writes to the journal."""
    pool = ConnectionPool(limits.keepalive_s, limits.max_idle_connections)
    gate = SendGate()
    calls = EndpointCalls(pool, gate, limits.dial_timeout_s, append, limits.longest_read_s)
    return EndpointClient(calls, pool, gate, limits.max_threads, post)


class EndpointClient:
    """Has threads make calls, and posts how they ended; the gate's lock guards the calls."""

    def __init__(
        self,
        calls: EndpointCalls,
        pool: ConnectionPool,
        gate: SendGate,
        max_threads: int,
        post: Callable[[Event], None],
    ) -> None:
        """Begin without threads; at most so many are started as calls need them."""
        self.calls, self.pool, self.gate = calls, pool, gate
        self.max_threads = max_threads
        self._post = post
        self.active: dict[int, ActiveCall] = {}
        self.submitted: queue.SimpleQueue[ActiveCall] = queue.SimpleQueue()
        self.threads = self.free_threads = 0

    # --- called by the loop -----------------------------------------------------------------------------

    def start(self, what: StartAttempt | StartHealthCheck) -> None:
        """Have a thread make this attempt, or this health check."""
        call = ActiveCall(what)
        with self.gate.lock:
            self.active[what.number] = call
            grow = self.free_threads <= 0 and self.threads < self.max_threads
            self.free_threads += grow - 1
            self.threads += grow
        if grow:
            self._start_thread()
        self.submitted.put(call)

    def _start_thread(self) -> None:
        try:
            threading.Thread(target=self._work, name="worker", daemon=True).start()
        except RuntimeError as error:
            report_fault("workers", error)
            with self.gate.lock:
                self.threads -= 1
                self.free_threads -= 1

    def cancel(self, number: int) -> AttemptProgress:
        """Close the connection of a call, whose end is not reported any more; returns how far it had come."""
        with self.gate.lock:
            call = self.active.pop(number, None)
            if call is None:
                return AttemptProgress.FINISHED
            call.cancelled = True
            sock, progress = call.sock, call.progress
        if sock is not None:
            sockets.shutdown(sock)
        return progress

    def withdraw(self, number: int, message: int) -> AttemptProgress:
        """Leave a message out of a call, if nothing of the call is written yet; returns how far it has come.

        The others of the call may wait for seconds behind a dial; this one is over meanwhile.
        """
        with self.gate.lock:
            call = self.active.get(number)
            if call is None:
                return AttemptProgress.FINISHED
            if call.progress is AttemptProgress.WAITING:
                call.withdrawn.add(message)
            return call.progress

    def close_idle(self, endpoint: int) -> None:
        """Close the connections to an endpoint that no call is on."""
        self.pool.close_idle(endpoint)

    def set_draining(self, endpoint: int, draining: bool) -> None:
        """Write nothing new to an endpoint that drains or is gone, or do so again."""
        self.gate.set_draining(endpoint, draining)
        self.pool.set_draining(endpoint, draining)

    def forget(self, endpoint: int) -> None:
        """Keep nothing of an endpoint that is gone and that no call is in flight to."""
        self.pool.close_idle(endpoint)
        self.gate.set_draining(endpoint, False)
        self.pool.set_draining(endpoint, False)

    def hold(self, route: RouteKey, until: float) -> None:
        """Write nothing to a route before a moment."""
        self.gate.hold(route, until)

    def sweep(self, now: float) -> None:
        """Close connections that have rested for long, and forget holds that are over."""
        self.pool.sweep(now)
        self.gate.sweep(now)

    def end(self) -> None:
        """Begin nothing any more."""
        self.gate.close()

    # --- threads ----------------------------------------------------------------------------------------

    def _work(self) -> None:
        while True:
            call = self.submitted.get()
            result = self._make(call)
            with self.gate.lock:
                self.free_threads += 1
                known = self.active.pop(call.what.number, None) is not None
            if known and not call.cancelled:
                self._post(result)

    def _make(self, call: ActiveCall) -> Event:
        """Make a call; whatever fails in it, its messages get an outcome."""
        began = time.monotonic()
        match call.what:
            case StartHealthCheck() as check:
                try:
                    return self.calls.check_health(call, check)
                except Exception as error:
                    report_fault("worker", error)
                    latency_s = time.monotonic() - began
                    return HealthCheckAnswered(check.number, check.endpoint, Outcome.RESET, latency_s)
            case StartAttempt() as attempt:
                try:
                    return AttemptAnswered(attempt.number, self.calls.attempt(call, attempt))
                except Exception as error:
                    report_fault("worker", error)
                    return AttemptAnswered(attempt.number, outcomes_of_all(attempt, Outcome.RESET))
