"""Why the dead letter store cannot be used, or rejects a change; the agent turns these into answers."""

from __future__ import annotations

from pathlib import Path


class StoreError(Exception):
    """The store cannot be used: damaged, or of a newer version; the text says which and what to do."""


class StoreDamagedError(StoreError):
    """SQLite cannot use the file."""

    def __init__(self, file: Path, error: Exception) -> None:
        """Take the file and SQLite's error; the text says what to do."""
        self.file = file
        super().__init__(f"{file}: {error}; restore a backup, or move the file away to begin anew")


class StoreVersionError(StoreError):
    """A newer version of the program wrote the file."""

    def __init__(self, file: Path, version: int, known: int) -> None:
        """Take the file's version, and the latest that is known here."""
        self.file, self.version, self.known = file, version, known
        super().__init__(f"{file}: schema {version}; this program knows {known} at most")


class LeaseLostError(Exception):
    """Another change came first: the message does not have the status or fence any more that was expected."""


class MessageChangedError(LeaseLostError):
    """The message does not have the status that was expected."""

    def __init__(self, message: str, status: str | None) -> None:
        """Take the message and its status; None where it is not in the store."""
        self.message, self.status = message, status
        super().__init__(f"{message} is {status if status is not None else 'not here'}")


class LeaseSettledError(LeaseLostError):
    """A lease was settled already, or another one came after it."""

    def __init__(self, redrive_id: str) -> None:
        """Take the redrive's id."""
        self.redrive_id = redrive_id
        super().__init__(f"{redrive_id} is settled already")
