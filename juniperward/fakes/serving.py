"""A plain blocking HTTP server for stand-ins: a thread a connection, on loopback, at a port of the system's."""

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


class Link:
    """One connection; knows when the call that is being read began."""

    def __init__(self, sock: socket.socket) -> None:
        """Read requests from a connection."""
        self.sock = sock
        self.stream = Stream(self._receive)
        self.began: float | None = None

    def _receive(self, size: int) -> bytes:
        """Read from the socket, noting when the first byte of a call came."""
        data = self.sock.recv(size)
        if data and self.began is None:
            self.began = time.monotonic()
        return data

    def call(self) -> tuple[HttpRequest, float]:
        """The next call and when its first byte came."""
        self.began = time.monotonic() if self.stream.buffer else None
        request = read_request(self.stream)
        assert self.began is not None
        return request, self.began

    def write(self, data: bytes) -> bool:
        """Whether all of it could be written."""
        try:
            self.sock.sendall(data)
        except OSError:
            return False
        return True

    def closed_by_peer(self) -> bool:
        """Whether the other side has ended the connection."""
        return sockets.is_closed_by_peer(self.sock)


class Serving:
    """Listens and hands each call to `handle`, which writes the answer; False from it ends the connection."""

    def __init__(self, handle: Callable[[Link, HttpRequest, float], bool], most: int = 10_000) -> None:
        """Serve at most `most` connections at once; more are refused."""
        self.handle, self.most = handle, most
        self.lock = threading.Lock()
        self.links: set[Link] = set()
        self.port = 0
        self.listener: socket.socket | None = None
        self.refused = 0  # connections over `most`

    @property
    def address(self) -> str:
        """Where it listens, as host:port."""
        return f"127.0.0.1:{self.port}"

    def start(self) -> None:
        """Listen; after a `stop`, at the same port again."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", self.port))
        sock.listen(BACKLOG)
        self.port = sock.getsockname()[1]
        self.listener = sock
        threading.Thread(target=self._accept, args=(sock,), daemon=True).start()

    def stop(self) -> None:
        """Refuse new connections and reset the open ones, as a process that has died."""
        if self.listener is not None:
            sockets.shutdown(self.listener)
            self.listener.close()
            self.listener = None
        with self.lock:
            links = list(self.links)
        for link in links:
            sockets.shutdown(link.sock)

    def _accept(self, listener: socket.socket) -> None:
        """Accept connections until the listener closes; over `most`, close them at once."""
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            link = Link(sock)
            with self.lock:
                full = len(self.links) >= self.most
                self.refused += full
                if not full:
                    self.links.add(link)
            if full:
                sock.close()
                continue
            threading.Thread(target=self._serve, args=(link,), daemon=True).start()

    def _serve(self, link: Link) -> None:
        """Serve one connection's calls until it ends or the handler says so."""
        try:
            while True:
                request, began = link.call()
                if not self.handle(link, request, began) or request.close:
                    return
        except (ConnectionClosedError, IncompleteMessageError, MalformedMessageError, OSError):
            pass
        finally:
            with self.lock:
                self.links.discard(link)
            with contextlib.suppress(OSError):
                link.sock.close()
