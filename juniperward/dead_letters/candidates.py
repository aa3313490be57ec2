"""Selects the dead letters of a destination that are redriven next. Reads the store and changes nothing."""

from __future__ import annotations

from dataclasses import dataclass

from juniperward.dead_letters import redrive_safety
from juniperward.dead_letters.dead_letter import DeadLetter, Status
from juniperward.dead_letters.redrive_rules import requested_by
from juniperward.dead_letters.redrive_safety import RedriveAssessment
from juniperward.dead_letters.redrive_settings import RedriveSettings
from juniperward.dead_letters.selection import START_POSITION, Filter, Position
from juniperward.dead_letters.store import DeadLetterStore

PAGE_SIZE = 500
MAX_PAGES_PER_ROUND = 4  # A round reads at most this many pages for each destination.
MAX_DEDUPLICATION_WINDOW_S = 3600.0  # No message class has a longer deduplication window.


@dataclass(frozen=True, slots=True)
class SelectionContext:
    """What the selection depends on besides the store.

    Attributes:
        current_endpoints: the endpoints now listed for the destination; None if no forwarder reports them.
        now: Unix time.
        settings: the operator's settings for redrives.
    """

    current_endpoints: frozenset[str] | None
    now: float
    settings: RedriveSettings


class Candidates:
    """Scans the stored messages of each destination page by page, and remembers the position of each scan."""

    def __init__(self, store: DeadLetterStore) -> None:
        """Start every scan at the destination's oldest message."""
        self._store = store
        self._positions: dict[int, Position] = {}

    def forget(self, destination: int) -> None:
        """Restart a destination's scan at its oldest message."""
        self._positions.pop(destination, None)

    def select(self, destination: int, max_count: int, conditions: SelectionContext) -> list[DeadLetter]:
        """Return at most `max_count` messages to redrive, those with an open deduplication window first.

        A call reads at most MAX_PAGES_PER_ROUND pages, and the next call continues after them. Messages that
        must not be redriven therefore never block those that may.
        """
        chosen = self._closing(destination, conditions)
        position = self._positions.get(destination, START_POSITION)
        for _ in range(MAX_PAGES_PER_ROUND):
            if len(chosen) >= max_count:
                break
            stored = Filter(status=Status.STORED, destination=destination)
            page = self._store.select(stored, PAGE_SIZE, position)
            known = {message.id for message in chosen}
            requested = self._requested(page, conditions)
            chosen += [message for message, _ in requested if message.id not in known]
            if len(page) < PAGE_SIZE:
                position = START_POSITION
                break
            if len(chosen) < max_count:
                position = Position(page[-1].given_up_at, page[-1].id)
        self._positions[destination] = position
        return chosen[:max_count]

    def _closing(self, destination: int, conditions: SelectionContext) -> list[DeadLetter]:
        """Return messages with an open deduplication window, in the order in which the windows close."""
        since = conditions.now - MAX_DEDUPLICATION_WINDOW_S
        closing = Filter(status=Status.STORED, destination=destination, executed_since=since)
        found = self._requested(self._store.select(closing, PAGE_SIZE), conditions)
        found.sort(key=lambda pair: (pair[1].deadline, pair[0].given_up_at))
        return [message for message, _ in found]

    def _requested(
        self, page: list[DeadLetter], conditions: SelectionContext
    ) -> list[tuple[DeadLetter, RedriveAssessment]]:
        """Return the messages of a page that are safe to redrive and requested by an operator or a rule."""
        found = []
        for message in page:
            assessment = redrive_safety.assess_redrive(
                message, conditions.now, conditions.current_endpoints, conditions.settings.clock_allowance_s
            )
            if assessment.is_allowed and requested_by(message, conditions.settings.rules, conditions.now):
                found.append((message, assessment))
        return found
