"""The store of kept messages: SQLite in WAL mode, owned by the agent.

Every change of a message is one transaction with its line in the audit trail. A claim is a compare-and-set on the
message's stand and fence; whoever comes second changes nothing. Connections belong to one thread each.
"""

from __future__ import annotations

import hashlib
import json
import math
import sqlite3
import threading
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from juniperward.dead_letters.decisions import Clock, DeadLetter, Status
from juniperward.dead_letters.ownership import REDRIVE_PREFIX
from juniperward.dead_letters.spool import SpooledMessage

MIGRATIONS = (
    # 1: messages, attempts, resends, the audit trail, how far each spool has been read
    """
    CREATE TABLE message (
        id TEXT PRIMARY KEY, forwarder TEXT NOT NULL, cls TEXT NOT NULL, account TEXT NOT NULL,
        destination INTEGER NOT NULL, key TEXT, body BLOB NOT NULL, taken_at REAL NOT NULL,
        given_up_at REAL NOT NULL, effect TEXT NOT NULL, window REAL NOT NULL, workers TEXT NOT NULL,
        ran_at REAL, stand TEXT NOT NULL DEFAULT 'kept', fence INTEGER NOT NULL DEFAULT 0,
        resends INTEGER NOT NULL DEFAULT 0, bytes INTEGER NOT NULL);
    CREATE INDEX message_stand ON message (stand, destination, given_up_at);
    CREATE INDEX message_given_up ON message (given_up_at);
    CREATE TABLE attempt (
        message TEXT NOT NULL REFERENCES message (id) ON DELETE CASCADE, n INTEGER NOT NULL,
        worker TEXT NOT NULL, at REAL NOT NULL, outcome TEXT NOT NULL, may_have_run INTEGER NOT NULL,
        PRIMARY KEY (message, n)) WITHOUT ROWID;
    CREATE TABLE resend (
        id TEXT PRIMARY KEY, message TEXT NOT NULL REFERENCES message (id) ON DELETE CASCADE,
        fence INTEGER NOT NULL, forwarder TEXT NOT NULL, claimed_at REAL NOT NULL, by TEXT NOT NULL,
        end TEXT, ended_at REAL, ran_at REAL);
    CREATE INDEX resend_open ON resend (end) WHERE end IS NULL;
    CREATE INDEX resend_message ON resend (message);
    CREATE TABLE audit (
        seq INTEGER PRIMARY KEY AUTOINCREMENT, at REAL NOT NULL, who TEXT NOT NULL, what TEXT NOT NULL,
        message TEXT, detail TEXT NOT NULL DEFAULT '');
    CREATE TRIGGER audit_no_update BEFORE UPDATE ON audit BEGIN SELECT RAISE(ABORT, 'append only'); END;
    CREATE TRIGGER audit_no_delete BEFORE DELETE ON audit BEGIN SELECT RAISE(ABORT, 'append only'); END;
    CREATE TABLE spool (forwarder TEXT PRIMARY KEY, segment INTEGER NOT NULL, offset INTEGER NOT NULL);
    CREATE TABLE clock (one INTEGER PRIMARY KEY CHECK (one = 1), wall REAL, boot REAL, boot_id TEXT);
    """,
    # 2: wishes of people, and their word that a number still means the same partner
    """
    ALTER TABLE message ADD COLUMN wished TEXT;
    ALTER TABLE message ADD COLUMN partner_sure INTEGER NOT NULL DEFAULT 0;
    CREATE INDEX message_order ON message (given_up_at, id);
    CREATE INDEX message_stand_order ON message (stand, given_up_at, id);
    CREATE INDEX message_place_order ON message (stand, destination, given_up_at, id);
    CREATE INDEX message_ran ON message (stand, destination, ran_at);
    CREATE INDEX message_wished ON message (wished) WHERE wished IS NOT NULL;
    """,
    # 3: what people look for: a partner's, an account's or a key's messages, whatever their stand
    """
    CREATE INDEX message_destination_order ON message (destination, given_up_at, id);
    CREATE INDEX message_account_order ON message (account, given_up_at, id);
    CREATE INDEX message_key ON message (key) WHERE key IS NOT NULL;
    """,
)
COLUMNS = (
    "id, stand, effect, window, ran_at, destination, cls, account, given_up_at, resends, wished, partner_sure, "
    "workers, key"
)


