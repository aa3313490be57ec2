"""What a client may request of the agent, by verb; `api` calls it, and encodes the replies.

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
from msgspec import structs

from juniperward.agent import processes
from juniperward.agent.dead_letter_service import DeadLetterService
from juniperward.agent.events import ControlRequest
from juniperward.agent.loop import Loop
from juniperward.agent.replies import (
    AgentRow,
    ApiResponse,
    DoneReply,
    ErrorReply,
    EventsReply,
    LogReply,
    ReplyBody,
    SettingsRejectedReply,
    SettingsReply,
    StatusReply,
)
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

ReloadReply = SettingsReply | SettingsRejectedReply | ErrorReply


class ApiRequest(msgspec.Struct, frozen=True):
    """The body of a client's request."""

    names: tuple[str, ...] = ()
    options: dict[str, Any] = {}


class PendingReply:
    """A client that waits for the loop's reply; answered at most once."""

    def __init__(self) -> None:
        """Begin with the response that is sent where the loop replies too late."""
        self.done = threading.Event()
        self.response = _error(HTTPStatus.GATEWAY_TIMEOUT, "the agent's loop did not answer in time")


class Queries:
    """Answers requests, and passes orders to the loop; used by a thread a client."""

    def __init__(
        self, loop: Loop, reload: Callable[[], ReloadReply], shutdown: Callable[[bool], None]
    ) -> None:
        """Take the loop's replies; `reload` and `shutdown` are the program's own."""
        self.dead_letters: DeadLetterService | None = None
        self._loop, self._reload, self._shutdown = loop, reload, shutdown
        self._lock = threading.Lock()
        self._pending: dict[int, PendingReply] = {}
        self._last_client = 0
        self._started_at = time.time()
        self._handlers: dict[str, Callable[[ApiRequest], ApiResponse]] = {
            "inspect": self._inspect,
            "logs": self._logs,
            "events": self._events,
            "reload": self._reload_settings,
            "agent": lambda _: _ok(self._agent_row()),
            "shutdown": self._shut_down,
        }
        loop.set_reply_function(self._replied)

    def answer(self, verb: str, request: ApiRequest, user: int) -> ApiResponse:
        """Answer one request of a user, given by number."""
        if verb in ORDERS:
            return self._order(verb, request)
        if verb == "kept":
            return self._dead_letter_request(request, user)
        handler = self._handlers.get(verb)
        if handler is not None:
            return handler(request)
        return _error(HTTPStatus.NOT_FOUND, f"no such verb: {verb}")

    # --- orders of the reducer -----------------------------------------------------------------------------

    def _order(self, verb: str, request: ApiRequest) -> ApiResponse:
        """Have the loop follow an order, and wait for its reply."""
        pending = PendingReply()
        with self._lock:
            self._last_client += 1
            client = self._last_client
            self._pending[client] = pending
        self._loop.post(ControlRequest(client, verb, request.names, request.options))
        pending.done.wait(ANSWER_TIMEOUT_S)
        with self._lock:
            self._pending.pop(client, None)
        body = pending.response.body
        if isinstance(body, StatusReply):
            return _ok(structs.replace(body, agent=self._agent_row()))
        return pending.response

    def _replied(self, client: int, response: ApiResponse) -> None:
        """Take in the loop's reply to a client."""
        with self._lock:
            pending = self._pending.pop(client, None)
        if pending is not None:
            pending.response = response
            pending.done.set()

    # --- requests that the loop need not answer --------------------------------------------------------------

    def _agent_row(self) -> AgentRow:
        usage = processes.usage(os.getpid())
        settings = self._loop.settings
        return AgentRow(
            name=settings.name,
            file=str(settings.file),
            pid=os.getpid(),
            uptime_s=round(time.time() - self._started_at, 3),
            cpu_s=usage.cpu_s,
            resident_bytes=usage.resident_bytes,
            threads=threading.active_count(),
        )

    def _events(self, request: ApiRequest) -> ApiResponse:
        since = request.options.get("since", 0)
        return _ok(EventsReply(self._loop.event_log.since(since if isinstance(since, int) else 0)))

    def _reload_settings(self, _: ApiRequest) -> ApiResponse:
        reply = self._reload()
        status = HTTPStatus.OK if isinstance(reply, SettingsReply) else HTTPStatus.BAD_REQUEST
        return ApiResponse(status, reply)

    def _shut_down(self, request: ApiRequest) -> ApiResponse:
        self._shutdown(bool(request.options.get("instances")))
        return _ok(DoneReply("shutdown"))

    def _logs(self, request: ApiRequest) -> ApiResponse:
        lines = request.options.get("lines", DEFAULT_LOG_LINES)
        if len(request.names) == 1 and not (isinstance(lines, int) and 0 < lines <= MAX_LOG_LINES):
            why = f"lines: a number from 1 to {MAX_LOG_LINES} is needed"
            return _error(HTTPStatus.BAD_REQUEST, why)
        rejected = self._name_error(request)
        if rejected is not None:
            return rejected
        return _ok(LogReply(self._loop.launcher.tail(request.names[0], lines)))

    def _name_error(self, request: ApiRequest) -> ApiResponse | None:
        """Return the response to a request that does not name one known instance; None where it does."""
        if len(request.names) != 1:
            return _error(HTTPStatus.BAD_REQUEST, "names: one instance is needed")
        name = request.names[0]
        if name not in self._loop.reducer.state.instances:
            return _error(HTTPStatus.NOT_FOUND, f"no such instance: {name}")
        return None

    def _inspect(self, request: ApiRequest) -> ApiResponse:
        """Return what an instance answers when polled now; `unanswered` names what it does not."""
        rejected = self._name_error(request)
        if rejected is not None:
            return rejected
        name = request.names[0]
        body: dict[str, Any] = {"name": name, "unanswered": []}
        client = ControlClient(self._loop.settings.folder / "run" / name, INSPECT_TIMEOUT_S)
        verb = Verb.STATUS
        try:
            for verb in INSPECTED:
                found = body_to_json(client.request(verb))
                body[verb.value] = found if verb is Verb.STATUS else found[verb.value]
        except ControlError as error:
            body["unanswered"] = [f"{verb.value}: {error}"]
        finally:
            client.close()
        return _ok(body)

    def _dead_letter_request(self, request: ApiRequest, user: int) -> ApiResponse:
        if self.dead_letters is None:
            why = "nothing is kept: the settings have no kept { on: true }"
            return _error(HTTPStatus.NOT_FOUND, why)
        return self.dead_letters.answer(request.options, _user_name(user))


def _ok(body: ReplyBody) -> ApiResponse:
    return ApiResponse(HTTPStatus.OK, body)


def _error(status: int, why: str) -> ApiResponse:
    return ApiResponse(status, ErrorReply(why))


def _user_name(user: int) -> str:
    """Return the name of a user, as the audit trail has it."""
    try:
        return pwd.getpwuid(user).pw_name
    except KeyError:
        return f"uid {user}"
