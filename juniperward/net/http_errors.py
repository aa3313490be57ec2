"""The errors of HTTP messages that are read."""

from __future__ import annotations


class ConnectionClosedError(Exception):
    """The other side closed the connection between two messages."""


class IncompleteMessageError(Exception):
    """The other side closed or reset the connection within a message.

    `status` is that of a response whose status line had come, else None.
    """

    status: int | None = None

    @classmethod
    def after(cls, status: int, error: Exception) -> IncompleteMessageError:
        """Return the error of a response that failed after its status line."""
        incomplete = cls(str(error))
        incomplete.status = status
        return incomplete


class MessageTimeoutError(IncompleteMessageError):
    """A message was not complete in its time."""

    def __init__(self) -> None:
        """Describe it."""
        super().__init__("not complete in its time")


class MalformedMessageError(Exception):
    """The bytes are not HTTP in the form that is read here; `status` is what a server answers to such a request."""

    def __init__(self, status: int, problem: str) -> None:
        """Name the status, and the problem, which clients get as text."""
        super().__init__(problem)
        self.status, self.problem = status, problem
