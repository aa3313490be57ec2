"""Detects overdue calls, marks unresponsive endpoints unhealthy, and cancels calls that are lost."""

from juniperward.scheduler import tuning
from juniperward.scheduler.actions import EjectionReason
from juniperward.scheduler.outlier_detection import OutlierDetection
from juniperward.scheduler.records import BatchAttempt
from juniperward.scheduler.retries import may_retry
from juniperward.scheduler.scheduler_part import SchedulerPart, SchedulerState
from juniperward.scheduler.timers import TIME_EPSILON_S


class OverdueCalls(SchedulerPart):
    """Watches calls that take longer than expected."""

    def __init__(self, state: SchedulerState, outlier_detection: OutlierDetection) -> None:
        """Use the part that marks unresponsive endpoints unhealthy."""
        super().__init__(state)
        self._outlier_detection = outlier_detection

    def check(self, attempt: BatchAttempt) -> None:
        """Mark a call overdue if it is still in flight, and schedule the next check of it.

        An endpoint with several overdue calls and no recent answer is unresponsive. A lost call is cancelled.
        """
        endpoint, destination = attempt.endpoint, attempt.endpoint.destination
        if attempt.serial not in endpoint.in_flight:
            return
        attempt.overdue = True
        self._backlog.make_ready(destination)
        overdue_after_s = self._latency.overdue_after_s(destination)
        overdue = sum(1 for other in endpoint.in_flight.values() if other.overdue)
        if self._is_lost(attempt, overdue_after_s) and self._may_retry_all(attempt):
            # If the endpoint has answered since the call was sent, only the connection is lost.
            self._backlog.cancel(attempt)
            if endpoint.last_success_at <= attempt.sent_at:
                self._outlier_detection.mark_unhealthy(endpoint, EjectionReason.UNRESPONSIVE)
        unanswered = endpoint.last_success_at <= self._now - overdue_after_s + TIME_EPSILON_S
        if overdue >= tuning.UNRESPONSIVE_OVERDUE_CALLS and unanswered and not endpoint.unhealthy:
            self._outlier_detection.mark_unhealthy(endpoint, EjectionReason.UNRESPONSIVE)
        if endpoint.route.ejected:
            self._backlog.make_ready_at(destination, self._now)
        self._schedule(self._now + overdue_after_s / 2, self.check, attempt)

    def free_slot(self) -> None:
        """Cancel the oldest overdue call that may be cancelled.

        Calls to unresponsive destinations must not occupy all slots. Without cancellation, nothing is done.
        """
        if not self._settings.cancellation:
            return
        candidates = [attempt for attempt in self._backlog.in_flight.values() if self._may_cancel(attempt)]
        if candidates:
            attempt = min(candidates, key=lambda candidate: (candidate.sent_at, candidate.serial))
            self._backlog.cancel(attempt)
            # A cancelled call does not count as overdue any more, so record the evidence now.
            self._outlier_detection.mark_unhealthy(attempt.endpoint, EjectionReason.UNRESPONSIVE)

    def _is_lost(self, attempt: BatchAttempt, overdue_after_s: float) -> bool:
        """Return whether a call may be cancelled because later calls of its route were answered."""
        if not self._settings.cancellation or attempt.cancelled:
            return False
        overtaken = attempt.endpoint.route.last_delivery_at > attempt.sent_at + overdue_after_s / 2
        age_s = self._now - attempt.sent_at
        return overtaken and age_s >= tuning.LOST_CALL_FACTOR * overdue_after_s - TIME_EPSILON_S

    def _may_cancel(self, attempt: BatchAttempt) -> bool:
        endpoint = attempt.endpoint
        if not attempt.overdue or attempt.cancelled:
            return False
        if not endpoint.unhealthy and endpoint.last_success_at >= attempt.sent_at:
            # The endpoint answers, so this call may still be answered.
            return False
        last_resort_s = tuning.LAST_RESORT_FACTOR * self._latency.overdue_after_s(endpoint.destination)
        return self._now - attempt.sent_at >= last_resort_s or self._may_retry_all(attempt)

    def _may_retry_all(self, attempt: BatchAttempt) -> bool:
        messages = self._backlog.messages
        return all(may_retry(messages[message_id], self._now) for message_id in attempt.message_ids)
