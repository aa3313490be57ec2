"""A fake of a destination: its endpoints on loopback, its limits, its deduplication and its faults.

In: a `DestinationSpec` and the calls of forwarders. Out: answers as the platform's pages have them, and a record of
each call, answer and effect. A rate limit counts over sliding spans of a second (429 with Retry-After, or 503
without); a key that comes again within the deduplication window is answered as delivered and takes no second
effect; after an outage the capacity grows from a part of the usual (slow start), and a destination that is pushed far
above it crashes and stays down. Tests, `LocalCluster` and the benchmarks start it.
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

FAILURE_LATENCY_S = 0.01  # of a call that a failing destination answers with 500
UNRESPONSIVE_FOR_S = 30.0  # for which an unresponsive endpoint leaves a connection open at most
POLL_S = 0.02


@dataclass(frozen=True, slots=True)
class _Item:
    """One message of a call."""

    id: str
    key: str


@dataclass(frozen=True, slots=True)
class _Call:
    """A call that an endpoint is serving: its record's number, its messages, and whether it is a batch."""

    number: int
    items: tuple[_Item, ...]
    batch: bool


@dataclass(frozen=True, slots=True)
class _Answer:
    """What an endpoint answers: an HTTP status, every message's state, the Retry-After in seconds (0: none).

    `lists_states` writes the states in the body, as a batch that was served answers.
    """

    status: int
    state: str
    retry_after_s: float = 0.0
    lists_states: bool = False


@dataclass(frozen=True, slots=True)
class _Admission:
    """A call that is served: how many calls its endpoint then serves, and what chance has drawn for it."""

    concurrent_calls: int
    failure_draw: float  # from 0 to 1; below the failure fraction, a failing destination fails the call
    latency_s: float


