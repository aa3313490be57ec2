"""The state of a call to an endpoint that the loop's thread and the call's own thread share."""

from __future__ import annotations

import socket

from juniperward.forwarder.effects import StartAttempt, StartHealthCheck
from juniperward.forwarder.model import AttemptProgress


class ActiveCall:
    """An attempt or a health check in flight; guarded by the lock of its client's `SendGate`.

    Attributes:
        sock: The socket of the connection that the call has, which a cancellation shuts down; None without one.
        withdrawn: Numbers of the messages that must not be written.
    """

    def __init__(self, effect: StartAttempt | StartHealthCheck) -> None:
        """Start without a connection and with nothing written."""
        self.effect = effect
        self.sock: socket.socket | None = None
        self.cancelled = False
        self.progress = AttemptProgress.WAITING
        self.withdrawn: set[int] = set()
