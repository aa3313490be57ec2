"""Retention of dead letters: drops the oldest messages while the store exceeds its limits."""

from __future__ import annotations

import sqlite3
from dataclasses import dataclass

from juniperward.dead_letters.rows import append_audit


@dataclass(frozen=True, slots=True)
class RetentionLimits:
    """The retention limits; `max_bytes` counts bodies and a fixed overhead per message."""

    max_age_s: float
    max_messages: int
    max_bytes: int


def drop_oldest(db: sqlite3.Connection, now: float, limits: RetentionLimits) -> int:
    """Drop the oldest messages in the transaction of `db` until the limits hold; return how many.

    Messages with an unsettled redrive are never dropped.
    """
    count, size_bytes = db.execute("SELECT count(*), coalesce(sum(bytes), 0) FROM message").fetchone()
    rows = db.execute(
        "SELECT id, given_up_at, bytes, stand FROM message WHERE stand != 'claimed' ORDER BY given_up_at"
    )
    exceeds_size = count > limits.max_messages or size_bytes > limits.max_bytes
    dropped = 0
    for row in rows.fetchall() if exceeds_size else rows:
        reason = _drop_reason(now - row["given_up_at"], count, size_bytes, limits)
        if not reason:
            break
        db.execute("DELETE FROM message WHERE id = ?", (row["id"],))
        append_audit(db, "agent", "dropped", row["id"], f"{row['stand']}; for {reason}")
        count -= 1
        size_bytes -= row["bytes"]
        dropped += 1
    return dropped


def _drop_reason(age_s: float, count: int, size_bytes: int, limits: RetentionLimits) -> str:
    if age_s > limits.max_age_s:
        return "its age"
    if count > limits.max_messages:
        return "the store's number"
    return "the store's bytes" if size_bytes > limits.max_bytes else ""
