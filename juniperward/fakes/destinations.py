"""A fake destination whose endpoints listen on loopback, with limits, deduplication and injected faults.

It records each call, answer and effect. A call above the rate limit is rejected with 429 and a Retry-After, or with
503 without one. A message whose idempotency key was received within the deduplication window is answered as delivered
and has no second effect. After an outage the capacity grows back gradually (slow start); a destination that receives
far more calls than its current capacity crashes and stays down.
"""

from __future__ import annotations

import json
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from juniperward.fakes.destination_capacity import DestinationCapacity, RateLimit
from juniperward.fakes.destination_spec import DestinationSpec, FaultMode
from juniperward.fakes.discovery import ListedEndpoint
from juniperward.fakes.http_server import HttpServer, ServerConnection
from juniperward.fakes.records import (
    AttemptAnswered,
    AttemptReceived,
    AttemptUnanswered,
    Effect,
    Recorder,
    now,
)
from juniperward.net.http_responses import encode_response
from juniperward.net.http_values import HttpRequest

FAILURE_LATENCY_S = 0.01
MAX_HANG_S = 30.0
HANG_POLL_INTERVAL_S = 0.02


@dataclass(frozen=True, slots=True)
class _Message:
    """One message of a call."""

    id: str
    key: str


@dataclass(frozen=True, slots=True)
class _Call:
    """A call that an endpoint received: its number in the records, its messages, and whether it is a batch."""

    number: int
    messages: tuple[_Message, ...]
    batch: bool


@dataclass(frozen=True, slots=True)
class _Answer:
    """An endpoint's answer to a call.

    Attributes:
        status: The HTTP status.
        state: The state of each message in the call.
        retry_after_s: The Retry-After in seconds; 0 means none.
        lists_states: Whether the body lists the messages' states, as for a batch that was served.
    """

    status: int
    state: str
    retry_after_s: float = 0.0
    lists_states: bool = False


@dataclass(frozen=True, slots=True)
class _Admission:
    """The conditions under which an endpoint serves a call.

    Attributes:
        concurrent_calls: The number of calls that the endpoint serves, including this one.
        failure_draw: A random number from 0 to 1; a failing destination fails the call if it is below the failure
            fraction.
        latency_s: The service time before queueing and slow start.
    """

    concurrent_calls: int
    failure_draw: float
    latency_s: float


