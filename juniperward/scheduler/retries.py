"""Decides whether a message is attempted again, and when."""

import math

from juniperward.scheduler import tuning
from juniperward.scheduler.events import AttemptFinished, Outcome, PastAttempt
from juniperward.scheduler.records import UNKNOWN_ZONE, Message
from juniperward.scheduler.scheduler_part import GiveUp, SchedulerPart, SchedulerState
from juniperward.scheduler.settings import Idempotency
from juniperward.scheduler.timers import TIME_EPSILON_S

MAY_STILL_RUN = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)


def retry_until(message: Message) -> float:
    """Return until when a message with an idempotency key may be retried; infinity if it did not execute.

    This is the end of the deduplication window, in which the destination drops a repeat, less a margin.
    """
    if not message.possibly_executed:
        return math.inf
    first_sent_at = min(message.possibly_executed.values())
    return first_sent_at + message.message_class.deduplication_window_s - tuning.DEDUPLICATION_MARGIN_S


def may_retry(message: Message, now: float) -> bool:
    """Return whether another attempt is safe: it cannot make the message take effect twice."""
    if not message.possibly_executed or message.idempotency is Idempotency.IDEMPOTENT:
        return True
    return message.idempotency is Idempotency.IDEMPOTENCY_KEY and now < retry_until(message) - TIME_EPSILON_S


def may_give_up(message: Message, now: float) -> bool:
    """Return whether a message may get its final answer now.

    A message that certainly did not execute is not given up before its `attempt_until`.
    """
    return bool(message.possibly_executed) or now >= message.attempt_until - TIME_EPSILON_S


class Retries(SchedulerPart):
    """Decides after an unsuccessful attempt whether to retry the message or to give it up."""

    def __init__(self, state: SchedulerState, give_up: GiveUp) -> None:
        """Retry messages, or end them by `give_up`."""
        super().__init__(state)
        self._give_up = give_up

    def resume(self, message: Message, history: tuple[PastAttempt, ...]) -> None:
        """Restore the attempts from before a restart; they restrict retries as later ones do."""
        executed = {number: past for number, past in enumerate(history) if past.sent_at is not None}
        message.attempts = len(history)
        message.last_endpoint = history[-1].endpoint
        message.possibly_executed = {
            number: past.sent_at for number, past in executed.items() if past.sent_at is not None
        }
        message.zone = self._first_known_zone([past.endpoint for past in executed.values()])
        self._give_up_unless_possible(message, too_late=False)

    def record_outcome(self, message: Message, finished: AttemptFinished) -> None:
        """Record whether an attempt certainly did not execute, or may still be running."""
        if finished.outcome.never_executed:
            message.possibly_executed.pop(finished.attempt, None)
        if finished.outcome in MAY_STILL_RUN:
            self._backlog.key_order.begin_cooldown(message, self._settings.key_cooldown_s)

    def after_attempt(self, message: Message, finished: AttemptFinished) -> None:
        """Retry after a backoff if that is safe and in time; otherwise give the message up."""
        last_useful_at = message.expires_at - self._latency.min_useful_s(message.destination)
        too_late = last_useful_at <= self._now and may_give_up(message, self._now)
        if self._give_up_unless_possible(message, too_late):
            self._backlog.enqueue_at(message, self._now + self._backoff_s(message, finished))

    def _backoff_s(self, message: Message, finished: AttemptFinished) -> float:
        """Return the wait before the next attempt.

        After a rejection the rate limit delays the next attempt, and with a full connection table it goes to
        another endpoint: neither needs a backoff.
        """
        if finished.outcome is Outcome.OVERLOADED or finished.connection_table_full:
            return 0.0
        backoff_s: float = min(
            tuning.RETRY_INITIAL_BACKOFF_S * 2 ** (message.attempts - 1), tuning.RETRY_MAX_BACKOFF_S
        )
        return backoff_s * self._random.uniform(*tuning.RETRY_JITTER_FACTORS)

    def _first_known_zone(self, endpoint_ids: list[int]) -> int:
        for endpoint_id in endpoint_ids:
            endpoint = self._table.endpoints.get(endpoint_id)
            if endpoint is not None:
                return endpoint.zone
        return UNKNOWN_ZONE

    def _give_up_unless_possible(self, message: Message, too_late: bool) -> bool:
        """Return whether a message may be attempted again; if not, give it up."""
        exhausted = message.attempts >= self._settings.max_attempts
        if exhausted or too_late or not may_retry(message, self._now):
            self._give_up(message)
            return False
        if message.possibly_executed and message.idempotency is Idempotency.IDEMPOTENCY_KEY:
            self._schedule(retry_until(message), self._window_closed, message)
        return True

    def _window_closed(self, message: Message) -> None:
        """Give a message up when its deduplication window has ended."""
        if not message.ended and not message.in_flight and not may_retry(message, self._now):
            self._give_up(message)
