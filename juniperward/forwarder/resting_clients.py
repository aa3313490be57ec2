"""Waits for input on the client connections that need no thread, on one thread with an epoll object.

A connection rests before its first byte and between requests. A connection that is to be closed lingers here: its
unread input is discarded for a short time, because a close with unread input resets the connection, and the client
may lose the answer.
"""

from __future__ import annotations

import contextlib
import select
import socket
import threading
import time
from collections.abc import Callable

from juniperward.forwarder.client_connection import ClientConnection
from juniperward.forwarder.telemetry import increment, record_peak, report_fault
from juniperward.net import sockets

# Time limits of resting connections are checked at this interval.
CHECK_INTERVAL_S = 0.1
# Connections of which input was reported and not looked at yet are at most so many.
MAX_EVENTS = 16
DISCARDED_AT_ONCE_BYTES = 65536
END_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
# Level-triggered: a report stays until its connection is unregistered, so that a poll takes nothing away.
WATCHED_EVENTS = select.EPOLLIN | select.EPOLLRDHUP


class RestingClients:
    """Connections without a thread; `add` may be called from any thread."""

    def __init__(
        self,
        serve: Callable[[ClientConnection], None],
        close: Callable[[ClientConnection], None],
        check: Callable[[float], bool],
    ) -> None:
        """Start without connections and without a thread.

        `serve` takes a connection that has input, `close` one that has lingered. `check` is called every
        CHECK_INTERVAL_S with the monotonic time; the thread ends when it returns false.
        """
        self._serve, self._close, self._check = serve, close, check
        self._epoll = select.epoll()
        # Held from taking reports until their connections are passed on or closed.
        self._taking = threading.Lock()
        self._lock = threading.Lock()
        # By descriptor; those that linger are in both tables.
        self._clients: dict[int, ClientConnection] = {}
        self._lingering: dict[int, ClientConnection] = {}
        self._discarded = bytearray(DISCARDED_AT_ONCE_BYTES)
        self._thread: threading.Thread | None = None

    @property
    def count(self) -> int:
        """The number of connections that rest or linger."""
        return len(self._clients)

    def add(self, client: ClientConnection) -> None:
        """Wait for a connection's input until its `read_deadline`; close the connection if that is impossible."""
        descriptor = client.sock.fileno()
        with self._lock:
            self._clients[descriptor] = client
            resting = len(self._clients)
        record_peak("resting_clients", resting)
        try:
            self._ensure_thread()
            self._watch(descriptor)
        except (OSError, ValueError, RuntimeError) as error:
            # If it does not rest any more, it was closed meanwhile, at the end of its time.
            if self._remove(descriptor) is client:
                report_fault("resting_clients", error)
                self._close(client)
            return
        if client.lingers:
            with self._lock:
                if self._clients.get(descriptor) is client:
                    self._lingering.setdefault(descriptor, client)

    def _watch(self, descriptor: int) -> None:
        """Have input reported; a report may still come for a former connection with the descriptor."""
        try:
            self._epoll.register(descriptor, WATCHED_EVENTS)
        except FileExistsError:
            self._epoll.modify(descriptor, WATCHED_EVENTS)

    def _ensure_thread(self) -> None:
        """Start the thread with the first connection; raises RuntimeError if the system has none."""
        if self._thread is not None:
            return
        with self._lock:
            if self._thread is None:
                thread = threading.Thread(target=self._run, name="resting_clients", daemon=True)
                thread.start()
                self._thread = thread

    def _remove(self, descriptor: int) -> ClientConnection | None:
        """Remove a connection and return it, None if it does not rest any more."""
        with self._lock:
            self._lingering.pop(descriptor, None)
            return self._clients.pop(descriptor, None)

    def close_oldest_lingering(self) -> bool:
        """Close the connection that has lingered for longest, to make room; return whether there was one."""
        descriptor = next(iter(self._lingering.copy()), None)
        client = self._remove(descriptor) if descriptor is not None else None
        if client is None:
            return False
        increment("clients_evicted")
        self._close(client)
        return True

    def _run(self) -> None:
        check_at = time.monotonic() + CHECK_INTERVAL_S
        is_running = True
        while is_running:
            try:
                if self._epoll.poll(max(check_at - time.monotonic(), 0.0), 1):
                    self.take_ready()
                now = time.monotonic()
                if now >= check_at:
                    check_at = now + CHECK_INTERVAL_S
                    self._end_expired(now)
                    is_running = self._check(now)
            except Exception as error:
                report_fault("resting_clients", error)
                time.sleep(CHECK_INTERVAL_S)
        self._epoll.close()

    def take_ready(self) -> None:
        """Pass on or close the connections that have input, without waiting for more; any thread may call it.

        Those that another thread has begun to take are passed on or closed, too, when it returns.
        """
        with self._taking:
            for descriptor, events in self._epoll.poll(0.0, MAX_EVENTS):
                with contextlib.suppress(OSError):  # It was closed meanwhile.
                    self._epoll.unregister(descriptor)
                client = self._remove(descriptor)
                if client is not None:
                    self._take_client(client, events)

    def _take_client(self, client: ClientConnection, events: int) -> None:
        if client.lingers:
            self._discard_input(client)
            return
        if events & END_EVENTS and sockets.has_read_all_input(client.sock):
            self._close(client)
            return
        client.readable_at = time.monotonic()
        client.is_readable = True
        self._serve(client)

    def _end_expired(self, now: float) -> None:
        """Close the connections that have lingered; let the other ones linger whose time for a request is over."""
        with self._lock:
            expired = [
                descriptor for descriptor, client in self._clients.items() if client.read_deadline <= now
            ]
        for descriptor in expired:
            client = self._remove(descriptor)
            if client is None:
                continue
            if client.lingers:
                self._close(client)
                continue
            increment("clients_idle" if client.served else "clients_without_request")
            # A request may arrive now; closing with it unread would reset the connection.
            client.begin_linger()
            self.add(client)

    def _discard_input(self, client: ClientConnection) -> None:
        """Discard what has arrived; close the connection at the end of input or at its limits."""
        try:
            length = client.sock.recv_into(self._discarded, 0, socket.MSG_DONTWAIT)
        except BlockingIOError:
            self.add(client)
            return
        except OSError:
            length = 0
        client.linger_bytes -= length
        if length and client.linger_bytes > 0 and time.monotonic() < client.read_deadline:
            self.add(client)
        else:
            self._close(client)
