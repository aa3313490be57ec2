"""Reads and answers the requests of a client connection, one at a time, on the connection's thread.

A message is posted to the reducer as `MessageReceived` with the number of its request, and the loop writes its answer
(`server.py`). All other requests, and messages that the reducer does not answer in time, are answered here.

Only MAX_RUNNING_THREADS of these threads run at once; the others block, or wait for a slot.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from juniperward.forwarder.body_budget import BodyBudget
from juniperward.forwarder.client_connection import (
    IDLE_TIMEOUT_S,
    READ_BYTES,
    REQUEST_TIMEOUT_S,
    ClientConnection,
)
from juniperward.forwarder.codec import MESSAGE_PATH, UnreadableMessageError, decode_message, encode_reply
from juniperward.forwarder.concurrency_limit import MAX_RUNNING_THREADS, ConcurrencyLimit
from juniperward.forwarder.events import Event, MessageReceived
from juniperward.forwarder.health_page import answer_page
from juniperward.forwarder.pending_requests import PendingRequests
from juniperward.forwarder.settings_names import SettingsNames
from juniperward.forwarder.telemetry import increment, report_fault
from juniperward.net import sockets
from juniperward.net.http_errors import (
    ConnectionClosedError,
    IncompleteMessageError,
    MalformedMessageError,
    MessageTimeoutError,
)
from juniperward.net.http_requests import RequestHooks, read_request
from juniperward.net.http_status import HttpStatus
from juniperward.net.http_values import HttpRequest
from juniperward.net.stream import Stream

# The time limit for the reducer's answer to a message. It is shorter than the 0.4 s that clients wait.
ANSWER_TIMEOUT_S = 0.35
# The Retry-After of rejections that are not made by the reducer.
RETRY_AFTER_S = 1.0
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(slots=True)
class ServiceState:
    """The service's state, which all connections read.

    Attributes:
        ready: Whether the readiness check succeeds while the forwarder is not stopping.
        stopping: Whether the process is shutting down.
        draining: Whether each answer to a message ends its connection, so that clients connect elsewhere.

    """

    ready: bool = False
    stopping: bool = False
    draining: bool = False


class ClientSessions:
    """Serves client connections; `serve` is called on a separate thread for each connection."""

    def __init__(
        self,
        names: SettingsNames,
        state: ServiceState,
        requests: PendingRequests,
        bodies: BodyBudget,
        post: Callable[[Event], None],
    ) -> None:
        """Decode messages with the names of the settings, and submit them to the reducer with `post`."""
        self._bodies = bodies
        self._names, self._state, self._requests, self._post = names, state, requests, post
        self._limit = ConcurrencyLimit(MAX_RUNNING_THREADS, "clients")

    def serve(self, client: ClientConnection) -> None:
        """Answer requests until the connection ends; the caller closes the socket."""
        with self._limit:
            self._serve(client)

    def _serve(self, client: ClientConnection) -> None:
        stream = Stream(lambda size: self._receive(client, size))
        try:
            hooks = self._hooks(client)
            while self._serve_next(client, stream, hooks):
                pass
        except ConnectionClosedError:
            pass
        except (IncompleteMessageError, OSError):
            increment("clients_broken")
        except Exception as error:
            report_fault("client", error)
            client.write(encode_reply(HttpStatus.INTERNAL_SERVER_ERROR, 0.0, True, "internal error"))

    def _serve_next(self, client: ClientConnection, stream: Stream, hooks: RequestHooks) -> bool:
        """Read one request and wait until it is answered; return whether the connection stays open."""
        self._wait_for_request(client, stream)
        try:
            request = read_request(stream, hooks)
        except MalformedMessageError as error:
            increment("requests_malformed")
            self._reject(client, error.status, str(error))
            return False
        except MessageTimeoutError:
            increment("requests_timed_out")
            self._reject(client, HttpStatus.REQUEST_TIMEOUT, "the call was not whole in time")
            return False
        except IncompleteMessageError:
            if not client.given_up:
                raise
            self._reject(client, HttpStatus.SERVICE_UNAVAILABLE, "too many incomplete requests")
            return False
        client.served = True
        if request.path == MESSAGE_PATH and request.method == "POST":
            client.close_after_answer = request.close
            self._serve_message(client, request)
        else:
            ready = self._state.ready and not self._state.stopping
            client.write(answer_page(request, ready, request.close or self._state.stopping))
        if request.close or client.close_after_answer or self._state.stopping:
            self._linger(client)
            return False
        return True

    def _hooks(self, client: ClientConnection) -> RequestHooks:
        return RequestHooks(
            lambda: self._send_continue(client), lambda length: self._bodies.reserved(client, length)
        )

    def _wait_for_request(self, client: ClientConnection, stream: Stream) -> None:
        """Wait for the first byte of a request; raises ConnectionClosedError if the connection ends before it."""
        with client.lock:
            client.idle = True
        if self._state.stopping and client.served and not stream.buffer and sockets.is_reusable(client.sock):
            raise ConnectionClosedError
        if client.served:
            client.idle_since = time.monotonic()
            client.read_deadline = client.idle_since + IDLE_TIMEOUT_S
        while not stream.buffer:
            stream.buffer += self._receive_first(client)
        with client.lock:
            client.idle = False
        if client.served or not self._state.stopping:
            client.read_deadline = time.monotonic() + REQUEST_TIMEOUT_S

    def _serve_message(self, client: ClientConnection, request: HttpRequest) -> None:
        """Submit a message to the reducer, and reject it if the reducer does not answer in time.

        Its time left counts from when its last bytes were received, and not from the end of the wait for a slot.
        """
        close = request.close or self._state.stopping
        try:
            message = decode_message(request, self._names)
        except UnreadableMessageError as error:
            increment("requests_unreadable")
            client.write(encode_reply(HttpStatus.BAD_REQUEST, 0.0, close, str(error)))
            return
        self._post(MessageReceived(self._requests.add(client), message, client.received_at))
        with self._limit.blocking:
            answered = client.answered.wait(ANSWER_TIMEOUT_S)
        if answered:
            return
        with client.lock:
            if client.pending_request is None:
                return
            # The reducer's answer is then dropped as late, and the message is withdrawn.
            self._requests.end(client)
            increment("rejections_overdue")
            close = request.close or self._state.stopping
            client.write(encode_reply(HttpStatus.SERVICE_UNAVAILABLE, RETRY_AFTER_S, close))

    def _reject(self, client: ClientConnection, status: int, text: str) -> None:
        """Reject a request that cannot be read, and prepare the connection for its close."""
        client.write(encode_reply(status, 0.0, True, text))
        self._linger(client)

    def _receive_first(self, client: ClientConnection) -> bytes:
        """Return the first bytes of a request; raises ConnectionClosedError at end of input or the time limit."""
        try:
            data = self._receive(client, READ_BYTES)
        except (BlockingIOError, TimeoutError):
            increment("clients_idle" if client.served else "clients_without_request")
            # A request may arrive now; closing with it unread would reset the connection.
            self._linger(client)
            raise ConnectionClosedError from None
        except ConnectionError as error:
            raise ConnectionClosedError from error
        if not data:
            raise ConnectionClosedError
        return data

    # --- calls that may block ---------------------------------------------------------------------------

    def _receive(self, client: ClientConnection, size: int) -> bytes:
        with self._limit.blocking:
            return client.receive(size)

    def _send_continue(self, client: ClientConnection) -> None:
        with self._limit.blocking:
            client.sock.sendall(CONTINUE)

    def _linger(self, client: ClientConnection) -> None:
        with self._limit.blocking:
            client.linger()
