"""Whether a message may be attempted again, and when."""

import math

from juniperward.scheduler import tuning
from juniperward.scheduler.events import AttemptFinished, Outcome, PastAttempt
from juniperward.scheduler.records import Message
from juniperward.scheduler.scheduler_part import GiveUp, SchedulerPart, SchedulerState
from juniperward.scheduler.settings import Idempotency
from juniperward.scheduler.timers import TIME_EPSILON_S


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
        """Retry into the backlog, or have a message given up."""
        super().__init__(state)
        self._give_up = give_up

    def resume(self, message: Message, history: tuple[PastAttempt, ...]) -> None:
        """Count attempts from before a restart; they bind a message as its own do."""
        message.restore_attempts(history, self._table.endpoints)
        self._give_up_unless_possible(message, too_late=False)

    def record_outcome(self, message: Message, finished: AttemptFinished) -> None:
        """Note what an outcome says of the message's effect."""
        if finished.outcome.never_executed:
            message.possibly_executed.pop(finished.attempt, None)
        if finished.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
            self._backlog.begin_key_cooldown(
                message, self._settings.key_cooldown_s
            )  # it may still run (rule 5)

    def after_attempt(self, message: Message, finished: AttemptFinished) -> None:
        """Try again after an attempt without delivery, spaced, where that is harmless and in time."""
        last_useful_at = message.expires_at - self._latency.minimum_useful_s(message.destination)
        too_late = last_useful_at <= self._now and may_give_up(message, self._now)
        if not self._give_up_unless_possible(message, too_late):
            return
        delay_s = 0.0
        if finished.outcome is not Outcome.OVERLOADED and not finished.connection_table_full:
            delay_s = min(tuning.RETRY_FIRST_S * 2 ** (message.attempts - 1), tuning.RETRY_MAX_S)
            delay_s *= self._random.uniform(*tuning.RETRY_JITTER)
        self._backlog.enqueue_at(message, self._now + delay_s)

    def _give_up_unless_possible(self, message: Message, too_late: bool) -> bool:
        exhausted = message.attempts >= self._settings.max_attempts
        if exhausted or too_late or not may_retry(message, self._now):
            self._give_up(message)
            return False
        if message.possibly_executed and message.idempotency is Idempotency.IDEMPOTENCY_KEY:
            self._schedule(retry_until(message), self._window_closed, message)
        return True

    def _window_closed(self, message: Message) -> None:
        if not message.ended and not message.in_flight and not may_retry(message, self._now):
            self._give_up(message)