class StoreError(Exception):
    """The store cannot be used: damaged, or of a newer version; the text says which and what to do."""


class ClaimLostError(Exception):
    """A claim, or what was to be done under one, came second: the message is not as it was."""


@dataclass(frozen=True, slots=True)
class Claim:
    """The right to one resend; it is durable before anything is handed in."""

    resend: str
    message: str
    fence: int
    forwarder: str
    claimed_at: float
    ran_at: float | None


@dataclass(frozen=True, slots=True)
class Filter:
    """Which messages are meant; None takes all."""

    ids: tuple[str, ...] = ()
    stand: str | None = None
    destination: int | None = None
    cls: str | None = None
    account: str | None = None
    key: str | None = None
    since: float | None = None  # given up at or after
    until: float | None = None
    wished: bool | None = None
    ran_since: float | None = None  # first may have run at or after

    def sql(self) -> tuple[str, list[Any]]:
        """A condition and its values."""
        parts: list[str] = []
        values: list[Any] = []
        if self.ids:
            parts.append(f"id IN ({','.join('?' * len(self.ids))})")
            values += self.ids
        for name in ("stand", "destination", "cls", "account", "key"):
            if (value := getattr(self, name)) is not None:
                parts.append(f"{name} = ?")
                values.append(value)
        if self.since is not None:
            parts.append("given_up_at >= ?")
            values.append(self.since)
        if self.until is not None:
            parts.append("given_up_at < ?")
            values.append(self.until)
        if self.ran_since is not None:
            parts.append("ran_at >= ?")
            values.append(self.ran_since)
        if self.wished is not None:
            parts.append("wished IS NOT NULL" if self.wished else "wished IS NULL")
        return " AND ".join(parts) or "1", values


def redrive_id(message: str, number: int) -> str:
    """The id of a message's resend with this fence: the same for whoever makes it."""
    return f"{REDRIVE_PREFIX}{hashlib.sha256(message.encode()).hexdigest()[:20]}-{number}"


