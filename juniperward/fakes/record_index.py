"""An index of the records of a run, which the rules of the checker and its counts use."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from juniperward.fakes.records import (
    AnyRecord,
    AttemptAnswered,
    AttemptReceived,
    AttemptUnanswered,
    Effect,
    NotificationReceived,
    ProcessChange,
    ProcessEvent,
    SubmissionAnswered,
    Submitted,
    WatchEventSent,
)

UNKNOWN_FORWARDER = "?"
UNANSWERED = "unanswered"


class RecordIndex:
    """The records of a run, grouped by message, attempt, endpoint or forwarder; each group is in order of time.

    Attributes:
        end: The time of the last record.
        submissions: The submissions, by message id.
        submission_answers: The answers to submissions, by message id.
        attempts: The attempts, by their number.
        attempt_ends: The ends of attempts, by the attempt's number.
        attempts_of: The attempts that carried a message, by message id.
        notifications: The notifications, by message id.
        effects: The effects, by idempotency key.
        watch_events: The watch events, by forwarder and endpoint.
        process_events: The process events, by forwarder.
    """

    def __init__(self, records: Iterable[AnyRecord]) -> None:
        """Sort the records by time and group them."""
        ordered = sorted(records, key=lambda record: record.at)
        self.end = ordered[-1].at if ordered else 0.0
        self.submissions: dict[str, Submitted] = {}
        self.submission_answers: dict[str, SubmissionAnswered] = {}
        self.attempts: dict[int, AttemptReceived] = {}
        self.attempt_ends: dict[int, AttemptAnswered | AttemptUnanswered] = {}
        self.attempts_of: dict[str, list[AttemptReceived]] = defaultdict(list)
        self.notifications: dict[str, list[NotificationReceived]] = defaultdict(list)
        self.effects: dict[str, list[Effect]] = defaultdict(list)
        self.watch_events: dict[tuple[str, str], list[WatchEventSent]] = defaultdict(list)
        self.process_events: dict[str, list[ProcessEvent]] = defaultdict(list)
        for record in ordered:
            self._add(record)

    def _add(self, record: AnyRecord) -> None:
        """Add one record to its groups."""
        match record:
            case Submitted():
                self.submissions[record.id] = record
            case SubmissionAnswered():
                self.submission_answers[record.id] = record
            case AttemptReceived():
                self.attempts[record.attempt] = record
                for message in record.ids:
                    self.attempts_of[message].append(record)
            case AttemptAnswered() | AttemptUnanswered():
                self.attempt_ends[record.attempt] = record
            case NotificationReceived():
                self.notifications[record.id].append(record)
            case Effect():
                self.effects[record.key].append(record)
            case WatchEventSent():
                self.watch_events[record.forwarder, record.endpoint].append(record)
            case ProcessEvent():
                self.process_events[record.forwarder].append(record)

    def status_of(self, message: str) -> int:
        """Return the HTTP status of the answer to a submission; 0 if it has none."""
        answer = self.submission_answers.get(message)
        return answer.status if answer is not None else 0

    def forwarder_of(self, attempt: AttemptReceived) -> str:
        """Return the forwarder that made an attempt: the one that its message was submitted to."""
        submitted = self.submissions.get(attempt.ids[0]) if attempt.ids else None
        return submitted.forwarder if submitted is not None else UNKNOWN_FORWARDER

    def delivered_at(self, message: str) -> float | None:
        """Return when a message was first answered as delivered, or None if it was not."""
        for attempt in self.attempts_of.get(message, ()):
            if self.state(attempt, message) == "ok":
                return self.attempt_ends[attempt.attempt].at
        return None

    def has_state(self, message: str, state: str) -> bool:
        """Return whether an endpoint has answered an attempt of a message with a state."""
        return any(self.state(attempt, message) == state for attempt in self.attempts_of.get(message, ()))

    def state(self, attempt: AttemptReceived, message: str) -> str:
        """Return the state of a message in the answer to an attempt, or UNANSWERED."""
        end = self.attempt_ends.get(attempt.attempt)
        index = attempt.ids.index(message)
        if isinstance(end, AttemptAnswered) and index < len(end.states):
            return end.states[index]
        return UNANSWERED

    def restarted(self, forwarder: str, since: float, until: float) -> bool:
        """Return whether a forwarder's process started or ended within a period."""
        return any(
            since <= event.at <= until
            for event in self.process_events.get(forwarder, ())
            if event.change is not ProcessChange.TERMINATE
        )

    def running_again_at(self, forwarder: str, at: float) -> float:
        """Return `at` if the forwarder was running then, else when it ran again (`end` if it did not)."""
        down = False
        for event in self.process_events.get(forwarder, ()):
            if event.at > at and not down:
                break
            if event.change is not ProcessChange.START:
                down = down or event.at <= at
            elif down and event.at > at:
                return event.at
            else:
                down = False
        return self.end if down else at

    def related_records(self, message: str) -> tuple[AnyRecord, ...]:
        """Return all records about a message and the process events of its forwarder, in order of time."""
        submitted = self.submissions.get(message)
        found: list[AnyRecord] = [submitted] if submitted is not None else []
        if message in self.submission_answers:
            found.append(self.submission_answers[message])
        for attempt in self.attempts_of.get(message, ()):
            found.append(attempt)
            if attempt.attempt in self.attempt_ends:
                found.append(self.attempt_ends[attempt.attempt])
        found += self.notifications.get(message, ())
        if submitted is not None:
            found += [effect for effect in self.effects.get(submitted.key, ()) if effect.id == message]
            found += self.process_events.get(submitted.forwarder, ())
        return tuple(sorted(found, key=lambda record: record.at))
