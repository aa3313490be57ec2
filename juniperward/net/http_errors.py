"""What can go wrong with an HTTP message that is read."""

from __future__ import annotations


class ConnectionClosedError(Exception):
    """The other side closed between messages."""


class IncompleteMessageError(Exception):
    """The other side closed or reset inside a message; `status` is known where its first line had come."""

    status: int | None = None

    @classmethod
    def after(cls, status: int, error: Exception) -> IncompleteMessageError:
        """Return the error of a response whose status line had come."""
        incomplete = cls(str(error))
        incomplete.status = status
        return incomplete


class MessageTimeoutError(IncompleteMessageError):
    """A message was not whole in its time."""

    def __init__(self) -> None:
        """Describe it."""
        super().__init__("not whole in its time")


class MalformedMessageError(Exception):
    """What came is not HTTP as we take it; `status` is the answer to a call of this form."""

    def __init__(self, status: int, text: str) -> None:
        """Give the status of the answer, and its text."""
        super().__init__(text)
        self.status = status
