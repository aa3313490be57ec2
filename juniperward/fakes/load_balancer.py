"""A fake load balancer, which polls the readiness of forwarders and distributes messages among the ready ones."""

from __future__ import annotations

import socket
import threading
import time

from juniperward.fakes.client_connection import CONNECTION_ERRORS
from juniperward.net.http_requests import encode_request
from juniperward.net.http_responses import read_response
from juniperward.net.stream import Stream

Address = tuple[str, int]


class LoadBalancer:
    """Chooses forwarders that were ready at the latest poll, in round-robin order."""

    def __init__(self, forwarders: dict[str, Address], poll_interval_s: float = 0.1) -> None:
        """Balance over `forwarders`, by name; all count as ready until the first poll."""
        self.forwarders = forwarders
        self.closed = False
        self._poll_interval_s = poll_interval_s
        self._ready: tuple[str, ...] = tuple(forwarders)
        self._choices = 0

    def start(self) -> None:
        """Start polling, until `closed` is set."""
        threading.Thread(target=self._poll, daemon=True).start()

    def choose(self, avoid: frozenset[str] = frozenset()) -> str:
        """Return the forwarder for the next message.

        It is a ready one that is not in `avoid`, or else any ready one, or else any.
        """
        names = [name for name in self._ready if name not in avoid]
        names = names or list(self._ready) or list(self.forwarders)
        self._choices += 1
        return names[self._choices % len(names)]

    def _poll(self) -> None:
        while not self.closed:
            self._ready = tuple(name for name, address in self.forwarders.items() if is_ready(address))
            time.sleep(self._poll_interval_s)


def is_ready(address: Address, timeout_s: float = 0.3) -> bool:
    """Return whether a forwarder's readiness check answers 200 within the timeout."""
    try:
        with socket.create_connection(address, timeout_s) as sock:
            sock.settimeout(timeout_s)
            sock.sendall(encode_request("GET", "/health/ready", "front", {"Connection": "close"}, None))
            return read_response(Stream(sock.recv)).status == 200
    except CONNECTION_ERRORS:
        return False
