"""Bad clients: `bad_clients_2.py PORT CONNECTIONS SECONDS KIND`. They send at full speed and read what they are sent.

KIND `no-id` sends a request without an id, with 2,500 header lines in 12.5 KB, and the same again once it is
answered. KIND `half` sends a head of 18 KB in short lines and half of the body that it names, and stays until it is
answered or closed; then it connects anew.
"""

from __future__ import annotations

import itertools
import selectors
import socket
import sys
import time

NAME_CHARACTERS = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"


def no_id() -> bytes:
    """Return a request without an id."""
    return b"POST /api HTTP/1.1\r\n" + b"a:b\r\n" * 2500 + b"Content-Length: 0\r\n\r\n"


def half() -> bytes:
    """Return a request of which the second half of the body is missing."""
    names = ["".join(pair) for pair in itertools.product(NAME_CHARACTERS, repeat=2)]
    lines = [f"{name}:{number % 256:02x}" for number, name in enumerate(names)]
    head = "POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: 65536\r\n" + "\r\n".join(lines) + "\r\n\r\n"
    return head.encode() + bytes(32768)


class BadClients:
    """Keeps a number of connections to a port busy with one request."""

    def __init__(self, port: int, request: bytes) -> None:
        """Start without connections."""
        self._port, self._request = port, request
        self._selector = selectors.DefaultSelector()

    def connect(self) -> None:
        """Open a connection and send the request."""
        sock = socket.socket()
        try:
            sock.connect(("127.0.0.1", self._port))
            sock.sendall(self._request)
        except OSError:
            sock.close()
            return
        self._selector.register(sock, selectors.EVENT_READ, sock)

    def serve(self, until: float) -> None:
        """Answer each answer with the same request, and each close with a new connection."""
        while time.monotonic() < until:
            for key, _ in self._selector.select(0.1):
                self._read(key.data)

    def _read(self, sock: socket.socket) -> None:
        try:
            data = sock.recv(65536)
            if data and b"onnection: close" not in data:
                sock.sendall(self._request)
        except OSError:
            data = b""
        if not data:
            self._selector.unregister(sock)
            sock.close()
            self.connect()


def main() -> None:
    """Run for the time given."""
    port, connections, seconds, kind = sys.argv[1:]
    until = time.monotonic() + float(seconds)
    clients = BadClients(int(port), no_id() if kind == "no-id" else half())
    for _ in range(int(connections)):
        clients.connect()
    clients.serve(until)


if __name__ == "__main__":
    main()
