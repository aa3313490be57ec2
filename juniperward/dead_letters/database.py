"""The SQLite file of the dead letter store: connections, transactions, and the schema's versions."""

from __future__ import annotations

import sqlite3
import threading
from collections.abc import Iterator
from contextlib import closing, contextmanager
from pathlib import Path

from juniperward.dead_letters.schema import MIGRATIONS, statements
from juniperward.dead_letters.store_errors import StoreDamagedError, StoreVersionError

BUSY_TIMEOUT_S = 10.0
BACKUP_STEP_PAGES = 1000  # copied at a time
PRIVATE_FOLDER_MODE = 0o700


class Database:
    """A file in WAL mode; any thread may use it, each has a connection of its own."""

    def __init__(self, file: Path, synchronous: str = "FULL") -> None:
        """Open the file and bring its schema to the present version; raises StoreError."""
        self.file = file
        self._synchronous = synchronous
        self._local = threading.local()
        self._write_lock = threading.Lock()  # one writer at a time, without SQLite's busy waits
        file.parent.mkdir(mode=PRIVATE_FOLDER_MODE, parents=True, exist_ok=True)
        try:
            self._migrate()
        except sqlite3.DatabaseError as error:
            raise StoreDamagedError(file, error) from error

    @property
    def db(self) -> sqlite3.Connection:
        """This thread's connection."""
        found: sqlite3.Connection | None = getattr(self._local, "db", None)
        if found is None:
            found = sqlite3.connect(self.file, timeout=BUSY_TIMEOUT_S, isolation_level=None)
            found.row_factory = sqlite3.Row
            found.execute("PRAGMA journal_mode=WAL")
            found.execute(f"PRAGMA synchronous={self._synchronous}")
            found.execute("PRAGMA foreign_keys=ON")
            self._local.db = found
        return found

    def close(self) -> None:
        """Close this thread's connection."""
        found = getattr(self._local, "db", None)
        if found is not None:
            found.close()
            self._local.db = None

    @contextmanager
    def transaction(self) -> Iterator[sqlite3.Connection]:
        """Begin a transaction, and commit it at the end; an error rolls all of it back."""
        with self._write_lock:
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
            raise StoreVersionError(self.file, version, len(MIGRATIONS))
        for number in range(version, len(MIGRATIONS)):
            with self.transaction() as db:
                for statement in statements(MIGRATIONS[number]):
                    db.execute(statement)
                db.execute(f"PRAGMA user_version={number + 1}")

    def check(self) -> list[str]:
        """Return what SQLite finds wrong with the file; empty where it is complete."""
        rows = [row[0] for row in self.db.execute("PRAGMA integrity_check")]
        return [] if rows == ["ok"] else rows

    def backup(self, target: Path) -> None:
        """Write a consistent copy, while in use."""
        # A connection's own `with` commits but does not close; `closing` does.
        with closing(sqlite3.connect(target)) as copy:
            self.db.backup(copy, pages=BACKUP_STEP_PAGES)
