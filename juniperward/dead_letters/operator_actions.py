"""Operators' actions on dead letters: request a redrive, settle, discard, undo. All are audited.

Each function runs in the caller's transaction on `db`. `who` is the operator's name for the audit trail.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable
from dataclasses import dataclass

from juniperward.dead_letters.dead_letter import Status
from juniperward.dead_letters.outcome import RedriveResult
from juniperward.dead_letters.rows import append_audit
from juniperward.dead_letters.store_errors import MessageChangedError


def request_redrive(db: sqlite3.Connection, ids: Iterable[str], who: str, destination_confirmed: bool) -> int:
    """Request redrives of stored messages; return how many requests are new or newly confirmed."""
    count = 0
    detail = "the partner is the same" if destination_confirmed else ""
    confirmed = int(destination_confirmed)
    for message in ids:
        updated = db.execute(
            "UPDATE message SET wished = ?, partner_sure = max(partner_sure, ?)"
            " WHERE id = ? AND stand = 'kept' AND (wished IS NULL OR partner_sure < ?)",
            (who, confirmed, message, confirmed),
        )
        if updated.rowcount:
            count += 1
            append_audit(db, who, "asked for a resend", message, detail)
    return count


@dataclass(frozen=True, slots=True)
class ManualSettlement:
    """The outcome of a message as an operator states it.

    Attributes:
        delivered: the message has taken effect at its destination.
        who: the operator.
        why: how the operator knows.
    """

    delivered: bool
    who: str
    why: str


def settle(db: sqlite3.Connection, message: str, statement: ManualSettlement, now: float) -> None:
    """Set a message's outcome and end its open redrive; raises MessageChangedError if it has an outcome."""
    row = db.execute("SELECT stand FROM message WHERE id = ?", (message,)).fetchone()
    if row is None:
        raise MessageChangedError(message, None)
    if row["stand"] not in (Status.STORED, Status.LEASED):
        raise MessageChangedError(message, row["stand"])
    db.execute(
        "UPDATE resend SET end = ?, ended_at = ? WHERE message = ? AND end IS NULL",
        (RedriveResult.SETTLED, now, message),
    )
    status = Status.DELIVERED if statement.delivered else Status.STORED
    db.execute(
        "UPDATE message SET stand = ?, fence = fence + 1, ran_at = NULL, wished = NULL WHERE id = ?",
        (status, message),
    )
    what = "settled: delivered" if statement.delivered else "settled: not delivered"
    append_audit(db, statement.who, what, message, statement.why)


@dataclass(frozen=True, slots=True)
class _StatusChange:
    old: Status
    new: Status
    what: str  # the action's name in the audit trail


_DISCARD = _StatusChange(Status.STORED, Status.DISCARDED, "discarded")
_UNDO_DISCARD = _StatusChange(Status.DISCARDED, Status.STORED, "undid the discard")


def discard(db: sqlite3.Connection, ids: Iterable[str], who: str) -> int:
    """Discard stored messages; return how many were discarded."""
    return _change_status(db, ids, who, _DISCARD)


def undo_discard(db: sqlite3.Connection, ids: Iterable[str], who: str) -> int:
    """Restore discarded messages; return how many were restored."""
    return _change_status(db, ids, who, _UNDO_DISCARD)


def withdraw_request(db: sqlite3.Connection, ids: Iterable[str], who: str) -> int:
    """Withdraw requests for redrives that have not begun; return how many were withdrawn."""
    count = 0
    for message in ids:
        updated = db.execute(
            "UPDATE message SET wished = NULL WHERE id = ? AND stand = 'kept' AND wished IS NOT NULL",
            (message,),
        )
        if updated.rowcount:
            count += 1
            append_audit(db, who, "took back the wish", message)
    return count


def _change_status(db: sqlite3.Connection, ids: Iterable[str], who: str, change: _StatusChange) -> int:
    count = 0
    for message in ids:
        updated = db.execute(
            "UPDATE message SET stand = ?, wished = NULL WHERE id = ? AND stand = ?",
            (change.new, message, change.old),
        )
        if updated.rowcount:
            count += 1
            append_audit(db, who, change.what, message)
    return count
