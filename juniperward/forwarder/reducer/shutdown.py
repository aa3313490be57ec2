"""Graceful shutdown: what is finished first, and when the process may exit."""

from __future__ import annotations

from juniperward.forwarder.events import ShutdownRequested
from juniperward.forwarder.reducer.attempts import LAST_ATTEMPT_BEFORE_EXIT_S
from juniperward.forwarder.reducer.round import Round


class Shutdown:
    """Owns the lifecycle: draining, and the times of a shutdown."""

    def __init__(self, round_: Round) -> None:
        """Begin without a shutdown."""
        self._round = round_

    def requested(self, event: ShutdownRequested) -> None:
        """Reject new messages from now on; a second request changes nothing."""
        lifecycle = self._round.state.lifecycle
        if lifecycle.exit_by is None:
            lifecycle.accept_until, lifecycle.exit_by = event.accept_until, event.exit_by

    def set_draining(self, draining: bool) -> bool:
        """Drain, or accept messages again; return whether that changes anything: not during a shutdown."""
        lifecycle = self._round.state.lifecycle
        if lifecycle.exit_by is not None or lifecycle.draining == draining:
            return False
        lifecycle.draining = draining
        return True

    def may_exit(self, now: float, no_clients: bool) -> bool:
        """Return whether everything is finished and no client is connected, or the time for it is over."""
        state, lifecycle = self._round.state, self._round.state.lifecycle
        if lifecycle.exit_by is None:
            return False
        may_attempt = now <= lifecycle.exit_by - LAST_ATTEMPT_BEFORE_EXIT_S
        to_attempt = bool(state.messages.pending) and may_attempt
        unfinished = bool(state.attempts_in_flight or state.unacknowledged or state.messages.accepting)
        busy = unfinished or to_attempt or now < lifecycle.accept_until or not no_clients
        return now >= lifecycle.exit_by or not busy
