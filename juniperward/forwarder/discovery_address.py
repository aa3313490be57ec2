"""Where discovery and the platform are: one address, which may change while connections to it are open."""

from __future__ import annotations

import socket
import threading

from juniperward.net import sockets


class AddressChangedError(Exception):
    """The address changed while a connection to the old one was being opened."""

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
        self._open: dict[str, socket.socket] = {}

    def change(self, address: tuple[str, int], epoch: int) -> None:
        """End what is open to the old address, also where it is still being opened."""
        with self._lock:
            self.address, self.epoch = address, epoch
            for sock in self._open.values():
                sockets.shutdown(sock)

    def open_socket(self, use: str, epoch: int | None = None) -> tuple[socket.socket, tuple[str, int]]:
        """Return a fresh socket that `change` knows of, and the address that it is for.

        Raises AddressChangedError where the epoch is not the present one any more, or OSError.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        with self._lock:
            if epoch is None or epoch == self.epoch:
                self._open[use] = sock
                return sock, self.address
        sock.close()
        raise AddressChangedError
