"""Handlers of the requests to the agent's API, by verb; called by `api`, which encodes the replies.

The reducer handles status, start, stop, kill, drain, resume, roll, roll_show, roll_pause, roll_resume, roll_undo and
roll_end. The other verbs, inspect, logs, events, reload, kept, agent and shutdown, are handled here.
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

LOOP_REPLY_TIMEOUT_S = 10.0
INSPECT_TIMEOUT_S = 1.0
DEFAULT_LOG_LINES = 50
MAX_LOG_LINES = 10_000
STATUS_VERB = "status"
REDUCER_VERBS = frozenset({
    STATUS_VERB, "start", "stop", "kill", "drain", "resume", "roll", "roll_show", "roll_pause", "roll_resume",
    "roll_undo", "roll_end",
})  # fmt: skip
INSPECT_VERBS = (Verb.STATUS, Verb.DESTINATIONS, Verb.ENDPOINTS, Verb.COUNTERS)

ReloadReply = SettingsReply | SettingsRejectedReply | ErrorReply


class ApiRequest(msgspec.Struct, frozen=True):
    """The body of a client's request.

    Attributes:
        names: The instances that the request is about.
        options: The options of the verb.

    """

    names: tuple[str, ...] = ()
    options: dict[str, Any] = {}


class PendingReply:
    """The reply that a client's thread waits for.

    Attributes:
        done: Set when the loop has replied.
        response: The loop's response; until `done` is set, the response for a timeout.

    """

    def __init__(self) -> None:
        """Create the reply of a loop that has not replied yet."""
        self.done = threading.Event()
        self.response = _error(
            HTTPStatus.GATEWAY_TIMEOUT, f"the agent's loop did not reply within {LOOP_REPLY_TIMEOUT_S:g} s"
        )


class Queries:
    """Answers requests to the agent; each client's thread calls it.

    Attributes:
        dead_letters: Answers requests about dead letters; None if the settings do not enable them.

    """

    def __init__(
        self, loop: Loop, reload: Callable[[], ReloadReply], shutdown: Callable[[bool], None]
    ) -> None:
        """Register for the loop's replies.

        Args:
            loop: Executes the requests that the reducer handles.
            reload: Reads the settings file again.
            shutdown: Ends the agent; called with True, it stops the instances first.

        """
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
        loop.set_reply_function(self._handle_reply)

    def answer(self, verb: str, request: ApiRequest, user_id: int) -> ApiResponse:
        """Return the response to one request; `user_id` is the user of the client's process."""
        if verb in REDUCER_VERBS:
            return self._pass_to_reducer(verb, request)
        if verb == "kept":
            return self._dead_letter_request(request, user_id)
        handler = self._handlers.get(verb)
        if handler is not None:
            return handler(request)
        return _error(HTTPStatus.NOT_FOUND, f"no such verb: {verb}")

    # --- requests to the reducer ---------------------------------------------------------------------------

    def _pass_to_reducer(self, verb: str, request: ApiRequest) -> ApiResponse:
        """Post a request to the loop and wait for its reply."""
        pending = PendingReply()
        with self._lock:
            self._last_client += 1
            client = self._last_client
            self._pending[client] = pending
        self._loop.post(ControlRequest(client, verb, request.names, request.options))
        pending.done.wait(LOOP_REPLY_TIMEOUT_S)
        with self._lock:
            self._pending.pop(client, None)
        body = pending.response.body
        if isinstance(body, StatusReply):
            return _ok(structs.replace(body, agent=self._agent_row()))
        return pending.response

    def _handle_reply(self, client: int, response: ApiResponse) -> None:
        """Pass the loop's reply to the thread of its client; the client may have stopped waiting."""
        with self._lock:
            pending = self._pending.pop(client, None)
        if pending is not None:
            pending.response = response
            pending.done.set()

    # --- requests that are answered on the client's thread ---------------------------------------------------

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
            why = f"lines: must be a whole number from 1 to {MAX_LOG_LINES}, not {lines!r}"
            return _error(HTTPStatus.BAD_REQUEST, why)
        rejected = self._name_error(request)
        if rejected is not None:
            return rejected
        return _ok(LogReply(self._loop.launcher.tail(request.names[0], lines)))

    def _name_error(self, request: ApiRequest) -> ApiResponse | None:
        """Return an error response unless the request names exactly one known instance."""
        if len(request.names) != 1:
            return _error(
                HTTPStatus.BAD_REQUEST, f"names: must be exactly one instance, not {len(request.names)}"
            )
        name = request.names[0]
        if name not in self._loop.reducer.state.instances:
            return _error(HTTPStatus.NOT_FOUND, f"no such instance: {name}")
        return None

    def _inspect(self, request: ApiRequest) -> ApiResponse:
        """Poll an instance; `unanswered` has the first request that failed, which ends the poll."""
        rejected = self._name_error(request)
        if rejected is not None:
            return rejected
        name = request.names[0]
        body: dict[str, Any] = {"name": name, "unanswered": []}
        client = ControlClient(self._loop.settings.folder / "run" / name, INSPECT_TIMEOUT_S)
        verb = Verb.STATUS
        try:
            for verb in INSPECT_VERBS:
                answer = body_to_json(client.request(verb))
                body[verb.value] = answer if verb is Verb.STATUS else answer[verb.value]
        except ControlError as error:
            body["unanswered"] = [f"{verb.value}: {error}"]
        finally:
            client.close()
        return _ok(body)

    def _dead_letter_request(self, request: ApiRequest, user_id: int) -> ApiResponse:
        if self.dead_letters is None:
            why = "dead letters are disabled: the settings file does not set kept { on: true }"
            return _error(HTTPStatus.NOT_FOUND, why)
        return self.dead_letters.answer(request.options, _user_name(user_id))


def _ok(body: ReplyBody) -> ApiResponse:
    return ApiResponse(HTTPStatus.OK, body)


def _error(status: int, why: str) -> ApiResponse:
    return ApiResponse(status, ErrorReply(why))


def _user_name(user_id: int) -> str:
    """Return the name of a user for the audit trail; `uid NUMBER` for a user without a name."""
    try:
        return pwd.getpwuid(user_id).pw_name
    except KeyError:
        return f"uid {user_id}"