class FakeDestination:
    """A destination and its endpoints."""

    def __init__(self, spec: DestinationSpec, recorder: Recorder, seed: int) -> None:
        """Draw random values from a seed; `recorder` receives the records of calls."""
        self.spec, self.recorder = spec, recorder
        self.random = random.Random(seed)
        self.lock = threading.Lock()
        self.listeners = [
            HttpServer(self._handler(number), spec.max_connections) for number in range(spec.endpoints)
        ]
        self.calls_in_service = [0] * spec.endpoints
        self.effect_times: dict[str, float] = {}  # The time of the latest effect by idempotency key.
        self.rate_limit = RateLimit(spec.rate_limit)
        self.capacity = DestinationCapacity(spec)
        self.mode = FaultMode.HEALTHY
        self.failure_fraction = 1.0
        self.rejecting_until = 0.0

    def start(self) -> list[ListedEndpoint]:
        """Start the endpoints and return their entries for the endpoint list."""
        for listener in self.listeners:
            listener.start()
        return self.listed_endpoints()

    def endpoint_id(self, number: int) -> str:
        """Return the id of endpoint `number`."""
        return f"s-{self.spec.destination}-{number}"

    def listed_endpoints(self, state: str = "Ready", number: int | None = None) -> list[ListedEndpoint]:
        """Return the entries for the endpoint list: of all endpoints, or only of endpoint `number`."""
        spec = self.spec
        numbers = range(spec.endpoints) if number is None else (number,)
        return [
            ListedEndpoint(
                self.endpoint_id(n), self.listeners[n].address, spec.destination, spec.kind, spec.rate_limit, state
            )
            for n in numbers
        ]  # fmt: skip

    def close(self) -> None:
        """End all endpoints."""
        for listener in self.listeners:
            listener.stop()

    def inject_fault(self, mode: FaultMode, seconds: float = 0.0, fraction: float = 1.0) -> None:
        """Inject a fault, or end it with HEALTHY.

        `seconds` is the fault's duration that a REJECTING destination announces in Retry-After; `fraction` is the
        fraction of the calls that a FAILING destination fails.
        """
        with self.lock:
            before = self.mode
            self.mode = mode
            self.failure_fraction = fraction
            self.rejecting_until = now() + seconds
            if mode is FaultMode.HEALTHY and before is not FaultMode.HEALTHY:
                self.capacity.begin_slow_start()
        if mode is FaultMode.DOWN:
            self.close()
        elif before is FaultMode.DOWN:
            for listener in self.listeners:
                listener.start()

    def _handler(self, number: int) -> Callable[[ServerConnection, HttpRequest, float], bool]:
        """Return the handler for calls to endpoint `number`."""
        return lambda connection, request, began_at: self._handle(number, connection, request, began_at)

    def _handle(
        self, number: int, connection: ServerConnection, request: HttpRequest, began_at: float
    ) -> bool:
        """Record a call, then reject or serve it; return False to close the connection."""
        call_number = self.recorder.next_attempt()
        try:
            call = _Call(call_number, _messages(request), request.path == "/receive-many")
        except (ValueError, KeyError, TypeError):
            return connection.write(encode_response(400, {}, b"", False))
        ids = tuple(message.id for message in call.messages)
        keys = tuple(message.key for message in call.messages)
        endpoint = self.endpoint_id(number)
        self.recorder.add(
            AttemptReceived(now(), call_number, endpoint, self.spec.destination, ids, keys, began_at)
        )
        if call.batch and len(call.messages) > self.spec.batch_size:
            return self._answer(connection, call, _Answer(413, "later"))
        match self._admit(number):
            case _Answer() as rejection:
                return self._answer(connection, call, rejection)
            case _Admission() as admission:
                try:
                    return self._serve(connection, call, admission)
                finally:
                    with self.lock:
                        self.calls_in_service[number] -= 1

    def _admit(self, number: int) -> _Answer | _Admission:
        """Return the rejection of a call to endpoint `number`, or admit the call and count it as served."""
        with self.lock:
            rejection = self._rejection(number)
            if rejection is not None:
                return rejection
            self.calls_in_service[number] += 1
            return _Admission(self.calls_in_service[number], self.random.random(), self._draw_latency())

    def _serve(self, connection: ServerConnection, call: _Call, admission: _Admission) -> bool:
        """Serve an admitted call: fail it, leave it unanswered, or apply its effects and answer 200."""
        spec = self.spec
        if self.mode is FaultMode.FAILING and admission.failure_draw < self.failure_fraction:
            time.sleep(FAILURE_LATENCY_S)
            return self._answer(connection, call, _Answer(500, "error"))
        queueing_factor = 1 + max(admission.concurrent_calls - spec.concurrency, 0) / spec.concurrency
        time.sleep(admission.latency_s * queueing_factor * self.capacity.slowdown_factor())
        if self.mode in (FaultMode.UNRESPONSIVE, FaultMode.DOWN):
            self._hang(connection, call)
            return False
        for message in call.messages:
            self._apply_effect(message)
        return self._answer(connection, call, _Answer(200, "ok", lists_states=call.batch))

    def _hang(self, connection: ServerConnection, call: _Call) -> None:
        """Leave a call unanswered while the destination is unresponsive and the caller keeps the connection open."""
        until = now() + MAX_HANG_S
        while self.mode is FaultMode.UNRESPONSIVE and not connection.closed_by_peer() and now() < until:
            time.sleep(HANG_POLL_INTERVAL_S)
        self.recorder.add(AttemptUnanswered(now(), call.number))

    def _draw_latency(self) -> float:
        """Draw a service time from a gamma distribution with the spec's mean and coefficient of variation."""
        shape = 1 / max(self.spec.latency_variation, 0.01) ** 2
        return self.random.gammavariate(shape, self.spec.latency_s / shape)

    def _apply_effect(self, message: _Message) -> None:
        """Record a message's effect, unless one with the same key is within the deduplication window."""
        at = now()
        with self.lock:
            before = self.effect_times.get(message.key)
            if before is not None and at - before < self.spec.deduplication_window_s:
                return
            self.effect_times[message.key] = at
        self.recorder.add(Effect(at, self.spec.destination, message.id, message.key))

    def _rejection(self, number: int) -> _Answer | None:
        """Return the rejection of a call to endpoint `number`, or None to serve it. The caller holds the lock."""
        at = now()
        self.capacity.count_call(at)
        if self.capacity.crashed:
            return _Answer(503, "later")
        if self.mode is FaultMode.REJECTING:
            return self._rejection_until(self.rejecting_until, at)
        if self.calls_in_service[number] >= self.spec.concurrency + self.spec.queue:
            return _Answer(503, "later")
        allowed_at = self.rate_limit.admit(at)
        return None if allowed_at is None else self._rejection_until(allowed_at, at)

    def _rejection_until(self, until: float, at: float) -> _Answer:
        """Return a rejection until a time: 429 with Retry-After, or for a random part of the calls 503 without it."""
        retry_after_s = until - at
        if retry_after_s > 0 and self.random.random() < self.spec.retry_after_fraction:
            return _Answer(429, "later", retry_after_s)
        return _Answer(503, "later")

    def _answer(self, connection: ServerConnection, call: _Call, answer: _Answer) -> bool:
        """Write an answer and record it; record the call as unanswered if the write fails."""
        retry_after_s = answer.retry_after_s
        headers = {"Retry-After": f"{retry_after_s:.3f}"} if retry_after_s > 0 else {}
        body = b""
        if answer.lists_states:
            body = json.dumps(
                [{"id": message.id, "state": answer.state} for message in call.messages]
            ).encode()
        at = now()
        written = not connection.closed_by_peer() and connection.write(
            encode_response(answer.status, headers, body, False)
        )
        if written:
            states = (answer.state,) * len(call.messages)
            self.recorder.add(AttemptAnswered(at, call.number, states, round(retry_after_s, 3)))
        else:
            self.recorder.add(AttemptUnanswered(now(), call.number))
        return written


def _messages(request: HttpRequest) -> tuple[_Message, ...]:
    """Return the messages of a call; raises ValueError, KeyError or TypeError if it is malformed."""
    if request.path == "/receive-many":
        rows = json.loads(request.body)
        return tuple(_Message(str(row["id"]), str(row.get("key", row["id"]))) for row in rows)
    message = request.headers["x-correlation-id"]
    return (_Message(message, request.headers.get("idempotency-key", message)),)
