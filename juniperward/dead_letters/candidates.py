"""Which dead letters of a destination are redriven next. Called by the redriver; reads the store, changes nothing."""

from __future__ import annotations

from dataclasses import dataclass

from juniperward.dead_letters import redrive_safety
from juniperward.dead_letters.dead_letter import DeadLetter, Status
from juniperward.dead_letters.redrive_rules import requested_by
from juniperward.dead_letters.redrive_safety import RedriveAssessment
from juniperward.dead_letters.redrive_settings import RedriveSettings
from juniperward.dead_letters.selection import START_POSITION, Filter, Position
from juniperward.dead_letters.store import DeadLetterStore

PAGE_SIZE = 500  # messages read at once
MAX_PAGES_PER_ROUND = 4  # for one destination in a round
MAX_DEDUPLICATION_WINDOW_S = 3600.0  # no class has a longer one


@dataclass(frozen=True, slots=True)
class SelectionContext:
    """What candidates are judged by."""

    current_endpoints: frozenset[str] | None  # the endpoints that the destination has now; None: not known
    now: float  # Unix time
    settings: RedriveSettings


class Candidates:
    """Selects page by page; owns how far each destination's messages were looked through."""

    def __init__(self, store: DeadLetterStore) -> None:
        """Begin each destination at its oldest message."""
        self._store = store
        self._positions: dict[int, Position] = {}

    def forget(self, destination: int) -> None:
        """Begin a destination anew."""
        self._positions.pop(destination, None)

    def select(self, destination: int, max_count: int, conditions: SelectionContext) -> list[DeadLetter]:
        """Return messages to redrive: those whose window is closing first, then the oldest.

        A few pages are read in a round, and the next round goes on behind them: what may not be redriven
        must not hide what may.
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
        """Return the messages whose deduplication window is closing, the first to close first."""
        since = conditions.now - MAX_DEDUPLICATION_WINDOW_S
        closing = Filter(status=Status.STORED, destination=destination, executed_since=since)
        found = self._requested(self._store.select(closing, PAGE_SIZE), conditions)
        found.sort(key=lambda pair: (pair[1].until, pair[0].given_up_at))
        return [message for message, _ in found]

    def _requested(
        self, page: list[DeadLetter], conditions: SelectionContext
    ) -> list[tuple[DeadLetter, RedriveAssessment]]:
        """Return those of a page that may be redriven and that a person or a rule requests."""
        found = []
        for message in page:
            judgement = redrive_safety.assess_redrive(
                message, conditions.now, conditions.current_endpoints, conditions.settings.clock_allowance_s
            )
            if judgement.is_allowed and requested_by(message, conditions.settings.rules, conditions.now):
                found.append((message, judgement))
        return found
