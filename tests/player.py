"""Plays byte exchanges, which are recorded in text files, against a forwarder process."""

from __future__ import annotations

import json
import os
import re
import select
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
BLOCKS = Path(__file__).parent / "exchanges"
WAIT_S = 10.0
EXIT_TIMEOUT_S = 3.7  # The platform sends SIGKILL this long after SIGTERM.

SETTINGS: dict[str, Any] = {
    "Services": [
        {
            "Name": "booking-update", "AimMs": 3000.0, "DeadlineMs": 20000.0, "Effect": "by_key",
            "DedupScope": "all", "WindowMs": 12000.0, "LateWorth": 0.3, "Worth": 1.0,
        },
        {"Name": "gate-note", "AimMs": 3000.0, "DeadlineMs": 20000.0, "Effect": "once"},
    ],
    "Limits": {
        "MaxOpen": 6, "MaxAttempts": 8, "RetryAfter": True, "MaxRetryAfterMs": 2000.0, "Cancel": True,
        "DialTimeoutMs": 1000.0, "KeepaliveMs": 10000.0,
    },
    "Specifics": {"MaxCalls": 4, "BatchByKind": [20, 1], "RoutesApart": [False, False]},
    "Invariants": {"AnswerSlackMs": 20.0},
    "Kinds": ["booking-sites", "small-partners"],
    "FailureDomains": ["aluva"],
    "Tenants": [{"Name": "acme", "QuotaPerS": 100.0, "Share": 1.0}],
    "MembershipMode": "on_request",
    "ResolutionMs": 5.0,
}  # fmt: skip


def open_listener() -> socket.socket:
    sock = socket.create_server(("127.0.0.1", 0))
    sock.settimeout(WAIT_S)
    return sock


def address_of(sock: socket.socket) -> str:
    """Return the address that a socket is bound to, as HOST:PORT."""
    return f"127.0.0.1:{sock.getsockname()[1]}"


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        port: int = sock.getsockname()[1]
        return port


class Program:
    """A forwarder process, with listeners for an exchange that plays its endpoints and its discovery service."""

    def __init__(self, folder: Path, settings: dict[str, Any] | None = None) -> None:
        self.folder = folder
        self.state = folder / "state"
        self.state.mkdir()
        self.endpoint_listener, self.discovery_listener = open_listener(), open_listener()
        self.address = ("127.0.0.1", free_port())
        endpoint = address_of(self.endpoint_listener)
        servers = [
            {"id": f"s-{cell}", "addr": endpoint, "zone": "aluva", "kind": kind, "cell": cell, "state": "Ready",
             "weight": 5.0, "started_ms": 0}
            for cell, kind in ((7, "small-partners"), (8, "booking-sites"))
        ]  # fmt: skip
        self.config: dict[str, Any] = {
            "name": "n0", "listen": f"127.0.0.1:{self.address[1]}", "seed": "8c1f",
            "discovery": address_of(self.discovery_listener),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
            "known": {"version": 41, "full": True, "servers": servers},
            "settings": settings or SETTINGS,
        }  # fmt: skip
        self.process: subprocess.Popen[bytes] | None = None

    def spawn(self) -> subprocess.Popen[bytes]:
        """Write the configuration and start the process."""
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config))
        environment = {**os.environ, "ROUTER_CONFIG": str(path), "ROUTER_STATE": str(self.state)}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "juniperward"], cwd=ROOT, env=environment, stderr=subprocess.PIPE
        )
        return self.process

    def start(self) -> None:
        """Start the process and wait until it logs that it serves clients."""
        process = self.spawn()
        assert process.stderr is not None
        for line in process.stderr:
            if b": serving " in line:
                return
        raise AssertionError("the forwarder did not start serving")

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        assert self.process is not None and self.process.stderr is not None
        self.process.kill()
        self.process.wait(WAIT_S)
        self.process.stderr.close()
        self.process = None

    def close(self) -> None:
        if self.process is not None:
            self.kill()
        self.endpoint_listener.close()
        self.discovery_listener.close()


