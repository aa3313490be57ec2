"""Makes calls to endpoints on threads; the loop starts and cancels them, and withdraws messages from them.

Only MAX_RUNNING_THREADS of these threads run at once; the others block, or wait for a slot.

`effect_executor.py` calls an `EndpointClient` for the effects of the reducer; results are posted as events.
"""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from juniperward.forwarder.active_call import ActiveCall
from juniperward.forwarder.answers import same_outcomes
from juniperward.forwarder.attempt_call import AttemptCalls
from juniperward.forwarder.concurrency_limit import MAX_RUNNING_THREADS, ConcurrencyLimit
from juniperward.forwarder.effects import StartAttempt, StartHealthCheck
from juniperward.forwarder.endpoint_connection import (
    MAX_LARGE_ANSWERS,
    MIN_READ_TIMEOUT_S,
    AnswerLimits,
    LargeAnswers,
)
from juniperward.forwarder.endpoint_connections import EndpointConnections
from juniperward.forwarder.events import AttemptAnswered, Event, HealthCheckAnswered
from juniperward.forwarder.health_check_call import HealthCheckCalls, health_check_without_answer
from juniperward.forwarder.model import AttemptProgress, RouteKey
from juniperward.forwarder.records import JournalRecord
from juniperward.forwarder.send_gate import SendGate
from juniperward.forwarder.spare_connections import SpareConnections
from juniperward.forwarder.telemetry import record_peak, report_fault
from juniperward.scheduler.events import Outcome


@dataclass(frozen=True, slots=True)
class EndpointClientLimits:
    """The limits of an endpoint client.

    Attributes:
        keepalive_s: the time after which endpoints close connections without a call.
        max_spare_connections: how many connections may be opened ahead of calls, to all endpoints together.
        read_timeout_s: the longest time to wait for an answer; at least MIN_READ_TIMEOUT_S is used.
        max_large_answers: how many long answers may be received at the same time.

    """

    dial_timeout_s: float
    keepalive_s: float
    max_threads: int
    max_spare_connections: int
    read_timeout_s: float = MIN_READ_TIMEOUT_S
    max_large_answers: int = MAX_LARGE_ANSWERS


