"""Why the dead letter store cannot be used, or will not do what it is asked."""

from __future__ import annotations

from pathlib import Path


class StoreError(Exception):
    """The store cannot be used: damaged, or of a newer version; the text says which and what to do."""


class StoreDamagedError(StoreError):
    """SQLite cannot use the file."""

    def __init__(self, file: Path, error: Exception) -> None:
        """Name the file, and tell what to do."""
        self.file = file
        super().__init__(f"{file}: {error}; restore a backup, or move the file away to begin anew")


class StoreVersionError(StoreError):
    """A newer version of the program wrote the file."""

    def __init__(self, file: Path, version: int, known: int) -> None:
        """Tell the file's version, and the latest that is known here."""
        self.file, self.version, self.known = file, version, known
        super().__init__(f"{file}: schema {version}; this program knows {known} at most")


class LeaseLostError(Exception):
    """A lease, or what was to be done under one, came second: the message is not as it was."""


class MessageChangedError(LeaseLostError):
    """The message is not in the state that was expected."""

    def __init__(self, message: str, status: str | None) -> None:
        """Tell its status; None where it is not in the store."""
        self.message, self.status = message, status
        super().__init__(f"{message} is {status if status is not None else 'not here'}")


class LeaseSettledError(LeaseLostError):
    """A lease was settled already, or another one came after it."""

    def __init__(self, redrive_id: str) -> None:
        """Name the redrive."""
        self.redrive_id = redrive_id
        super().__init__(f"{redrive_id} is settled already")
