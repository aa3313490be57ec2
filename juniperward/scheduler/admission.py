"""Which messages are taken in, in which order they go, and when one gets its final answer undelivered."""

from juniperward.scheduler import tuning
from juniperward.scheduler.actions import Fail, Reject
from juniperward.scheduler.events import MessageAdmitted
from juniperward.scheduler.queues import Rank
from juniperward.scheduler.records import Destination, Message
from juniperward.scheduler.retries import may_give_up, may_retry
from juniperward.scheduler.scheduler_part import SchedulerPart
from juniperward.scheduler.settings import DeduplicationScope, Idempotency
from juniperward.scheduler.timers import TIME_EPSILON_S


def rank(message: Message) -> Rank:
    """Return the place in a queue: first attempts owed over a restart, then by weight, then by age."""
    weight = message.weight * (message.message_class.late_weight if message.late else 1.0)
    attempted = not message.never_attempted or message.attempts > 0
    return Rank(attempted, -weight, message.sequence)


class Admission(SchedulerPart):
    """Messages at their beginning and at their end."""

    def admit(self, event: MessageAdmitted) -> Message | None:
        """Take a message in; None where it is known already, or of no class."""
        classes = self._settings.classes
        if event.message in self._backlog.messages or not 0 <= event.class_index < len(classes):
            return None
        self._traffic.admitted += 1
        destination = self._table.destination(event.destination)
        message_class = classes[event.class_index]
        message = Message.admitted(event, message_class, destination, self._now)
        if not self._traffic.consume_quota(event.tenant):
            message.weight *= self._settings.over_quota_weight
        if event.attempt_for_s is None:
            message.attempt_until = self._now + tuning.MINIMUM_ATTEMPT_FRACTION * event.time_left_s
        self._backlog.add(message)
        last_useful_at = message.expires_at - self._latency.minimum_useful_s(destination)
        give_up_at = max(last_useful_at, min(message.attempt_until, message.expires_at))
        self._schedule(give_up_at, self._last_moment, message)
        message.late = message.objective_at <= self._now
        if not message.late:
            late_at = max(self._now, message.objective_at - self._latency.expected_s(message))
            self._schedule(late_at, self._backlog.mark_late, message)
        return message

    def shed_load(self) -> None:
        """With nearly all messages open, give up the least weight of the longest queue."""
        if self._backlog.open_count <= tuning.LOAD_SHEDDING_FRACTION * self._settings.max_open:
            return
        longest = max(self._table.destinations.values(), key=lambda destination: len(destination.queue))
        candidates = [message for message in longest.queue if may_give_up(message, self._now)]
        if candidates:
            self.give_up(max(candidates, key=rank))

    def _last_moment(self, message: Message) -> None:
        """Too late to deliver what waits; what is in flight is answered when its time is up (rule 1)."""
        if message.ended:
            return
        answer_at = message.expires_at + self._settings.answer_slack_s / 2
        if not message.in_flight:
            self.give_up(message)
        elif self._now < answer_at - TIME_EPSILON_S:
            self._schedule(answer_at, self._last_moment, message)
        else:
            self._act(Fail(message.id))
            self._backlog.end(message)

    def give_up(self, message: Message) -> None:
        """Give the final answer at once: a rejection where a retry is harmless, else a failure (rule 2)."""
        anywhere = message.message_class.deduplication_scope is DeduplicationScope.ALL
        harmless = anywhere and may_retry(message, self._now)
        if not message.possibly_executed or message.idempotency is Idempotency.IDEMPOTENT:
            harmless = True
        retry_after_s = self._retry_after(message.destination)
        self._act(Reject(message.id, retry_after_s) if harmless else Fail(message.id))
        self._backlog.end(message)

    def _retry_after(self, destination: Destination) -> float:
        """After the next trials of an ejected destination, or when the queue has drained."""
        max_s, route = self._settings.max_retry_after_s, destination.shared_route
        if route.ejected:
            return max_s
        rate = max(route.recent_rate(self._now, tuning.RATE_MEMORY_S), tuning.RATE_FLOOR)
        return min(max(tuning.RETRY_FIRST_S, len(destination.queue) / rate), max_s)
