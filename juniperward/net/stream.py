"""Buffered reading of lines and byte counts from a function that receives bytes."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from juniperward.net.http_errors import IncompleteMessageError, MalformedMessageError, MessageTimeoutError
from juniperward.net.http_status import HttpStatus

READ_BYTES = 16384
LINE_ENDS = (b"\r\n", b"\n")
CLOSED_BY_PEER = "connection closed by the peer"


class Stream:
    """A buffered byte stream.

    Reads raise IncompleteMessageError if the connection ends before the requested bytes arrive, and
    MessageTimeoutError if `receive` times out.
    """

    def __init__(self, receive: Callable[[int], bytes], read_bytes: int = READ_BYTES) -> None:
        """Read with `receive`, which returns at most the requested number of bytes, and none at end of input.

        Reads ahead by less than `read_bytes`.
        """
        self.receive, self._read_bytes = receive, read_bytes
        self.buffer = bytearray()

    def read_more(self) -> None:
        """Receive bytes and append them to the buffer."""
        self.buffer += self._receive(self._read_bytes)

    def _receive(self, size: int) -> bytes:
        try:
            data = self.receive(size)
        except (TimeoutError, BlockingIOError) as error:
            raise MessageTimeoutError from error
        except ConnectionError as error:
            raise IncompleteMessageError(str(error)) from error
        if not data:
            raise IncompleteMessageError(CLOSED_BY_PEER)
        return data

    def read_line(self, max_bytes: int, too_long_status: int) -> bytes:
        """Return the next line without its line end.

        Raises:
            MalformedMessageError: with status `too_long_status` for a line of more than `max_bytes`.

        """
        searched = 0
        while (end := self.buffer.find(b"\n", searched)) < 0:
            if len(self.buffer) > max_bytes:
                raise MalformedMessageError(too_long_status, "a line is too long")
            searched = len(self.buffer)
            self.read_more()
        line = bytes(self.buffer[:end])
        del self.buffer[: end + 1]
        return line.removesuffix(b"\r")

    def skip_empty_lines(self) -> int:
        """Remove the empty lines that were received at the start of the buffer, and return their length in bytes."""
        line_end_bytes = len(self.buffer) - len(self.buffer.lstrip(b"\r\n"))
        length = self.buffer.rfind(b"\n", 0, line_end_bytes) + 1
        if b"\r" in self.buffer[:length].replace(b"\r\n", b""):
            return 0  # A carriage return that ends no line makes its line malformed.
        del self.buffer[:length]
        return length

    def read_head_lines(self, max_bytes: int, too_long_status: int) -> Iterator[bytes]:
        """Yield the lines before the next empty line with their line ends, in blocks as they arrive.

        Raises:
            MalformedMessageError: with status `too_long_status` for lines of more than `max_bytes`.

        """
        remaining_bytes, searched = max_bytes, 0
        while True:
            length = self.buffer.rfind(b"\n", searched) + 1
            empty_line = self._find_empty_line() if length else None
            if empty_line is not None:
                length = empty_line.start
            header_bytes = length if empty_line is not None else len(self.buffer)
            if header_bytes > remaining_bytes:
                raise MalformedMessageError(too_long_status, "the headers are too large")
            if length:
                remaining_bytes -= length
                yield self._take(length)
            if empty_line is not None:
                del self.buffer[: empty_line.stop - empty_line.start]
                return
            searched = len(self.buffer)
            self.read_more()

    def _find_empty_line(self) -> slice | None:
        """Return the place of the first empty line; the buffer begins at the start of a line."""
        if self.buffer.startswith(LINE_ENDS):
            return slice(0, self.buffer.index(b"\n") + 1)
        end = self.buffer.find(b"\n\r\n")
        bare_end = self.buffer.find(b"\n\n", 0, end + 1 if end >= 0 else len(self.buffer))
        if bare_end >= 0:
            return slice(bare_end + 1, bare_end + 2)
        return slice(end + 1, end + 3) if end >= 0 else None

    def _take(self, length: int) -> bytes:
        """Remove and return the first bytes of the buffer."""
        with memoryview(self.buffer) as view:
            data = bytes(view[:length])
        del self.buffer[:length]
        return data

    def read_exactly(self, length: int) -> bytes:
        """Return the next `length` bytes."""
        remaining_bytes = length - len(self.buffer)
        if remaining_bytes <= 0:
            return self._take(length)
        parts = [self._take(len(self.buffer))]
        while remaining_bytes > 0:
            part = self._receive(min(READ_BYTES, max(remaining_bytes, self._read_bytes)))
            parts.append(part)
            remaining_bytes -= len(part)
        data = b"".join(parts)
        self.buffer += data[length:]
        return data[:length]

    def read_to_end(self, max_bytes: int) -> bytes:
        """Return all bytes up to the end of the stream; raises MalformedMessageError above `max_bytes`."""
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
