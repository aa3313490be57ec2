"""The errors of a control channel; apart, so that a forwarder without one loads little for them."""

from __future__ import annotations


class ControlError(Exception):
    """What can go wrong with a control channel."""


class ControlSocketError(ControlError):
    """The channel's socket cannot be opened as the settings ask; nothing listens."""

    def __init__(self, place: object, why: str) -> None:
        """Name the socket or its folder, and say why."""
        self.place, self.why = place, why
        super().__init__(f"{place}: {why}")


class ControlUnreachableError(ControlError):
    """There was no answer in time, or no process listens; the next request connects again."""


class ControlRejectedError(ControlError):
    """The forwarder rejected the request."""


class ProtocolError(ControlError):
    """What came is no frame of this protocol, or no value of the type that it should be."""


class FrameLengthError(ProtocolError):
    """A frame is empty, or longer than is taken."""

    def __init__(self, length: int, limit: int) -> None:
        """Name its length and the limit, in bytes."""
        self.length, self.limit = length, limit
        super().__init__(f"a frame of {length} bytes; at most {limit} are taken")


class VersionError(ProtocolError):
    """The other end speaks another version of the protocol."""

    def __init__(self, version: object, why: str) -> None:
        """Name its version; `why` is the text for people."""
        self.version = version
        super().__init__(why)


class NestingError(ProtocolError):
    """A request has more arrays and objects than any request of this protocol."""

    def __init__(self) -> None:
        """Say so."""
        super().__init__("a request holds one flat object")


class AnswerTypeError(ProtocolError):
    """An answer is none to the request that was made."""

    def __init__(self, verb: str) -> None:
        """Name the request's verb."""
        self.verb = verb
        super().__init__(f"{verb} was answered with another type")


class FieldError(ProtocolError):
    """A field has not the type or the range that it should have."""

    def __init__(self, place: str, needed: str) -> None:
        """Name the place, as `body.counters.x`, and what is needed there."""
        self.place, self.needed = place, needed
        super().__init__(f"{place}: {needed}")


class MalformedRequestError(ProtocolError):
    """The text of a frame is no request."""

    def __init__(self, error: Exception) -> None:
        """Name the decoder's error."""
        super().__init__(f"not a request: {type(error).__name__}: {error}")


class MalformedAnswerError(ProtocolError):
    """The text of a frame is no answer."""

    def __init__(self, error: Exception) -> None:
        """Name the decoder's error."""
        super().__init__(f"not an answer: {type(error).__name__}: {error}")
