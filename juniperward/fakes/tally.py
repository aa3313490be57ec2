"""Counts the messages, attempts and effects of a run, and computes the priority weight that was delivered."""

from __future__ import annotations

import math
from collections import defaultdict

from juniperward.fakes.record_index import RecordIndex
from juniperward.fakes.records import Submitted
from juniperward.fakes.verdict import Bounds, Verdict

ACCEPTED_STATUSES = (200, 202)
REJECTED_STATUSES = (429, 503)


def tally(records: RecordIndex, bounds: Bounds) -> Verdict:
    """Return a verdict with the counts of a run and without violations."""
    verdict = Verdict()
    _count_submissions(verdict, records, bounds)
    _count_attempts(verdict, records)
    _count_priority_weight(verdict, records, bounds)
    return verdict


def outcome_deadline(records: RecordIndex, bounds: Bounds, submitted: Submitted) -> float:
    """Return the time by which an accepted message that is not delivered must have a notification.

    From a signal that ends its forwarder's process, no notification becomes overdue until the process has run again
    for a while.
    """
    due_at = submitted.expires_at + bounds.outcome_grace_s
    for at in (submitted.expires_at, due_at):
        running_at = records.running_again_at(submitted.forwarder, at)
        if running_at > at:
            return running_at + bounds.outcome_grace_s + bounds.restart_grace_s
    return due_at


def _count_submissions(verdict: Verdict, records: RecordIndex, bounds: Bounds) -> None:
    for message, submitted in records.submissions.items():
        verdict.submissions += 1
        status = records.status_of(message)
        verdict.rejected += status in REJECTED_STATUSES
        verdict.unanswered += status == 0
        if status not in ACCEPTED_STATUSES:
            continue
        verdict.accepted += 1
        if records.delivered_at(message) is not None:
            verdict.delivered += 1
        elif records.notifications.get(message):
            verdict.notified += 1
        elif records.end < outcome_deadline(records, bounds, submitted):
            verdict.unfinished += 1


def _count_attempts(verdict: Verdict, records: RecordIndex) -> None:
    for attempts in records.attempts_of.values():
        verdict.attempts += len(attempts)
        verdict.retries += len(attempts) - 1
    verdict.effects = len(records.effects)


def _count_priority_weight(verdict: Verdict, records: RecordIndex, bounds: Bounds) -> None:
    """Set the fraction of the offered priority weight that was delivered; submissions of a message count as one."""
    offered: dict[str, Submitted] = {}
    latency_s: dict[str, float] = {}
    for message, submitted in records.submissions.items():
        first_id = submitted.first_id
        offered.setdefault(first_id, submitted)
        delivered_at = records.delivered_at(message)
        if records.status_of(message) in ACCEPTED_STATUSES and delivered_at is not None:
            message_latency_s = delivered_at - submitted.scheduled_at
            latency_s[first_id] = min(latency_s.get(first_id, math.inf), message_latency_s)
    by_account: dict[str, list[float]] = defaultdict(list)
    for first_id, submitted in offered.items():
        by_account[submitted.account].append(_priority_weight(latency_s.get(first_id), bounds))
    verdict.latencies_s = [latency_s[first_id] for first_id in offered if first_id in latency_s]
    verdict.offered = len(offered)
    total = sum(map(sum, by_account.values()))
    verdict.priority_weight_delivered = total / len(offered) if offered else 1.0
    verdict.priority_weight_by_account = {
        account: sum(weights) / len(weights) for account, weights in sorted(by_account.items())
    }


def _priority_weight(latency_s: float | None, bounds: Bounds) -> float:
    """Return the priority weight of a delivery after `latency_s` seconds; None stands for no delivery.

    It is 1 up to the latency objective, falls linearly to the late weight at the deadline, and is 0 after that.
    """
    if latency_s is None:
        return 0.0
    objective_s = bounds.latency_objective_s
    late_fraction = max(latency_s - objective_s, 0.0) / (bounds.deadline_s - objective_s)
    return 1.0 - late_fraction * (1.0 - bounds.late_weight) if late_fraction <= 1.0 else 0.0
