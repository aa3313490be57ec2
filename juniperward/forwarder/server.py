"""The listener and the clients' connections, a thread with a small stack each."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable

from juniperward.forwarder.client_connection import ClientConnection
from juniperward.forwarder.client_session import RETRY_AFTER_S, ClientSessions, ServiceState
from juniperward.forwarder.client_table import ClientTable
from juniperward.forwarder.codec import encode_reply
from juniperward.forwarder.descriptors import MOST_LEAVING
from juniperward.forwarder.events import Event
from juniperward.forwarder.settings_names import SettingsNames
from juniperward.forwarder.telemetry import increment, log, report_fault
from juniperward.net import sockets

BACKLOG = 512
ADMISSION_TIMEOUT_S = 0.5  # in which the listener's thread lets in whom it has accepted
ACCEPT_RETRY_S = 0.05  # after accepting has failed
HTTP_UNAVAILABLE = 503


class Server:
    """Owns the listener and every client connection."""

    def __init__(
        self,
        listen: tuple[str, int],
        names: SettingsNames,
        max_clients: int,
        post: Callable[[Event], None],
        max_leaving: int = MOST_LEAVING,
    ) -> None:
        """Bind and listen; raises OSError. Nobody is accepted before `start`."""
        self.table = ClientTable(max_clients, max_leaving)
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

    def close_connections(self, closing: bool) -> None:
        """Have the ready page say no (or yes again); clients that come all the same are sent elsewhere."""
        self.state.ready, self.state.closing = not closing, closing

    def stop(self) -> None:
        """Close kept connections once idle; new ones are still answered until `close`."""
        self.state.stopping = True
        for client in self.table.all():
            with client.lock:
                if client.idle and client.served:
                    client.end_reading()

    def close(self) -> None:
        """Accept no more; who stands in the kernel's line is still answered, or a close would reset them."""
        self.listener.setblocking(False)
        with contextlib.suppress(OSError):
            while True:
                self._admit_or_close(self.listener.accept()[0])
        sockets.shut(self.listener)
        self.listener.close()
        if self._accepting.is_alive():
            # Whom it has accepted is not in the table yet, and would seem to be nobody.
            self._accepting.join(ADMISSION_TIMEOUT_S)
        self._closed = True

    def alone(self) -> bool:
        """Return whether nobody is here and nobody can come."""
        return self._closed and not len(self.table)

    def answer(self, number: int, status: int, retry_after_s: float = 0.0) -> bool:
        """Write the answer that a client waits for; returns whether it was there to be told."""
        client = self.table.get(number)
        if client is None:
            return False
        with client.lock:
            if not client.pending:
                return False
            client.pending = False
            left = client.leaving or sockets.ended(client.sock)
            if left:
                # Its sending has ended, by it or by us: nothing is accepted for one that may be gone.
                status, retry_after_s = HTTP_UNAVAILABLE, RETRY_AFTER_S
                increment("clients_left")
            client.close = client.close or client.leaving or self.state.closing or self.state.stopping
            told = client.write(encode_reply(status, retry_after_s, client.close))
            client.answered.set()
        return told and not left

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
                self.table.spare_one()  # mostly for want of descriptors
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
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client, placed = self.table.add(sock)
        if not placed:
            increment("rejections_connections")
            client.write(encode_reply(HTTP_UNAVAILABLE, RETRY_AFTER_S, True, "too many connections"))
            sock.close()
            return
        try:
            threading.Thread(target=self._serve, args=(client,), name="client", daemon=True).start()
        except RuntimeError:
            self.table.remove(client)
            client.write(encode_reply(HTTP_UNAVAILABLE, RETRY_AFTER_S, True, "too many connections"))
            raise

    def _serve(self, client: ClientConnection) -> None:
        try:
            self.sessions.serve(client)
        finally:
            client.sock.close()  # before its place is given to another, or both would hold a descriptor
            self.table.remove(client)
