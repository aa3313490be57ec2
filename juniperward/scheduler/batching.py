"""Which messages travel in one call, and how far apart calls are so that more can."""

import math

from juniperward.scheduler import tuning
from juniperward.scheduler.actions import StartAttempt
from juniperward.scheduler.connections import Connections
from juniperward.scheduler.overdue_calls import OverdueCalls
from juniperward.scheduler.records import BatchAttempt, Endpoint, Message
from juniperward.scheduler.retries import may_retry, retry_until
from juniperward.scheduler.scheduler_part import SchedulerPart, SchedulerState
from juniperward.scheduler.settings import DeduplicationScope, Idempotency
from juniperward.scheduler.slow_start import SlowStart


class Batching(SchedulerPart):
    """Composes calls, and starts them."""

    def __init__(
        self,
        state: SchedulerState,
        slow_start: SlowStart,
        overdue_calls: OverdueCalls,
        connections: Connections,
    ) -> None:
        """Charge calls to the slow start, count their connections, and have overdue ones found."""
        super().__init__(state)
        self._slow_start = slow_start
        self._overdue_calls = overdue_calls
        self._connections = connections
        self._listed_max_spacing_s = tuning.MAX_CALL_SPACING_FRACTION * self._latency.min_objective_s
        self._reported_max_spacing_s = self._latency.min_deadline_s / tuning.MIN_CALLS_PER_DEADLINE

    def spacing(self, endpoint: Endpoint) -> float:
        """Return the seconds between calls. A limit counts calls: messages that come meanwhile share one."""
        destination, route = endpoint.destination, endpoint.route
        quota = self._traffic.rate_quota(destination, route)
        if quota <= 0:
            return 0.0
        if destination.listed_rate <= 0:
            return min(tuning.CALL_SPACING_FACTOR / quota, self._reported_max_spacing_s)
        max_s = self._listed_max_spacing_s
        if self._settings.kind(endpoint.kind).batch_size > 1:
            return min(tuning.CALL_SPACING_FACTOR / quota, max_s)
        if not self._large_fleet or quota * max_s < tuning.CALL_SPACING_FACTOR:
            return 0.0  # too small a quota to space calls of one message by
        if self._now - route.rate_limit_cut_at > tuning.RATE_MEMORY_S:
            # It may have more of the traffic than other forwarders.
            quota = max(quota, self._traffic.expected_rate(destination, route))
        return min(tuning.CALL_SPACING_FACTOR / quota, max_s)

    def start(self, head: Message, endpoint: Endpoint) -> None:
        """Release a message, and those that may travel with it, to an endpoint."""
        destination = endpoint.destination
        attempt = self._backlog.new_attempt(endpoint)
        destination.queue.remove(head)
        messages = [head, *self._further_messages(head, endpoint)]
        for message in messages:
            self._add(attempt, message, shared=len(messages) > 1)
        self._backlog.start(attempt)
        destination.record_call(endpoint, self._now, tuning.MAX_RECENT_ENDPOINTS)
        self._connections.record_call(endpoint)
        self._slow_start.record_call(endpoint, 1.0 + tuning.BATCH_ITEM_WEIGHT * (len(messages) - 1))
        overdue_at = self._now + self._latency.overdue_after_s(destination)
        self._schedule(overdue_at, self._overdue_calls.check, attempt)

    def _add(self, attempt: BatchAttempt, message: Message, shared: bool) -> None:
        start_within_s = math.inf
        if message.idempotency is Idempotency.IDEMPOTENCY_KEY:
            start_within_s = retry_until(message) - self._now
        if shared:
            needs_s = self._latency.shared_call_minimum_s(message.destination)
            start_within_s = min(start_within_s, message.expires_at - needs_s - self._now)
        timeout_s = max(message.expires_at - self._now, self._settings.timer_resolution_s)
        self._act(StartAttempt(message.id, attempt.endpoint.id, timeout_s, start_within_s, attempt.serial))
        message.record_attempt(attempt)

    def _further_messages(self, head: Message, endpoint: Endpoint) -> list[Message]:
        """Remove from the queue those that share the call of the head.

        The call ends with the time of any of them, so each must have some left.
        """
        latest = self._now + self._latency.shared_call_minimum_s(endpoint.destination)
        if endpoint.route.ejected or head.expires_at <= latest:
            return []

        def fits(message: Message) -> bool:
            return message.expires_at > latest and self._may_travel_with_others(message, endpoint)

        limit = self._settings.kind(endpoint.kind).batch_size - 1
        capacity_bytes = self._settings.max_batch_bytes - head.batch_bytes
        return endpoint.destination.queue.take_batch(limit, capacity_bytes, fits)

    def _may_travel_with_others(self, message: Message, endpoint: Endpoint) -> bool:
        """Return whether nothing of a message may have executed, or a repeat at the endpoint is harmless."""
        if not message.possibly_executed:
            return True
        anywhere = message.message_class.deduplication_scope is DeduplicationScope.ALL
        return (anywhere or message.zone == endpoint.zone) and may_retry(message, self._now)
