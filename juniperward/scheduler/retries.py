"""Whether a message may be attempted again, and when."""

import math

from juniperward.scheduler import tuning
from juniperward.scheduler.events import AttemptFinished, Outcome, PastAttempt
from juniperward.scheduler.records import UNKNOWN_ZONE, Message
from juniperward.scheduler.scheduler_part import GiveUp, SchedulerPart, SchedulerState
from juniperward.scheduler.settings import Idempotency
from juniperward.scheduler.timers import TIME_EPSILON_S

MAY_STILL_RUN = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)


def retry_until(message: Message) -> float:
    """Return until when the destination drops a repeat of what possibly executed."""
    if not message.possibly_executed:
        return math.inf
    first_sent_at = min(message.possibly_executed.values())
    return first_sent_at + message.message_class.deduplication_window_s - tuning.DEDUPLICATION_MARGIN_S


def may_retry(message: Message, now: float) -> bool:
    """Return whether another attempt is harmless (rule 2 of the protocol)."""
    if not message.possibly_executed or message.idempotency is Idempotency.IDEMPOTENT:
        return True
    return message.idempotency is Idempotency.IDEMPOTENCY_KEY and now < retry_until(message) - TIME_EPSILON_S


def may_give_up(message: Message, now: float) -> bool:
    """Return whether a message may get its final answer: not early where it surely has not executed."""
    return bool(message.possibly_executed) or now >= message.attempt_until - TIME_EPSILON_S


class Retries(SchedulerPart):
    """Attempts after the first one."""

    def __init__(self, state: SchedulerState, give_up: GiveUp) -> None:
        """Queue messages again, or have them given up."""
        super().__init__(state)
        self._give_up = give_up

    def resume(self, message: Message, history: tuple[PastAttempt, ...]) -> None:
        """Count attempts from before a restart as the message's own: they bind it as those do."""
        executed = {number: past for number, past in enumerate(history) if past.sent_at is not None}
        message.attempts = len(history)
        message.last_endpoint = history[-1].endpoint
        message.possibly_executed = {
            number: past.sent_at for number, past in executed.items() if past.sent_at is not None
        }
        message.zone = self._first_known_zone([past.endpoint for past in executed.values()])
        self._give_up_unless_possible(message, too_late=False)

    def record_outcome(self, message: Message, finished: AttemptFinished) -> None:
        """Record what an outcome shows of the message's effect."""
        if finished.outcome.never_executed:
            message.possibly_executed.pop(finished.attempt, None)
        if finished.outcome in MAY_STILL_RUN:
            self._backlog.key_order.begin_cooldown(message, self._settings.key_cooldown_s)  # rule 5

    def after_attempt(self, message: Message, finished: AttemptFinished) -> None:
        """Retry after an attempt without delivery, with a backoff, where that is harmless and in time."""
        last_useful_at = message.expires_at - self._latency.minimum_useful_s(message.destination)
        too_late = last_useful_at <= self._now and may_give_up(message, self._now)
        if self._give_up_unless_possible(message, too_late):
            self._backlog.enqueue_at(message, self._now + self._backoff_s(message, finished))

    def _backoff_s(self, message: Message, finished: AttemptFinished) -> float:
        """Return the wait before the next attempt; none where a rate limit or other endpoints space it."""
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
        """Give a message up that may not be attempted again; returns whether it may be."""
        exhausted = message.attempts >= self._settings.max_attempts
        if exhausted or too_late or not may_retry(message, self._now):
            self._give_up(message)
            return False
        if message.possibly_executed and message.idempotency is Idempotency.IDEMPOTENCY_KEY:
            self._schedule(retry_until(message), self._window_closed, message)
        return True

    def _window_closed(self, message: Message) -> None:
        """Give a message up whose repeat the destination drops no more."""
        if not message.ended and not message.in_flight and not may_retry(message, self._now):
            self._give_up(message)
