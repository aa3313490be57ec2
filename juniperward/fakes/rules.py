"""The rules of the protocol; each is a function that returns the violations in the records of a run.

The rules allow a duplicate whose effect the destination drops, a repeated notification, and a notification for a
delivered message if the two crossed or if the forwarder's process ended before it could journal the delivery.
"""

from __future__ import annotations

import bisect
import math
from collections import defaultdict
from collections.abc import Callable, Iterator

from juniperward.fakes.record_index import RecordIndex
from juniperward.fakes.records import (
    AnyRecord,
    AttemptAnswered,
    AttemptReceived,
    NotificationReceived,
    Submitted,
    WatchEventSent,
)
from juniperward.fakes.tally import ACCEPTED_STATUSES, REJECTED_STATUSES, outcome_deadline
from juniperward.fakes.verdict import Bounds, Rule, Violation

# A restart up to this long before a message's first outcome may cause a second one.
RESTART_LOOKBACK_S = 5.0
RETRY_AFTER_TOLERANCE_S = 0.002
GONE = "gone"
# States after which a message must not be attempted again.
FINAL_STATES = (GONE, "exhausted")


def one_outcome(records: RecordIndex, bounds: Bounds) -> Iterator[Violation]:
    """Check that each accepted message has exactly one outcome, in time, and that a rejected one has none."""
    for message, submitted in records.submissions.items():
        status = records.status_of(message)
        notifications = records.notifications.get(message, [])
        if status in ACCEPTED_STATUSES:
            yield from _outcome_of_accepted(records, bounds, submitted, notifications)
        elif notifications and status in REJECTED_STATUSES:
            text = "notified although it was rejected"
            yield _message_violation(records, Rule.ONE_OUTCOME, message, notifications[0].at, text)


def _outcome_of_accepted(
    records: RecordIndex, bounds: Bounds, submitted: Submitted, notifications: list[NotificationReceived]
) -> Iterator[Violation]:
    def violation(at: float, text: str) -> Violation:
        """Return a violation of ONE_OUTCOME by this message."""
        return _message_violation(records, Rule.ONE_OUTCOME, submitted.id, at, text)

    delivered_at = records.delivered_at(submitted.id)
    if delivered_at is None and records.has_state(submitted.id, GONE):
        return  # Nothing is owed, and a notification does no harm.
    if len({notification.status for notification in notifications}) > 1:
        yield violation(notifications[-1].at, "notified twice with different statuses")
    if delivered_at is not None:
        if notifications and not _may_cross(records, bounds, submitted, delivered_at, notifications):
            yield violation(notifications[0].at, "delivered and also notified as undelivered")
        return
    deadline = outcome_deadline(records, bounds, submitted)
    if notifications:
        late_s = notifications[0].at - deadline
        if late_s > 0:
            yield violation(notifications[0].at, f"notified {late_s:.3f} s too late")
    elif records.end >= deadline:
        yield violation(submitted.expires_at, "lost: accepted, but neither delivered nor notified")


def _may_cross(
    records: RecordIndex,
    bounds: Bounds,
    submitted: Submitted,
    delivered_at: float,
    notifications: list[NotificationReceived],
) -> bool:
    """Return whether a delivery and a notification may have crossed, or a restart explains both."""
    notified_at = notifications[0].at
    if 0 <= notified_at - delivered_at <= bounds.crossing_s:
        return True
    since = min(delivered_at, notified_at) - RESTART_LOOKBACK_S
    return records.restarted(submitted.forwarder, since, max(delivered_at, notifications[-1].at))


def one_in_flight(records: RecordIndex, _bounds: Bounds) -> Iterator[Violation]:
    """Check that no attempt of a message starts while another one is in flight."""
    for message, attempts in records.attempts_of.items():
        in_flight_until = -math.inf
        for attempt in attempts:
            if attempt.at < in_flight_until:
                text = "a second attempt arrived while another one was in flight"
                yield _message_violation(records, Rule.ONE_IN_FLIGHT, message, attempt.at, text)
            end = records.attempt_ends.get(attempt.attempt)
            ended_at = end.at if isinstance(end, AttemptAnswered) else attempt.at
            in_flight_until = max(in_flight_until, ended_at)


def ended_messages(records: RecordIndex, bounds: Bounds) -> Iterator[Violation]:
    """Check that a message is not attempted again after an endpoint said that it is over or out of attempts.

    An answer that a forwarder's process had no time to journal before it was killed does not count.
    """
    for message, attempts in records.attempts_of.items():
        ended_at: float | None = None
        for attempt in attempts:
            if ended_at is not None and attempt.began_at > ended_at:
                text = f"attempted {attempt.began_at - ended_at:.3f} s after an answer that ended it"
                yield _message_violation(records, Rule.ENDED_MESSAGES, message, attempt.at, text)
                break
            if records.state(attempt, message) in FINAL_STATES:
                at = records.attempt_ends[attempt.attempt].at
                killed = records.restarted(records.forwarder_of(attempt), at, at + bounds.crossing_s)
                ended_at = None if killed else at


