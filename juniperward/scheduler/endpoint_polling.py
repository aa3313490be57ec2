"""Polling of the endpoint list, where it is not pushed."""

from juniperward.scheduler import tuning
from juniperward.scheduler.actions import PollEndpointList
from juniperward.scheduler.events import ListScope
from juniperward.scheduler.scheduler_part import SchedulerPart, SchedulerState


class EndpointPolling(SchedulerPart):
    """Polls the endpoint list once, and again with a backoff after each failure."""

    def __init__(self, state: SchedulerState) -> None:
        """Schedule a poll for the first round, unless the list is pushed."""
        super().__init__(state)
        self._backoff_s = tuning.POLL_INITIAL_BACKOFF_S
        self._polled_at = 0.0
        if self._settings.endpoints_polled:
            self._schedule(0.0, self._poll)

    def record_update(self, scope: ListScope) -> None:
        """Schedule the next poll after a failure, and double the backoff; a list from discovery resets it."""
        if scope is ListScope.FAILED:
            # The backoff runs from the start of the failed poll.
            wait_s = max(tuning.POLL_INITIAL_BACKOFF_S, self._polled_at + self._backoff_s - self._now)
            self._schedule(self._now + wait_s * self._random.uniform(*tuning.POLL_JITTER_FACTORS), self._poll)
            self._backoff_s = min(2 * self._backoff_s, tuning.POLL_MAX_BACKOFF_S)
        elif scope is not ListScope.CACHED:
            self._backoff_s = tuning.POLL_INITIAL_BACKOFF_S

    def _poll(self) -> None:
        self._polled_at = self._now
        self._act(PollEndpointList())