class EndpointClient:
    """Makes calls on threads and posts their results; the lock of the gate guards the state of the calls.

    Attributes:
        active: the calls in flight by number.
        submitted: the calls that wait for a thread.
        threads: the number of threads, which grows up to `max_threads`.
        free_threads: the number of threads without a call; below 0, the number of calls that wait for one.

    """

    def __init__(
        self,
        limits: EndpointClientLimits,
        post: Callable[[Event], None],
        append: Callable[[JournalRecord], None],
    ) -> None:
        """Start without threads; `post` takes results, `append` writes to the journal and raises OSError."""
        self._running = ConcurrencyLimit(MAX_RUNNING_THREADS, "calls")
        blocking = self._running.blocking
        self.gate = SendGate()
        answer_limits = AnswerLimits(
            max(limits.read_timeout_s, MIN_READ_TIMEOUT_S), LargeAnswers(limits.max_large_answers), blocking
        )
        self.spares = SpareConnections(
            limits.max_spare_connections, limits.dial_timeout_s, limits.keepalive_s
        )
        self.connections = EndpointConnections(self.gate, self.spares, limits.dial_timeout_s, answer_limits)
        self.attempts = AttemptCalls(self.connections, self.gate, append)
        self.health_checks = HealthCheckCalls(self.connections, self.gate)
        self.max_threads = limits.max_threads
        self._post = post
        self.active: dict[int, ActiveCall] = {}
        self.submitted: queue.SimpleQueue[ActiveCall] = queue.SimpleQueue()
        self.threads = 0
        self.free_threads = 0

    # Called by the loop:

    def start(self, effect: StartAttempt | StartHealthCheck) -> None:
        """Make an attempt or a health check on a thread."""
        call = ActiveCall(effect)
        with self.gate.lock:
            self.active[effect.number] = call
            needs_thread = self.free_threads <= 0 and self.threads < self.max_threads
            if needs_thread:
                self.threads += 1
            else:
                self.free_threads -= 1
        if needs_thread:
            record_peak("calls", self.threads)
            self._start_thread()
        self.submitted.put(call)

    def _start_thread(self) -> None:
        try:
            threading.Thread(target=self._work, name="endpoint", daemon=True).start()
        except RuntimeError as error:
            report_fault("endpoint_threads", error)
            with self.gate.lock:
                self.threads -= 1
                self.free_threads -= 1

    def cancel(self, number: int) -> AttemptProgress:
        """Cancel a call and return its progress.

        The result of a call that waits is not posted. If some of it was written, its connection is shut down, and its
        result is what was received before that. A call that has been answered is not cancelled.
        """
        with self.gate.lock:
            call = self.active.get(number)
            if call is None or call.progress is AttemptProgress.FINISHED:
                return AttemptProgress.FINISHED
            if call.progress is AttemptProgress.WAITING:
                del self.active[number]
            call.shut_down()
            return call.progress

    def cancel_written(self) -> None:
        """Cancel all calls of which something was written; their results are posted."""
        with self.gate.lock:
            for call in self.active.values():
                if call.progress in (AttemptProgress.WRITING, AttemptProgress.WRITTEN):
                    call.shut_down()

    def withdraw(self, number: int, message: int) -> AttemptProgress:
        """Leave a message that has ended out of a call that still waits for its connection.

        Return the progress of the call; the message is left out only if that is WAITING.
        """
        with self.gate.lock:
            call = self.active.get(number)
            if call is None:
                return AttemptProgress.FINISHED
            if call.progress is AttemptProgress.WAITING:
                call.withdrawn.add(message)
            return call.progress

    def set_draining(self, endpoint: int, draining: bool) -> None:
        """Block new calls to an endpoint that is draining or was removed, or allow them again."""
        self.gate.set_draining(endpoint, draining)
        if draining:
            self.spares.close(endpoint)

    def forget(self, endpoint: int) -> None:
        """Remove the state of a removed endpoint, which must have no call in flight."""
        self.spares.close(endpoint)
        self.gate.set_draining(endpoint, False)

    def pause_route(self, route: RouteKey, until: float) -> None:
        """Block calls on a route until `until`, monotonic."""
        self.gate.pause_route(route, until)

    def remove_expired(self, now: float) -> None:
        """Remove the pauses of routes that have ended."""
        self.gate.remove_expired_pauses(now)

    def stop_sending(self) -> None:
        """Block all further calls; those already sent may still be answered."""
        self.gate.close()

    # Called on the threads:

    def _work(self) -> None:
        while True:
            call = self.submitted.get()
            with self._running:
                result = self._run(call)
            with self.gate.lock:
                self.free_threads += 1
                is_active = self.active.pop(call.effect.number, None) is not None
            if is_active:
                self._post(result)

    def _run(self, call: ActiveCall) -> Event:
        """Make a call and return its result, also after an unexpected error."""
        match call.effect:
            case StartHealthCheck() as check:
                return self._run_health_check(call, check)
            case StartAttempt() as attempt:
                return self._run_attempt(call, attempt)

    def _run_attempt(self, call: ActiveCall, attempt: StartAttempt) -> AttemptAnswered:
        try:
            outcomes = self.attempts.run(call, attempt)
        except Exception as error:
            report_fault("attempt", error)
            outcomes = same_outcomes(attempt, Outcome.RESET)
        return AttemptAnswered(attempt.number, outcomes)

    def _run_health_check(self, call: ActiveCall, check: StartHealthCheck) -> HealthCheckAnswered:
        began = time.monotonic()
        try:
            return self.health_checks.run(call, check)
        except Exception as error:
            report_fault("health_check", error)
            return health_check_without_answer(check, Outcome.RESET, began)
