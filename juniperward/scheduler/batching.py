"""Chooses the messages of each call, and spaces calls so that more messages can share one."""

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
    """Builds calls of one or more messages, and starts them."""

    def __init__(
        self,
        state: SchedulerState,
        slow_start: SlowStart,
        overdue_calls: OverdueCalls,
        connections: Connections,
    ) -> None:
        """Report each call to slow start, to connections and to the check for overdue calls."""
        super().__init__(state)
        self._slow_start = slow_start
        self._overdue_calls = overdue_calls
        self._connections = connections
        self._listed_max_spacing_s = tuning.MAX_CALL_SPACING_FRACTION * self._latency.min_objective_s
        self._reported_max_spacing_s = self._latency.min_deadline_s / tuning.MIN_CALLS_PER_DEADLINE

    def call_spacing_s(self, endpoint: Endpoint) -> float:
        """Return the minimum time between calls to an endpoint, in seconds; 0 where calls are not spaced.

        A rate limit counts calls, so messages that arrive between two calls share the next one.
        """
        destination, route = endpoint.destination, endpoint.route
        quota = self._traffic.rate_quota(destination, route)
        if quota <= 0:
            return 0.0
        if destination.listed_rate_per_s <= 0:
            return min(tuning.CALL_SPACING_FACTOR / quota, self._reported_max_spacing_s)
        max_s = self._listed_max_spacing_s
        if self._settings.kind(endpoint.kind).batch_size > 1:
            return min(tuning.CALL_SPACING_FACTOR / quota, max_s)
        if not self._large_fleet or quota * max_s < tuning.CALL_SPACING_FACTOR:
            return 0.0  # the quota is too small for an even spacing of calls
        if self._now - route.rate_limit_cut_at > tuning.RATE_MEMORY_S:
            # This forwarder may have more of the traffic than the others.
            quota = max(quota, self._traffic.expected_rate(destination, route))
        return min(tuning.CALL_SPACING_FACTOR / quota, max_s)

    def start(self, head: Message, endpoint: Endpoint) -> None:
        """Send a message to an endpoint, with the queued messages that may share its call."""
        destination = endpoint.destination
        attempt = self._backlog.new_attempt(endpoint)
        destination.queue.remove(head)
        messages = [head, *self._further_messages(head, endpoint)]
        for message in messages:
            self._add(attempt, message, in_shared_call=len(messages) > 1)
        self._backlog.start(attempt)
        destination.record_call(endpoint, self._now, tuning.MAX_RECENT_ENDPOINTS)
        self._connections.record_call(endpoint)
        self._slow_start.record_call(endpoint, 1.0 + tuning.BATCH_ITEM_WEIGHT * (len(messages) - 1))
        overdue_at = self._now + self._latency.overdue_after_s(destination)
        self._schedule(overdue_at, self._overdue_calls.check, attempt)

    def _add(self, attempt: BatchAttempt, message: Message, in_shared_call: bool) -> None:
        start_within_s = math.inf
        if message.idempotency is Idempotency.IDEMPOTENCY_KEY:
            start_within_s = retry_until(message) - self._now
        if in_shared_call:
            minimum_s = self._latency.min_shared_call_s(message.destination)
            start_within_s = min(start_within_s, message.expires_at - minimum_s - self._now)
        timeout_s = max(message.expires_at - self._now, self._settings.timer_resolution_s)
        self._act(StartAttempt(message.id, attempt.endpoint.id, timeout_s, start_within_s, attempt.serial))
        message.record_attempt(attempt)

    def _further_messages(self, head: Message, endpoint: Endpoint) -> list[Message]:
        """Remove the messages that share the call of the head from the queue, and return them.

        A call ends at the earliest deadline of its messages, so each must have enough time left.
        """
        needed_until = self._now + self._latency.min_shared_call_s(endpoint.destination)
        if endpoint.route.ejected or head.expires_at <= needed_until:
            return []

        def fits(message: Message) -> bool:
            """Return whether a message has enough time left and may share the call."""
            return message.expires_at > needed_until and self._may_share_call(message, endpoint)

        limit = self._settings.kind(endpoint.kind).batch_size - 1
        capacity_bytes = self._settings.max_batch_bytes - head.batch_bytes
        return endpoint.destination.queue.take_batch(limit, capacity_bytes, fits)

    def _may_share_call(self, message: Message, endpoint: Endpoint) -> bool:
        """Return whether the message certainly did not execute, or the endpoint drops a repeat of it."""
        if not message.possibly_executed:
            return True
        all_endpoints = message.message_class.deduplication_scope is DeduplicationScope.ALL
        return (all_endpoints or message.zone == endpoint.zone) and may_retry(message, self._now)
