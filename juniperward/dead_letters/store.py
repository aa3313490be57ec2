"""The store of dead letters: SQLite in WAL mode, owned by the agent.

Every change of a message is one transaction with its line in the audit trail. A lease is a compare-and-set on the
message's stand and fence; whoever comes second changes nothing.
"""

from __future__ import annotations

import json
import math
import sqlite3
from collections.abc import Iterable
from typing import Any

from juniperward.dead_letters.database import Database
from juniperward.dead_letters.decisions import Clock, DeadLetter, Status
from juniperward.dead_letters.retention import Limits, drop_oldest
from juniperward.dead_letters.rows import COLUMNS, ROW_BYTES, audit, dead_letter, redrive_id
from juniperward.dead_letters.selection import Filter, Lease, SpoolPosition
from juniperward.dead_letters.spool import SpooledMessage
from juniperward.dead_letters.store_errors import (
    LeaseLostError,
    LeaseSettledError,
    MessageChangedError,
    StoreError,
)

__all__ = ["DeadLetterStore", "Filter", "Lease", "LeaseLostError", "StoreError", "redrive_id"]


class DeadLetterStore(Database):
    """The messages, what happened to each, and the clock; for any thread."""

    # --- time -----------------------------------------------------------------------------------------------

    def seen(self) -> Clock | None:
        """Return the latest moment that was written down."""
        row = self.db.execute("SELECT wall, boot, boot_id FROM clock").fetchone()
        return Clock(*row) if row is not None else None

    def see(self, clock: Clock) -> None:
        """Write a moment down; an earlier wall clock does not replace a later one."""
        if not math.isfinite(clock.wall):
            return
        with self.change() as db:
            db.execute(
                "INSERT OR REPLACE INTO clock VALUES (1, ?, ?, ?)", (clock.wall, clock.boot, clock.boot_id)
            )

    # --- taking in ------------------------------------------------------------------------------------------

    def place(self, forwarder: str) -> SpoolPosition:
        """Return the segment and the offset up to which a forwarder's spool is in the store."""
        row = self.db.execute(
            "SELECT segment, offset FROM spool WHERE forwarder = ?", (forwarder,)
        ).fetchone()
        return SpoolPosition(row[0], row[1]) if row is not None else SpoolPosition(0, 0)

    def take_in(self, forwarder: str, messages: Iterable[SpooledMessage], segment: int, offset: int) -> int:
        """Put messages in, and how far the spool is read, in one transaction; return how many were new."""
        new = 0
        with self.change() as db:
            for message in messages:
                new += _insert(db, forwarder, message)
            db.execute("INSERT OR REPLACE INTO spool VALUES (?, ?, ?)", (forwarder, segment, offset))
        return new

    # --- looking --------------------------------------------------------------------------------------------

    def facts(
        self, chosen: Filter, limit: int = 1000, after: tuple[float, str] = (-1.0, "")
    ) -> list[DeadLetter]:
        """Return what decides about the selected messages, in the order given up, a page at a time."""
        where, values = chosen.sql()
        rows = self.db.execute(
            f"SELECT {COLUMNS} FROM message WHERE {where} AND (given_up_at, id) > (?, ?)"
            " ORDER BY given_up_at, id LIMIT ?",
            (*values, *after, limit),
        )
        return [dead_letter(row) for row in rows]

    def complete_record(self, message: str) -> dict[str, Any] | None:
        """Return all about one message but its body."""
        row = self.db.execute("SELECT * FROM message WHERE id = ?", (message,)).fetchone()
        if row is None:
            return None
        found = {k: row[k] for k in row.keys() if k != "body"}  # noqa: SIM118
        found["workers"] = json.loads(found["workers"])
        for name, table in (("attempts", "attempt"), ("resent", "resend")):
            order = "n" if table == "attempt" else "fence"
            rows = self.db.execute(f"SELECT * FROM {table} WHERE message = ? ORDER BY {order}", (message,))
            found[name] = [dict(r) for r in rows]
        audit = self.db.execute("SELECT * FROM audit WHERE message = ? ORDER BY seq", (message,))
        found["audit"] = [dict(r) for r in audit]
        return found

    def stored_body(self, message: str) -> bytes:
        """Return the body of a message that is in the store, for its redrive."""
        row = self.db.execute("SELECT body FROM message WHERE id = ?", (message,)).fetchone()
        assert row is not None
        return bytes(row[0])

    def body(self, message: str, who: str) -> bytes | None:
        """Return a message's body; that it was shown, and to whom, is written down first."""
        with self.change() as db:
            row = db.execute("SELECT body FROM message WHERE id = ?", (message,)).fetchone()
            if row is not None:
                audit(db, who, "showed the body", message)
        return bytes(row[0]) if row is not None else None

    def destinations(self, wished: bool = False) -> dict[int, int]:
        """Return how many messages are stored for each destination; with `wished`, that people want sent."""
        more = " AND wished IS NOT NULL" if wished else ""
        rows = self.db.execute(
            f"SELECT destination, count(*) FROM message WHERE stand = 'kept'{more} GROUP BY destination"
        )
        return {r[0]: r[1] for r in rows}

    def stats(self) -> dict[str, Any]:
        """Return counts by status, the bytes, and the oldest."""
        stands = {r[0]: r[1] for r in self.db.execute("SELECT stand, count(*) FROM message GROUP BY stand")}
        row = self.db.execute(
            "SELECT count(*), coalesce(sum(bytes), 0), min(given_up_at) FROM message"
        ).fetchone()
        wished = self.db.execute("SELECT count(*) FROM message WHERE wished IS NOT NULL").fetchone()[0]
        return {"messages": row[0], "bytes": row[1], "oldest": row[2], "stands": stands, "wished": wished}

    def audit(self, since: int = 0, limit: int = 1000) -> list[dict[str, Any]]:
        """Return the trail after a number."""
        rows = self.db.execute("SELECT * FROM audit WHERE seq > ? ORDER BY seq LIMIT ?", (since, limit))
        return [dict(r) for r in rows]

    # --- resends --------------------------------------------------------------------------------------------

    def acquire_lease(self, message: str, fence: int | None, forwarder: str, now: float, by: str) -> Lease:
        """Take the right to send a message again; durable when this returns. Raises LeaseLostError."""
        with self.change() as db:
            row = db.execute(
                "SELECT stand, fence, resends, ran_at FROM message WHERE id = ?", (message,)
            ).fetchone()
            if row is None or row["stand"] != Status.STORED or (fence is not None and row["fence"] != fence):
                raise MessageChangedError(message, row["stand"] if row is not None else None)
            new = row["fence"] + 1
            name = redrive_id(message, new)
            db.execute(
                "UPDATE message SET stand = 'claimed', fence = ?, resends = ? WHERE id = ?",
                (new, row["resends"] + 1, message),
            )
            db.execute(
                "INSERT INTO resend (id, message, fence, forwarder, claimed_at, by) VALUES (?,?,?,?,?,?)",
                (name, message, new, forwarder, now, by),
            )
            audit(db, by, "claimed", message, f"resend {name} through {forwarder}")
        return Lease(name, message, new, forwarder, now, row["ran_at"])

    def open_redrives(self) -> list[Lease]:
        """Return the leases whose end is not known."""
        rows = self.db.execute(
            "SELECT r.id, r.message, r.fence, r.forwarder, r.claimed_at, m.ran_at FROM resend r"
            " JOIN message m ON m.id = r.message WHERE r.end IS NULL ORDER BY r.claimed_at"
        )
        return [Lease(*r) for r in rows]

    def settle_redrive(self, lease: Lease, end: str, ran_at: float | None, now: float) -> None:
        """Write down how a resend ended: delivered, undeliverable, deferred, refused or never taken.

        Raises LeaseLostError where the lease is not the message's latest or was settled already.
        """
        with self.change() as db:
            done = db.execute(
                "UPDATE resend SET end = ?, ended_at = ?, ran_at = ? WHERE id = ? AND end IS NULL",
                (end, now, ran_at, lease.redrive_id),
            )
            row = db.execute(
                "SELECT stand, fence, ran_at FROM message WHERE id = ?", (lease.message,)
            ).fetchone()
            if (
                not done.rowcount
                or row is None
                or row["fence"] != lease.fence
                or row["stand"] != Status.LEASED
            ):
                raise LeaseSettledError(lease.redrive_id)
            stand = Status.DELIVERED if end == "delivered" else Status.STORED
            ran = min((t for t in (row["ran_at"], ran_at) if t is not None), default=None)
            # One that cannot have reached the partner is none that counts, and the wish for it stands.
            nothing = end != "delivered" and (ran_at is None or ran_at == row["ran_at"])
            more = ", resends = resends - 1" if nothing else ", wished = NULL"
            db.execute(
                f"UPDATE message SET stand = ?, ran_at = ?{more} WHERE id = ?", (stand, ran, lease.message)
            )
            audit(db, "agent", end, lease.message, lease.redrive_id)

    # --- people ---------------------------------------------------------------------------------------------

    def wish(self, ids: Iterable[str], who: str, partner_sure: bool = False) -> int:
        """Ask for messages to be sent again; those under way or over stay as they are."""
        count = 0
        with self.change() as db:
            for name in ids:
                done = db.execute(
                    "UPDATE message SET wished = ?, partner_sure = max(partner_sure, ?)"
                    " WHERE id = ? AND stand = 'kept' AND (wished IS NULL OR partner_sure < ?)",
                    (who, int(partner_sure), name, int(partner_sure)),
                )
                if done.rowcount:
                    count += 1
                    audit(
                        db, who, "asked for a resend", name, "the partner is the same" if partner_sure else ""
                    )
        return count

    def settle(self, message: str, delivered: bool, who: str, why: str, now: float) -> None:
        """Take a person's word on whether a message took effect; raises LeaseLostError where it is over."""
        with self.change() as db:
            row = db.execute("SELECT stand, fence FROM message WHERE id = ?", (message,)).fetchone()
            if row is None or row["stand"] not in (Status.STORED, Status.LEASED):
                raise MessageChangedError(message, row["stand"] if row is not None else None)
            db.execute(
                "UPDATE resend SET end = 'settled', ended_at = ? WHERE message = ? AND end IS NULL",
                (now, message),
            )
            stand = Status.DELIVERED if delivered else Status.STORED
            db.execute(
                "UPDATE message SET stand = ?, fence = fence + 1, ran_at = NULL, wished = NULL WHERE id = ?",
                (stand, message),
            )
            audit(db, who, f"settled: {'delivered' if delivered else 'not delivered'}", message, why)

    def discard(self, ids: Iterable[str], who: str) -> int:
        """Have messages never sent again; `undo` takes it back. How many it took."""
        return self._turn(ids, who, Status.STORED, Status.DISCARDED, "discarded")

    def undo(self, ids: Iterable[str], who: str) -> int:
        """Take back a discard, or a wish that has not begun."""
        taken = list(ids)
        count = self._turn(taken, who, Status.DISCARDED, Status.STORED, "undid the discard")
        with self.change() as db:
            for name in taken:
                done = db.execute(
                    "UPDATE message SET wished = NULL WHERE id = ? AND stand = 'kept' AND wished IS NOT NULL",
                    (name,),
                )
                if done.rowcount:
                    count += 1
                    audit(db, who, "took back the wish", name)
        return count

    def _turn(self, ids: Iterable[str], who: str, old: Status, new: Status, what: str) -> int:
        count = 0
        with self.change() as db:
            for name in ids:
                done = db.execute(
                    "UPDATE message SET stand = ?, wished = NULL WHERE id = ? AND stand = ?", (new, name, old)
                )
                if done.rowcount:
                    count += 1
                    audit(db, who, what, name)
        return count

    # --- retention ------------------------------------------------------------------------------------------

    def sweep(self, now: float, most_age: float, most: int, most_bytes: int) -> int:
        """Drop what is too old (seconds) or too much, the oldest first, nothing under way; return how many."""
        with self.change() as db:
            return drop_oldest(db, now, Limits(most_age, most, most_bytes))


def _insert(db: sqlite3.Connection, forwarder: str, message: SpooledMessage) -> bool:
    """Put a message in, with its attempts; return whether it was new."""
    ran_at = min((attempt.at for attempt in message.attempts if attempt.may_have_run), default=None)
    row = {
        "id": message.id,
        "forwarder": forwarder,
        "cls": message.cls,
        "account": message.account,
        "destination": message.destination,
        "key": message.key,
        "body": message.body,
        "taken_at": message.taken_at,
        "given_up_at": message.given_up_at,
        "effect": message.effect,
        "window": message.window,
        "workers": json.dumps(message.workers),
        "ran_at": ran_at,
        "bytes": len(message.body) + ROW_BYTES,
    }
    marks = ", ".join(f":{column}" for column in row)
    inserted = db.execute(f"INSERT OR IGNORE INTO message ({', '.join(row)}) VALUES ({marks})", row)
    if not inserted.rowcount:
        return False
    attempts = [
        (message.id, number, attempt.worker, attempt.at, attempt.outcome, attempt.may_have_run)
        for number, attempt in enumerate(message.attempts)
    ]
    db.executemany("INSERT INTO attempt VALUES (?,?,?,?,?,?)", attempts)
    return True
