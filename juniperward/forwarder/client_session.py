"""What happens on a client's connection, on a thread of its own: request after request, each answered once."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from juniperward.forwarder.client_connection import IDLE_S, READ_BYTES, REQUEST_S, ClientConnection
from juniperward.forwarder.codec import MESSAGE_PATH, UnreadableMessageError, decode_message, encode_reply
from juniperward.forwarder.events import Event, MessageReceived
from juniperward.forwarder.health_page import answer_page
from juniperward.forwarder.settings_names import SettingsNames
from juniperward.forwarder.telemetry import increment, report_fault
from juniperward.net import sockets
from juniperward.net.http import HttpRequest, Stream, read_request
from juniperward.net.http_errors import (
    ConnectionClosedError,
    IncompleteMessageError,
    MalformedMessageError,
    MessageTimeoutError,
)

ANSWER_TIMEOUT_S = 0.35  # for the reducer's answer; the client waits for 0.4
RETRY_AFTER_S = 1.0  # after which a client that was rejected here may come again
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(slots=True)
class ServiceState:
    """What all connections have to know of the process."""

    ready: bool = False  # the ready page says yes
    stopping: bool = False
    closing: bool = False  # answers end their connections: clients are to go elsewhere


class ClientSessions:
    """Serves connections; `serve` is called on a thread for each."""

    def __init__(self, names: SettingsNames, state: ServiceState, post: Callable[[Event], None]) -> None:
        """Post messages; `names` are those of the settings."""
        self._names, self._state, self._post = names, state, post

    def serve(self, client: ClientConnection) -> None:
        """Answer requests until the connection ends; it is not closed here."""
        stream = Stream(client.receive)
        try:
            while self._next(client, stream):
                pass
        except ConnectionClosedError:
            pass
        except (IncompleteMessageError, OSError):
            increment("clients_broken")
        except Exception as error:
            report_fault("client", error)
            client.write(encode_reply(500, 0.0, True, "internal error"))

    def _next(self, client: ClientConnection, stream: Stream) -> bool:
        """Read one request and see it answered; returns whether the connection goes on."""
        self._wait_for_bytes(client, stream)
        try:
            request = read_request(stream, lambda: client.sock.sendall(CONTINUE))
        except MalformedMessageError as error:
            increment("requests_malformed")
            client.write(encode_reply(error.status, 0.0, True, str(error)))
            client.linger()
            return False
        except MessageTimeoutError:
            increment("requests_timed_out")
            client.write(encode_reply(408, 0.0, True, "the call was not whole in time"))
            client.linger()
            return False
        received_at, client.served = time.monotonic(), True
        if request.path == MESSAGE_PATH and request.method == "POST":
            client.close = request.close
            self._take_message(client, request, received_at)
        else:
            ready = self._state.ready and not self._state.stopping
            client.write(answer_page(request, ready, request.close or self._state.stopping))
        if request.close or client.close or self._state.stopping:
            client.linger()
            return False
        return True

    def _wait_for_bytes(self, client: ClientConnection, stream: Stream) -> None:
        """Wait for the first byte of a request; raises Closed where none comes."""
        with client.lock:
            client.idle = True
        if self._state.stopping and client.served and not stream.buffer and sockets.quiet(client.sock):
            raise ConnectionClosedError
        if client.served:
            client.since = time.monotonic()
            client.read_by = client.since + IDLE_S
        while not stream.buffer:
            try:
                data = client.receive(READ_BYTES)
            except (BlockingIOError, TimeoutError):
                increment("clients_idle" if client.served else "clients_silent")
                # A request may cross this: a close over it would reset the connection.
                client.linger()
                raise ConnectionClosedError from None
            except ConnectionError as error:
                raise ConnectionClosedError from error
            if not data:
                raise ConnectionClosedError
            stream.buffer += data
        with client.lock:
            client.idle = False
        if client.served or not self._state.stopping:
            client.read_by = time.monotonic() + REQUEST_S

    def _take_message(self, client: ClientConnection, request: HttpRequest, received_at: float) -> None:
        """Have the reducer answer a message, or answer for it where it is behind."""
        close = request.close or self._state.stopping
        try:
            message = decode_message(request, self._names)
        except UnreadableMessageError as error:
            increment("requests_unreadable")
            client.write(encode_reply(400, 0.0, close, str(error)))
            return
        with client.lock:
            client.answered.clear()
            client.pending = True
        self._post(MessageReceived(client.number, message, received_at))
        if client.answered.wait(ANSWER_TIMEOUT_S):
            return
        with client.lock:
            if not client.pending:
                return
            # The reducer is behind; an answer that comes later finds nobody and is withdrawn.
            client.pending = False
            increment("rejections_overdue")
            client.write(encode_reply(503, RETRY_AFTER_S, request.close or self._state.stopping))