def one_effect(records: RecordIndex, _bounds: Bounds) -> Iterator[Violation]:
    """Check that no message takes effect twice, as it can after the destination's deduplication window."""
    for effects in records.effects.values():
        if len(effects) > 1:
            first, second = effects[0], effects[1]
            text = f"a second effect {second.at - first.at:.3f} s after the first"
            yield _message_violation(records, Rule.ONE_EFFECT, second.id, second.at, text)


def draining(records: RecordIndex, bounds: Bounds) -> Iterator[Violation]:
    """Check that no attempt goes to an endpoint after the forwarder's watch reported it draining or removed."""
    times = {watched: [event.at for event in events] for watched, events in records.watch_events.items()}
    for attempt in records.attempts.values():
        forwarder = records.forwarder_of(attempt)
        watched = (forwarder, attempt.endpoint)
        events = records.watch_events.get(watched, [])
        latest = bisect.bisect_right(times.get(watched, []), attempt.began_at) - 1
        event = _drain_start(events, latest)
        if event is not None and attempt.began_at > event.at + bounds.drain_grace_s:
            late_s = attempt.began_at - event.at
            text = f"{forwarder} sent {attempt.ids[0]} to it {late_s:.3f} s after its watch reported {event.state}"
            related_records: tuple[AnyRecord, ...] = (*events, attempt)
            yield Violation(Rule.DRAINING, attempt.endpoint, attempt.began_at, text, related_records)


def _drain_start(events: list[WatchEventSent], latest: int) -> WatchEventSent | None:
    """Return the watch event since which an endpoint is not ready, or None if it is ready or has no event.

    `latest` is the index of the latest event at or before the attempt; it is negative if there is none.
    """
    if latest < 0 or events[latest].state == "Ready":
        return None
    first = latest
    while first > 0 and events[first - 1].state != "Ready":
        first -= 1
    return events[first]


def retry_after(records: RecordIndex, bounds: Bounds) -> Iterator[Violation]:
    """Check that a forwarder sends nothing to a destination within a Retry-After that it received."""
    answers = _answers_with_retry_after(records)
    for attempt in records.attempts.values():
        forwarder = records.forwarder_of(attempt)
        for answer in answers.get((forwarder, attempt.destination), []):
            if _violates_retry_after(records, bounds, attempt, forwarder, answer):
                early_s = answer.at + answer.retry_after_s - attempt.began_at
                text = (
                    f"{forwarder} sent {attempt.ids[0]} {early_s:.3f} s before the end of a Retry-After "
                    f"of {answer.retry_after_s:.3f} s"
                )
                subject = f"destination {attempt.destination}"
                yield Violation(Rule.RETRY_AFTER, subject, attempt.began_at, text, (answer, attempt))
                break


def _answers_with_retry_after(records: RecordIndex) -> dict[tuple[str, int], list[AttemptAnswered]]:
    """Return the answers with a Retry-After, by forwarder and destination."""
    answers: dict[tuple[str, int], list[AttemptAnswered]] = defaultdict(list)
    for number, end in records.attempt_ends.items():
        attempt = records.attempts.get(number)
        if attempt is not None and isinstance(end, AttemptAnswered) and end.retry_after_s > 0:
            answers[records.forwarder_of(attempt), attempt.destination].append(end)
    return answers


def _violates_retry_after(
    records: RecordIndex, bounds: Bounds, attempt: AttemptReceived, forwarder: str, answer: AttemptAnswered
) -> bool:
    """Return whether an attempt began within an answer's Retry-After without a restart in between."""
    since = answer.at + bounds.retry_after_grace_s
    until = answer.at + answer.retry_after_s - RETRY_AFTER_TOLERANCE_S
    within = since < attempt.began_at < until
    return within and not records.restarted(forwarder, answer.at, attempt.began_at)


def known_message(records: RecordIndex, _bounds: Bounds) -> Iterator[Violation]:
    """Check that attempts carry only messages that were submitted and not rejected, with destination and key."""
    for attempt in records.attempts.values():
        for message, key in zip(attempt.ids, attempt.keys, strict=True):
            if fault := _message_fault(records, attempt, message, key):
                yield _message_violation(records, Rule.KNOWN_MESSAGE, message, attempt.at, fault)


def _message_fault(records: RecordIndex, attempt: AttemptReceived, message: str, key: str) -> str:
    """Return a description of what is wrong with a message of an attempt, or an empty string."""
    submitted = records.submissions.get(message)
    if submitted is None:
        return f"attempt {attempt.attempt} carries a message that no client submitted"
    if submitted.destination != attempt.destination:
        return f"submitted for destination {submitted.destination}, but sent to {attempt.destination}"
    if submitted.key != key:
        return f"submitted with key {submitted.key}, but sent with {key}"
    if records.status_of(message) in REJECTED_STATUSES:
        return "rejected, but sent nevertheless"
    return ""


def _message_violation(records: RecordIndex, rule: Rule, message: str, at: float, text: str) -> Violation:
    """Return a violation that concerns a message, with the records about it."""
    return Violation(rule, message, at, text, records.related_records(message))


RULES: tuple[Callable[[RecordIndex, Bounds], Iterator[Violation]], ...] = (
    one_outcome,
    one_in_flight,
    ended_messages,
    one_effect,
    draining,
    retry_after,
    known_message,
)
