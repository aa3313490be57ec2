"""Small helpers for blocking sockets: time limits kept by the kernel, a look without reading."""

from __future__ import annotations

import contextlib
import socket
import struct
import time


class ConnectTimeoutError(TimeoutError):
    """A connection did not come up in its time."""

    def __init__(self) -> None:
        """Describe it."""
        super().__init__("no connection in time")


class ReadTimeoutError(TimeoutError):
    """What was read was not whole in its time."""

    def __init__(self) -> None:
        """Describe it."""
        super().__init__("not whole in its time")


def limit(sock: socket.socket, option: int, seconds: float) -> None:
    """SO_RCVTIMEO or SO_SNDTIMEO: the call ends with BlockingIOError once it has taken so long."""
    micros = max(1, int(seconds * 1e6))
    sock.setsockopt(socket.SOL_SOCKET, option, struct.pack("@ll", micros // 1_000_000, micros % 1_000_000))


def connect(host: str, port: int, seconds: float, sock: socket.socket) -> None:
    """Connect within a time limit; raises OSError."""
    limit(sock, socket.SO_SNDTIMEO, seconds)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        sock.connect((host, port))
    except BlockingIOError:
        raise ConnectTimeoutError from None


def ended(sock: socket.socket) -> bool:
    """Whether the other side has ended the connection, without waiting and without reading."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def quiet(sock: socket.socket) -> bool:
    """Whether nothing has come and the other side has not ended: fit to be used again."""
    try:
        sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


class Timed:
    """Reads of a socket that have to come in a time that they share: bytes now and then do not extend it."""

    def __init__(self, sock: socket.socket, seconds: float) -> None:
        """Let the time begin."""
        self.sock, self.seconds = sock, seconds
        self.begin()

    def begin(self) -> None:
        """The time counts from now."""
        self.until = time.monotonic() + self.seconds

    def receive(self, size: int) -> bytes:
        """Read some bytes; raises TimeoutError or BlockingIOError once the time is up."""
        left = self.until - time.monotonic()
        if left <= 0:
            raise ReadTimeoutError
        limit(self.sock, socket.SO_RCVTIMEO, left)
        return self.sock.recv(size)


def shut(sock: socket.socket, how: int = socket.SHUT_RDWR) -> None:
    """End a connection now; a thread that waits on it wakes up."""
    with contextlib.suppress(OSError):
        sock.shutdown(how)
