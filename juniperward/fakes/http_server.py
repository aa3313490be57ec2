"""A blocking HTTP server for fakes, with a thread per connection, on a free port of the loopback interface.

A handler answers each request by writing to the connection.
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
    """A connection of a client; it measures when each request began to arrive."""

    def __init__(self, sock: socket.socket) -> None:
        """Read requests from an accepted socket."""
        self.socket = sock
        self._stream = Stream(self._receive)
        self._began_at: float | None = None

    def _receive(self, size: int) -> bytes:
        """Read from the socket; note the time of the first byte of a request."""
        data = self.socket.recv(size)
        if data and self._began_at is None:
            self._began_at = time.monotonic()
        return data

    def read(self) -> tuple[HttpRequest, float]:
        """Return the next request and the time of its first byte; raises OSError or an error of `net.http_errors`."""
        self._began_at = time.monotonic() if self._stream.buffer else None
        request = read_request(self._stream)
        assert self._began_at is not None
        return request, self._began_at

    def write(self, data: bytes) -> bool:
        """Write all of `data`; return False if the connection failed."""
        try:
            self.socket.sendall(data)
        except OSError:
            return False
        return True

    def closed_by_peer(self) -> bool:
        """Return whether the client has closed the connection."""
        return sockets.is_closed_by_peer(self.socket)


# Answers a request, given the time of its first byte; returns False to close the connection.
Handler = Callable[[ServerConnection, HttpRequest, float], bool]


class HttpServer:
    """Accepts connections and passes each request to a handler."""

    def __init__(self, handle: Handler, max_connections: int = MAX_CONNECTIONS) -> None:
        """Serve up to `max_connections` connections at the same time; further ones are closed at once."""
        self.port = 0
        self._handle, self._max_connections = handle, max_connections
        self._lock = threading.Lock()
        self._connections: set[ServerConnection] = set()
        self._listener: socket.socket | None = None

    @property
    def address(self) -> str:
        """The listening address, as host:port."""
        return f"127.0.0.1:{self.port}"

    def start(self) -> None:
        """Listen on a free port, or after a `stop` on the same port as before."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self.port))
        listener.listen(BACKLOG)
        self.port = listener.getsockname()[1]
        self._listener = listener
        threading.Thread(target=self._accept_all, args=(listener,), daemon=True).start()

    def stop(self) -> None:
        """Refuse new connections and shut the open ones down, as after a crash of the process."""
        if self._listener is not None:
            sockets.shutdown(self._listener)
            self._listener.close()
            self._listener = None
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            sockets.shutdown(connection.socket)

    def _accept_all(self, listener: socket.socket) -> None:
        """Accept connections until the listener is closed."""
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
        """Add an open connection, or return False if there are too many."""
        with self._lock:
            if len(self._connections) >= self._max_connections:
                return False
            self._connections.add(connection)
            return True

    def _serve(self, connection: ServerConnection) -> None:
        """Serve the requests of a connection until it is closed or the handler returns False."""
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
