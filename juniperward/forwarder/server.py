"""The server for clients: a listener thread, and one thread with a small stack for each connection.

`answer`, `accept`, `set_draining` and `has_finished` are called by the loop's thread; `start`, `stop` and `close` by
the main thread.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from juniperward.forwarder.body_budget import BodyBudget, body_budget_bytes
from juniperward.forwarder.client_connection import ClientConnection
from juniperward.forwarder.client_session import (
    RETRY_AFTER_S,
    ClientSessions,
    ServiceState,
)
from juniperward.forwarder.client_table import ClientTable
from juniperward.forwarder.codec import encode_reply
from juniperward.forwarder.config import DEFAULT_MEMORY_LIMIT_BYTES
from juniperward.forwarder.descriptors import MAX_CLOSING_CLIENTS
from juniperward.forwarder.events import Event
from juniperward.forwarder.pending_requests import PendingRequests
from juniperward.forwarder.settings_names import SettingsNames
from juniperward.forwarder.telemetry import increment, log, report_fault
from juniperward.net import sockets
from juniperward.net.http_status import HttpStatus

BACKLOG = 512
LISTENER_JOIN_TIMEOUT_S = 0.5
ACCEPT_RETRY_DELAY_S = 0.05


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits of a server.

    Attributes:
        closing_clients: How many evicted connections may be open beyond the usual number.
        memory_bytes: The limit on the process's memory, of which incomplete bodies may use a part.

    """

    closing_clients: int = MAX_CLOSING_CLIENTS
    memory_bytes: int = DEFAULT_MEMORY_LIMIT_BYTES


DEFAULT_LIMITS = ServerLimits()


