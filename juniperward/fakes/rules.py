"""The rules of the protocol page, each a function from a run's records to its violations; `checker` applies RULES.

What is allowed on purpose: a duplicate whose effect the destination drops, a notification that comes again, and a
notification for a message that was delivered at that very moment, or by a forwarder whose process ended before it
could write that down.
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
from juniperward.fakes.tally import ACCEPTED, REJECTED, outcome_deadline
from juniperward.fakes.verdict import Bounds, Rule, Violation

RESTART_LOOKBACK_S = 5.0  # before an outcome, for a restart that explains a second one
RETRY_AFTER_TOLERANCE_S = 0.002


def one_outcome(records: RecordIndex, bounds: Bounds) -> Iterator[Violation]:
    """Each message that was accepted has exactly one outcome, in its time; a rejected one has none."""
    for message, submitted in records.submissions.items():
        status = records.status_of(message)
        notifications = records.notifications.get(message, [])
        if status in ACCEPTED:
            yield from _outcome_of_accepted(records, bounds, submitted, notifications)
        elif notifications and status in REJECTED:
            text = "a notification for a message that was rejected"
            yield _of_message(records, Rule.ONE_OUTCOME, message, notifications[0].at, text)


def _outcome_of_accepted(
    records: RecordIndex, bounds: Bounds, submitted: Submitted, notifications: list[NotificationReceived]
) -> Iterator[Violation]:
    def violation(at: float, text: str) -> Violation:
        return _of_message(records, Rule.ONE_OUTCOME, submitted.id, at, text)

    delivered_at = records.delivered_at(submitted.id)
    if len({notification.status for notification in notifications}) > 1:
        yield violation(notifications[-1].at, "two notifications that differ")
    if delivered_at is not None:
        if notifications and not _may_cross(records, bounds, submitted, delivered_at, notifications):
            yield violation(notifications[0].at, "delivered, and notified as undelivered too")
        return
    deadline = outcome_deadline(records, bounds, submitted)
    if notifications:
        late_s = notifications[0].at - deadline
        if late_s > 0:
            yield violation(notifications[0].at, f"its notification came {late_s:.3f} s late")
    elif records.end >= deadline:
        yield violation(submitted.expires_at, "accepted, and without an outcome: it is lost")


def _may_cross(
    records: RecordIndex,
    bounds: Bounds,
    submitted: Submitted,
    delivered_at: float,
    notifications: list[NotificationReceived],
) -> bool:
    """Return whether an answer written as the forwarder's time runs out may cross with the notification."""
    notified_at = notifications[0].at
    if 0 <= notified_at - delivered_at <= bounds.crossing_s:
        return True
    since = min(delivered_at, notified_at) - RESTART_LOOKBACK_S
    return records.restarted(submitted.forwarder, since, max(delivered_at, notifications[-1].at))


def one_in_flight(records: RecordIndex, _bounds: Bounds) -> Iterator[Violation]:
    """No attempt of a message begins while another is in flight."""
    for message, attempts in records.attempts_of.items():
        in_flight_until = -math.inf
        for attempt in attempts:
            if attempt.at < in_flight_until:
                text = "a second attempt came while the first was in flight"
                yield _of_message(records, Rule.ONE_IN_FLIGHT, message, attempt.at, text)
            end = records.attempt_ends.get(attempt.attempt)
            ended_at = end.at if isinstance(end, AttemptAnswered) else attempt.at
            in_flight_until = max(in_flight_until, ended_at)


def one_effect(records: RecordIndex, _bounds: Bounds) -> Iterator[Violation]:
    """No message takes effect twice: a destination drops a duplicate only inside its window."""
    for effects in records.effects.values():
        if len(effects) > 1:
            first, second = effects[0], effects[1]
            text = f"a second effect {second.at - first.at:.3f} s after the first"
            yield _of_message(records, Rule.ONE_EFFECT, second.id, second.at, text)


