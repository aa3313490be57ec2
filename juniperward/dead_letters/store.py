"""The store of dead letters: SQLite in WAL mode, owned by the agent; any of its threads may use it.

Every change is one transaction with its lines in the audit trail. The statements are in `queries.py`, `leases.py`,
`operator_actions.py` and `retention.py`; this class gives each its connection or transaction.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any

from juniperward.dead_letters import leases, operator_actions, queries
from juniperward.dead_letters.clock import ClockReading
from juniperward.dead_letters.database import Database
from juniperward.dead_letters.dead_letter import DeadLetter
from juniperward.dead_letters.leases import LeaseTerms
from juniperward.dead_letters.operator_actions import ManualSettlement
from juniperward.dead_letters.retention import RetentionLimits, drop_oldest
from juniperward.dead_letters.rows import append_audit, insert_message
from juniperward.dead_letters.selection import START_POSITION, Filter, Lease, Position, SpoolPosition
from juniperward.dead_letters.spool_format import SpooledMessage

PAGE_SIZE = 1000


class DeadLetterStore(Database):
    """The messages, what happened to each, and the latest recorded clock."""

    # --- the clock -----------------------------------------------------------------------------------------

    def recorded_clock(self) -> ClockReading | None:
        """Return the latest moment that was recorded."""
        row = self.db.execute("SELECT wall, boot, boot_id FROM clock").fetchone()
        return ClockReading(*row) if row is not None else None

    def record_clock(self, clock: ClockReading) -> None:
        """Record a moment; one that cannot be known (an infinite wall clock) is not."""
        if not math.isfinite(clock.wall):
            return
        with self.transaction() as db:
            db.execute(
                "INSERT OR REPLACE INTO clock VALUES (1, ?, ?, ?)", (clock.wall, clock.boot, clock.boot_id)
            )

    # --- from the spools -----------------------------------------------------------------------------------

    def spool_position(self, forwarder: str) -> SpoolPosition:
        """Return up to where a forwarder's spool is in the store."""
        row = self.db.execute(
            "SELECT segment, offset FROM spool WHERE forwarder = ?", (forwarder,)
        ).fetchone()
        return SpoolPosition(row[0], row[1]) if row is not None else SpoolPosition(0, 0)

    def add(self, forwarder: str, messages: Iterable[SpooledMessage], position: SpoolPosition) -> int:
        """Add messages, and how far the spool is read, in one transaction; return how many were new."""
        with self.transaction() as db:
            new = sum(insert_message(db, forwarder, message) for message in messages)
            db.execute("INSERT OR REPLACE INTO spool VALUES (?, ?, ?)", (forwarder, *position))
        return new

    # --- queries -------------------------------------------------------------------------------------------

    def select(
        self, chosen: Filter, limit: int = PAGE_SIZE, after: Position = START_POSITION
    ) -> list[DeadLetter]:
        """Return a page of the selected messages, in the order in which they were given up."""
        return queries.select(self.db, chosen, limit, after)

    def complete_record(self, message: str) -> dict[str, Any] | None:
        """Return all about one message but its body; None where it is not in the store."""
        return queries.complete_record(self.db, message)

    def stored_body(self, message: str) -> bytes:
        """Return the body of a message that is in the store, for its redrive."""
        body = queries.body(self.db, message)
        assert body is not None
        return body

    def show_body(self, message: str, who: str) -> bytes | None:
        """Return a message's body to a person; that it was shown, and to whom, is recorded first."""
        with self.transaction() as db:
            body = queries.body(db, message)
            if body is not None:
                append_audit(db, who, "showed the body", message)
        return body

    def destinations(self, redrive_requested: bool = False) -> dict[int, int]:
        """Return how many messages are stored for each destination; with the flag, only requested ones."""
        return queries.destinations(self.db, redrive_requested)

    def stats(self) -> dict[str, Any]:
        """Return counts by status, the bytes, and the oldest."""
        return queries.stats(self.db)

    def audit(self, since: int = 0, limit: int = PAGE_SIZE) -> list[dict[str, Any]]:
        """Return the audit trail after a sequence number."""
        return queries.audit(self.db, since, limit)

    # --- redrives ------------------------------------------------------------------------------------------

    def acquire_lease(self, message: str, fence: int | None, forwarder: str, now: float, by: str) -> Lease:
        """Lease a stored message for a redrive; durable when this returns. Raises LeaseLostError."""
        with self.transaction() as db:
            return leases.acquire(db, message, fence, LeaseTerms(forwarder, now, by))

    def open_redrives(self) -> list[Lease]:
        """Return the leases whose outcome is not known."""
        return leases.open_redrives(self.db)

    def settle_redrive(self, lease: Lease, result: str, executed_at: float | None, now: float) -> None:
        """Write down how a redrive ended (a RedriveResult); raises LeaseLostError where that is written already."""
        with self.transaction() as db:
            leases.settle(db, lease, result, executed_at, now)

    # --- orders of people ----------------------------------------------------------------------------------

    def request_redrive(self, ids: Iterable[str], who: str, destination_confirmed: bool = False) -> int:
        """Request redrives; messages under way or over stay as they are. Return how many it concerned."""
        with self.transaction() as db:
            return operator_actions.request_redrive(db, ids, who, destination_confirmed)

    def settle(self, message: str, statement: ManualSettlement, now: float) -> None:
        """Take a person's statement on whether a message took effect; raises LeaseLostError where it is over."""
        with self.transaction() as db:
            operator_actions.settle(db, message, statement, now)

    def discard(self, ids: Iterable[str], who: str) -> int:
        """Have messages never redriven; `undo` reverts it. Return how many it concerned."""
        with self.transaction() as db:
            return operator_actions.discard(db, ids, who)

    def undo(self, ids: Iterable[str], who: str) -> int:
        """Revert a discard, or withdraw a request that has not begun. Return how many it concerned."""
        messages = list(ids)
        with self.transaction() as db:
            reverted = operator_actions.undo_discard(db, messages, who)
        with self.transaction() as db:
            return reverted + operator_actions.withdraw_request(db, messages, who)

    # --- retention -----------------------------------------------------------------------------------------

    def sweep(self, now: float, limits: RetentionLimits) -> int:
        """Drop what is beyond the limits, the oldest first, nothing under way; return how many messages."""
        with self.transaction() as db:
            return drop_oldest(db, now, limits)
