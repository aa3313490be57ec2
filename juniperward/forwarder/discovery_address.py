"""The address of discovery and the platform, which may change while connections to it are open.

`discovery_client.py` changes it by the loop's thread; the watch and the sender of notifications connect by it.
"""

from __future__ import annotations

import socket
import threading
from enum import Enum

from juniperward.net import sockets


class ConnectionUse(Enum):
    """What a connection to the address is for; there is one of each at a time."""

    WATCH = "watch"
    NOTIFICATIONS = "notifications"


class AddressChangedError(Exception):
    """The address changed before a connection to the former one was established."""

    def __init__(self) -> None:
        """Describe it."""
        super().__init__("discovery has moved")


class DiscoveryAddress:
    """The present address, and the open connections to it by their use; any thread may call it."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Begin with an address."""
        self.address = address
        self.epoch = 0  # how often the address has changed
        self._lock = threading.Lock()
        self._sockets: dict[ConnectionUse, socket.socket] = {}

    def change(self, address: tuple[str, int], epoch: int) -> None:
        """Set the address, and end the connections to the former one, also those that are being established."""
        with self._lock:
            self.address, self.epoch = address, epoch
            for sock in self._sockets.values():
                sockets.shutdown(sock)

    def open_socket(
        self, use: ConnectionUse, epoch: int | None = None
    ) -> tuple[socket.socket, tuple[str, int]]:
        """Return a new socket that `change` will shut down, and the address to connect it to.

        Raises:
            AddressChangedError: where `epoch` is given and is not the present one any more.
            OSError: where there is no descriptor.

        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        with self._lock:
            if epoch is None or epoch == self.epoch:
                self._sockets[use] = sock
                return sock, self.address
        sock.close()
        raise AddressChangedError