def draining(records: RecordIndex, bounds: Bounds) -> Iterator[Violation]:
    """Nothing new goes to an endpoint that the forwarder's watch has said drains or is removed."""
    times = {watched: [event.at for event in events] for watched, events in records.watch_events.items()}
    for attempt in records.attempts.values():
        forwarder = records.forwarder_of(attempt)
        watched = (forwarder, attempt.endpoint)
        events = records.watch_events.get(watched, [])
        latest = bisect.bisect_right(times.get(watched, []), attempt.began_at) - 1
        event = _first_of_run(events, latest)
        if event is not None and attempt.began_at > event.at + bounds.drain_grace_s:
            late_s = attempt.began_at - event.at
            text = (
                f"{forwarder} sent {attempt.ids[0]} there {late_s:.3f} s after its watch said {event.state}"
            )
            story: tuple[AnyRecord, ...] = (*events, attempt)
            yield Violation(Rule.DRAINING, attempt.endpoint, attempt.began_at, text, story)


def _first_of_run(events: list[WatchEventSent], latest: int) -> WatchEventSent | None:
    """Return the first of the latest run of watch events that an endpoint drains.

    `latest` indexes the latest event at or before the attempt; None where the endpoint is ready, or no event came.
    """
    if latest < 0 or events[latest].state == "Ready":
        return None
    first = latest
    while first > 0 and events[first - 1].state != "Ready":
        first -= 1
    return events[first]


def retry_after(records: RecordIndex, bounds: Bounds) -> Iterator[Violation]:
    """A forwarder that received a Retry-After sends nothing to that destination before it is over."""
    answers = _answers_with_retry_after(records)
    for attempt in records.attempts.values():
        forwarder = records.forwarder_of(attempt)
        for answer in answers.get((forwarder, attempt.destination), []):
            if _ignores(records, bounds, attempt, forwarder, answer):
                early_s = answer.at + answer.retry_after_s - attempt.began_at
                text = (
                    f"{forwarder} sent {attempt.ids[0]} {early_s:.3f} s before the end of a Retry-After "
                    f"of {answer.retry_after_s:.3f} s"
                )
                subject = f"destination {attempt.destination}"
                yield Violation(Rule.RETRY_AFTER, subject, attempt.began_at, text, (answer, attempt))
                break


def _answers_with_retry_after(records: RecordIndex) -> dict[tuple[str, int], list[AttemptAnswered]]:
    """Return the answers that carried a Retry-After, by forwarder and destination."""
    answers: dict[tuple[str, int], list[AttemptAnswered]] = defaultdict(list)
    for number, end in records.attempt_ends.items():
        attempt = records.attempts.get(number)
        if attempt is not None and isinstance(end, AttemptAnswered) and end.retry_after_s > 0:
            answers[records.forwarder_of(attempt), attempt.destination].append(end)
    return answers


def _ignores(
    records: RecordIndex, bounds: Bounds, attempt: AttemptReceived, forwarder: str, answer: AttemptAnswered
) -> bool:
    """Return whether an attempt began within an answer's Retry-After, and no restart explains it."""
    since = answer.at + bounds.retry_after_grace_s
    until = answer.at + answer.retry_after_s - RETRY_AFTER_TOLERANCE_S
    within = since < attempt.began_at < until
    return within and not records.restarted(forwarder, answer.at, attempt.began_at)


def known_message(records: RecordIndex, _bounds: Bounds) -> Iterator[Violation]:
    """Only what a client submitted goes out, to its own destination, with its own key."""
    for attempt in records.attempts.values():
        for message, key in zip(attempt.ids, attempt.keys, strict=True):
            if wrong := _wrong_with(records, attempt, message, key):
                yield _of_message(records, Rule.KNOWN_MESSAGE, message, attempt.at, wrong)


def _wrong_with(records: RecordIndex, attempt: AttemptReceived, message: str, key: str) -> str:
    """Return what is wrong with a message of an attempt, or an empty text."""
    submitted = records.submissions.get(message)
    if submitted is None:
        return f"attempt {attempt.attempt} carries a message that no client submitted"
    if submitted.destination != attempt.destination:
        return f"it is for {submitted.destination} and went to {attempt.destination}"
    if submitted.key != key:
        return f"its key is {submitted.key}, and it went out with {key}"
    if records.status_of(message) in REJECTED:
        return "it was rejected, and sent all the same"
    return ""


def _of_message(records: RecordIndex, rule: Rule, message: str, at: float, text: str) -> Violation:
    """Return a violation by a message, with its story."""
    return Violation(rule, message, at, text, records.story(message))


RULES: tuple[Callable[[RecordIndex, Bounds], Iterator[Violation]], ...] = (
    one_outcome,
    one_in_flight,
    one_effect,
    draining,
    retry_after,
    known_message,
)
