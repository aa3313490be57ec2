"""One call to an endpoint, on a thread of its own: a connection, what is written on it, and its answer."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from dataclasses import replace

from juniperward.forwarder.answers import (
    outcomes_of_all,
    read_health,
    read_outcomes,
    read_report,
    read_retry_after,
)
from juniperward.forwarder.batch import encode_batch
from juniperward.forwarder.connection_pool import LONGEST_READ_S, ConnectionPool, EndpointConnection
from juniperward.forwarder.effects import StartAttempt, StartHealthCheck
from juniperward.forwarder.events import HealthCheckAnswered
from juniperward.forwarder.model import AttemptProgress, BatchItem, ItemOutcome
from juniperward.forwarder.records import AttemptStartedRecord, JournalRecord
from juniperward.forwarder.send_gate import SendGate, route_of
from juniperward.forwarder.telemetry import increment, log
from juniperward.forwarder.trace import Trace
from juniperward.net import sockets
from juniperward.net.http_errors import IncompleteMessageError, MalformedMessageError
from juniperward.net.http_requests import encode_request
from juniperward.net.http_responses import read_response
from juniperward.net.http_values import HttpResponse
from juniperward.scheduler.events import Outcome

HTTP_OK = 200


class ActiveCall:
    """A call in the hands of a thread; guarded by the gate's lock."""

    def __init__(self, what: StartAttempt | StartHealthCheck) -> None:
        """Begin before anything is written."""
        self.what = what
        self.sock: socket.socket | None = None
        self.cancelled = False
        self.progress = AttemptProgress.WAITING
        self.withdrawn: set[int] = set()  # messages that are over and must not be written


