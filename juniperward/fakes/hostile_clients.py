"""Clients that take a forwarder's memory, in a process of their own.

`python -m juniperward.fakes.hostile_clients HOST PORT FORM CONNECTIONS SECONDS SEED` keeps a number of connections
open, connects again whenever one is closed, and stops by itself after the given time. Each form of `Form` is one way
to make a forwarder hold bytes, connections or threads.
"""

from __future__ import annotations

import contextlib
import random
import selectors
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024
SHORT_LINES = 1900
SEND_BYTES = 65536
POLL_INTERVAL_S = 0.02
# A connection of Form.TRICKLE sends this many bytes at each poll.
TRICKLE_BYTES = 700
RECONNECT_DELAY_S = 0.02
PIPELINED_REQUESTS = 100
DEPARTURE_REQUESTS = 100
USAGE = "HOST PORT FORM CONNECTIONS SECONDS SEED"


class Form(StrEnum):
    """What a client sends.

    Attributes:
        SILENT: Nothing.
        ONE_LINE: A head of one long line, without an end.
        MANY_LINES: A head of many short lines, without an end.
        HALF_BODY: A small head, and most of a large body.
        LINES_AND_BODY: A head of many short lines, and half of a large body.
        WHOLE: Messages with the largest body, one after the other.
        LARGE_FIELDS: Messages whose idempotency keys take most of the head.
        PIPELINE: Many small messages at once, again whenever they are answered.
        UNREAD: Many readiness requests, whose answers are not read.
        TRICKLE: A large message, a few bytes at a time.
        DEPART: Many small messages at once, and a close.
        MIXED: One of the other forms, drawn for each connection.
    """

    SILENT = "silent"
    ONE_LINE = "one-line"
    MANY_LINES = "many-lines"
    HALF_BODY = "half-body"
    LINES_AND_BODY = "lines-and-body"
    WHOLE = "whole"
    LARGE_FIELDS = "large-fields"
    PIPELINE = "pipeline"
    UNREAD = "unread"
    TRICKLE = "trickle"
    DEPART = "depart"
    MIXED = "mixed"


@dataclass(frozen=True, slots=True)
class MessageHeaders:
    """Headers with which a message is valid for the forwarder under test."""

    message_class: str = "booking-update"
    account: str = "valiya-cluster"
    destination: int = 1
    time_left_s: float = 5.0


DEFAULT_HEADERS = MessageHeaders()


