"""Errors raised while an HTTP message is read."""

from __future__ import annotations


class ConnectionClosedError(Exception):
    """The peer closed the connection between two messages."""


class IncompleteMessageError(Exception):
    """The peer closed or reset the connection before the end of a message.

    Attributes:
        status: the status of a response whose status line was received, else None.

    """

    status: int | None = None

    @classmethod
    def after(cls, status: int, error: Exception) -> IncompleteMessageError:
        """Return the error for a response that could not be read completely after its status line."""
        incomplete = cls(str(error))
        incomplete.status = status
        return incomplete


class MessageTimeoutError(IncompleteMessageError):
    """A message was not complete when its time limit was reached."""

    def __init__(self) -> None:
        """Create the error with its message."""
        super().__init__("message not complete within its time limit")


class MalformedMessageError(Exception):
    """The bytes received are not HTTP, or use a feature that is not supported.

    Attributes:
        status: the status with which a server answers such a request.
        problem: a description, which is sent to the client.

    """

    def __init__(self, status: int, problem: str) -> None:
        """Create the error from the status and the description of the problem."""
        super().__init__(problem)
        self.status, self.problem = status, problem
