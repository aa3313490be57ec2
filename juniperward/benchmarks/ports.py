"""Reserves ports on which other processes will listen."""

from __future__ import annotations

import socket


def reserve_ports(count: int) -> list[socket.socket]:
    """Return `count` sockets, each bound to a free port on loopback and not listening.

    While such a socket is open, the system gives its port to no one who asks for a free port. On Linux a listener
    that sets SO_REUSEADDR can still bind to it. Without the reservation, another process could get the port before
    its forwarder starts, or during a restart.
    """
    reserved = []
    for _ in range(count):
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
        reserved.append(sock)
    return reserved