class DeadLetterStore:
    """The database; methods may be called by any thread, each has a connection of its own."""

    def __init__(self, file: Path, synchronous: str = "FULL") -> None:
        self.file, self.synchronous = file, synchronous
        self.local = threading.local()
        self.writing = threading.Lock()  # one writer at a time, without SQLite's busy waits
        file.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
        try:
            self._migrate()
        except sqlite3.DatabaseError as error:
            raise StoreError(
                f"{file}: {error}; restore a backup, or move the file away to begin anew"
            ) from error

    # --- the file -------------------------------------------------------------------------------------------

    @property
    def db(self) -> sqlite3.Connection:
        """This thread's connection."""
        found: sqlite3.Connection | None = getattr(self.local, "db", None)
        if found is None:
            found = sqlite3.connect(self.file, timeout=10.0, isolation_level=None)
            found.row_factory = sqlite3.Row
            found.execute("PRAGMA journal_mode=WAL")
            found.execute(f"PRAGMA synchronous={self.synchronous}")
            found.execute("PRAGMA foreign_keys=ON")
            self.local.db = found
        return found

    def close(self) -> None:
        """Close this thread's connection."""
        found = getattr(self.local, "db", None)
        if found is not None:
            found.close()
            self.local.db = None

    @contextmanager
    def change(self) -> Iterator[sqlite3.Connection]:
        """One transaction; an error takes all of it back."""
        with self.writing:
            db = self.db
            db.execute("BEGIN IMMEDIATE")
            try:
                yield db
                db.execute("COMMIT")
            except BaseException:
                if db.in_transaction:
                    db.execute("ROLLBACK")
                raise

    def _migrate(self) -> None:
        version: int = self.db.execute("PRAGMA user_version").fetchone()[0]
        if version > len(MIGRATIONS):
            raise StoreError(f"{self.file}: schema {version}; this program knows {len(MIGRATIONS)} at most")
        for number in range(version, len(MIGRATIONS)):
            with self.change() as db:
                for statement in _statements(MIGRATIONS[number]):
                    db.execute(statement)
                db.execute(f"PRAGMA user_version={number + 1}")

    def check(self) -> list[str]:
        """What SQLite finds wrong with the file; empty where it is whole."""
        rows = [r[0] for r in self.db.execute("PRAGMA integrity_check")]
        return [] if rows == ["ok"] else rows

    def backup(self, target: Path) -> None:
        """A consistent copy, while in use."""
        with sqlite3.connect(target) as copy:
            self.db.backup(copy, pages=1000)
        copy.close()

    # --- time -----------------------------------------------------------------------------------------------

    def seen(self) -> Clock | None:
        """The latest moment that was written down."""
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

    def place(self, forwarder: str) -> tuple[int, int]:
        """Segment and offset up to which a forwarder's spool is in the store."""
        row = self.db.execute(
            "SELECT segment, offset FROM spool WHERE forwarder = ?", (forwarder,)
        ).fetchone()
        return (row[0], row[1]) if row is not None else (0, 0)

    def take_in(self, forwarder: str, messages: Iterable[SpooledMessage], segment: int, offset: int) -> int:
        """Put messages in, and how far the spool is read, in one transaction; how many were new."""
        new = 0
        with self.change() as db:
            for m in messages:
                ran = min((a.at for a in m.attempts if a.may_have_run), default=None)
                done = db.execute(
                    "INSERT OR IGNORE INTO message (id, forwarder, cls, account, destination, key, body, taken_at,"
                    " given_up_at, effect, window, workers, ran_at, bytes) VALUES (?,?,?,?,?,?,?,?,?,?,?,?,?,?)",
                    (m.id, forwarder, m.cls, m.account, m.destination, m.key, m.body, m.taken_at, m.given_up_at,
                     m.effect, m.window, json.dumps(m.workers), ran, len(m.body) + 500),
                )  # fmt: skip
                if done.rowcount:
                    new += 1
                    db.executemany(
                        "INSERT INTO attempt VALUES (?,?,?,?,?,?)",
                        [
                            (m.id, n, a.worker, a.at, a.outcome, a.may_have_run)
                            for n, a in enumerate(m.attempts)
                        ],
                    )
            db.execute("INSERT OR REPLACE INTO spool VALUES (?, ?, ?)", (forwarder, segment, offset))
        return new

    # --- looking --------------------------------------------------------------------------------------------

    def facts(
        self, chosen: Filter, limit: int = 1000, after: tuple[float, str] = (-1.0, "")
    ) -> list[DeadLetter]:
        """What decides about the messages meant, in the order given up, a page at a time."""
        where, values = chosen.sql()
        rows = self.db.execute(
            f"SELECT {COLUMNS} FROM message WHERE {where} AND (given_up_at, id) > (?, ?)"
            " ORDER BY given_up_at, id LIMIT ?",
            (*values, *after, limit),
        )
        return [_facts(r) for r in rows]

    def whole(self, message: str) -> dict[str, Any] | None:
        """All about one message but its body."""
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

    def body(self, message: str, who: str) -> bytes | None:
        """A message's body; that it was shown, and to whom, is written down first."""
        with self.change() as db:
            row = db.execute("SELECT body FROM message WHERE id = ?", (message,)).fetchone()
            if row is not None:
                _audit(db, who, "showed the body", message)
        return bytes(row[0]) if row is not None else None

    def destinations(self, wished: bool = False) -> dict[int, int]:
        """How many messages are kept for each destination, or how many of them people want sent."""
        more = " AND wished IS NOT NULL" if wished else ""
        rows = self.db.execute(
            f"SELECT destination, count(*) FROM message WHERE stand = 'kept'{more} GROUP BY destination"
        )
        return {r[0]: r[1] for r in rows}

    def stats(self) -> dict[str, Any]:
        """Counts by stand, the bytes, and the oldest."""
        stands = {r[0]: r[1] for r in self.db.execute("SELECT stand, count(*) FROM message GROUP BY stand")}
        row = self.db.execute(
            "SELECT count(*), coalesce(sum(bytes), 0), min(given_up_at) FROM message"
        ).fetchone()
        wished = self.db.execute("SELECT count(*) FROM message WHERE wished IS NOT NULL").fetchone()[0]
        return {"messages": row[0], "bytes": row[1], "oldest": row[2], "stands": stands, "wished": wished}

    def audit(self, since: int = 0, limit: int = 1000) -> list[dict[str, Any]]:
        """The trail after a number."""
        rows = self.db.execute("SELECT * FROM audit WHERE seq > ? ORDER BY seq LIMIT ?", (since, limit))
        return [dict(r) for r in rows]

    # --- resends --------------------------------------------------------------------------------------------

    def claim(self, message: str, fence: int | None, forwarder: str, now: float, by: str) -> Claim:
        """Take the right to send a message again; durable when this returns. Raises Lost."""
        with self.change() as db:
            row = db.execute(
                "SELECT stand, fence, resends, ran_at FROM message WHERE id = ?", (message,)
            ).fetchone()
            if row is None or row["stand"] != Status.KEPT or (fence is not None and row["fence"] != fence):
                raise ClaimLostError(f"{message} is {row['stand'] if row is not None else 'not here'}")
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
            _audit(db, by, "claimed", message, f"resend {name} through {forwarder}")
        return Claim(name, message, new, forwarder, now, row["ran_at"])

    def open_resends(self) -> list[Claim]:
        """Claims whose end is not known."""
        rows = self.db.execute(
            "SELECT r.id, r.message, r.fence, r.forwarder, r.claimed_at, m.ran_at FROM resend r"
            " JOIN message m ON m.id = r.message WHERE r.end IS NULL ORDER BY r.claimed_at"
        )
        return [Claim(*r) for r in rows]

    def settle_resend(self, claim: Claim, end: str, ran_at: float | None, now: float) -> None:
        """Write down how a resend ended: delivered, undeliverable, deferred, refused or never taken.

        Raises Lost where the claim is not the message's latest or was settled already.
        """
        with self.change() as db:
            done = db.execute(
                "UPDATE resend SET end = ?, ended_at = ?, ran_at = ? WHERE id = ? AND end IS NULL",
                (end, now, ran_at, claim.resend),
            )
            row = db.execute(
                "SELECT stand, fence, ran_at FROM message WHERE id = ?", (claim.message,)
            ).fetchone()
            if (
                not done.rowcount
                or row is None
                or row["fence"] != claim.fence
                or row["stand"] != Status.CLAIMED
            ):
                raise ClaimLostError(f"{claim.resend} is settled already")
            stand = Status.DELIVERED if end == "delivered" else Status.KEPT
            ran = min((t for t in (row["ran_at"], ran_at) if t is not None), default=None)
            # One that cannot have reached the partner is none that counts, and the wish for it stands.
            nothing = end != "delivered" and (ran_at is None or ran_at == row["ran_at"])
            more = ", resends = resends - 1" if nothing else ", wished = NULL"
            db.execute(
                f"UPDATE message SET stand = ?, ran_at = ?{more} WHERE id = ?", (stand, ran, claim.message)
            )
            _audit(db, "agent", end, claim.message, claim.resend)

    # --- people ---------------------------------------------------------------------------------------------

    def wish(self, ids: Iterable[str], who: str, partner_sure: bool = False) -> int:
        """Ask for messages to be sent again; those under way or over are left as they are. How many were new."""
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
                    _audit(
                        db, who, "asked for a resend", name, "the partner is the same" if partner_sure else ""
                    )
        return count

    def settle(self, message: str, delivered: bool, who: str, why: str, now: float) -> None:
        """A person's word on whether a message took effect. Raises Lost where there is nothing to settle."""
        with self.change() as db:
            row = db.execute("SELECT stand, fence FROM message WHERE id = ?", (message,)).fetchone()
            if row is None or row["stand"] not in (Status.KEPT, Status.CLAIMED):
                raise ClaimLostError(f"{message} is {row['stand'] if row is not None else 'not here'}")
            db.execute(
                "UPDATE resend SET end = 'settled', ended_at = ? WHERE message = ? AND end IS NULL",
                (now, message),
            )
            stand = Status.DELIVERED if delivered else Status.KEPT
            db.execute(
                "UPDATE message SET stand = ?, fence = fence + 1, ran_at = NULL, wished = NULL WHERE id = ?",
                (stand, message),
            )
            _audit(db, who, f"settled: {'delivered' if delivered else 'not delivered'}", message, why)

    def discard(self, ids: Iterable[str], who: str) -> int:
        """Have messages never sent again; `undo` takes it back. How many it took."""
        return self._turn(ids, who, Status.KEPT, Status.DISCARDED, "discarded")

    def undo(self, ids: Iterable[str], who: str) -> int:
        """Take back a discard, or a wish that has not begun."""
        taken = list(ids)
        count = self._turn(taken, who, Status.DISCARDED, Status.KEPT, "undid the discard")
        with self.change() as db:
            for name in taken:
                done = db.execute(
                    "UPDATE message SET wished = NULL WHERE id = ? AND stand = 'kept' AND wished IS NOT NULL",
                    (name,),
                )
                if done.rowcount:
                    count += 1
                    _audit(db, who, "took back the wish", name)
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
                    _audit(db, who, what, name)
        return count

    # --- retention ------------------------------------------------------------------------------------------

    def sweep(self, now: float, most_age: float, most: int, most_bytes: int) -> int:
        """Drop what is too old or too much, the oldest first, nothing under way; told in the audit trail."""
        dropped = 0
        with self.change() as db:
            row = db.execute("SELECT count(*), coalesce(sum(bytes), 0) FROM message").fetchone()
            count, size = row[0], row[1]
            rows = db.execute(
                "SELECT id, given_up_at, bytes, stand FROM message WHERE stand != 'claimed' ORDER BY given_up_at"
            )
            for r in rows.fetchall() if count > most or size > most_bytes else rows:
                old = now - r["given_up_at"] > most_age
                if not old and count <= most and size <= most_bytes:
                    break
                why = "its age" if old else "the store's number" if count > most else "the store's bytes"
                db.execute("DELETE FROM message WHERE id = ?", (r["id"],))
                _audit(db, "agent", "dropped", r["id"], f"{r['stand']}; for {why}")
                count, size, dropped = count - 1, size - r["bytes"], dropped + 1
        return dropped


def _facts(r: sqlite3.Row) -> DeadLetter:
    return DeadLetter(
        r["id"], Status(r["stand"]), r["effect"], r["window"], r["ran_at"], r["destination"], r["cls"], r["account"],
        r["given_up_at"], r["resends"], r["wished"] is not None, bool(r["partner_sure"]),
        tuple(json.loads(r["workers"])), r["key"],
    )  # fmt: skip


def _audit(db: sqlite3.Connection, who: str, what: str, message: str | None, detail: str = "") -> None:
    db.execute(
        "INSERT INTO audit (at, who, what, message, detail) VALUES (?,?,?,?,?)",
        (time.time(), who, what, message, detail),
    )


def _statements(script: str) -> Iterator[str]:
    """The statements of a script; a trigger's body has semicolons of its own."""
    held = ""
    for part in script.split(";"):
        held += part + ";"
        if sqlite3.complete_statement(held):
            yield held
            held = ""
