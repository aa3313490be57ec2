"""Rows of the dead letter store: their columns, ids, and the line of the audit trail."""

from __future__ import annotations

import hashlib
import json
import sqlite3
import time

from juniperward.dead_letters.decisions import DeadLetter, Status
from juniperward.dead_letters.ownership import REDRIVE_PREFIX

COLUMNS = (
    "id, stand, effect, window, ran_at, destination, cls, account, given_up_at, resends, wished, partner_sure, "
    "workers, key"
)
ROW_BYTES = 500  # of a message beside its body, at a guess
REDRIVE_ID_DIGITS = 20  # of the hash


def redrive_id(message: str, number: int) -> str:
    """Return the id of a message's redrive with this fence: the same for whoever makes it."""
    return f"{REDRIVE_PREFIX}{hashlib.sha256(message.encode()).hexdigest()[:REDRIVE_ID_DIGITS]}-{number}"


def dead_letter(row: sqlite3.Row) -> DeadLetter:
    """Return what decides about a message, from a row with COLUMNS."""
    return DeadLetter(
        id=row["id"],
        stand=Status(row["stand"]),
        effect=row["effect"],
        window=row["window"],
        ran_at=row["ran_at"],
        destination=row["destination"],
        cls=row["cls"],
        account=row["account"],
        given_up_at=row["given_up_at"],
        resends=row["resends"],
        wished=row["wished"] is not None,
        partner_sure=bool(row["partner_sure"]),
        workers=tuple(json.loads(row["workers"])),
        key=row["key"],
    )


def audit(db: sqlite3.Connection, who: str, what: str, message: str | None, detail: str = "") -> None:
    """Write a line of the audit trail, in the transaction of the change that it tells."""
    db.execute(
        "INSERT INTO audit (at, who, what, message, detail) VALUES (?,?,?,?,?)",
        (time.time(), who, what, message, detail),
    )
