"""The address that discovery and the platform share, which may change while connections to it are open.

The loop's thread changes it (`discovery_client.py`); the threads of the watch and of the notification sender open
connections to it.
"""

from __future__ import annotations

import socket
import threading
from enum import Enum

from juniperward.net import sockets


class ConnectionUse(Enum):
    """The purpose of a connection to the address; at most one connection of each is open."""

    WATCH = "watch"
    NOTIFICATIONS = "notifications"


class AddressChangedError(Exception):
    """The address changed before a connection to the previous one was established."""

    def __init__(self) -> None:
        """Create the error with its message."""
        super().__init__("discovery address changed")


class DiscoveryAddress:
    """The current address and the sockets opened for it; safe to use from any thread.

    Attributes:
        address: The current host and port.
        epoch: The number of address changes; tells requests and events of different addresses apart.

    """

    def __init__(self, address: tuple[str, int]) -> None:
        """Start with an address, in epoch 0."""
        self.address = address
        self.epoch = 0
        self._lock = threading.Lock()
        self._sockets: dict[ConnectionUse, socket.socket] = {}

    def change(self, address: tuple[str, int], epoch: int) -> None:
        """Set the address and its epoch, and shut down open and pending connections to the previous address."""
        with self._lock:
            self.address, self.epoch = address, epoch
            for sock in self._sockets.values():
                sockets.shutdown(sock)

    def open_socket(
        self, use: ConnectionUse, epoch: int | None = None
    ) -> tuple[socket.socket, tuple[str, int]]:
        """Return a new unconnected socket, which `change` shuts down, and the address to connect it to.

        Raises:
            AddressChangedError: if `epoch` is given and is no longer current.
            OSError: if no socket can be created.

        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        with self._lock:
            if epoch is None or epoch == self.epoch:
                self._sockets[use] = sock
                return sock, self.address
        sock.close()
        raise AddressChangedError
