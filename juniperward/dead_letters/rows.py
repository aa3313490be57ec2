"""Converts rows of the dead letter store: the only mapping of column names to field names."""

from __future__ import annotations

import hashlib
import json
import sqlite3
import time

from juniperward.dead_letters.dead_letter import DeadLetter, Status
from juniperward.dead_letters.ownership import REDRIVE_ID_PREFIX
from juniperward.dead_letters.spool_format import SpooledMessage, read_idempotency

COLUMNS = (
    "id, stand, effect, window, ran_at, destination, cls, account, given_up_at, resends, wished, partner_sure, "
    "workers, key"
)
ROW_OVERHEAD_BYTES = 500  # The approximate size of a stored message without its body.
REDRIVE_ID_HASH_DIGITS = 20


def redrive_id(message: str, fence: int) -> str:
    """Return the id of a redrive, a deterministic function of the message's id and the fence."""
    digest = hashlib.sha256(message.encode()).hexdigest()[:REDRIVE_ID_HASH_DIGITS]
    return f"{REDRIVE_ID_PREFIX}{digest}-{fence}"


def dead_letter(row: sqlite3.Row) -> DeadLetter:
    """Return the dead letter in a row that has the columns COLUMNS."""
    return DeadLetter(
        id=row["id"],
        status=Status(row["stand"]),
        idempotency=read_idempotency(row["effect"]),
        deduplication_window_s=row["window"],
        executed_at=row["ran_at"],
        destination=row["destination"],
        class_name=row["cls"],
        account=row["account"],
        given_up_at=row["given_up_at"],
        redrives=row["resends"],
        redrive_requested=row["wished"] is not None,
        destination_confirmed=bool(row["partner_sure"]),
        endpoints=tuple(json.loads(row["workers"])),
        idempotency_key=row["key"],
    )


def insert_message(db: sqlite3.Connection, forwarder: str, message: SpooledMessage) -> bool:
    """Insert a message with its attempts, in the transaction of `db`; return False if it is already there."""
    executed_at = min(
        (attempt.started_at for attempt in message.attempts if attempt.possibly_executed), default=None
    )
    row = {
        "id": message.id,
        "forwarder": forwarder,
        "cls": message.class_name,
        "account": message.account,
        "destination": message.destination,
        "key": message.idempotency_key,
        "body": message.body,
        "taken_at": message.received_at,
        "given_up_at": message.given_up_at,
        "effect": message.idempotency.value,
        "window": message.deduplication_window_s,
        "workers": json.dumps(message.endpoints),
        "ran_at": executed_at,
        "bytes": len(message.body) + ROW_OVERHEAD_BYTES,
    }
    placeholders = ", ".join(f":{column}" for column in row)
    inserted = db.execute(f"INSERT OR IGNORE INTO message ({', '.join(row)}) VALUES ({placeholders})", row)
    if not inserted.rowcount:
        return False
    attempts = [
        (message.id, number, attempt.endpoint, attempt.started_at, attempt.outcome, attempt.possibly_executed)
        for number, attempt in enumerate(message.attempts)
    ]
    db.executemany("INSERT INTO attempt VALUES (?,?,?,?,?,?)", attempts)
    return True


def append_audit(db: sqlite3.Connection, who: str, what: str, message: str | None, detail: str = "") -> None:
    """Append an entry to the audit trail, in the transaction of the change that it records."""
    db.execute(
        "INSERT INTO audit (at, who, what, message, detail) VALUES (?,?,?,?,?)",
        (time.time(), who, what, message, detail),
    )
