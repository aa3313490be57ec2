"""Draining and graceful shutdown: whether messages are accepted, and when the process may exit."""

from __future__ import annotations

from juniperward.forwarder.events import ShutdownRequested
from juniperward.forwarder.reducer.attempts import MIN_ATTEMPT_TIME_BEFORE_EXIT_S
from juniperward.forwarder.reducer.round import Round


class Shutdown:
    """Owns the lifecycle state: draining, and the times of a shutdown."""

    def __init__(self, round_: Round) -> None:
        """Start without a shutdown."""
        self._round = round_

    def requested(self, event: ShutdownRequested) -> None:
        """Reject new messages from now on; a second request changes nothing."""
        lifecycle = self._round.state.lifecycle
        if lifecycle.exit_by is None:
            lifecycle.accept_until, lifecycle.exit_by = event.accept_until, event.exit_by

    def set_draining(self, draining: bool) -> bool:
        """Start or end draining; return whether that changed anything (never during a shutdown)."""
        lifecycle = self._round.state.lifecycle
        if lifecycle.exit_by is not None or lifecycle.draining == draining:
            return False
        lifecycle.draining = draining
        return True

    def may_exit(self, now: float, no_clients: bool) -> bool:
        """Return whether a shutdown was requested and has finished its work, or has reached its deadline."""
        state, lifecycle = self._round.state, self._round.state.lifecycle
        if lifecycle.exit_by is None:
            return False
        may_attempt = now <= lifecycle.exit_by - MIN_ATTEMPT_TIME_BEFORE_EXIT_S
        has_attempts_left = bool(state.messages.pending) and may_attempt
        unfinished = bool(state.attempts_in_flight or state.unacknowledged or state.messages.accepting)
        busy = unfinished or has_attempts_left or now < lifecycle.accept_until or not no_clients
        return now >= lifecycle.exit_by or not busy
