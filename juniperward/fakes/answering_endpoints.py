"""A fake destination whose endpoints also send what no call has caused, such as a second copy of an answer.

Each endpoint serves a connection's calls one after another, and decides at random before which call it sends a stray
answer, and what it is. Calls take a random time; a part of the true answers are rejections and errors.
"""

from __future__ import annotations

import random
import select
import threading
import time
import weakref
from dataclasses import dataclass
from enum import StrEnum

from juniperward.fakes.discovery import ListedEndpoint
from juniperward.fakes.http_server import Handler, HttpServer, ServerConnection
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

REQUEST_TIMEOUT_STATUS = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"
NOISE = b"\x00\xffnoise\r\n\r\n"
MAX_IDLE_S = 12.0
LISTED_RATE_PER_S = 400.0
# A stray answer behind the last byte of a call is sent within this time, while the endpoint has not read the call.
READING_S = (0.0002, 0.001)


class StrayForm(StrEnum):
    """When a stray answer is sent, and what it is.

    Attributes:
        NONE: There is none.
        AFTER: A copy of the latest answer, up to 60 ms behind it, if no byte of the next call has arrived.
        FIRST_BYTE: A copy of the latest answer, at the first byte of the next call.
        LAST_BYTE: The same, at its last byte.
        BEHIND: The same, READING_S after its last byte.
        OLDER: A copy of any earlier answer of the connection, at the first byte.
        TWICE: Two copies of the latest answer, at the first byte.
        SPLIT: A copy of the latest answer, half of it at the first byte and half behind the last.
        NOISE: Bytes that are not HTTP, at the first byte.
        INTERIM: An interim response, at the first byte.
        TIMEOUT: A 408 and a close, at the first byte; the call is not read.
        MIXED: One of the other forms, drawn for each stray answer.
    """

    NONE = "none"
    AFTER = "after"
    FIRST_BYTE = "first-byte"
    LAST_BYTE = "last-byte"
    BEHIND = "behind"
    OLDER = "older"
    TWICE = "twice"
    SPLIT = "split"
    NOISE = "noise"
    INTERIM = "interim"
    TIMEOUT = "timeout"
    MIXED = "mixed"


SINGLE_FORMS = tuple(form for form in StrayForm if form not in (StrayForm.NONE, StrayForm.MIXED))
MAX_AFTER_S = 0.06


@dataclass(frozen=True, slots=True)
class StraySpec:
    """The properties of a destination with stray answers.

    Attributes:
        form: The form of its stray answers.
        fraction: The fraction of the calls on a reused connection that meet one.
        service_s: The shortest and the longest time of a call.
        rejected, failed: The fractions of the calls that are answered 503 and never run, and 500.
        deduplicates: Whether a second call of a message has no effect.
    """

    destination: int
    form: StrayForm
    fraction: float = 0.5
    service_s: tuple[float, float] = (0.02, 0.25)
    rejected: float = 0.2
    failed: float = 0.05
    deduplicates: bool = True
    endpoints: int = 4


