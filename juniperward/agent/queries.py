"""What a client may ask of the agent, by verb.

Verbs: status, start, stop, kill, drain, resume, roll, roll_show, roll_pause, roll_resume, roll_undo, roll_end (orders
of the reducer), and inspect, logs, events, reload, kept, agent, shutdown.
"""

from __future__ import annotations

import os
import pwd
import threading
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import msgspec

from juniperward.agent import processes
from juniperward.agent.dead_letter_service import DeadLetterService
from juniperward.agent.events import ControlRequest
from juniperward.agent.loop import Loop
from juniperward.control.client import ControlClient
from juniperward.control.codec import body_to_json
from juniperward.control.errors import ControlError
from juniperward.control.protocol import Verb

ANSWER_TIMEOUT_S = 10.0  # for the loop's answer
INSPECT_TIMEOUT_S = 1.0  # for an instance's own answers
DEFAULT_LOG_LINES = 50
MAX_LOG_LINES = 10_000
STATUS_VERB = "status"
ORDERS = frozenset({
    STATUS_VERB, "start", "stop", "kill", "drain", "resume", "roll", "roll_show", "roll_pause", "roll_resume",
    "roll_undo", "roll_end",
})  # fmt: skip
INSPECTED = (Verb.STATUS, Verb.DESTINATIONS, Verb.ENDPOINTS, Verb.COUNTERS)

Answer = tuple[int, dict[str, Any]]  # HTTP status, JSON object


class Question(msgspec.Struct, frozen=True):
    """The body of a request."""

    names: tuple[str, ...] = ()
    options: dict[str, Any] = {}


class PendingReply:
    """A client that waits for the loop's reply; answered at most once."""

    def __init__(self) -> None:
        """Begin with the reply that stands where the loop gives none in time."""
        self.done = threading.Event()
        self.status: int = HTTPStatus.GATEWAY_TIMEOUT
        self.body: dict[str, Any] = {"error": "the agent's loop did not answer in time"}


class Queries:
    """Answers questions and passes orders on to the loop; used by a thread a client."""

    def __init__(
        self, loop: Loop, reload: Callable[[], dict[str, Any]], shutdown: Callable[[bool], None]
    ) -> None:
        """Take the loop's replies; `reload` and `shutdown` are the program's own."""
        self.dead_letters: DeadLetterService | None = None
        self._loop, self._reload, self._shutdown = loop, reload, shutdown
        self._lock = threading.Lock()
        self._pending: dict[int, PendingReply] = {}
        self._last_client = 0
        self._began = time.time()
        self._handlers: dict[str, Callable[[Question], Answer]] = {
            "inspect": self._inspect,
            "logs": self._logs,
            "events": self._events,
            "reload": self._reload_settings,
            "agent": lambda _: (HTTPStatus.OK, self._agent()),
            "shutdown": self._shut_down,
        }
        loop.reply_through(self._replied)

    def answer(self, verb: str, question: Question, user: int) -> Answer:
        """Answer one request of a user, given by number."""
        if verb in ORDERS:
            return self._order(verb, question)
        if verb == "kept":
            return self._of_dead_letters(question, user)
        if (handler := self._handlers.get(verb)) is not None:
            return handler(question)
        return HTTPStatus.NOT_FOUND, {"error": f"no such verb: {verb}"}

    # --- orders of the reducer -----------------------------------------------------------------------------

    def _order(self, verb: str, question: Question) -> Answer:
        """Have the loop follow an order, and wait for its reply."""
        pending = PendingReply()
        with self._lock:
            self._last_client += 1
            client = self._last_client
            self._pending[client] = pending
        self._loop.post(ControlRequest(client, verb, question.names, question.options))
        pending.done.wait(ANSWER_TIMEOUT_S)
        with self._lock:
            self._pending.pop(client, None)
        if verb == STATUS_VERB and pending.status == HTTPStatus.OK:
            return HTTPStatus.OK, {"agent": self._agent(), **pending.body}
        return pending.status, pending.body

    def _replied(self, client: int, status: int, body: dict[str, Any]) -> None:
        """Take in the loop's reply to a client."""
        with self._lock:
            pending = self._pending.pop(client, None)
        if pending is not None:
            pending.status, pending.body = status, body
            pending.done.set()

    # --- questions that need no order ----------------------------------------------------------------------

    def _agent(self) -> dict[str, Any]:
        cpu_s, resident_bytes = processes.usage(os.getpid())
        settings = self._loop.settings
        return {
            "name": settings.name,
            "file": str(settings.file),
            "pid": os.getpid(),
            "up": round(time.time() - self._began, 3),
            "cpu_seconds": cpu_s,
            "resident_bytes": resident_bytes,
            "threads": threading.active_count(),
        }

    def _events(self, question: Question) -> Answer:
        since = question.options.get("since", 0)
        return HTTPStatus.OK, {"events": self._loop.notes.since(since if isinstance(since, int) else 0)}

    def _reload_settings(self, _: Question) -> Answer:
        body = self._reload()
        return (HTTPStatus.BAD_REQUEST if "error" in body else HTTPStatus.OK), body

    def _shut_down(self, question: Question) -> Answer:
        self._shutdown(bool(question.options.get("instances")))
        return HTTPStatus.OK, {"done": "shutdown"}

    def _logs(self, question: Question) -> Answer:
        lines = question.options.get("lines", DEFAULT_LOG_LINES)
        if len(question.names) == 1 and not (isinstance(lines, int) and 0 < lines <= MAX_LOG_LINES):
            why = f"lines: a number from 1 to {MAX_LOG_LINES} is needed"
            return HTTPStatus.BAD_REQUEST, {"error": why}
        fault = self._fault_of_names(question)
        if fault is not None:
            return fault
        return HTTPStatus.OK, {"lines": self._loop.launcher.tail(question.names[0], lines)}

    def _fault_of_names(self, question: Question) -> Answer | None:
        """Return the answer to a question that does not name one known instance."""
        if len(question.names) != 1:
            return HTTPStatus.BAD_REQUEST, {"error": "names: one instance is needed"}
        name = question.names[0]
        if name not in self._loop.reducer.state.instances:
            return HTTPStatus.NOT_FOUND, {"error": f"no such instance: {name}"}
        return None

    def _inspect(self, question: Question) -> Answer:
        """Return all that an instance tells, asked of it now; what it does not answer is named."""
        fault = self._fault_of_names(question)
        if fault is not None:
            return fault
        name = question.names[0]
        body: dict[str, Any] = {"name": name, "unanswered": []}
        client = ControlClient(self._loop.settings.folder / "run" / name, INSPECT_TIMEOUT_S)
        verb = Verb.STATUS
        try:
            for verb in INSPECTED:
                found = body_to_json(client.ask(verb))
                body[verb.value] = found if verb is Verb.STATUS else found[verb.value]
        except ControlError as error:
            body["unanswered"] = [f"{verb.value}: {error}"]
        finally:
            client.close()
        return HTTPStatus.OK, body

    def _of_dead_letters(self, question: Question, user: int) -> Answer:
        if self.dead_letters is None:
            why = "nothing is kept: the settings have no kept { on: true }"
            return HTTPStatus.NOT_FOUND, {"error": why}
        return self.dead_letters.answer(question.options, _user_name(user))


def _user_name(user: int) -> str:
    """Return the name of a user, as the audit trail has it."""
    try:
        return pwd.getpwuid(user).pw_name
    except KeyError:
        return f"uid {user}"
