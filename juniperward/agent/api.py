"""The agent's API: HTTP/1.1 on a Unix socket, for processes of the same user only.

`POST /v1/VERB` with a JSON object `{"names": [...], "options": {...}}`; the answer is a JSON object, with `error` in
it where the status is not 200. Verbs: status, start, stop, kill, drain, resume, roll, roll_show, roll_pause,
roll_resume, roll_undo, roll_end (orders of the reducer), and inspect, logs, events, reload, agent, shutdown.
"""

from __future__ import annotations

import os
import pwd
import socket
import struct
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import structlog

from juniperward.agent import processes
from juniperward.agent.dead_letter_service import DeadLetterService
from juniperward.agent.loop import Loop
from juniperward.agent.messages import ControlRequest
from juniperward.control.client import ControlClient, Refused, Silent
from juniperward.control.protocol import ProtocolError, Verb
from juniperward.control.server import open_socket
from juniperward.net import sockets
from juniperward.net.http import (
    ConnectionClosedError,
    HttpRequest,
    IncompleteMessageError,
    MalformedMessageError,
    Stream,
    encode_response,
    read_request,
)

MOST_CLIENTS = 32
IDLE = 30.0  # seconds
WRITE = 5.0
PATIENCE = 10.0  # seconds for the loop's answer
INSPECT = 1.0  # seconds for an instance's own answers
ORDERS = {
    "status", "start", "stop", "kill", "drain", "resume", "roll", "roll_show", "roll_pause", "roll_resume",
    "roll_undo", "roll_end",
}  # fmt: skip


class Question(msgspec.Struct, frozen=True):
    """The body of a call."""

    names: tuple[str, ...] = ()
    options: dict[str, Any] = {}


def _user(uid: int) -> str:
    """The name of a user, as the audit trail has it."""
    try:
        return pwd.getpwuid(uid).pw_name
    except KeyError:
        return f"uid {uid}"


class Waiting:
    """A client that waits for the loop."""

    def __init__(self) -> None:
        self.done = threading.Event()
        self.status, self.body = 504, {"error": "the agent's loop did not answer in time"}


def peer(sock: socket.socket) -> tuple[int, int]:
    """Process and user at the other end."""
    pid, uid, _ = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
    return pid, uid


