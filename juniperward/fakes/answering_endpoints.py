"""A fake destination whose endpoints give every answer of the protocol, whole or in part, and stray answers.

The answers are drawn at random (`planned_answers.py`), and so is the byte behind which one breaks off. Some messages
are over or out of attempts: each of their calls is answered so. An endpoint serves a connection's calls one after
another, and also sends what no call has caused, such as a second copy of an answer.
"""

from __future__ import annotations

import json
import random
import select
import socket
import struct
import threading
import time
import weakref

from juniperward.fakes.answering_spec import (
    FAST_PROBABILITY,
    MAX_AFTER_S,
    MAX_FAST_S,
    SINGLE_FORMS,
    AnsweringSpec,
    StrayForm,
)
from juniperward.fakes.discovery import ListedEndpoint
from juniperward.fakes.http_server import Handler, HttpServer, ServerConnection
from juniperward.fakes.planned_answers import (
    BATCH_STATUS_KINDS,
    SAME_FOR_ALL_PROBABILITY,
    AnswerKind,
    CallPlan,
    Ending,
    draw_kind,
    final_kind,
    plan_answer,
    plan_batch_answer,
    plan_same_for_all,
)
from juniperward.fakes.record_index import UNANSWERED
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


class AnsweringDestination:
    """A destination and its endpoints.

    Attributes:
        connections: How many connections the endpoints have served.
        calls: How many calls they have received.
        strays: How many stray answers they have sent.
        cut_answers: How many answers broke off.
    """

    def __init__(self, spec: AnsweringSpec, recorder: Recorder, seed: int) -> None:
        """Draw random values from a seed; `recorder` receives the records of calls."""
        self.spec = spec
        self.connections = self.calls = self.strays = self.cut_answers = 0
        self._recorder, self._seed, self._random = recorder, seed, random.Random(seed)
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
                self.spec.kind,
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
        messages = read_messages(request)
        number = self._recorder.next_attempt()
        self._recorder.add(
            AttemptReceived(
                now(),
                number,
                endpoint,
                self.spec.destination,
                tuple(messages),
                tuple(messages.values()),
                began_at,
            )
        )
        self._send_stray_behind_call(connection)
        plan = self._plan_call(messages)
        time.sleep(plan.service_s)
        return self._answer(connection, number, plan)

    def _answer(self, connection: ServerConnection, number: int, plan: CallPlan) -> bool:
        """Answer a call as planned; return False to close the connection."""
        if plan.kind is AnswerKind.SILENT:
            _wait_until_closed(connection)
        if plan.answer is None:
            self._recorder.add(AttemptUnanswered(now(), number))
            return False
        sent = plan.answer.data[: plan.sent_bytes]
        at = now()
        if connection.closed_by_peer() or not connection.write(sent):
            self._recorder.add(AttemptUnanswered(now(), number))
            return False
        states = plan.answer.states_after(len(sent))
        retry_after_s = plan.answer.retry_after(len(sent))
        if retry_after_s > 0 or any(state != UNANSWERED for state in states):
            self._recorder.add(AttemptAnswered(at, number, states, retry_after_s))
        else:
            self._recorder.add(AttemptUnanswered(at, number))
        if len(sent) < len(plan.answer.data):
            _end(connection, plan.ending)
            return False
        with self._lock:
            self._answers.setdefault(connection, []).append(sent)
        return self._wait_for_next_call(connection, sent)

    def _plan_call(self, messages: dict[str, str]) -> CallPlan:
        """Draw the answer to a call and its time, and record its effects."""
        with self._lock:
            self.calls += 1
            kinds = {message: self._draw_kind(key) for message, key in messages.items()}
            first = next(iter(kinds.values()))
            service_s = self._random.uniform(*self.spec.service_s)
            if self._random.random() < FAST_PROBABILITY:
                service_s = self._random.uniform(0.0, MAX_FAST_S)
            if len(kinds) > 1:
                first, kinds = self._draw_batch(kinds)
            for message, kind in kinds.items():
                self._execute(message, messages[message], kind)
            if first in (AnswerKind.SILENT, AnswerKind.DROPPED):
                return CallPlan(first, None, service_s)
            if len(kinds) == 1:
                answer = plan_answer(first, self._random)
            elif first in BATCH_STATUS_KINDS:
                answer = plan_same_for_all(first, len(kinds), self._random)
            else:
                answer = plan_batch_answer(tuple(kinds), tuple(kinds.values()), self._random)
            if self._random.random() >= self.spec.cut:
                return CallPlan(first, answer, service_s, len(answer.data))
            self.cut_answers += 1
            sent_bytes = self._random.randrange(1, len(answer.data))
            return CallPlan(first, answer, service_s, sent_bytes, self._random.choice(list(Ending)))

    def _draw_kind(self, key: str) -> AnswerKind:
        if self.spec.deduplicates and key in self._executed:
            return AnswerKind.DELIVERED
        return final_kind(self._seed, key) or draw_kind(self._random)

    def _draw_batch(self, kinds: dict[str, AnswerKind]) -> tuple[AnswerKind, dict[str, AnswerKind]]:
        """Return the kind of a batch's answer, DELIVERED if it states how each message ended, and those of these."""
        no_answer = (AnswerKind.SILENT, AnswerKind.DROPPED)
        if self._random.random() < SAME_FOR_ALL_PROBABILITY:
            kind = self._random.choice((*BATCH_STATUS_KINDS, *no_answer))
            return kind, dict.fromkeys(kinds, kind)
        stated = {
            message: AnswerKind.REJECTED if kind in no_answer else kind for message, kind in kinds.items()
        }
        return AnswerKind.DELIVERED, stated

    def _execute(self, message: str, key: str, kind: AnswerKind) -> None:
        """Record that a message takes effect, if it does."""
        may_execute = kind in (AnswerKind.ERROR, AnswerKind.SILENT, AnswerKind.DROPPED)
        executes = kind is AnswerKind.DELIVERED or (may_execute and self._random.random() < 0.5)
        if executes and not (self.spec.deduplicates and key in self._executed):
            self._executed.add(key)
            self._recorder.add(Effect(now(), self.spec.destination, message, key))

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


def read_messages(request: HttpRequest) -> dict[str, str]:
    """Return the idempotency keys of a call's messages by their ids; a message without a key has its id."""
    if request.path == "/receive-many":
        return {row["id"]: row.get("key", row["id"]) for row in json.loads(request.body)}
    message = request.headers["x-correlation-id"]
    return {message: request.headers.get("idempotency-key", message)}


def _wait_until_closed(connection: ServerConnection) -> None:
    select.select([connection.socket], [], [], MAX_IDLE_S)


def _end(connection: ServerConnection, ending: Ending) -> None:
    """Prepare the end of a connection behind a part of an answer; the server closes it."""
    match ending:
        case Ending.RESET:
            no_wait = struct.pack("ii", 1, 0)
            connection.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_wait)
        case Ending.HANG:
            _wait_until_closed(connection)
        case Ending.END:
            pass