class FakeDestination:
    """One destination and its endpoints."""

    def __init__(self, spec: DestinationSpec, recorder: Recorder, seed: int) -> None:
        """Draw service times from a seed; what happens goes to `recorder`."""
        self.spec, self.recorder = spec, recorder
        self.random = random.Random(seed)
        self.lock = threading.Lock()
        self.listeners = [
            HttpServer(self._handler(number), spec.max_connections) for number in range(spec.endpoints)
        ]
        self.calls_in_service = [0] * spec.endpoints
        self.effect_times: dict[str, float] = {}  # by key
        self.rate_limit = RateLimit(spec.rate_limit)
        self.capacity = DestinationCapacity(spec)
        self.mode = FaultMode.HEALTHY
        self.failure_fraction = 1.0
        self.rejecting_until = 0.0

    def start(self) -> list[ListedEndpoint]:
        """Listen, and return the endpoints for discovery."""
        for listener in self.listeners:
            listener.start()
        return self.listed()

    def endpoint_id(self, number: int) -> str:
        """Return the id of an endpoint."""
        return f"s-{self.spec.destination}-{number}"

    def listed(self, state: str = "Ready", number: int | None = None) -> list[ListedEndpoint]:
        """Return its endpoints as the list has them, or one of them."""
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
        """Begin a fault, or with HEALTHY end it.

        `seconds` is how long a REJECTING destination says that it lasts; `fraction` of the calls FAILING fails.
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

    # --- calls ---------------------------------------------------------------------------------------------

    def _handler(self, number: int) -> Callable[[ServerConnection, HttpRequest, float], bool]:
        """Return what serves the calls of endpoint `number`."""
        return lambda connection, request, began_at: self._handle(number, connection, request, began_at)

    def _handle(
        self, number: int, connection: ServerConnection, request: HttpRequest, began_at: float
    ) -> bool:
        """Record a call, then reject or serve it; False ends the connection."""
        call_number = self.recorder.next_attempt()
        try:
            call = _Call(call_number, _items(request), request.path == "/receive-many")
        except (ValueError, KeyError, TypeError):
            return connection.write(encode_response(400, {}, b"", False))
        ids = tuple(item.id for item in call.items)
        keys = tuple(item.key for item in call.items)
        endpoint = self.endpoint_id(number)
        self.recorder.add(
            AttemptReceived(now(), call_number, endpoint, self.spec.destination, ids, keys, began_at)
        )
        if call.batch and len(call.items) > self.spec.batch_size:
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
        """Return the rejection of a call to endpoint `number`, or count it as served and return its admission."""
        with self.lock:
            rejection = self._rejection(number)
            if rejection is not None:
                return rejection
            self.calls_in_service[number] += 1
            return _Admission(self.calls_in_service[number], self.random.random(), self._draw_latency())

    def _serve(self, connection: ServerConnection, call: _Call, admission: _Admission) -> bool:
        """Serve a call that was admitted: fail it, leave it without an answer, or take effect and answer 200."""
        spec = self.spec
        if self.mode is FaultMode.FAILING and admission.failure_draw < self.failure_fraction:
            time.sleep(FAILURE_LATENCY_S)
            return self._answer(connection, call, _Answer(500, "error"))
        queued = max(admission.concurrent_calls - spec.concurrency, 0) / spec.concurrency  # in service times
        time.sleep(admission.latency_s * (1 + queued) * self.capacity.slowdown())
        if self.mode in (FaultMode.UNRESPONSIVE, FaultMode.DOWN):
            self._hang(connection, call)
            return False
        for item in call.items:
            self._take_effect(item)
        return self._answer(connection, call, _Answer(200, "ok", lists_states=call.batch))

    def _hang(self, connection: ServerConnection, call: _Call) -> None:
        """Leave a call without an answer while the destination is unresponsive and the caller waits."""
        until = now() + UNRESPONSIVE_FOR_S
        while self.mode is FaultMode.UNRESPONSIVE and not connection.closed_by_peer() and now() < until:
            time.sleep(POLL_S)
        self.recorder.add(AttemptUnanswered(now(), call.number))

    def _draw_latency(self) -> float:
        """Draw a service time in seconds: gamma-distributed with the spec's mean and coefficient of variation."""
        shape = 1 / max(self.spec.latency_variation, 0.01) ** 2
        return self.random.gammavariate(shape, self.spec.latency_s / shape)

    def _take_effect(self, item: _Item) -> None:
        """Record a message's effect, unless its key took effect within the deduplication window."""
        at = now()
        with self.lock:
            before = self.effect_times.get(item.key)
            if before is not None and at - before < self.spec.deduplication_window_s:
                return
            self.effect_times[item.key] = at
        self.recorder.add(Effect(at, self.spec.destination, item.id, item.key))

    def _rejection(self, number: int) -> _Answer | None:
        """Return the rejection of a call to endpoint `number`, or None where it is served; under the lock."""
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
        """Return a rejection: 429 with the wait until a moment, or for a fraction of the calls 503 without."""
        retry_after_s = until - at
        if retry_after_s > 0 and self.random.random() < self.spec.retry_after_fraction:
            return _Answer(429, "later", retry_after_s)
        return _Answer(503, "later")

    def _answer(self, connection: ServerConnection, call: _Call, answer: _Answer) -> bool:
        """Write an answer and record it, or record the call as hung where it could not be written."""
        retry_after_s = answer.retry_after_s
        headers = {"Retry-After": f"{retry_after_s:.3f}"} if retry_after_s > 0 else {}
        body = b""
        if answer.lists_states:
            body = json.dumps([{"id": item.id, "state": answer.state} for item in call.items]).encode()
        at = now()
        written = not connection.closed_by_peer() and connection.write(
            encode_response(answer.status, headers, body, False)
        )
        if written:
            states = (answer.state,) * len(call.items)
            self.recorder.add(AttemptAnswered(at, call.number, states, round(retry_after_s, 3)))
        else:
            self.recorder.add(AttemptUnanswered(now(), call.number))
        return written


def _items(request: HttpRequest) -> tuple[_Item, ...]:
    """Return the messages of a call; raises ValueError, KeyError or TypeError where it is malformed."""
    if request.path == "/receive-many":
        rows = json.loads(request.body)
        return tuple(_Item(str(row["id"]), str(row.get("key", row["id"]))) for row in rows)
    message = request.headers["x-correlation-id"]
    return (_Item(message, request.headers.get("idempotency-key", message)),)
