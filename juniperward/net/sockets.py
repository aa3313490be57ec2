"""Helpers for blocking sockets: time limits that the kernel keeps, and a look at a connection without reading."""

from __future__ import annotations

import contextlib
import socket
import struct
import time

MICROSECONDS_PER_S = 1_000_000


class ConnectTimeoutError(TimeoutError):
    """A connection was not established in its time."""

    def __init__(self) -> None:
        """Describe it."""
        super().__init__("no connection in time")


class ReadTimeoutError(TimeoutError):
    """What is read was not complete in its time."""

    def __init__(self) -> None:
        """Describe it."""
        super().__init__("not complete in its time")


def set_timeout(sock: socket.socket, option: int, timeout_s: float) -> None:
    """Set SO_RCVTIMEO or SO_SNDTIMEO: a system call that takes longer ends with BlockingIOError."""
    total = max(1, int(timeout_s * 1e6))
    seconds, microseconds = divmod(total, MICROSECONDS_PER_S)
    sock.setsockopt(socket.SOL_SOCKET, option, struct.pack("@ll", seconds, microseconds))


def connect(host: str, port: int, timeout_s: float, sock: socket.socket) -> None:
    """Connect within a time limit; raises OSError, after the limit ConnectTimeoutError."""
    set_timeout(sock, socket.SO_SNDTIMEO, timeout_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        sock.connect((host, port))
    except BlockingIOError:
        raise ConnectTimeoutError from None


def is_closed_by_peer(sock: socket.socket) -> bool:
    """Return whether the other side has ended the connection, without waiting or reading."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def is_reusable(sock: socket.socket) -> bool:
    """Return whether no bytes have come and the other side has not ended, without waiting or reading."""
    try:
        sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


class DeadlineReader:
    """Reads of a socket that share one time limit: single bytes now and then do not extend it."""

    def __init__(self, sock: socket.socket, timeout_s: float) -> None:
        """Let the time begin."""
        self.sock, self.timeout_s = sock, timeout_s
        self.restart()

    def restart(self) -> None:
        """Count the time from now."""
        self.deadline = time.monotonic() + self.timeout_s

    def receive(self, size: int) -> bytes:
        """Read some bytes; raises TimeoutError or BlockingIOError once the time is up."""
        left_s = self.deadline - time.monotonic()
        if left_s <= 0:
            raise ReadTimeoutError
        set_timeout(self.sock, socket.SO_RCVTIMEO, left_s)
        return self.sock.recv(size)


def shutdown(sock: socket.socket, how: int = socket.SHUT_RDWR) -> None:
    """End a connection now, in one direction or both; a thread that waits on it wakes up."""
    with contextlib.suppress(OSError):
        sock.shutdown(how)
