"""The planned end of the process: what is still brought to its end, and when it may exit."""

from __future__ import annotations

from juniperward.forwarder.events import ShutdownRequested
from juniperward.forwarder.reducer.attempts import LAST_ATTEMPT_BEFORE_EXIT_S
from juniperward.forwarder.reducer.round import Round


class Shutdown:
    """Decides when a forwarder that was told to end may do so."""

    def __init__(self, round_: Round) -> None:
        """Begin as a forwarder that serves."""
        self._round = round_

    def requested(self, event: ShutdownRequested) -> None:
        """Reject new messages from now on; a second request changes nothing."""
        lifecycle = self._round.state.lifecycle
        if lifecycle.exit_by is None:
            lifecycle.accept_until, lifecycle.exit_by = event.accept_until, event.exit_by

    def may_exit(self, now: float, alone: bool) -> bool:
        """Return whether nothing is left to bring to an end, and no client (`alone`), or the time is up."""
        state, lifecycle = self._round.state, self._round.state.lifecycle
        if lifecycle.exit_by is None:
            return False
        may_attempt = now <= lifecycle.exit_by - LAST_ATTEMPT_BEFORE_EXIT_S
        waiting = bool(state.messages.pending) and may_attempt
        owed = bool(state.attempts.in_flight or state.unacknowledged or state.messages.offered)
        busy = owed or waiting or now < lifecycle.accept_until or not alone
        return now >= lifecycle.exit_by or not busy
