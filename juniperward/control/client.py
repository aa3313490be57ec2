"""Asking a forwarder: one connection, one request at a time, and a time limit on each."""

from __future__ import annotations

import socket
import time
from pathlib import Path
from typing import Any, TypeVar

from juniperward.control.protocol import (
    MOST_ANSWER,
    Counters,
    Fates,
    ProtocolError,
    Request,
    Rows,
    Status,
    Verb,
    decode_answer,
    encode_request,
    read_frame,
)
from juniperward.net import sockets

T = TypeVar("T")


class Silent(Exception):
    """There was no answer in time, or nobody listens; the text says which."""


class Refused(Exception):
    """The forwarder answered that it will not."""


class ControlClient:
    """Used by one thread; connects at the first request and again after a failure."""

    def __init__(self, path: Path, patience: float = 1.0) -> None:
        self.path, self.patience = path, patience
        self.sock: socket.socket | None = None
        self.last = 0

    def close(self) -> None:
        """End the connection, if there is one."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None

    def status(self) -> Status:
        """The forwarder's state; raises Silent, Refused or ProtocolError, as all requests do."""
        return self._typed(Verb.STATUS, Status)

    def rows(self, verb: Verb) -> Rows:
        """The destinations or the workers."""
        return self._typed(verb, Rows)

    def counters(self) -> dict[str, int]:
        """All counters that are not zero."""
        return self._typed(Verb.COUNTERS, Counters).counters

    def order(self, verb: Verb) -> Status:
        """Drain, resume or stop; the state right after."""
        return self._typed(verb, Status)

    def fates(self, ids: tuple[str, ...]) -> Fates:
        """What became of resends; ids that are not known here will never be taken here."""
        return self._typed(Verb.FATE, Fates, ids)

    def _typed(self, verb: Verb, kind: type[T], ids: tuple[str, ...] = ()) -> T:
        body = self.ask(verb, ids)
        if not isinstance(body, kind):
            raise ProtocolError(f"{verb.value} was answered with another type")
        return body

    def ask(self, verb: Verb, ids: tuple[str, ...] = ()) -> Any:
        """The body of the answer, within `patience` seconds in all."""
        until = time.monotonic() + self.patience
        fresh = self.sock is None
        try:
            return self._ask(verb, ids, until)
        except Silent:
            # A connection kept from before may belong to a process that is gone: try once on a new one.
            if fresh or time.monotonic() >= until:
                raise
            return self._ask(verb, ids, until)

    def _ask(self, verb: Verb, ids: tuple[str, ...], until: float) -> Any:
        self.last += 1
        try:
            if self.sock is None:
                self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
                sockets.limit(self.sock, socket.SO_SNDTIMEO, max(until - time.monotonic(), 0.001))
                self.sock.connect(str(self.path))
            self.sock.sendall(encode_request(Request(self.last, verb, ids)))
            answer = decode_answer(read_frame(lambda n: self._exactly(n, until), MOST_ANSWER), verb)
        except (BlockingIOError, TimeoutError) as error:
            self.close()
            raise Silent(f"no answer within {self.patience:g} s") from error
        except (OSError, EOFError) as error:
            self.close()
            raise Silent(f"nobody listens: {getattr(error, 'strerror', None) or 'it hung up'}") from error
        except ProtocolError:
            self.close()
            raise
        if answer.id != self.last:
            self.close()
            raise Refused(answer.error or "an answer to another request")
        if answer.body is None:
            raise Refused(answer.error)
        return answer.body

    def _exactly(self, length: int, until: float) -> bytes:
        assert self.sock is not None
        data = bytearray()
        while len(data) < length:
            left = until - time.monotonic()
            if left <= 0:
                raise TimeoutError
            sockets.limit(self.sock, socket.SO_RCVTIMEO, left)
            piece = self.sock.recv(min(length - len(data), 65536))
            if not piece:
                raise EOFError
            data += piece
        return bytes(data)
