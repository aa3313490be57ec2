"""Which messages travel in one call, and how far apart calls are so that more can."""

import math

from juniperward.scheduler import tuning
from juniperward.scheduler.actions import StartAttempt
from juniperward.scheduler.outlier_detection import OutlierDetection
from juniperward.scheduler.records import BatchAttempt, Endpoint, Message
from juniperward.scheduler.retries import may_retry, retry_until
from juniperward.scheduler.scheduler_part import SchedulerPart, SchedulerState
from juniperward.scheduler.settings import DeduplicationScope, Idempotency
from juniperward.scheduler.slow_start import SlowStart


class Batching(SchedulerPart):
    """Composes calls."""

    def __init__(self, state: SchedulerState, slow_start: SlowStart, outliers: OutlierDetection) -> None:
        """Charge calls to the slow start, and have outlier detection look after them."""
        super().__init__(state)
        self._slow_start, self._outliers = slow_start, outliers

    def spacing(self, endpoint: Endpoint) -> float:
        """Return the seconds between calls. A limit counts calls: what comes meanwhile travels in one."""
        destination, route = endpoint.destination, endpoint.route
        share, listed = self._traffic.rate_quota(destination, route), destination.listed_rate > 0
        single = listed and self._settings.kind(endpoint.kind).batch_size <= 1
        max_s = self._traffic.min_deadline_s / tuning.MIN_CALLS_PER_DEADLINE
        if listed:
            max_s = tuning.MAX_SPACING_FRACTION * self._latency.min_objective_s
        if share <= 0 or (single and (not self._large_fleet or share * max_s < tuning.SPACING_FACTOR)):
            return 0.0  # too small a share to keep to
        if single and self._now - route.rate_limit_cut_at > tuning.RATE_MEMORY_S:
            # It may have more of the traffic than others.
            share = max(share, self._traffic.expected_rate(destination, route))
        return min(tuning.SPACING_FACTOR / share, max_s)

    def start(self, head: Message, endpoint: Endpoint) -> None:
        """Release a message, and those that may share its call, to an endpoint."""
        destination = endpoint.destination
        attempt = self._backlog.new_attempt(endpoint)
        destination.queue.remove(head)
        members = [head, *self._further_members(head, endpoint)]
        for message in members:
            self._add(attempt, message, shared=len(members) > 1)
        self._backlog.start(attempt)
        destination.record_call(endpoint, self._now, tuning.RECENT_ENDPOINTS, self._settings)
        self._slow_start.record_call(endpoint, 1.0 + tuning.BATCH_ITEM_WEIGHT * (len(members) - 1))
        overdue_at = self._now + self._latency.overdue_after_s(destination)
        self._schedule(overdue_at, self._outliers.check_overdue, attempt)

    def _add(self, attempt: BatchAttempt, message: Message, shared: bool) -> None:
        within_s = math.inf
        if message.idempotency is Idempotency.IDEMPOTENCY_KEY:
            within_s = retry_until(message) - self._now
        if shared:
            needs_s = self._latency.shared_call_minimum_s(message.destination)
            within_s = min(within_s, message.expires_at - needs_s - self._now)
        timeout_s = max(message.expires_at - self._now, self._settings.timer_resolution_s)
        self._act(StartAttempt(message.id, attempt.endpoint.id, timeout_s, within_s, attempt.serial))
        message.record_attempt(attempt)

    def _further_members(self, head: Message, endpoint: Endpoint) -> list[Message]:
        """Those that share the call of the head; it ends with the time of any, so each must have some."""
        latest = self._now + self._latency.shared_call_minimum_s(endpoint.destination)
        if endpoint.route.ejected or head.expires_at <= latest:
            return []

        def fits(message: Message) -> bool:
            return message.expires_at > latest and self._may_travel_with_others(message, endpoint)

        further = self._settings.kind(endpoint.kind).batch_size - 1
        room_bytes = self._settings.max_batch_bytes - head.batch_bytes
        return endpoint.destination.queue.take_batch(further, room_bytes, fits)

    def _may_travel_with_others(self, message: Message, endpoint: Endpoint) -> bool:
        """Nothing of it may have executed, or a repeat is harmless."""
        anywhere = message.message_class.deduplication_scope is DeduplicationScope.ALL
        dropped = anywhere or message.zone == endpoint.zone
        return not message.possibly_executed or (dropped and may_retry(message, self._now))