def message(name: str, body: bytes, key: str = "", headers: MessageHeaders = DEFAULT_HEADERS) -> bytes:
    """Return a valid message as a request."""
    head = (
        f"POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {name}\r\n"
        f"X-Service-Class: {headers.message_class}\r\nX-Account: {headers.account}\r\n"
        f"X-Time-Left: {headers.time_left_s:.3f}\r\nIdempotency-Key: {key or name}\r\n"
        f"X-Addressing: dest={headers.destination}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def _short_lines() -> bytes:
    return b"".join(b"a%d:b\r\n" % (number % 97) for number in range(SHORT_LINES))


class RequestWriter:
    """Builds what the connections of one form send; ids are unique to the seed."""

    def __init__(self, form: Form, seed: int) -> None:
        """Draw ids, and the forms of Form.MIXED, from `seed`."""
        self.form, self._random = form, random.Random(seed)
        self._sent = 0
        self._seed = seed

    def draw_form(self) -> Form:
        """Return the form of a new connection."""
        if self.form is not Form.MIXED:
            return self.form
        return self._random.choice([form for form in Form if form is not Form.MIXED])

    def _name(self) -> str:
        self._sent += 1
        return f"hostile-{self._seed}-{self._sent}"

    def request(self, form: Form) -> bytes:
        """Return the bytes that a connection of a form sends at once."""
        builders: dict[Form, Callable[[], bytes]] = {
            Form.SILENT: lambda: b"",
            Form.ONE_LINE: lambda: b"POST /api HTTP/1.1\r\nA: " + b"x" * (MAX_HEAD_BYTES - 500),
            Form.MANY_LINES: lambda: b"POST /api HTTP/1.1\r\n" + _short_lines(),
            Form.HALF_BODY: lambda: message(self._name(), bytes(MAX_BODY_BYTES))[: 60 * 1024],
            Form.LINES_AND_BODY: self._lines_and_body,
            Form.WHOLE: lambda: message(self._name(), bytes(MAX_BODY_BYTES)),
            Form.LARGE_FIELDS: self._large_key,
            Form.PIPELINE: lambda: self._burst(PIPELINED_REQUESTS),
            Form.UNREAD: lambda: b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n" * 2000,
            Form.TRICKLE: lambda: message(self._name(), bytes(MAX_BODY_BYTES)),
            Form.DEPART: lambda: self._burst(DEPARTURE_REQUESTS),
        }
        return builders[form]()

    def _burst(self, count: int) -> bytes:
        return b"".join(message(self._name(), b"small") for _ in range(count))

    def _large_key(self) -> bytes:
        name = self._name()
        return message(name, b"", name.ljust(MAX_HEAD_BYTES - 1000, "k"))

    def _lines_and_body(self) -> bytes:
        head = b"POST /api HTTP/1.1\r\nContent-Length: %d\r\n" % MAX_BODY_BYTES
        return head + _short_lines() + b"\r\n" + bytes(MAX_BODY_BYTES // 2)


@dataclass(eq=False, slots=True)
class _Connection:
    """A connection and the bytes that it still has to send."""

    sock: socket.socket
    form: Form
    unsent: memoryview
    may_send_at: float = field(default=0.0)


class HostileClients:
    """Keeps a number of connections of a form busy, on one thread."""

    def __init__(self, address: tuple[str, int], writer: RequestWriter, connections: int) -> None:
        """Prepare `connections` connections to `address`."""
        self._address, self._writer, self._wanted = address, writer, connections
        self._selector = selectors.DefaultSelector()
        self._open: set[_Connection] = set()
        self._connect_at = 0.0

    def run(self, seconds: float) -> None:
        """Send for a time, then close all connections."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self._connect_missing()
            for key, events in self._selector.select(POLL_INTERVAL_S):
                self._serve(key.data, events)
        for connection in list(self._open):
            self._close(connection)

    def _connect_missing(self) -> None:
        now = time.monotonic()
        while len(self._open) < self._wanted and now >= self._connect_at:
            sock = socket.socket()
            sock.settimeout(1.0)
            try:
                sock.connect(self._address)
            except OSError:
                sock.close()
                self._connect_at = now + RECONNECT_DELAY_S
                return
            sock.setblocking(False)
            form = self._writer.draw_form()
            connection = _Connection(sock, form, memoryview(self._writer.request(form)))
            self._open.add(connection)
            self._selector.register(sock, self._events(connection), connection)

    @staticmethod
    def _events(connection: _Connection) -> int:
        reads = 0 if connection.form is Form.UNREAD and connection.unsent else selectors.EVENT_READ
        return (selectors.EVENT_WRITE if connection.unsent else 0) | reads or selectors.EVENT_READ

    def _serve(self, connection: _Connection, events: int) -> None:
        try:
            if events & selectors.EVENT_WRITE:
                self._send(connection)
            if events & selectors.EVENT_READ:
                self._receive(connection)
        except BlockingIOError:
            return
        except OSError:
            self._close(connection)
            return
        if connection in self._open:
            self._selector.modify(connection.sock, self._events(connection), connection)

    def _send(self, connection: _Connection) -> None:
        now = time.monotonic()
        if now < connection.may_send_at:
            return
        size = SEND_BYTES
        if connection.form is Form.TRICKLE:
            size, connection.may_send_at = TRICKLE_BYTES, now + POLL_INTERVAL_S
        connection.unsent = connection.unsent[connection.sock.send(connection.unsent[:size]) :]
        if connection.form is Form.DEPART and not connection.unsent:
            self._close(connection)

    def _receive(self, connection: _Connection) -> None:
        data = connection.sock.recv(SEND_BYTES)
        if not data or b"onnection: close" in data:
            self._close(connection)
        elif not connection.unsent:
            connection.unsent = memoryview(self._writer.request(connection.form))

    def _close(self, connection: _Connection) -> None:
        with contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(connection.sock)
        connection.sock.close()
        self._open.discard(connection)


@contextlib.contextmanager
def hostile_clients(
    address: tuple[str, int], form: Form, connections: int, seconds: float, seed: int
) -> Iterator[subprocess.Popen[bytes]]:
    """Run the clients in a process of their own, which is ended with the context."""
    host, port = address
    arguments = [host, str(port), form.value, str(connections), str(seconds), str(seed)]
    process = subprocess.Popen([sys.executable, "-m", "juniperward.fakes.hostile_clients", *arguments])
    try:
        yield process
    finally:
        process.kill()
        process.wait()


def main(arguments: list[str]) -> int:
    """Run the clients that the command line describes; return the exit code."""
    try:
        host, port, form, connections, seconds, seed = arguments
    except ValueError:
        print(f"usage: {USAGE}", file=sys.stderr)
        return 2
    writer = RequestWriter(Form(form), int(seed))
    HostileClients((host, int(port)), writer, int(connections)).run(float(seconds))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
