"""Errors in the input of the adapter; their base class is WireError."""

from __future__ import annotations


class WireError(Exception):
    """The input violates the simulator's protocol."""


class BadLineError(WireError):
    """A line of the input is invalid; `number` counts lines from 1."""

    def __init__(self, number: int, cause: Exception) -> None:
        """Create the error for a line, with the error that it caused."""
        super().__init__(f"line {number}: {type(cause).__name__}: {cause}")
        self.number = number
        self.cause = cause


class MisplacedLineError(WireError):
    """A line that is valid only outside a batch is inside one, or the reverse."""

    def __init__(self, name: str, inside_batch: bool) -> None:
        """Create the error for a line by its name."""
        super().__init__(f"unexpected {name!r} {'inside' if inside_batch else 'outside'} a batch")
        self.name = name
        self.inside_batch = inside_batch


class NotAnObjectError(WireError):
    """A line is not an object with a single key whose value is an object."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("expected an object with a single key whose value is an object")


class TruncatedBatchError(WireError):
    """The input ended inside a batch."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("the input ended before the end of a batch")


class UnknownEventError(WireError):
    """The protocol has no event of this name."""

    def __init__(self, name: str) -> None:
        """Create the error for an event by its name."""
        super().__init__(f"unknown event {name!r}")
        self.name = name