class StrayDestination:
    """A destination and its endpoints.

    Attributes:
        connections: How many connections the endpoints have served.
        calls: How many calls they have received.
        strays: How many stray answers they have sent.
    """

    def __init__(self, spec: StraySpec, recorder: Recorder, seed: int) -> None:
        """Draw random values from a seed; `recorder` receives the records of calls."""
        self.spec = spec
        self.connections = self.calls = self.strays = 0
        self._recorder, self._random = recorder, random.Random(seed)
        self._lock = threading.Lock()
        self._answers: weakref.WeakKeyDictionary[ServerConnection, list[bytes]] = weakref.WeakKeyDictionary()
        self._planned: weakref.WeakKeyDictionary[ServerConnection, StrayForm] = weakref.WeakKeyDictionary()
        self._executed: set[str] = set()
        self._listeners = [HttpServer(self._handler(number)) for number in range(spec.endpoints)]

    def start(self) -> list[ListedEndpoint]:
        """Start the endpoints and return their entries for the endpoint list."""
        for listener in self._listeners:
            listener.start()
        destination = self.spec.destination
        return [
            ListedEndpoint(
                f"s-{destination}-{number}",
                listener.address,
                destination,
                "small-partners",
                LISTED_RATE_PER_S,
            )
            for number, listener in enumerate(self._listeners)
        ]

    def close(self) -> None:
        """End all endpoints."""
        for listener in self._listeners:
            listener.stop()

    def _handler(self, number: int) -> Handler:
        endpoint = f"s-{self.spec.destination}-{number}"
        return lambda connection, request, began_at: self._serve(endpoint, connection, request, began_at)

    def _serve(
        self, endpoint: str, connection: ServerConnection, request: HttpRequest, began_at: float
    ) -> bool:
        """Serve a call, then wait for the first byte of the next one; return False to close the connection."""
        if request.method == "GET":  # A health check.
            return connection.write(encode_response(200, {}, b"", False))
        message = request.headers["x-correlation-id"]
        key = request.headers.get("idempotency-key", message)
        number = self._recorder.next_attempt()
        self._recorder.add(
            AttemptReceived(now(), number, endpoint, self.spec.destination, (message,), (key,), began_at)
        )
        self._send_stray_behind_call(connection)
        state, service_s = self._draw(message, key)
        time.sleep(service_s)
        status = {"ok": 200, "error": 500, "later": 503}[state]
        answer = encode_response(status, {}, b"", False)
        at = now()
        if connection.closed_by_peer() or not connection.write(answer):
            self._recorder.add(AttemptUnanswered(now(), number))
            return False
        self._recorder.add(AttemptAnswered(at, number, (state,)))
        with self._lock:
            self._answers.setdefault(connection, []).append(answer)
        return self._wait_for_next_call(connection, answer)

    def _draw(self, message: str, key: str) -> tuple[str, float]:
        """Return the state of a call and its time, and record its effect."""
        with self._lock:
            self.calls += 1
            repeat = self.spec.deduplicates and key in self._executed
            chance, service_s = self._random.random(), self._random.uniform(*self.spec.service_s)
            if not repeat and chance < self.spec.rejected:
                return "later", service_s
            executes = chance < 1 - self.spec.failed or self._random.random() < 0.5
            if executes and not repeat:
                self._executed.add(key)
                self._recorder.add(Effect(now(), self.spec.destination, message, key))
        if repeat:
            return "ok", 0.0
        return ("ok" if chance < 1 - self.spec.failed else "error"), service_s

    def _wait_for_next_call(self, connection: ServerConnection, answer: bytes) -> bool:
        form, delay_s = self._draw_stray()
        wait_s = delay_s if form is StrayForm.AFTER else MAX_IDLE_S
        readable, _, _ = select.select([connection.socket], [], [], wait_s)
        if connection.closed_by_peer():
            return False
        if form is StrayForm.AFTER:
            return bool(readable) or self._send_stray(connection, answer)
        if not readable:
            return False
        return self._send_stray_at_first_byte(connection, form, answer)

    def _draw_stray(self) -> tuple[StrayForm, float]:
        with self._lock:
            if self._random.random() >= self.spec.fraction:
                return StrayForm.NONE, 0.0
            form = self.spec.form
            if form is StrayForm.MIXED:
                form = self._random.choice(SINGLE_FORMS)
            return form, self._random.uniform(0.0, MAX_AFTER_S)

    def _send_stray_at_first_byte(self, connection: ServerConnection, form: StrayForm, answer: bytes) -> bool:
        """Send what the form sends before the call is read, or plan what it sends after that."""
        with self._lock:
            older = self._random.choice(self._answers[connection])
            self._planned[connection] = form
        data = {
            StrayForm.FIRST_BYTE: answer,
            StrayForm.OLDER: older,
            StrayForm.TWICE: answer + answer,
            StrayForm.SPLIT: answer[: len(answer) // 2],
            StrayForm.NOISE: NOISE,
            StrayForm.INTERIM: INTERIM,
            StrayForm.TIMEOUT: REQUEST_TIMEOUT_STATUS,
        }.get(form)
        written = data is None or self._send_stray(connection, data)
        return written and form is not StrayForm.TIMEOUT

    def _send_stray_behind_call(self, connection: ServerConnection) -> None:
        """Send the stray answer that was planned for the time after the call's last byte."""
        with self._lock:
            form = self._planned.pop(connection, StrayForm.NONE)
            answers = self._answers.get(connection)
            delay_s = self._random.uniform(*READING_S)
            if answers is None:
                self.connections += 1
        if not answers:
            return
        match form:
            case StrayForm.LAST_BYTE:
                self._send_stray(connection, answers[-1])
            case StrayForm.BEHIND:
                time.sleep(delay_s)
                self._send_stray(connection, answers[-1])
            case StrayForm.SPLIT:
                connection.write(answers[-1][len(answers[-1]) // 2 :])
            case _:
                pass

    def _send_stray(self, connection: ServerConnection, data: bytes) -> bool:
        with self._lock:
            self.strays += 1
        return connection.write(data)
