"""A plain blocking HTTP server for fakes: a thread a connection, on loopback, at a port of the system's.

The fakes give it a handler, which answers each request by writing to its connection.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable

from juniperward.net import sockets
from juniperward.net.http_errors import ConnectionClosedError, IncompleteMessageError, MalformedMessageError
from juniperward.net.http_requests import read_request
from juniperward.net.http_values import HttpRequest
from juniperward.net.stream import Stream

BACKLOG = 256
MAX_CONNECTIONS = 10_000


class ServerConnection:
    """One connection of a client; knows when the request that is being read began."""

    def __init__(self, sock: socket.socket) -> None:
        """Read requests from a connection."""
        self.socket = sock
        self._stream = Stream(self._receive)
        self._began_at: float | None = None

    def _receive(self, size: int) -> bytes:
        """Read from the socket; remember when the first byte of a request came."""
        data = self.socket.recv(size)
        if data and self._began_at is None:
            self._began_at = time.monotonic()
        return data

    def read(self) -> tuple[HttpRequest, float]:
        """Return the next request and when its first byte came; raises OSError and the errors of `net.http`."""
        self._began_at = time.monotonic() if self._stream.buffer else None
        request = read_request(self._stream)
        assert self._began_at is not None
        return request, self._began_at

    def write(self, data: bytes) -> bool:
        """Write, and return whether all of it could be written."""
        try:
            self.socket.sendall(data)
        except OSError:
            return False
        return True

    def closed_by_peer(self) -> bool:
        """Return whether the other side has ended the connection."""
        return sockets.is_closed_by_peer(self.socket)


# Answers a request that began at a moment; False ends the connection.
Handler = Callable[[ServerConnection, HttpRequest, float], bool]


class HttpServer:
    """Listens and gives each request to a handler."""

    def __init__(self, handle: Handler, max_connections: int = MAX_CONNECTIONS) -> None:
        """Serve at most so many connections at once; further ones are closed as they come."""
        self.port = 0
        self._handle, self._max_connections = handle, max_connections
        self._lock = threading.Lock()
        self._connections: set[ServerConnection] = set()
        self._listener: socket.socket | None = None

    @property
    def address(self) -> str:
        """Where it listens, as host:port."""
        return f"127.0.0.1:{self.port}"

    def start(self) -> None:
        """Listen; after a `stop`, at the same port again."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self.port))
        listener.listen(BACKLOG)
        self.port = listener.getsockname()[1]
        self._listener = listener
        threading.Thread(target=self._accept_all, args=(listener,), daemon=True).start()

    def stop(self) -> None:
        """Refuse new connections and reset the open ones, as a process that has died."""
        if self._listener is not None:
            sockets.shutdown(self._listener)
            self._listener.close()
            self._listener = None
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            sockets.shutdown(connection.socket)

    def _accept_all(self, listener: socket.socket) -> None:
        """Accept connections until the listener closes."""
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = ServerConnection(sock)
            if self._register(connection):
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()
            else:
                sock.close()

    def _register(self, connection: ServerConnection) -> bool:
        """Count a connection as open; False where there are too many."""
        with self._lock:
            if len(self._connections) >= self._max_connections:
                return False
            self._connections.add(connection)
            return True

    def _serve(self, connection: ServerConnection) -> None:
        """Serve one connection's requests until it ends or the handler says so."""
        try:
            while True:
                request, began_at = connection.read()
                if not self._handle(connection, request, began_at) or request.close:
                    return
        except (ConnectionClosedError, IncompleteMessageError, MalformedMessageError, OSError):
            pass
        finally:
            with self._lock:
                self._connections.discard(connection)
            with contextlib.suppress(OSError):
                connection.socket.close()