class EndpointCalls:
    """Makes calls; its methods may be called by any number of threads at once."""

    def __init__(
        self,
        pool: ConnectionPool,
        gate: SendGate,
        dial_timeout_s: float,
        append: Callable[[JournalRecord], None],
        longest_read_s: float = LONGEST_READ_S,
    ) -> None:
        """Take connections from a pool; `append` writes to the journal and raises OSError."""
        self._pool, self._gate = pool, gate
        self.dial_timeout_s, self.append = dial_timeout_s, append
        self.longest_read_s = max(longest_read_s, LONGEST_READ_S)
        self.trace: Trace | None = None

    # --- attempts ---------------------------------------------------------------------------------------

    def attempt(self, call: ActiveCall, what: StartAttempt) -> tuple[ItemOutcome, ...]:
        """Make an attempt; returns the outcomes of all its messages."""
        connection, fresh = self._connect(call)
        if connection is None:
            return outcomes_of_all(what, Outcome.CONNECT_FAILED, written=False)
        if not fresh:
            increment("connections_reused")
        items = self._begin(call, what)
        if not items:
            # It waited behind a dial: what came meanwhile from discovery or the endpoint binds it.
            increment("attempts_withheld")
            self._pool.put_back(what.endpoint, connection)
            return outcomes_of_all(what, Outcome.NOT_SENT, written=False)
        if len(items) == len(what.items):
            return self._exchange(call, what, connection, fresh)
        # What ended meanwhile was told its end: sent on now it would execute, and be brought a second time.
        increment("batch_items_withdrawn", len(what.items) - len(items))
        outcomes = {o.message: o for o in outcomes_of_all(what, Outcome.NOT_SENT, written=False)}
        exchanged = self._exchange(call, replace(what, items=items), connection, fresh)
        return tuple((outcomes | {o.message: o for o in exchanged}).values())

    def _begin(self, call: ActiveCall, what: StartAttempt) -> tuple[BatchItem, ...]:
        """Begin to write, unless that is barred by now; returns the messages that may still be written.

        They are journalled here, before their first byte and not when the scheduler decided: a process killed
        while a call waits for its connection leaves its messages unattempted.
        """
        now = time.monotonic()
        with self._gate.lock:
            if call.cancelled or not self._gate.is_open(what, now):
                return ()
            items = []
            for item in what.items:
                if item.message in call.withdrawn or now >= item.start_before:
                    continue
                try:
                    self.append(AttemptStartedRecord(item.content.id, now, what.endpoint_id))
                except OSError as error:  # written without its record it would come back as unattempted
                    increment("journal_failures")
                    log("journal", "attempt not recorded", message=item.content.id, error=error)
                    break
                items.append(item)
            if items:
                call.progress = AttemptProgress.WRITING
            return tuple(items)

    def _exchange(
        self, call: ActiveCall, what: StartAttempt, connection: EndpointConnection, fresh: bool
    ) -> tuple[ItemOutcome, ...]:
        """Write a call and read its answer; the connection is put back, or closed."""
        try:
            connection.sock.sendall(_encode(what, time.monotonic()))
        except OSError:
            connection.close()
            return outcomes_of_all(what, Outcome.CONNECT_FAILED)
        with self._gate.lock:
            call.progress = AttemptProgress.WRITTEN
        try:
            answer = read_response(connection.stream, connection.answer_begun)
        except (IncompleteMessageError, MalformedMessageError, OSError) as error:
            connection.close()
            return self._unread(call, what, error)
        if self.trace is not None:
            self.trace.answered(what.number, fresh, answer.status, answer.close, f"{answer.headers}")
        if (
            connection.stream.buffer
        ):  # more than one answer, also late: what is behind must not be the next call's
            increment("answers_with_excess")
        self._release(call, connection, answer)
        return read_outcomes(what, answer, fresh)

    @staticmethod
    def _unread(call: ActiveCall, what: StartAttempt, error: Exception) -> tuple[ItemOutcome, ...]:
        if not call.cancelled:
            increment("answers_incomplete")
            log("endpoint", "answer incomplete", endpoint=f"{what.host}:{what.port}", error=error)
        # A first line with 200 has delivered a single message, whatever becomes of the rest.
        delivered = len(what.items) == 1 and getattr(error, "status", None) == HTTP_OK
        return outcomes_of_all(what, Outcome.OK if delivered else Outcome.RESET)

    # --- health checks ----------------------------------------------------------------------------------

    def check_health(self, call: ActiveCall, what: StartHealthCheck) -> HealthCheckAnswered:
        """Make a health check: it counts as a call, so it heeds drains and holds, and uses an idle connection."""
        began = time.monotonic()
        connection, fresh = self._connect(call)
        if connection is None:
            return _health(what, Outcome.CONNECT_FAILED, began)
        with self._gate.lock:
            barred = call.cancelled or not self._gate.is_open(what, time.monotonic())
        if barred:
            increment("health_checks_withheld")
            self._pool.put_back(what.endpoint, connection)
            return _health(what, Outcome.NOT_SENT, began)
        connection.deadline = what.deadline
        try:
            request = encode_request("GET", "/health/live", f"{what.host}:{what.port}", {}, None)
            connection.sock.sendall(request)
            answer = read_response(connection.stream, connection.answer_begun)
            connection.deadline = None
        except (IncompleteMessageError, MalformedMessageError, OSError) as error:
            connection.close()
            return _health(what, self._unread_health(what, fresh, error), began)
        increment("health_checks_answered")
        self._release(call, connection, answer)
        return _health(what, read_health(answer, fresh), began, answer)

    @staticmethod
    def _unread_health(what: StartHealthCheck, fresh: bool, error: Exception) -> Outcome:
        if time.monotonic() >= what.deadline:  # the stream tells a read that took too long as broken
            return Outcome.TIMEOUT
        increment("health_checks_incomplete")
        log("health_check", "answer incomplete", endpoint=f"{what.host}:{what.port}", error=error)
        return Outcome.CONNECT_FAILED if fresh and isinstance(error, ConnectionError) else Outcome.RESET

    # --- connections ------------------------------------------------------------------------------------

    def _connect(self, call: ActiveCall) -> tuple[EndpointConnection | None, bool]:
        """Return a connection, None where there is none to be had, and whether it is a fresh one."""
        address = (call.what.host, call.what.port)
        connection = self._pool.take(call.what.endpoint, address)
        if connection is None:
            return self._dial(call, address), True
        call.sock = connection.sock
        return connection, False

    def _dial(self, call: ActiveCall, address: tuple[str, int]) -> EndpointConnection | None:
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:  # for want of descriptors: nothing of the call was written
            increment("dials_failed")
            log("dial", "no socket", endpoint=f"{address[0]}:{address[1]}", error=error)
            return None
        call.sock = sock
        left_s = min(self.dial_timeout_s, call.what.deadline - time.monotonic())
        try:
            if call.cancelled or left_s <= 0:
                raise TimeoutError
            sockets.connect(*address, left_s, sock)
            # What was left for this dial must not bound what is written on the connection later.
            sockets.set_timeout(sock, socket.SO_SNDTIMEO, self.dial_timeout_s)
            sockets.set_timeout(sock, socket.SO_RCVTIMEO, self.longest_read_s)
        except OSError as error:
            sock.close()
            increment("dials_failed")
            log("dial", "failed", endpoint=f"{address[0]}:{address[1]}", error=error or "too late")
            return None
        increment("connections_opened")
        return EndpointConnection(sock, address, self.longest_read_s)

    def _release(self, call: ActiveCall, connection: EndpointConnection, answer: HttpResponse) -> None:
        """Let a connection rest or close it; hold a route from the moment its Retry-After is read.

        Not from when the loop gets to the answer: between the two, other threads write what the scheduler decided
        before it knew, on a busy process for longer than the 100 ms that the rule lets through.
        """
        if answer.close or call.cancelled or connection.stream.buffer:
            connection.close()
        else:
            self._pool.put_back(call.what.endpoint, connection)
        retry_after_s = read_retry_after(answer.headers)
        if retry_after_s > 0:
            self._gate.hold(route_of(call.what), time.monotonic() + retry_after_s)


def _health(
    what: StartHealthCheck, outcome: Outcome, began: float, answer: HttpResponse | None = None
) -> HealthCheckAnswered:
    latency_s = time.monotonic() - began
    if answer is None:
        return HealthCheckAnswered(what.number, what.endpoint, outcome, latency_s)
    report = read_report(answer.headers)
    return HealthCheckAnswered(
        what.number,
        what.endpoint,
        outcome,
        latency_s,
        report.capacity_left,
        report.limit_per_s,
        read_retry_after(answer.headers),
    )


def _encode(what: StartAttempt, now: float) -> bytes:
    """Return a call as it is written: a single message, or several in one body."""
    headers = {"X-Time-Left": f"{max(what.deadline - now, 0.001):.3f}"}
    host = f"{what.host}:{what.port}"
    if len(what.items) == 1:
        message = what.items[0].content
        headers["X-Correlation-Id"] = message.id
        if message.idempotency_key is not None:
            headers["Idempotency-Key"] = message.idempotency_key
        return encode_request("POST", "/receive", host, headers, message.body)
    headers["Content-Type"] = "application/json"
    body = encode_batch(item.content for item in what.items)
    return encode_request("POST", "/receive-many", host, headers, body)