class LineConnection:
    """A connection of an exchange, read by length or line by line."""

    def __init__(self, sock: socket.socket, accept: Callable[[], socket.socket] | None = None) -> None:
        """Use a socket; `accept` returns the next one that the forwarder connects, None for one of a client."""
        self.sock, self.buffer, self._accept = sock, b"", accept
        sock.settimeout(WAIT_S)

    def is_silent(self) -> bool:
        """Return whether nothing has arrived; between two requests the forwarder may have ended the connection."""
        readable = select.select([self.sock], [], [], 0)[0]
        return not self.buffer and (not readable or self.is_ended())

    def is_ended(self) -> bool:
        """Return whether the forwarder has ended the connection, and may send its next request on another one."""
        readable = select.select([self.sock], [], [], 0)[0]
        return bool(readable) and self._accept is not None and self.sock.recv(1, socket.MSG_PEEK) == b""

    def take(self, length: int) -> bytes:
        while len(self.buffer) < length:
            self._more()
        data, self.buffer = self.buffer[:length], self.buffer[length:]
        return data

    def take_line(self) -> bytes:
        while b"\n" not in self.buffer:
            self._more()
        return self.take(self.buffer.index(b"\n") + 1)

    def _more(self) -> None:
        data = self.sock.recv(65536)
        if not data and not self.buffer and self._accept is not None:
            # The forwarder sends its next request on another connection.
            self.sock.close()
            self.sock = self._accept()
            self.sock.settimeout(WAIT_S)
            data = self.sock.recv(65536)
        if not data:
            raise AssertionError(f"the forwarder ended the connection after {self.buffer!r}")
        self.buffer += data


