"""The server for clients: a listener thread, a thread that waits for resting connections, and threads that serve.

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

from juniperward.forwarder.client_connection import ClientConnection
from juniperward.forwarder.client_session import (
    ClientResources,
    ClientSessions,
    NextStep,
    ServiceState,
)
from juniperward.forwarder.client_table import Capacity, ClientTable
from juniperward.forwarder.client_threads import ClientThreads
from juniperward.forwarder.codec import encode_reply
from juniperward.forwarder.config import DEFAULT_MEMORY_LIMIT_BYTES
from juniperward.forwarder.descriptors import MAX_CLOSING_CLIENTS
from juniperward.forwarder.events import Event
from juniperward.forwarder.incomplete_requests import IncompleteRequests
from juniperward.forwarder.memory_limits import divide_memory
from juniperward.forwarder.pending_requests import PendingRequests
from juniperward.forwarder.request_budget import RequestBudget
from juniperward.forwarder.request_reader import RETRY_AFTER_S
from juniperward.forwarder.resting_clients import RestingClients
from juniperward.forwarder.settings_names import SettingsNames
from juniperward.forwarder.telemetry import increment, log, report_fault
from juniperward.net import sockets
from juniperward.net.http_status import HttpStatus

BACKLOG = 512
LISTENER_JOIN_TIMEOUT_S = 0.5
ACCEPT_RETRY_DELAY_S = 0.05
# The shares of the memory limit that applies if the settings have none.
DEFAULT_MEMORY = divide_memory(DEFAULT_MEMORY_LIMIT_BYTES, 0)


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits of a server.

    Attributes:
        closing_clients: How many evicted connections may be open beyond the usual number.
        client_threads: How many threads may serve connections.
        incomplete_requests: How many requests may be awaited at once.
        request_bytes: What whole messages may take together, until the reducer has answered them.

    """

    closing_clients: int = MAX_CLOSING_CLIENTS
    client_threads: int = DEFAULT_MEMORY.client_threads
    incomplete_requests: int = DEFAULT_MEMORY.incomplete_requests
    request_bytes: int = DEFAULT_MEMORY.request_bytes


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
        self.budget = RequestBudget(limits.request_bytes)
        self.threads = ClientThreads(limits.client_threads, self._serve)
        self.incomplete = IncompleteRequests(limits.incomplete_requests, self.threads.submit)
        self.resting = RestingClients(self.threads.submit, self._close, self._check)
        resources = ClientResources(self.incomplete, self.budget, self.threads)
        self.sessions = ClientSessions(names, self.state, self.requests, resources, post)
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
            written = client is not None and self._write_answer(client, status, retry_after_s)
        self.budget.release(request)
        return written

    def accept(self, request: int, journal: Callable[[], bool]) -> bool:
        """Have `journal` write the message of a pending request, then answer 202; return whether both were done.

        `journal` returns whether it wrote the message. It is not called if the request was answered before or its
        client is gone. The connection's thread cannot reject the request meanwhile, so that the journal never has a
        message whose client was told before that it is rejected.
        """
        try:
            return self._accept_pending(request, journal)
        finally:
            self.budget.release(request)

    def _accept_pending(self, request: int, journal: Callable[[], bool]) -> bool:
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
        """Let a connection rest until its first request, or reject it if the table is full."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client, admitted = self.table.add(
            sock, self._free_capacity() if self.table.is_full else Capacity.EVICT
        )
        if not admitted:
            increment("rejections_connections")
            _reject_connection(client)
            sock.close()
            return
        self.resting.add(client)

    def _free_capacity(self) -> Capacity:
        """Close connections whose clients have left, one of which nothing more is read, or an incomplete request.

        While incomplete requests fill the table, no idle connection has to make way for further ones.
        """
        self.resting.take_ready()
        if not self.table.is_full:
            return Capacity.EVICT
        if self.resting.close_oldest_lingering() or self.incomplete.free_capacity(time.monotonic()):
            return Capacity.FREED
        return Capacity.NONE if self.incomplete.has_queued else Capacity.EVICT

    def _serve(self, client: ClientConnection) -> None:
        """Serve a connection while it needs a thread."""
        next_step = NextStep.CLOSE
        try:
            next_step = self.sessions.serve(client)
        finally:
            match next_step:
                case NextStep.REST:
                    self.resting.add(client)
                case NextStep.QUEUE:
                    self.incomplete.queue(client)
                case NextStep.YIELD:
                    self.threads.submit(client)
                case NextStep.LINGER:
                    client.begin_linger()
                    self.resting.add(client)
                case NextStep.CLOSE:
                    self._close(client)

    def _check(self, now: float) -> bool:
        """Do what is due periodically; return whether connections are still served."""
        self.incomplete.check(now)
        if not self.has_finished():
            return True
        self.threads.stop()
        return False

    def _close(self, client: ClientConnection) -> None:
        # The socket is closed first, so that connections in the table bound the number of open descriptors.
        client.sock.close()
        client.stream = None
        self.table.remove(client)


def _is_gone(client: ClientConnection) -> bool:
    """Return whether a client was evicted or has ended its side of the connection."""
    return client.evicted or sockets.is_closed_by_peer(client.sock)


def _reject_connection(client: ClientConnection) -> None:
    client.write(encode_reply(HttpStatus.SERVICE_UNAVAILABLE, RETRY_AFTER_S, True, "too many connections"))
