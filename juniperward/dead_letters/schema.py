"""The schema of the dead letter store, as a sequence of migrations.

The version of a file is the number of migrations that were applied to it. A released migration is never
changed.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator

MIGRATIONS = (
    # Version 1: messages, attempts, redrives, the audit trail, spool positions and the latest clock reading.
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
    # Version 2: operators' requests for redrives, and confirmations that a destination is still the same.
    """
    ALTER TABLE message ADD COLUMN wished TEXT;
    ALTER TABLE message ADD COLUMN partner_sure INTEGER NOT NULL DEFAULT 0;
    CREATE INDEX message_order ON message (given_up_at, id);
    CREATE INDEX message_stand_order ON message (stand, given_up_at, id);
    CREATE INDEX message_place_order ON message (stand, destination, given_up_at, id);
    CREATE INDEX message_ran ON message (stand, destination, ran_at);
    CREATE INDEX message_wished ON message (wished) WHERE wished IS NOT NULL;
    """,
    # Version 3: indexes to find the messages of a destination, an account or a key in any status.
    """
    CREATE INDEX message_destination_order ON message (destination, given_up_at, id);
    CREATE INDEX message_account_order ON message (account, given_up_at, id);
    CREATE INDEX message_key ON message (key) WHERE key IS NOT NULL;
    """,
)


def statements(script: str) -> Iterator[str]:
    """Yield the statements of a migration; semicolons inside a trigger's body do not end a statement."""
    statement = ""
    for part in script.split(";"):
        statement += part + ";"
        if sqlite3.complete_statement(statement):
            yield statement
            statement = ""
