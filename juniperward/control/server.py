"""The server of the control channel: a Unix socket, with one thread per client.

`on_request` passes requests on as events of the forwarder's reducer, and `answer` returns its answers. A
client can delay only itself: it has its own thread, request rate and time limits, and this thread, not the
forwarder's loop, encodes the answers.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from pathlib import Path

from juniperward.control.codec import MAX_REQUEST_BYTES, decode_request, read_frame
from juniperward.control.errors import ProtocolError
from juniperward.control.listening_socket import open_socket
from juniperward.control.protocol import Answer, Request
from juniperward.control.server_connection import ServerConnection
from juniperward.net import sockets

MAX_CLIENTS = 8
ACCEPT_INTERVAL_S = 0.01  # bounds the cost of a flood of connections
ACCEPT_RETRY_DELAY_S = 0.1
ANSWER_TIMEOUT_S = 5.0


class ControlServer:
    """The listening socket and its clients; `_lock` guards the table of clients."""

    def __init__(
        self,
        path: Path,
        on_request: Callable[[int, Request], None],
        increment: Callable[[str], None],
        report_fault: Callable[[str, BaseException], None],
    ) -> None:
        """Open the socket; raises ControlSocketError.

        `on_request` is called with the client's number and the request, in the client's thread. `increment`
        counts an event by the counter's name. `report_fault` reports an unexpected error.
        """
        self.path = path
        self._on_request, self._increment, self._report_fault = on_request, increment, report_fault
        self._listener = open_socket(path)
        self._lock = threading.Lock()
        self.clients: dict[int, ServerConnection] = {}
        self._last_number = 0
        self._closed = False

    def start(self) -> None:
        """Start the thread that accepts connections."""
        threading.Thread(target=self._accept_connections, name="control", daemon=True).start()

    def close(self) -> None:
        """Stop accepting connections and remove the socket; existing connections stay open."""
        self._closed = True
        sockets.shutdown(self._listener)
        self._listener.close()
        with contextlib.suppress(OSError):
            self.path.unlink()

    def answer(self, number: int, answer: Answer) -> None:
        """Pass an answer to the client's thread without blocking; drop it if no request waits for it."""
        with self._lock:
            client = self.clients.get(number)
        if client is None:
            return
        with client.lock:
            if client.pending_id == answer.id:
                client.pending_id = None
                client.answer = answer
                client.answered.set()

    def _accept_connections(self) -> None:
        while not self._closed:
            try:
                sock, _ = self._listener.accept()
            except OSError as error:
                if self._closed:
                    return
                self._report_fault("control", error)
                time.sleep(ACCEPT_RETRY_DELAY_S)
                continue
            try:
                self._admit(sock)
            except Exception as error:
                self._report_fault("control", error)
                sock.close()
            time.sleep(ACCEPT_INTERVAL_S)

    def _admit(self, sock: socket.socket) -> None:
        self._increment("control_clients")
        with self._lock:
            if len(self.clients) >= MAX_CLIENTS:
                self._evict()
            self._last_number += 1
            client = ServerConnection(self._last_number, sock)
            self.clients[client.number] = client
        threading.Thread(target=self._serve, args=(client,), name="control-client", daemon=True).start()

    def _evict(self) -> None:
        """Close the connection of the client that has been idle the longest; the caller holds `_lock`."""
        client = min(self.clients.values(), key=lambda candidate: candidate.idle_since)
        self._increment("control_clients_evicted")
        sockets.shutdown(client.sock)
        del self.clients[client.number]

    def _serve(self, client: ServerConnection) -> None:
        try:
            while self._serve_next(client):
                client.idle_since = time.monotonic()
        except (OSError, EOFError):
            pass
        except Exception as error:
            self._report_fault("control", error)
        finally:
            with self._lock:
                self.clients.pop(client.number, None)
            client.sock.close()

    def _serve_next(self, client: ServerConnection) -> bool:
        """Serve one request; return whether to keep the connection for another one."""
        try:
            request = decode_request(read_frame(client.read_exactly, MAX_REQUEST_BYTES))
        except ProtocolError as error:
            self._increment("control_requests_unreadable")
            client.write(Answer(0, None, str(error)))
            return False
        self._increment("control_requests")
        wait_s = client.take_token_s()
        if wait_s > 0:
            self._increment("control_requests_throttled")
            time.sleep(wait_s)
        answer = self._request_answer(client, request)
        if answer is None:
            client.write(Answer(request.id, None, "the forwarder's loop did not answer in time"))
            return False
        client.write(answer)
        return True

    def _request_answer(self, client: ServerConnection, request: Request) -> Answer | None:
        """Return the reducer's answer to a request, or None if it does not come within ANSWER_TIMEOUT_S."""
        with client.lock:
            client.answered.clear()
            client.pending_id = request.id
        self._on_request(client.number, request)
        if not client.answered.wait(ANSWER_TIMEOUT_S):
            with client.lock:
                client.pending_id = None
            return None
        answer, client.answer = client.answer, None
        return answer
