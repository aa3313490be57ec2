"""A call to an endpoint in flight: what the loop's thread and the call's own thread share of it."""

from __future__ import annotations

import socket

from juniperward.forwarder.effects import StartAttempt, StartHealthCheck
from juniperward.forwarder.model import AttemptProgress


class ActiveCall:
    """An attempt or a health check from its start to its outcome; guarded by the gate's lock."""

    def __init__(self, effect: StartAttempt | StartHealthCheck) -> None:
        """Begin before anything is written."""
        self.effect = effect
        self.sock: socket.socket | None = None
        self.cancelled = False
        self.progress = AttemptProgress.WAITING
        self.withdrawn: set[int] = set()  # messages that must not be written any more
