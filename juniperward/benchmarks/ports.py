"""Ports for listeners of other processes, which nobody else is given meanwhile."""

from __future__ import annotations

import socket


def reserve_ports(count: int) -> list[socket.socket]:
    """Return so many ports on loopback, each reserved by a socket that is bound and does not listen.

    For as long as it is open the system gives the port to nobody else, while a listener that sets SO_REUSEADDR may
    take it (Linux: two may share an address while neither, or only one, listens). A port that was merely looked up
    could be given away before its forwarder starts, or while that is down.
    """
    reserved = []
    for _ in range(count):
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
        reserved.append(sock)
    return reserved
