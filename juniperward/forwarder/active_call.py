"""The state of a call to an endpoint that the loop's thread and the call's own thread share."""

from __future__ import annotations

import socket

from juniperward.forwarder.effects import StartAttempt, StartHealthCheck
from juniperward.forwarder.endpoint_connection import EndpointConnection
from juniperward.forwarder.model import AttemptProgress
from juniperward.net import sockets


class ActiveCall:
    """An attempt or a health check in flight; guarded by the lock of its client's `SendGate`.

    Attributes:
        sock: The socket of the call's connection, which a cancellation shuts down; None before and after it.
        connection: The call's connection once it is established.
        withdrawn: Numbers of the messages that must not be written.
    """

    def __init__(self, effect: StartAttempt | StartHealthCheck) -> None:
        """Start without a connection and with nothing written."""
        self.effect = effect
        self.sock: socket.socket | None = None
        self.connection: EndpointConnection | None = None
        self.cancelled = False
        self.progress = AttemptProgress.WAITING
        self.withdrawn: set[int] = set()

    def shut_down(self) -> None:
        """Cancel the call, and shut its connection down; the caller holds the lock."""
        self.cancelled = True
        if self.connection is not None:
            self.connection.cancelled = True
        if self.sock is not None:
            # The thread of the call still reads what has arrived, and closes the socket.
            sockets.shutdown(self.sock)
