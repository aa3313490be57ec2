"""Errors of the dead letter store, which the agent maps to HTTP responses."""

from __future__ import annotations

from pathlib import Path


class StoreError(Exception):
    """The store cannot be used; the message says why."""


class StoreDamagedError(StoreError):
    """SQLite cannot read or write the file."""

    def __init__(self, file: Path, error: Exception) -> None:
        """Describe the file, SQLite's error and the remedy."""
        self.file = file
        super().__init__(
            f"{file}: {error}; restore a backup, or move the file away to start with an empty store"
        )


class StoreVersionError(StoreError):
    """A newer version of the program wrote the file."""

    def __init__(self, file: Path, version: int, supported: int) -> None:
        """Describe the file's schema version and the latest supported one."""
        self.file, self.version, self.supported = file, version, supported
        super().__init__(
            f"{file}: schema {version} is newer than {supported}, the latest that this version supports"
        )


class LeaseLostError(Exception):
    """Another change came first: the message no longer has the expected status or fence."""


class MessageChangedError(LeaseLostError):
    """The message does not have the expected status or fence."""

    def __init__(self, message: str, status: str | None) -> None:
        """Describe the message and its status; None if it is not in the store."""
        self.message, self.status = message, status
        super().__init__(f"{message} is {status if status is not None else 'not in the store'}")


class LeaseSettledError(LeaseLostError):
    """A lease is already settled, or a later one has superseded it."""

    def __init__(self, redrive_id: str) -> None:
        """Describe the redrive."""
        self.redrive_id = redrive_id
        super().__init__(f"redrive {redrive_id} is already settled")
