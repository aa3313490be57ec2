"""Leases of dead letters: the right to one redrive of a message, and how that redrive ended.

A lease is a compare-and-set on the message's status and fence: whoever comes second changes nothing and gets a
LeaseLostError. Each function works in the transaction of its `db`; `DeadLetterStore` calls them.
"""

from __future__ import annotations

import sqlite3
from dataclasses import dataclass

from juniperward.dead_letters.dead_letter import Status
from juniperward.dead_letters.outcome import RedriveResult
from juniperward.dead_letters.rows import append_audit, redrive_id
from juniperward.dead_letters.selection import Lease
from juniperward.dead_letters.store_errors import LeaseSettledError, MessageChangedError


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """For whom a message is leased."""

    forwarder: str  # that the redrive is submitted to
    leased_at: float  # Unix time
    by: str  # a person or a rule


def acquire(db: sqlite3.Connection, message: str, fence: int | None, terms: LeaseTerms) -> Lease:
    """Lease a stored message, of this fence if one is given. Raises MessageChangedError."""
    row = db.execute("SELECT stand, fence, resends, ran_at FROM message WHERE id = ?", (message,)).fetchone()
    if row is None:
        raise MessageChangedError(message, None)
    if row["stand"] != Status.STORED or (fence is not None and row["fence"] != fence):
        raise MessageChangedError(message, row["stand"])
    next_fence = row["fence"] + 1
    redrive = redrive_id(message, next_fence)
    db.execute(
        "UPDATE message SET stand = ?, fence = ?, resends = ? WHERE id = ?",
        (Status.LEASED, next_fence, row["resends"] + 1, message),
    )
    db.execute(
        "INSERT INTO resend (id, message, fence, forwarder, claimed_at, by) VALUES (?,?,?,?,?,?)",
        (redrive, message, next_fence, terms.forwarder, terms.leased_at, terms.by),
    )
    append_audit(db, terms.by, "claimed", message, f"resend {redrive} through {terms.forwarder}")
    return Lease(redrive, message, next_fence, terms.forwarder, terms.leased_at, row["ran_at"])


def open_redrives(db: sqlite3.Connection) -> list[Lease]:
    """Return the leases whose outcome is not known, the oldest first."""
    rows = db.execute(
        "SELECT r.id, r.message, r.fence, r.forwarder, r.claimed_at, m.ran_at FROM resend r"
        " JOIN message m ON m.id = r.message WHERE r.end IS NULL ORDER BY r.claimed_at"
    )
    return [Lease(*row) for row in rows]


def settle(db: sqlite3.Connection, lease: Lease, result: str, executed_at: float | None, now: float) -> None:
    """Write down how a redrive ended, and make its message stored again or delivered.

    Raises LeaseSettledError where the lease is not the message's latest or was settled already.
    """
    updated = db.execute(
        "UPDATE resend SET end = ?, ended_at = ?, ran_at = ? WHERE id = ? AND end IS NULL",
        (result, now, executed_at, lease.redrive_id),
    )
    row = db.execute("SELECT stand, fence, ran_at FROM message WHERE id = ?", (lease.message,)).fetchone()
    is_latest = row is not None and row["fence"] == lease.fence and row["stand"] == Status.LEASED
    if not updated.rowcount or not is_latest:
        raise LeaseSettledError(lease.redrive_id)
    delivered = result == RedriveResult.DELIVERED
    status = Status.DELIVERED if delivered else Status.STORED
    executions = [at for at in (row["ran_at"], executed_at) if at is not None]
    # A redrive that cannot have reached the destination does not count, and the request for it stays.
    not_executed = not delivered and (executed_at is None or executed_at == row["ran_at"])
    counted = "resends = resends - 1" if not_executed else "wished = NULL"
    db.execute(
        f"UPDATE message SET stand = ?, ran_at = ?, {counted} WHERE id = ?",
        (status, min(executions, default=None), lease.message),
    )
    append_audit(db, "agent", result, lease.message, lease.redrive_id)