class Server:
    """Owns the listener and all client connections."""

    def __init__(
        self,
        listen: tuple[str, int],
        names: SettingsNames,
        max_clients: int,
        post: Callable[[Event], None],
        limits: ServerLimits = DEFAULT_LIMITS,
    ) -> None:
        """Bind and listen; connections are accepted from `start` on.

        Args:
            listen: The address to bind; port 0 lets the system choose one.
            names: The names of the settings, for decoding messages.
            max_clients: The number of connections above which idle ones are evicted.
            post: Submits an event to the reducer.
            limits: Further limits.

        Raises:
            OSError: if the address cannot be bound.

        """
        self.table = ClientTable(max_clients, limits.closing_clients)
        self.state = ServiceState()
        self.requests = PendingRequests()
        self.bodies = BodyBudget(body_budget_bytes(limits.memory_bytes))
        self.sessions = ClientSessions(names, self.state, self.requests, self.bodies, post)
        self._closed = False
        self._accepting = threading.Thread(target=self._accept, name="listener", daemon=True)
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(listen)
        self.listener.listen(BACKLOG)

    # --- called by the loop's thread and the main thread ------------------------------------------------

    def start(self) -> None:
        """Start accepting connections; from now on the readiness check succeeds."""
        self.state.ready = True
        self._accepting.start()

    def set_draining(self, draining: bool) -> None:
        """Start or stop draining; while draining, the readiness check fails and answers end their connections."""
        self.state.ready = not draining
        self.state.draining = draining

    def stop(self) -> None:
        """Close idle connections that have been served; first requests are still answered until `close`."""
        self.state.stopping = True
        for client in self.table.all():
            with client.lock:
                if client.idle and client.served:
                    client.end_reading()

    def close(self) -> None:
        """Close the listener, after accepting what waits in its backlog: its close would reset those connections."""
        self.listener.setblocking(False)
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                self._admit_or_close(sock)
        sockets.shutdown(self.listener)
        self.listener.close()
        if self._accepting.is_alive():
            # The thread may have accepted a connection that is not in the table yet.
            self._accepting.join(LISTENER_JOIN_TIMEOUT_S)
        self._closed = True

    def has_finished(self) -> bool:
        """Return whether the listener is closed and all connections are closed."""
        return self._closed and not len(self.table)

    def answer(self, request: int, status: int, retry_after_s: float = 0.0) -> bool:
        """Answer a pending request by its number and return whether the answer was written as given.

        A client that was evicted or has ended its side of the connection gets status 503 instead, because no message
        may be accepted from a client that may be gone. Nothing is written if the request was answered before.
        """
        with self._locked_client(request) as client:
            return client is not None and self._write_answer(client, status, retry_after_s)

    def accept(self, request: int, journal: Callable[[], bool]) -> bool:
        """Have `journal` write the message of a pending request, then answer 202; return whether both were done.

        `journal` returns whether it wrote the message. It is not called if the request was answered before or its
        client is gone. The connection's thread cannot reject the request meanwhile, so that the journal never has a
        message whose client was told before that it is rejected.
        """
        with self._locked_client(request) as client:
            if client is None:
                return False
            is_journalled = not _is_gone(client) and journal()
            status = HttpStatus.ACCEPTED if is_journalled else HttpStatus.SERVICE_UNAVAILABLE
            written = self._write_answer(client, status, 0.0 if is_journalled else RETRY_AFTER_S)
            return is_journalled and written

    @contextlib.contextmanager
    def _locked_client(self, request: int) -> Iterator[ClientConnection | None]:
        """Hold the lock of a pending request's connection; yield None if the request is no longer pending."""
        client = self.requests.client_of(request)
        if client is None:
            increment("answers_late")
            yield None
            return
        with client.lock:
            if client.pending_request == request:
                yield client
                return
        increment("answers_late")
        yield None

    def _write_answer(self, client: ClientConnection, status: int, retry_after_s: float) -> bool:
        """End a connection's pending request with an answer; the caller holds the connection's lock."""
        self.requests.end(client)
        disconnected = _is_gone(client)
        if disconnected:
            status, retry_after_s = HttpStatus.SERVICE_UNAVAILABLE, RETRY_AFTER_S
            increment("clients_disconnected")
        if client.evicted or self.state.draining or self.state.stopping:
            client.close_after_answer = True
        written = client.write(encode_reply(status, retry_after_s, client.close_after_answer))
        client.answered.set()
        return written and not disconnected

    # --- threads ----------------------------------------------------------------------------------------

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError as error:
                if self.listener.fileno() < 0 or self.state.stopping:
                    return
                increment("accepts_failed")
                log("listener", "accept failed; retrying", error=error)
                # The usual cause is a lack of descriptors; the connection evicted here frees one.
                self.table.evict_one()
                time.sleep(ACCEPT_RETRY_DELAY_S)
                continue
            self._admit_or_close(sock)

    def _admit_or_close(self, sock: socket.socket) -> None:
        try:
            self._admit(sock)
        except Exception as error:
            report_fault("listener", error)
            sock.close()

    def _admit(self, sock: socket.socket) -> None:
        """Start a thread that serves a connection, or reject the connection if the table is full."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client, admitted = self.table.add(sock)
        if not admitted:
            increment("rejections_connections")
            _reject_connection(client)
            sock.close()
            return
        try:
            threading.Thread(target=self._serve, args=(client,), name="client", daemon=True).start()
        except RuntimeError:
            self.table.remove(client)
            _reject_connection(client)
            raise

    def _serve(self, client: ClientConnection) -> None:
        try:
            self.sessions.serve(client)
        finally:
            # The socket is closed first, so that connections in the table bound the number of open descriptors.
            client.sock.close()
            self.table.remove(client)


def _is_gone(client: ClientConnection) -> bool:
    """Return whether a client was evicted or has ended its side of the connection."""
    return client.evicted or sockets.is_closed_by_peer(client.sock)


def _reject_connection(client: ClientConnection) -> None:
    client.write(encode_reply(HttpStatus.SERVICE_UNAVAILABLE, RETRY_AFTER_S, True, "too many connections"))
