"""Why a client's request about dead letters cannot be answered; raised by `dead_letter_queries` and its parts."""

from __future__ import annotations

from pathlib import Path


class InvalidRequestError(ValueError):
    """A request that cannot be answered as it is; the text goes to the client."""


class PageSizeError(InvalidRequestError):
    """More ids than one request may have."""

    def __init__(self, count: int, limit: int) -> None:
        """Take how many there are, and how many there may be."""
        self.count, self.limit = count, limit
        super().__init__(f"{count} ids; {limit} at most in one call")


class ReasonMissingError(InvalidRequestError):
    """A message is settled without a reason."""

    def __init__(self) -> None:
        """Build the text."""
        super().__init__("why: whoever settles a message says how he knows")


class NothingStoredError(InvalidRequestError):
    """A settings file does not have dead letters stored."""

    def __init__(self, file: Path) -> None:
        """Name the file."""
        self.file = file
        super().__init__(f"{file}: nothing is kept: it has no kept {{ on: true }}")
