"""Helpers for blocking sockets: kernel-enforced timeouts, and checks of a connection without reading."""

from __future__ import annotations

import contextlib
import select
import socket
import struct
import time
from enum import Enum

MICROSECONDS_PER_S = 1_000_000
# Events of poll() that tell that the peer has ended its side or that the connection is broken.
END_OF_INPUT = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class ConnectTimeoutError(TimeoutError):
    """A connection was not established within its timeout."""

    def __init__(self) -> None:
        """Create the error with its message."""
        super().__init__("connection not established within its timeout")


class ReadTimeoutError(TimeoutError):
    """The data was not received completely within the time limit."""

    def __init__(self) -> None:
        """Create the error with its message."""
        super().__init__("data not complete within its time limit")


def set_timeout(sock: socket.socket, option: int, timeout_s: float) -> None:
    """Set `option`, SO_RCVTIMEO or SO_SNDTIMEO; a system call that takes longer raises BlockingIOError."""
    timeout_us = max(1, int(timeout_s * 1e6))
    seconds, microseconds = divmod(timeout_us, MICROSECONDS_PER_S)
    sock.setsockopt(socket.SOL_SOCKET, option, struct.pack("@ll", seconds, microseconds))


def connect(host: str, port: int, timeout_s: float, sock: socket.socket) -> None:
    """Connect a socket; raises ConnectTimeoutError after `timeout_s`, and OSError for other failures."""
    set_timeout(sock, socket.SO_SNDTIMEO, timeout_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        sock.connect((host, port))
    except BlockingIOError:
        raise ConnectTimeoutError from None


def is_closed_by_peer(sock: socket.socket) -> bool:
    """Return whether the peer has ended its side of the connection, or reset it, without waiting or reading.

    An end of input counts as soon as it has arrived, also while bytes in front of it are unread.
    """
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock, select.POLLIN | END_OF_INPUT)
    try:
        polled = poll.poll(0)
    except OSError:
        return has_read_all_input(sock)
    if not polled:
        return False
    _, events = polled[0]
    return bool(events & END_OF_INPUT) or has_read_all_input(sock)


def has_read_all_input(sock: socket.socket) -> bool:
    """Return whether the next read would return the end of input or an error, without waiting or reading."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


class IdleState(Enum):
    """What a peer has done on a connection on which nothing is expected from it."""

    SILENT = "silent"
    RECEIVED = "received"  # Bytes have arrived.
    ENDED = "ended"  # The peer has ended its side, or the connection is broken.


def idle_state(sock: socket.socket) -> IdleState:
    """Return the state of an idle connection, without waiting or reading."""
    try:
        data = sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return IdleState.SILENT
    except OSError:
        return IdleState.ENDED
    return IdleState.RECEIVED if data else IdleState.ENDED


def is_reusable(sock: socket.socket) -> bool:
    """Return whether the connection is open and nothing was received, without waiting or reading."""
    return idle_state(sock) is IdleState.SILENT


class DeadlineReader:
    """Reads from a socket with one time limit for all reads, which a peer cannot extend by sending slowly."""

    def __init__(self, sock: socket.socket, timeout_s: float) -> None:
        """Start the time limit, which `restart` starts again."""
        self.sock, self.timeout_s = sock, timeout_s
        self.restart()

    def restart(self) -> None:
        """Start the time limit again."""
        self.deadline = time.monotonic() + self.timeout_s

    def receive(self, size: int) -> bytes:
        """Return at most `size` bytes; raises TimeoutError or BlockingIOError at the time limit."""
        remaining_s = self.deadline - time.monotonic()
        if remaining_s <= 0:
            raise ReadTimeoutError
        set_timeout(self.sock, socket.SO_RCVTIMEO, remaining_s)
        return self.sock.recv(size)


def shutdown(sock: socket.socket, how: int = socket.SHUT_RDWR) -> None:
    """Shut down one or both directions of a connection; a thread blocked on it returns."""
    with contextlib.suppress(OSError):
        sock.shutdown(how)