class Api:
    """Owns the socket; a thread a client. `reload` and `shutdown` are the program's own."""

    def __init__(
        self,
        path: Path,
        loop: Loop,
        reload: Callable[[int], dict[str, Any]],
        shutdown: Callable[[bool], None],
    ) -> None:
        self.loop, self.reload, self.shutdown = loop, reload, shutdown
        self.listener = open_socket(path)
        self.path = path
        self.lock = threading.Lock()
        self.waiting: dict[int, Waiting] = {}
        self.last = self.clients = 0
        self.closed = False
        self.began = time.time()
        loop.reply = self.answer
        self.kept: DeadLetterService | None = None

    def start(self) -> None:
        """Begin to accept."""
        threading.Thread(target=self._accept, name="api", daemon=True).start()

    def close(self) -> None:
        """Accept no more, and take the socket away."""
        self.closed = True
        sockets.shut(self.listener)
        self.listener.close()
        self.path.unlink(missing_ok=True)

    def answer(self, client: int, status: int, body: dict[str, Any]) -> None:
        """The loop's answer to a client."""
        with self.lock:
            waiting = self.waiting.pop(client, None)
        if waiting is not None:
            waiting.status, waiting.body = status, body
            waiting.done.set()

    def _accept(self) -> None:
        while not self.closed:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                if self.closed:
                    return
                time.sleep(0.1)
                continue
            with self.lock:
                full = self.clients >= MOST_CLIENTS
                self.clients += not full
            if full:
                sock.close()
                continue
            threading.Thread(target=self._serve, args=(sock,), name="api-client", daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        try:
            sockets.limit(sock, socket.SO_RCVTIMEO, IDLE)
            sockets.limit(sock, socket.SO_SNDTIMEO, WRITE)
            _, uid = peer(sock)
            if uid not in (os.geteuid(), 0):
                self._write(sock, 403, {"error": f"user {uid} has no right to this agent"}, True)
                return
            stream = Stream(sock.recv)
            while True:
                try:
                    asked = read_request(stream)
                except MalformedMessageError as error:
                    self._write(sock, error.status, {"error": str(error)}, True)
                    return
                status, body = self._handle(asked, uid)
                self._write(sock, status, body, asked.close)
                if asked.close:
                    return
        except (ConnectionClosedError, IncompleteMessageError, OSError):
            pass
        except Exception as error:
            structlog.get_logger().error("unexpected", where="api", error=repr(error))
        finally:
            sock.close()
            with self.lock:
                self.clients -= 1

    @staticmethod
    def _write(sock: socket.socket, status: int, body: dict[str, Any], close: bool) -> None:
        headers = {"Content-Type": "application/json"}
        sock.sendall(encode_response(status, headers, msgspec.json.encode(body), close))

    def _handle(self, asked: HttpRequest, uid: int) -> tuple[int, dict[str, Any]]:
        verb = asked.path.removeprefix("/v1/")
        if asked.method != "POST" or verb == asked.path:
            return 404, {"error": "use POST /v1/VERB"}
        try:
            q = msgspec.json.decode(asked.body or b"{}", type=Question)
        except (msgspec.DecodeError, RecursionError) as error:
            return 400, {"error": f"the body: {error}"}
        if verb in ORDERS:
            return self._order(verb, q)
        match verb:
            case "inspect" if len(q.names) == 1:
                return self._inspect(q.names[0])
            case "logs" if len(q.names) == 1:
                lines = q.options.get("lines", 50)
                if not isinstance(lines, int) or not 0 < lines <= 10_000:
                    return 400, {"error": "lines: a number from 1 to 10000 is needed"}
                if q.names[0] not in self.loop.reducer.state.instances:
                    return 404, {"error": f"no such instance: {q.names[0]}"}
                return 200, {"lines": self.loop.launcher.tail(q.names[0], lines)}
            case "inspect" | "logs":
                return 400, {"error": "names: one instance is needed"}
            case "events":
                since = q.options.get("since", 0)
                return 200, {"events": self.loop.notes.since(since if isinstance(since, int) else 0)}
            case "reload":
                body = self.reload(0)
                return (400 if "error" in body else 200), body
            case "kept":
                if self.kept is None:
                    return 404, {"error": "nothing is kept: the settings have no kept { on: true }"}
                return self.kept.answer(q.options, _user(uid))
            case "agent":
                return 200, self._agent()
            case "shutdown":
                self.shutdown(bool(q.options.get("instances")))
                return 200, {"done": "shutdown"}
        return 404, {"error": f"no such verb: {verb}"}

    def _order(self, verb: str, q: Question) -> tuple[int, dict[str, Any]]:
        waiting = Waiting()
        with self.lock:
            self.last += 1
            client = self.last
            self.waiting[client] = waiting
        self.loop.post(ControlRequest(client, verb, q.names, q.options))
        waiting.done.wait(PATIENCE)
        with self.lock:
            self.waiting.pop(client, None)
        if verb == "status" and waiting.status == 200:
            return 200, {"agent": self._agent(), **waiting.body}
        return waiting.status, waiting.body

    def _agent(self) -> dict[str, Any]:
        cpu, resident = processes.usage(os.getpid())
        s = self.loop.settings
        return {
            "name": s.name, "file": str(s.file), "pid": os.getpid(), "up": round(time.time() - self.began, 3),
            "cpu_seconds": cpu, "resident_bytes": resident, "threads": threading.active_count(),
        }  # fmt: skip

    def _inspect(self, name: str) -> tuple[int, dict[str, Any]]:
        """All that an instance tells, asked of it now; what it does not answer is named."""
        if name not in self.loop.reducer.state.instances:
            return 404, {"error": f"no such instance: {name}"}
        body: dict[str, Any] = {"name": name, "unanswered": []}
        client = ControlClient(self.loop.settings.folder / "run" / name, INSPECT)
        try:
            for verb in (Verb.STATUS, Verb.DESTINATIONS, Verb.WORKERS, Verb.COUNTERS):
                found = msgspec.to_builtins(client.ask(verb))
                body[verb.value] = found if verb is Verb.STATUS else found[verb.value]
        except (Silent, Refused, ProtocolError) as error:
            body["unanswered"] = [f"{verb.value}: {error}"]
        finally:
            client.close()
        return 200, body
