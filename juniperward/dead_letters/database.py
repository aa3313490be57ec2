"""The SQLite file of the dead letter store: connections, transactions and schema migrations."""

from __future__ import annotations

import sqlite3
import threading
from collections.abc import Iterator
from contextlib import closing, contextmanager
from pathlib import Path

from juniperward.dead_letters.schema import MIGRATIONS, statements
from juniperward.dead_letters.store_errors import StoreDamagedError, StoreVersionError

BUSY_TIMEOUT_S = 10.0
# A backup releases the lock of its source after each step of this many pages.
BACKUP_STEP_PAGES = 1000
PRIVATE_FOLDER_MODE = 0o700


class Database:
    """A SQLite file in WAL mode that any thread may use; each thread has its own connection."""

    def __init__(self, file: Path, synchronous: str = "FULL") -> None:
        """Open the file, creating it if necessary, and migrate its schema; raises StoreError."""
        self.file = file
        self._synchronous = synchronous
        self._local = threading.local()
        self._write_lock = threading.Lock()  # avoids SQLite's busy waits between threads
        file.parent.mkdir(mode=PRIVATE_FOLDER_MODE, parents=True, exist_ok=True)
        try:
            self._migrate()
        except sqlite3.DatabaseError as error:
            raise StoreDamagedError(file, error) from error

    @property
    def db(self) -> sqlite3.Connection:
        """The connection of the calling thread, opened at its first use."""
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
        """Close the connection of the calling thread."""
        found = getattr(self._local, "db", None)
        if found is not None:
            found.close()
            self._local.db = None

    @contextmanager
    def transaction(self) -> Iterator[sqlite3.Connection]:
        """Run the block in a write transaction: commit at its end, roll back if it raises."""
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
        """Return the problems that SQLite's integrity check reports; empty if the file is intact."""
        rows = [row[0] for row in self.db.execute("PRAGMA integrity_check")]
        return [] if rows == ["ok"] else rows

    def backup(self, target: Path) -> None:
        """Write a consistent copy of the store to `target`; the store stays usable meanwhile."""
        # `with` on a connection only commits; `closing` also closes it.
        with closing(sqlite3.connect(target)) as copy:
            self.db.backup(copy, pages=BACKUP_STEP_PAGES)
