"""A buffer over a function that receives bytes: lines and byte counts out of pieces cut anywhere."""

from __future__ import annotations

from collections.abc import Callable

from juniperward.net.http_errors import IncompleteMessageError, MalformedMessageError, MessageTimeoutError
from juniperward.net.http_status import HttpStatus

READ_BYTES = 16384


class Stream:
    """Bytes as they come. All reads raise IncompleteMessageError, where time is up MessageTimeoutError."""

    def __init__(self, receive: Callable[[int], bytes]) -> None:
        """Read by `receive`, which returns at most so many bytes and none at the end of the stream."""
        self.receive = receive
        self.buffer = bytearray()

    def read_more(self) -> None:
        """Append the next bytes to the buffer."""
        try:
            data = self.receive(READ_BYTES)
        except (TimeoutError, BlockingIOError) as error:
            raise MessageTimeoutError from error
        except ConnectionError as error:
            raise IncompleteMessageError(str(error)) from error
        if not data:
            raise IncompleteMessageError("closed")
        self.buffer += data

    def read_line(self, max_bytes: int, too_long: int) -> bytes:
        """Return the next line without its end; raises MalformedMessageError with status `too_long`."""
        searched = 0
        while (end := self.buffer.find(b"\n", searched)) < 0:
            if len(self.buffer) > max_bytes:
                raise MalformedMessageError(too_long, "a line is too long")
            searched = len(self.buffer)
            self.read_more()
        line = bytes(self.buffer[:end])
        del self.buffer[: end + 1]
        return line.removesuffix(b"\r")

    def read_exactly(self, length: int) -> bytes:
        """Return so many bytes."""
        while len(self.buffer) < length:
            self.read_more()
        data = bytes(self.buffer[:length])
        del self.buffer[:length]
        return data

    def read_to_end(self, max_bytes: int) -> bytes:
        """Return all bytes until the other side closes; raises MalformedMessageError where there are too many."""
        try:
            while len(self.buffer) <= max_bytes:
                self.read_more()
        except MessageTimeoutError:
            raise
        except IncompleteMessageError:
            data = bytes(self.buffer)
            self.buffer.clear()
            return data
        raise MalformedMessageError(HttpStatus.CONTENT_TOO_LARGE, "the body is too large")
