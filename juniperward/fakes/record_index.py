"""The records of a run, sorted by time and grouped by what they concern, so that each rule is a short walk.

The checker's rules and its tally read it; nothing is judged here.
"""

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
    """The records of a run; each group is in the order of time."""

    def __init__(self, records: Iterable[AnyRecord]) -> None:
        """Sort the records by time and group them."""
        ordered = sorted(records, key=lambda record: record.at)
        self.end = ordered[-1].at if ordered else 0.0
        self.submissions: dict[str, Submitted] = {}  # by message
        self.submission_answers: dict[str, SubmissionAnswered] = {}  # by message
        self.attempts: dict[int, AttemptReceived] = {}
        self.attempt_ends: dict[int, AttemptAnswered | AttemptUnanswered] = {}
        self.attempts_of: dict[str, list[AttemptReceived]] = defaultdict(list)  # by message
        self.notifications: dict[str, list[NotificationReceived]] = defaultdict(list)  # by message
        self.effects: dict[str, list[Effect]] = defaultdict(list)  # by key
        self.watch_events: dict[tuple[str, str], list[WatchEventSent]] = defaultdict(list)
        self.process_events: dict[str, list[ProcessEvent]] = defaultdict(list)  # by forwarder
        for record in ordered:
            self._add(record)

    def _add(self, record: AnyRecord) -> None:
        """File one record under the groups that its kind belongs to."""
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
        """Return the HTTP status that a submission was answered with; 0 for none."""
        answer = self.submission_answers.get(message)
        return answer.status if answer is not None else 0

    def forwarder_of(self, attempt: AttemptReceived) -> str:
        """Return who made an attempt: messages are never passed on between forwarders."""
        submitted = self.submissions.get(attempt.ids[0]) if attempt.ids else None
        return submitted.forwarder if submitted is not None else UNKNOWN_FORWARDER

    def delivered_at(self, message: str) -> float | None:
        """Return when an attempt with the message was first answered as delivered."""
        for attempt in self.attempts_of.get(message, ()):
            if self._state(attempt, message) == "ok":
                return self.attempt_ends[attempt.attempt].at
        return None

    def _state(self, attempt: AttemptReceived, message: str) -> str:
        """Return how a message of an attempt ended: a state of the wire, or UNANSWERED."""
        end = self.attempt_ends.get(attempt.attempt)
        place = attempt.ids.index(message)
        if isinstance(end, AttemptAnswered) and place < len(end.states):
            return end.states[place]
        return UNANSWERED

    def restarted(self, forwarder: str, since: float, until: float) -> bool:
        """Return whether a forwarder's process ended or began between two moments."""
        return any(
            since <= event.at <= until
            for event in self.process_events.get(forwarder, ())
            if event.change is not ProcessChange.TERMINATE
        )

    def running_again_at(self, forwarder: str, at: float) -> float:
        """Return when a forwarder that was away at a moment ran again; the moment itself if it ran then."""
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

    def story(self, message: str) -> tuple[AnyRecord, ...]:
        """Return all records about a message, and the process events of its forwarder."""
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
