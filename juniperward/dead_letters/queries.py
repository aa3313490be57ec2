"""Read-only queries on the dead letter store: pages of messages, one message's record, counts.

Each function uses the caller's connection.
"""

from __future__ import annotations

import json
import sqlite3
from typing import Any

from juniperward.dead_letters.dead_letter import DeadLetter
from juniperward.dead_letters.rows import COLUMNS, dead_letter
from juniperward.dead_letters.selection import Filter, Position

BODY_COLUMN = "body"


def select(db: sqlite3.Connection, criteria: Filter, limit: int, after: Position) -> list[DeadLetter]:
    """Return at most `limit` matching messages after a position, in the order in which they were given up."""
    where, values = criteria.sql()
    rows = db.execute(
        f"SELECT {COLUMNS} FROM message WHERE {where} AND (given_up_at, id) > (?, ?)"
        " ORDER BY given_up_at, id LIMIT ?",
        (*values, *after, limit),
    )
    return [dead_letter(row) for row in rows]


def complete_record(db: sqlite3.Connection, message: str) -> dict[str, Any] | None:
    """Return a message without its body, with its attempts, redrives and audit trail; None if absent."""
    row = db.execute("SELECT * FROM message WHERE id = ?", (message,)).fetchone()
    if row is None:
        return None
    columns = dict(row)
    del columns[BODY_COLUMN]
    columns["workers"] = json.loads(columns["workers"])
    return {
        **columns,
        "attempts": _rows_of(db, "attempt", message, "n"),
        "resent": _rows_of(db, "resend", message, "fence"),
        "audit": _rows_of(db, "audit", message, "seq"),
    }


def _rows_of(db: sqlite3.Connection, table: str, message: str, order: str) -> list[dict[str, Any]]:
    rows = db.execute(f"SELECT * FROM {table} WHERE message = ? ORDER BY {order}", (message,))
    return [dict(row) for row in rows]


def body(db: sqlite3.Connection, message: str) -> bytes | None:
    """Return the body of a message; None if it is not in the store."""
    row = db.execute("SELECT body FROM message WHERE id = ?", (message,)).fetchone()
    return bytes(row[0]) if row is not None else None


def destinations(db: sqlite3.Connection, redrive_requested: bool) -> dict[int, int]:
    """Return the number of STORED messages by destination; with the flag, of requested ones only."""
    requested = " AND wished IS NOT NULL" if redrive_requested else ""
    rows = db.execute(
        f"SELECT destination, count(*) FROM message WHERE stand = 'kept'{requested} GROUP BY destination"
    )
    return {row[0]: row[1] for row in rows}


def stats(db: sqlite3.Connection) -> dict[str, Any]:
    """Return the counts, the size and the oldest time of the store, with the keys of the agent's API."""
    statuses = {row[0]: row[1] for row in db.execute("SELECT stand, count(*) FROM message GROUP BY stand")}
    count, size_bytes, oldest = db.execute(
        "SELECT count(*), coalesce(sum(bytes), 0), min(given_up_at) FROM message"
    ).fetchone()
    requested = db.execute("SELECT count(*) FROM message WHERE wished IS NOT NULL").fetchone()[0]
    return {
        "messages": count,
        "bytes": size_bytes,
        "oldest": oldest,
        "stands": statuses,
        "wished": requested,
    }


def audit(db: sqlite3.Connection, since: int, limit: int) -> list[dict[str, Any]]:
    """Return at most `limit` audit entries after a sequence number, in order."""
    rows = db.execute("SELECT * FROM audit WHERE seq > ? ORDER BY seq LIMIT ?", (since, limit))
    return [dict(row) for row in rows]
