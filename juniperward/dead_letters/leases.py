"""Leases of dead letters: the right to redrive a message once, and the outcome of that redrive.

Acquiring or settling a lease is a compare-and-set on the message's status and fence. The loser of a race
changes nothing and gets a LeaseLostError. Each function runs in the caller's transaction on `db`.
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
    """The terms of a lease.

    Attributes:
        forwarder: the forwarder to which the redrive is submitted.
        leased_at: Unix time.
        by: who requested the redrive, as `redrive_rules.requested_by` returns it.
    """

    forwarder: str
    leased_at: float
    by: str


def acquire(db: sqlite3.Connection, message: str, fence: int | None, terms: LeaseTerms) -> Lease:
    """Lease a stored message; raises MessageChangedError if its status or a given `fence` differs."""
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
    """Return the leases whose outcome is not recorded, the oldest first."""
    rows = db.execute(
        "SELECT r.id, r.message, r.fence, r.forwarder, r.claimed_at, m.ran_at FROM resend r"
        " JOIN message m ON m.id = r.message WHERE r.end IS NULL ORDER BY r.claimed_at"
    )
    return [Lease(*row) for row in rows]


def settle(db: sqlite3.Connection, lease: Lease, result: str, executed_at: float | None, now: float) -> None:
    """Record the outcome of a redrive, and mark its message as delivered or as stored again.

    Raises LeaseSettledError if the lease is already settled or is not the message's latest.
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
    # A redrive that did not reach the destination is not counted, and the request for it remains.
    not_executed = not delivered and (executed_at is None or executed_at == row["ran_at"])
    counted = "resends = resends - 1" if not_executed else "wished = NULL"
    db.execute(
        f"UPDATE message SET stand = ?, ran_at = ?, {counted} WHERE id = ?",
        (status, min(executions, default=None), lease.message),
    )
    append_audit(db, "agent", result, lease.message, lease.redrive_id)