class Player:
    """Plays one exchange against a forwarder that is running.

    Each line of an exchange is a step:

        # TEXT          a comment
        @ NAME WHO      use the connection NAME; its first use opens it. WHO is `client` (connects to the forwarder),
                        or `worker` (an endpoint), `registry GET` (discovery's watch) or `registry POST`
                        (notifications), to which the forwarder connects
        > TEXT          send TEXT to the forwarder
        < TEXT          expect TEXT from the forwarder
        <~ REGEX        expect one line that matches REGEX
        = end           expect the forwarder to end the connection
        = close         close the connection
        = silent        expect that nothing has arrived on the connection
        ! stop          send SIGTERM
        ! closed        wait until the forwarder refuses connections
        ! ended         expect the forwarder to exit with status 0 within its time limit
        ! start         start the forwarder in the same folder
        ! restart       kill the forwarder and start it in the same folder
        ! reload        change discovery's address in the configuration and send SIGHUP
        ! reload TEXT   write TEXT as the configuration and send SIGHUP
        + NAME ARGS     play the file NAME.block with ARGS in place of $1, $2 and so on

    TEXT of `>` and `<` is followed by CR LF unless the step ends with a backslash.
    """

    def __init__(self, program: Program) -> None:
        self.program = program
        self.connections: dict[str, LineConnection] = {}
        self.current: LineConnection | None = None
        # Connections that discovery's listener accepted and the exchange has not used yet.
        self.unclaimed: list[socket.socket] = []
        self.former_listeners: list[socket.socket] = []

    def play(self, text: str) -> None:
        for number, row in enumerate(text.splitlines(), 1):
            if row.startswith("+ "):
                _, block, *arguments = row.split(" ")
                text = (BLOCKS / f"{block}.block").read_text()
                for place, argument in enumerate(arguments, 1):
                    text = text.replace(f"${place}", argument)
                self.play(text)
            elif row and not row.startswith("#"):
                try:
                    self._step(row)
                except (AssertionError, OSError) as error:
                    raise AssertionError(f"line {number}: {row}\n{error}") from error

    def close(self) -> None:
        for sock in [
            *self.unclaimed,
            *self.former_listeners,
            *(connection.sock for connection in self.connections.values()),
        ]:
            sock.close()

    def _step(self, row: str) -> None:
        sign, _, rest = row.partition(" ")
        if sign == "@":
            name, _, who = rest.partition(" ")
            if name not in self.connections:
                accept = None if who in ("client", "registry GET") else partial(self._connect, who)
                self.connections[name] = LineConnection(self._connect(who), accept)
            self.current = self.connections[name]
        elif sign == "!":
            self.control(rest)
        else:
            assert self.current is not None
            self._exchange(self.current, sign, rest)

    def _exchange(self, connection: LineConnection, sign: str, rest: str) -> None:
        if sign == ">":
            connection.sock.sendall(_encode(rest))
        elif sign == "<":
            expected = _encode(rest)
            received = connection.take(len(expected))
            assert received == expected, f"the forwarder sent {received + connection.buffer!r}"
        elif sign == "<~":
            received = connection.take_line().rstrip(b"\r\n")
            assert re.fullmatch(rest, received.decode("latin-1")), f"the forwarder sent {received!r}"
        elif rest == "end":
            assert not connection.buffer and connection.sock.recv(1) == b"", "the connection is still open"
        elif rest == "close":
            connection.sock.close()
        elif rest == "silent":
            assert connection.is_silent(), "the forwarder sent something"
            calls = select.select([self.program.endpoint_listener], [], [], 0)[0]
            assert not calls or not connection.is_ended(), (
                "the forwarder sent something on another connection"
            )
        else:
            raise AssertionError("unknown step")

    def _connect(self, who: str) -> socket.socket:
        if who == "client":
            return socket.create_connection(self.program.address, WAIT_S)
        if who == "worker":
            return self.program.endpoint_listener.accept()[0]
        # The first byte of the request's method tells a watch (GET) from notifications (POST).
        first_byte = who.removeprefix("registry ")[:1].encode()
        until = time.monotonic() + WAIT_S
        while not (found := [s for s in self.unclaimed if s.recv(1, socket.MSG_PEEK) == first_byte]):
            assert time.monotonic() < until, f"no connection for {who}"
            self.unclaimed.append(self.program.discovery_listener.accept()[0])
            self.unclaimed[-1].settimeout(WAIT_S)
        self.unclaimed.remove(found[0])
        return found[0]

    def control(self, what: str) -> None:
        """Perform a `!` step."""
        if what == "start":
            self.program.start()
            return
        assert self.program.process is not None
        if what == "restart":
            self.program.kill()
            self.program.start()
        elif what == "stop":
            self.program.process.send_signal(signal.SIGTERM)
        elif what.startswith("reload"):
            program, process = self.program, self.program.process
            if what == "reload":
                self.former_listeners.append(program.discovery_listener)
                program.discovery_listener = open_listener()
                program.config["discovery"] = address_of(program.discovery_listener)
            text = what.removeprefix("reload").strip() or json.dumps(program.config)
            (program.folder / "config.json").write_text(text)
            process.send_signal(signal.SIGHUP)
        elif what == "closed":
            self._wait_until_refused()
        elif what == "ended":
            assert self.program.process.wait(EXIT_TIMEOUT_S) == 0, "the exit status is not 0"
            self.program.kill()

    def _wait_until_refused(self) -> None:
        """Connect until the forwarder refuses connections."""
        until = time.monotonic() + WAIT_S
        while time.monotonic() < until:
            try:
                socket.create_connection(self.program.address, WAIT_S).close()
            except ConnectionRefusedError:
                return
            except ConnectionResetError:
                continue  # It has crossed the close of the listener.
        raise AssertionError("the forwarder still accepts connections")


def _encode(text: str) -> bytes:
    data = text.removesuffix("\\").encode("latin-1")
    return data if text.endswith("\\") else data + b"\r\n"


def play(path: Path) -> None:
    """Play the exchange of a file against a new forwarder."""
    with tempfile.TemporaryDirectory() as folder:
        program = Program(Path(folder))
        player = Player(program)
        try:
            program.start()
            player.play(path.read_text())
        finally:
            player.close()
            program.close()
