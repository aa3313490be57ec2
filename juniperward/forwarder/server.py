"""The listener for clients and their connections, a thread with a small stack each.

The loop calls `answer`, `set_draining` and `has_finished`, the main thread `start`, `stop` and `close`. Messages
go to the reducer by the `post` that the server is given.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable

from juniperward.forwarder.client_connection import ClientConnection
from juniperward.forwarder.client_session import (
    RETRY_AFTER_S,
    ClientSessions,
    ServiceState,
)
from juniperward.forwarder.client_table import ClientTable
from juniperward.forwarder.codec import encode_reply
from juniperward.forwarder.descriptors import MAX_CLOSING_CLIENTS
from juniperward.forwarder.events import Event
from juniperward.forwarder.settings_names import SettingsNames
from juniperward.forwarder.telemetry import increment, log, report_fault
from juniperward.net import sockets
from juniperward.net.http_status import HttpStatus

BACKLOG = 512
ADMISSION_TIMEOUT_S = 0.5  # for the listener's thread to admit the connections that it has accepted
ACCEPT_RETRY_S = 0.05  # after accepting has failed


class Server:
    """Owns the listener and every client connection."""

    def __init__(
        self,
        listen: tuple[str, int],
        names: SettingsNames,
        max_clients: int,
        post: Callable[[Event], None],
        max_closing_clients: int = MAX_CLOSING_CLIENTS,
    ) -> None:
        """Bind and listen; no connection is accepted before `start`. Raises OSError."""
        self.table = ClientTable(max_clients, max_closing_clients)
        self.state = ServiceState()
        self.sessions = ClientSessions(names, self.state, post)
        self._closed = False
        self._accepting = threading.Thread(target=self._accept, name="listener", daemon=True)
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(listen)
        self.listener.listen(BACKLOG)

    # --- called by the loop and by the main thread ------------------------------------------------------

    def start(self) -> None:
        """Begin to accept; the ready page says yes from here on."""
        self.state.ready = True
        self._accepting.start()

    def set_draining(self, closing: bool) -> None:
        """Have the ready page say no and answers end their connections, or neither any more."""
        self.state.ready = not closing
        self.state.closing = closing

    def stop(self) -> None:
        """Close served connections once they are idle; new ones are still answered until `close`."""
        self.state.stopping = True
        for client in self.table.all():
            with client.lock:
                if client.idle and client.served:
                    client.end_reading()

    def close(self) -> None:
        """Accept no more; connections in the kernel's backlog are still answered, a close would reset them."""
        self.listener.setblocking(False)
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                self._admit_or_close(sock)
        sockets.shutdown(self.listener)
        self.listener.close()
        if self._accepting.is_alive():
            # Until it has ended, a connection that it has accepted may be missing in the table.
            self._accepting.join(ADMISSION_TIMEOUT_S)
        self._closed = True

    def has_finished(self) -> bool:
        """Return whether the listener is closed and no client is connected."""
        return self._closed and not len(self.table)

    def answer(self, number: int, status: int, retry_after_s: float = 0.0) -> bool:
        """Write the answer to a client's pending message; return whether the client got it.

        A client whose sending has ended, by itself or by an eviction, gets 503: no message is accepted from a client
        that may be gone.
        """
        client = self.table.get(number)
        if client is None:
            return False
        with client.lock:
            if not client.pending:
                return False
            client.pending = False
            disconnected = client.evicted or sockets.is_closed_by_peer(client.sock)
            if disconnected:
                status, retry_after_s = HttpStatus.SERVICE_UNAVAILABLE, RETRY_AFTER_S
                increment("clients_disconnected")
            if client.evicted or self.state.closing or self.state.stopping:
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
                log("listener", "accept failed", error=error)
                self.table.evict_one()  # mostly for want of descriptors
                time.sleep(ACCEPT_RETRY_S)
                continue
            self._admit_or_close(sock)

    def _admit_or_close(self, sock: socket.socket) -> None:
        try:
            self._admit(sock)
        except Exception as error:
            report_fault("listener", error)
            sock.close()

    def _admit(self, sock: socket.socket) -> None:
        """Serve a connection on a thread, or reject it where the table is full."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client, has_place = self.table.add(sock)
        if not has_place:
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
            # Closed before its place is given to another connection, or both would hold a descriptor.
            client.sock.close()
            self.table.remove(client)


def _reject_connection(client: ClientConnection) -> None:
    client.write(encode_reply(HttpStatus.SERVICE_UNAVAILABLE, RETRY_AFTER_S, True, "too many connections"))
