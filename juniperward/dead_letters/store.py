"""The agent's store of dead letters, a SQLite database that any thread may use.

Every change and its audit entries are one transaction. `DeadLetterStore` opens the connection or transaction;
the statements are in `queries.py`, `leases.py`, `operator_actions.py` and `retention.py`.
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
    """Dead letters with their history and audit trail, spool positions, and the latest clock reading."""

    # --- the clock -----------------------------------------------------------------------------------------

    def recorded_clock(self) -> ClockReading | None:
        """Return the recorded clock reading; None if there is none."""
        row = self.db.execute("SELECT wall, boot, boot_id FROM clock").fetchone()
        return ClockReading(*row) if row is not None else None

    def record_clock(self, clock: ClockReading) -> None:
        """Replace the recorded clock reading, unless the new wall-clock time is unknown (infinite)."""
        if not math.isfinite(clock.wall):
            return
        with self.transaction() as db:
            db.execute(
                "INSERT OR REPLACE INTO clock VALUES (1, ?, ?, ?)", (clock.wall, clock.boot, clock.boot_id)
            )

    # --- spools --------------------------------------------------------------------------------------------

    def spool_position(self, forwarder: str) -> SpoolPosition:
        """Return how far a forwarder's spool was read; the beginning if it never was."""
        row = self.db.execute(
            "SELECT segment, offset FROM spool WHERE forwarder = ?", (forwarder,)
        ).fetchone()
        return SpoolPosition(row[0], row[1]) if row is not None else SpoolPosition(0, 0)

    def add(self, forwarder: str, messages: Iterable[SpooledMessage], position: SpoolPosition) -> int:
        """Add messages and the spool position after them in one transaction; return how many were new."""
        with self.transaction() as db:
            new = sum(insert_message(db, forwarder, message) for message in messages)
            db.execute("INSERT OR REPLACE INTO spool VALUES (?, ?, ?)", (forwarder, *position))
        return new

    # --- queries -------------------------------------------------------------------------------------------

    def select(
        self, criteria: Filter, limit: int = PAGE_SIZE, after: Position = START_POSITION
    ) -> list[DeadLetter]:
        """Return at most `limit` matching messages after a position, the first given up first."""
        return queries.select(self.db, criteria, limit, after)

    def complete_record(self, message: str) -> dict[str, Any] | None:
        """Return a message's columns except its body, with its history; None if it is not in the store."""
        return queries.complete_record(self.db, message)

    def stored_body(self, message: str) -> bytes:
        """Return the body of a message that must be in the store."""
        body = queries.body(self.db, message)
        assert body is not None
        return body

    def show_body(self, message: str, who: str) -> bytes | None:
        """Return a message's body (None: absent) and record in the audit trail that `who` read it."""
        with self.transaction() as db:
            body = queries.body(db, message)
            if body is not None:
                append_audit(db, who, "showed the body", message)
        return body

    def destinations(self, redrive_requested: bool = False) -> dict[int, int]:
        """Return the number of STORED messages by destination; with the flag, of requested ones only."""
        return queries.destinations(self.db, redrive_requested)

    def stats(self) -> dict[str, Any]:
        """Return the store's counts, size and oldest time, with the keys of the agent's API."""
        return queries.stats(self.db)

    def audit(self, since: int = 0, limit: int = PAGE_SIZE) -> list[dict[str, Any]]:
        """Return at most `limit` audit entries after a sequence number, in order."""
        return queries.audit(self.db, since, limit)

    # --- redrives ------------------------------------------------------------------------------------------

    def acquire_lease(self, message: str, fence: int | None, forwarder: str, now: float, by: str) -> Lease:
        """Lease a stored message and commit the lease; raises LeaseLostError if it has changed."""
        with self.transaction() as db:
            return leases.acquire(db, message, fence, LeaseTerms(forwarder, now, by))

    def open_redrives(self) -> list[Lease]:
        """Return the leases whose outcome is not recorded, the oldest first."""
        return leases.open_redrives(self.db)

    def settle_redrive(self, lease: Lease, result: str, executed_at: float | None, now: float) -> None:
        """Record a redrive's RedriveResult; raises LeaseLostError if the lease is settled or superseded."""
        with self.transaction() as db:
            leases.settle(db, lease, result, executed_at, now)

    # --- operator actions ----------------------------------------------------------------------------------

    def request_redrive(self, ids: Iterable[str], who: str, destination_confirmed: bool = False) -> int:
        """Request redrives of those messages that are STORED; return how many requests are new or changed."""
        with self.transaction() as db:
            return operator_actions.request_redrive(db, ids, who, destination_confirmed)

    def settle(self, message: str, statement: ManualSettlement, now: float) -> None:
        """Set the outcome that an operator states; raises LeaseLostError if there already is one."""
        with self.transaction() as db:
            operator_actions.settle(db, message, statement, now)

    def discard(self, ids: Iterable[str], who: str) -> int:
        """Discard stored messages, which excludes them from redrives; return how many were discarded."""
        with self.transaction() as db:
            return operator_actions.discard(db, ids, who)

    def undo(self, ids: Iterable[str], who: str) -> int:
        """Restore discarded messages, withdraw requests of stored ones; return how many changed."""
        messages = list(ids)
        with self.transaction() as db:
            reverted = operator_actions.undo_discard(db, messages, who)
        with self.transaction() as db:
            return reverted + operator_actions.withdraw_request(db, messages, who)

    # --- retention -----------------------------------------------------------------------------------------

    def sweep(self, now: float, limits: RetentionLimits) -> int:
        """Drop the oldest messages without an open redrive until the limits hold; return how many."""
        with self.transaction() as db:
            return drop_oldest(db, now, limits)
