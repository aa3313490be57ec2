"""What can be wrong with the input of the adapter; all errors are WireErrors."""

from __future__ import annotations


class WireError(Exception):
    """The input does not follow the wire; the text says where and how."""


class BadLineError(WireError):
    """A line cannot be used; `number` counts from 1, `cause` says what is wrong."""

    def __init__(self, number: int, cause: Exception) -> None:
        """Describe the line and what is wrong with it."""
        super().__init__(f"line {number}: {type(cause).__name__}: {cause}")
        self.number = number
        self.cause = cause


class MisplacedLineError(WireError):
    """A line stands inside a batch that must be outside of one, or the other way round."""

    def __init__(self, name: str, inside_batch: bool) -> None:
        """Describe the line and its place."""
        super().__init__(f"{name} {'inside' if inside_batch else 'outside'} a batch")
        self.name = name
        self.inside_batch = inside_batch


class NotAnObjectError(WireError):
    """A line is not an object with a single key, whose value is an object."""

    def __init__(self) -> None:
        """Describe what is expected."""
        super().__init__("not an object with a single key and its fields")


class TruncatedBatchError(WireError):
    """The input ended inside a batch."""

    def __init__(self) -> None:
        """Describe the end."""
        super().__init__("the input ended inside a batch")


class UnknownEventError(WireError):
    """An event has a name that the wire does not know."""

    def __init__(self, name: str) -> None:
        """Name the event."""
        super().__init__(f"unknown event {name!r}")
        self.name = name
