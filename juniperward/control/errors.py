"""The errors of the control channel.

They have a module of their own, as a forwarder without a control channel imports only the errors, to start
faster.
"""

from __future__ import annotations


class ControlError(Exception):
    """Base class of the errors of a control channel."""


class ControlSocketError(ControlError):
    """The socket cannot be opened at the configured path."""

    def __init__(self, path: object, reason: str) -> None:
        """Build the message from the path of the socket or of its directory, and the reason."""
        self.path, self.reason = path, reason
        super().__init__(f"{path}: {reason}")


class ControlUnreachableError(ControlError):
    """No process listens, the connection failed or no answer came in time; the next request reconnects."""


class ControlRejectedError(ControlError):
    """The forwarder rejected the request, or its answer belongs to another request."""


class ProtocolError(ControlError):
    """A received frame is invalid, or its content does not have the expected type."""


class FrameLengthError(ProtocolError):
    """A frame is empty or too long."""

    def __init__(self, length: int, limit: int) -> None:
        """Build the message from the frame's length and the limit, in bytes."""
        self.length, self.limit = length, limit
        super().__init__(f"the length of a frame is {length} bytes; 1 to {limit} are allowed")


class VersionError(ProtocolError):
    """The peer uses an unsupported version of the protocol."""

    def __init__(self, version: object, problem: str) -> None:
        """Keep the peer's version, and use `problem` as the message."""
        self.version = version
        super().__init__(problem)


class NestingError(ProtocolError):
    """A request contains more arrays and objects than any valid request."""

    def __init__(self) -> None:
        """Build the message."""
        super().__init__("the request contains too many nested values; it must be one flat object")


class AnswerTypeError(ProtocolError):
    """The body of an answer does not have the type that belongs to the request's verb."""

    def __init__(self, verb: str) -> None:
        """Build the message from the request's verb."""
        self.verb = verb
        super().__init__(f"the answer to {verb} has a body of another type")


class FieldError(ProtocolError):
    """A field has a value of the wrong type or outside its range."""

    def __init__(self, place: str, problem: str) -> None:
        """Build the message from the field's place, such as `body.counters.x`, and what is wrong with its value."""
        self.place, self.problem = place, problem
        super().__init__(f"{place}: {problem}")


class MalformedRequestError(ProtocolError):
    """A frame does not contain a request."""

    def __init__(self, error: Exception) -> None:
        """Build the message from the decoder's error."""
        super().__init__(f"malformed request: {type(error).__name__}: {error}")


class MalformedAnswerError(ProtocolError):
    """A frame does not contain an answer."""

    def __init__(self, error: Exception) -> None:
        """Build the message from the decoder's error."""
        super().__init__(f"malformed answer: {type(error).__name__}: {error}")
