"""Errors in clients' requests about dead letters; raised by `dead_letter_queries` and `redrive_preview`."""

from __future__ import annotations

from pathlib import Path


class InvalidRequestError(ValueError):
    """The request is invalid; the message of the error is sent to the client."""


class TooManyIdsError(InvalidRequestError):
    """A request names more messages than allowed."""

    def __init__(self, count: int, limit: int) -> None:
        """Build the message from the number of ids in the request and the allowed maximum."""
        self.count, self.limit = count, limit
        super().__init__(f"ids: at most {limit} are allowed in one request, not {count}")


class ReasonMissingError(InvalidRequestError):
    """A request settles a message without a reason."""

    def __init__(self) -> None:
        """Build the message."""
        super().__init__("why: a reason is required to settle a message")


class DeadLettersDisabledError(InvalidRequestError):
    """A settings file does not enable dead letters."""

    def __init__(self, file: Path) -> None:
        """Build the message from the path of the settings file."""
        self.file = file
        super().__init__(f"{file}: dead letters are disabled: the file does not set kept {{ on: true }}")
