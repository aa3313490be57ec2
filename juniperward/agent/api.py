"""The agent's API: HTTP/1.1 on a Unix socket, for processes of the same user only.

`POST /v1/VERB` with a JSON object `{"names": [...], "options": {...}}`; the answer is a JSON object, with `error` in
it where the status is not 200. The verbs are those of `queries.Queries`.
"""

from __future__ import annotations

import os
import socket
import struct
import threading
import time
from collections.abc import Callable
from http import HTTPStatus
from pathlib import Path

import msgspec

from juniperward.agent.dead_letter_service import DeadLetterService
from juniperward.agent.log import log_unexpected_error
from juniperward.agent.loop import Loop
from juniperward.agent.queries import ApiRequest, Queries, ReloadReply
from juniperward.agent.replies import ApiResponse, ErrorReply
from juniperward.control.listening_socket import open_socket
from juniperward.net import sockets
from juniperward.net.http_errors import ConnectionClosedError, IncompleteMessageError, MalformedMessageError
from juniperward.net.http_requests import read_request
from juniperward.net.http_responses import encode_response
from juniperward.net.http_values import HttpRequest
from juniperward.net.stream import Stream

MAX_CLIENTS = 32
IDLE_TIMEOUT_S = 30.0
WRITE_TIMEOUT_S = 5.0
ACCEPT_RETRY_S = 0.1
PATH_PREFIX = "/v1/"
ROOT_USER = 0


def peer_credentials(sock: socket.socket) -> tuple[int, int]:
    """Return the process and the user at the other end."""
    credentials = struct.Struct("3i")
    found = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, credentials.size)
    process, user, _ = credentials.unpack(found)
    return process, user


class Api:
    """Owns the socket; a thread a client. `reload` and `shutdown` are the program's own."""

    def __init__(
        self,
        path: Path,
        loop: Loop,
        reload: Callable[[], ReloadReply],
        shutdown: Callable[[bool], None],
    ) -> None:
        """Listen at `path`; raises ControlSocketError."""
        self.queries = Queries(loop, reload, shutdown)
        self._path = path
        self._listener = open_socket(path)
        self._lock = threading.Lock()
        self._clients = 0
        self._closed = False

    def serve_dead_letters(self, service: DeadLetterService) -> None:
        """Answer requests about dead letters too, from now on."""
        self.queries.dead_letters = service

    def start(self) -> None:
        """Begin to accept."""
        threading.Thread(target=self._accept, name="api", daemon=True).start()

    def close(self) -> None:
        """Accept no more, and take the socket away."""
        self._closed = True
        sockets.shutdown(self._listener)
        self._listener.close()
        self._path.unlink(missing_ok=True)

    def _accept(self) -> None:
        while not self._closed:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                if self._closed:
                    return
                time.sleep(ACCEPT_RETRY_S)
                continue
            if self._admit():
                threading.Thread(target=self._serve, args=(sock,), name="api-client", daemon=True).start()
            else:
                sock.close()

    def _admit(self) -> bool:
        with self._lock:
            if self._clients >= MAX_CLIENTS:
                return False
            self._clients += 1
            return True

    def _serve(self, sock: socket.socket) -> None:
        try:
            with sock:
                self._serve_requests(sock)
        except (ConnectionClosedError, IncompleteMessageError, OSError):
            pass
        except Exception as error:
            log_unexpected_error("api", error)
        finally:
            with self._lock:
                self._clients -= 1

    def _serve_requests(self, sock: socket.socket) -> None:
        sockets.set_timeout(sock, socket.SO_RCVTIMEO, IDLE_TIMEOUT_S)
        sockets.set_timeout(sock, socket.SO_SNDTIMEO, WRITE_TIMEOUT_S)
        _, user = peer_credentials(sock)
        if user not in (os.geteuid(), ROOT_USER):
            why = f"user {user} has no right to this agent"
            _write(sock, ApiResponse(HTTPStatus.FORBIDDEN, ErrorReply(why)), close=True)
            return
        stream = Stream(sock.recv)
        close = False
        while not close:
            try:
                request = read_request(stream)
            except MalformedMessageError as error:
                _write(sock, ApiResponse(error.status, ErrorReply(str(error))), close=True)
                return
            close = request.close
            _write(sock, self._answer(request, user), close)

    def _answer(self, request: HttpRequest, user: int) -> ApiResponse:
        verb = request.path.removeprefix(PATH_PREFIX)
        if request.method != "POST" or verb == request.path:
            return ApiResponse(HTTPStatus.NOT_FOUND, ErrorReply("use POST /v1/VERB"))
        try:
            decoded = msgspec.json.decode(request.body or b"{}", type=ApiRequest)
        except (msgspec.DecodeError, RecursionError) as error:
            return ApiResponse(HTTPStatus.BAD_REQUEST, ErrorReply(f"the body: {error}"))
        return self.queries.answer(verb, decoded, user)


def _write(sock: socket.socket, response: ApiResponse, close: bool) -> None:
    headers = {"Content-Type": "application/json"}
    body = msgspec.json.encode(response.body)
    sock.sendall(encode_response(int(response.status), headers, body, close))
