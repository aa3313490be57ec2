"""Admits messages, sets their weight, and answers those that are given up."""

from juniperward.scheduler import tuning
from juniperward.scheduler.actions import Fail, Reject
from juniperward.scheduler.events import MessageAdmitted
from juniperward.scheduler.message_order import rank
from juniperward.scheduler.records import Destination, Message
from juniperward.scheduler.retries import may_give_up, may_retry
from juniperward.scheduler.scheduler_part import SchedulerPart, SchedulerState
from juniperward.scheduler.settings import DeduplicationScope, Idempotency
from juniperward.scheduler.timers import TIME_EPSILON_S
from juniperward.scheduler.token_bucket import TokenBucket
from juniperward.scheduler.traffic import recent_rate


class Admission(SchedulerPart):
    """Decides on the admission of a message, and on its final answer if it is not delivered."""

    def __init__(self, state: SchedulerState) -> None:
        """Divide the quota of each tenant evenly among the forwarders."""
        super().__init__(state)
        settings = state.round.settings
        self._quotas = [TokenBucket(tenant.quota_per_s / settings.instances) for tenant in settings.tenants]

    def admit(self, event: MessageAdmitted) -> Message | None:
        """Admit a message and return it; return None if it is already known or has no valid class."""
        known = event.message in self._backlog.messages
        if known or not 0 <= event.class_index < len(self._settings.classes):
            return None
        self._traffic.admitted_count += 1
        message = self._new_message(event)
        if not self._consume_quota(event.tenant):
            message.weight *= self._settings.over_quota_weight
        self._backlog.add(message)
        self._schedule(self._give_up_at(message), self._expire, message)
        message.late = message.objective_at <= self._now
        if not message.late:
            late_at = max(self._now, message.objective_at - self._latency.expected_s(message))
            self._schedule(late_at, self._backlog.mark_late, message)
        return message

    def shed_load(self) -> None:
        """When almost `max_open` messages are open, give up the last message of the longest queue."""
        if self._backlog.open_count <= tuning.LOAD_SHEDDING_FRACTION * self._settings.max_open:
            return
        longest = max(self._table.destinations.values(), key=lambda destination: len(destination.queue))
        candidates = [message for message in longest.queue if may_give_up(message, self._now)]
        if candidates:
            self.give_up(max(candidates, key=rank))

    def give_up(self, message: Message) -> None:
        """Answer a message at once: reject it if the client may safely submit it again, otherwise fail it."""
        if self._is_resubmission_safe(message):
            self._act(Reject(message.id, self._retry_after(message.destination)))
        else:
            self._act(Fail(message.id))
        self._backlog.end(message)

    def _new_message(self, event: MessageAdmitted) -> Message:
        message_class = self._settings.classes[event.class_index]
        expires_at = self._now + event.time_left_s
        attempt_for_s = event.attempt_for_s
        if attempt_for_s is None:
            attempt_for_s = tuning.MIN_ATTEMPT_TIME_FRACTION * event.time_left_s
        return Message(
            id=event.message,
            message_class=message_class,
            class_index=event.class_index,
            destination=self._table.destination(event.destination),
            ordering_key=event.ordering_key if message_class.in_order else None,
            expires_at=expires_at,
            weight=message_class.priority_weight,
            objective_at=expires_at - message_class.deadline_s + message_class.latency_objective_s,
            attempt_until=self._now + attempt_for_s,
            never_attempted=event.never_attempted,
            batch_bytes=event.batch_bytes,
        )

    def _consume_quota(self, tenant: int) -> bool:
        """Return whether a message is within this forwarder's part of its tenant's quota, and count it."""
        if not 0 <= tenant < len(self._quotas):
            return True
        return self._quotas[tenant].take(self._now)

    def _give_up_at(self, message: Message) -> float:
        last_useful_at = message.expires_at - self._latency.min_useful_s(message.destination)
        return max(last_useful_at, min(message.attempt_until, message.expires_at))

    def _expire(self, message: Message) -> None:
        """Give up a queued message; fail one in flight within the answer slack after its deadline.

        Every message thus gets a final answer in time, even if an attempt never ends.
        """
        if message.ended:
            return
        answer_at = message.expires_at + self._settings.answer_slack_s / 2
        if not message.in_flight:
            self.give_up(message)
        elif self._now < answer_at - TIME_EPSILON_S:
            self._schedule(answer_at, self._expire, message)
        else:
            self._act(Fail(message.id))
            self._backlog.end(message)

    def _is_resubmission_safe(self, message: Message) -> bool:
        """Return whether the client may safely submit the message again, also to another endpoint."""
        if not message.possibly_executed or message.idempotency is Idempotency.IDEMPOTENT:
            return True
        all_endpoints = message.message_class.deduplication_scope is DeduplicationScope.ALL
        return all_endpoints and may_retry(message, self._now)

    def _retry_after(self, destination: Destination) -> float:
        """Return the Retry-After of a rejection.

        It is the estimated time until the queue is empty; for an ejected destination it is the maximum.
        """
        max_s = self._settings.max_retry_after_s
        route = destination.shared_route
        if route.ejected:
            return max_s
        rate = max(recent_rate(route, self._now), tuning.MIN_TOTAL_RATE_PER_S)
        return min(max(tuning.RETRY_INITIAL_BACKOFF_S, len(destination.queue) / rate), max_s)
