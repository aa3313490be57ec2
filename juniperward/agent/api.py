"""The agent's API: HTTP/1.1 on a Unix socket, for the agent's user and root.

A request is `POST /v1/VERB` with a JSON object `{"names": [...], "options": {...}}`. The response is a JSON object,
with the key `error` if the status is not 200. `queries.Queries` implements the verbs.
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
ACCEPT_RETRY_DELAY_S = 0.1
PATH_PREFIX = "/v1/"
ROOT_UID = 0


def peer_credentials(sock: socket.socket) -> tuple[int, int]:
    """Return the process id and the user id of the connected client."""
    credentials = struct.Struct("3i")
    option = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, credentials.size)
    process_id, user_id, _ = credentials.unpack(option)
    return process_id, user_id


class Api:
    """The API's server: owns the listening socket and serves each client on a thread of its own."""

    def __init__(
        self,
        path: Path,
        loop: Loop,
        reload: Callable[[], ReloadReply],
        shutdown: Callable[[bool], None],
    ) -> None:
        """Listen on a Unix socket; connections are accepted from `start` on.

        Args:
            path: The path of the socket.
            loop: Executes the requests that change the fleet.
            reload: Reads the settings file again.
            shutdown: Ends the agent; called with True, it stops the instances first.

        Raises:
            ControlSocketError: if the socket cannot be opened.

        """
        self.queries = Queries(loop, reload, shutdown)
        self._path = path
        self._listener = open_socket(path)
        self._lock = threading.Lock()
        self._clients = 0
        self._closed = False

    def serve_dead_letters(self, service: DeadLetterService) -> None:
        """Answer requests about dead letters with `service`; until then they are rejected."""
        self.queries.dead_letters = service

    def start(self) -> None:
        """Accept connections on a background thread."""
        threading.Thread(target=self._accept, name="api", daemon=True).start()

    def close(self) -> None:
        """Stop accepting connections and remove the socket; open connections are left to their threads."""
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
                time.sleep(ACCEPT_RETRY_DELAY_S)
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
        _, user_id = peer_credentials(sock)
        if user_id not in (os.geteuid(), ROOT_UID):
            why = f"permission denied: user {user_id} is neither the user of this agent nor root"
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
            _write(sock, self._answer(request, user_id), close)

    def _answer(self, request: HttpRequest, user_id: int) -> ApiResponse:
        verb = request.path.removeprefix(PATH_PREFIX)
        if request.method != "POST" or verb == request.path:
            return ApiResponse(HTTPStatus.NOT_FOUND, ErrorReply("use POST /v1/VERB"))
        try:
            decoded = msgspec.json.decode(request.body or b"{}", type=ApiRequest)
        except (msgspec.DecodeError, RecursionError) as error:
            return ApiResponse(HTTPStatus.BAD_REQUEST, ErrorReply(f"request body: {error}"))
        return self.queries.answer(verb, decoded, user_id)


def _write(sock: socket.socket, response: ApiResponse, close: bool) -> None:
    headers = {"Content-Type": "application/json"}
    body = msgspec.json.encode(response.body)
    sock.sendall(encode_response(int(response.status), headers, body, close))
