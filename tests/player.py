"""Plays recorded byte exchanges against the program.

An exchange is a text file. A line that starts with `#` is a comment. `@ NAME WHO` opens, or goes on with, a
connection; WHO says who dials: `client` (we dial the forwarder) or `worker`, `registry` (the forwarder dials us;
the registry's connections are told apart by the first letter they write: `registry GET` or `registry POST`). `>
TEXT` is written to the forwarder, `< TEXT` is what it must write; both end with a line end (CR LF) unless the line
closes with a backslash. `<~ REGEX` matches one line instead. `= end` expects the forwarder to end the connection,
`= close` closes ours, `= silent` expects that nothing has come on it. `! stop` sends SIGTERM, `! closed` waits
until nobody can connect any more, `! ended` expects that it exits with 0 in the time that it has, `! start` starts
it in the same folder, and `! restart` kills it and does so. `! reload` moves the registry to another address,
writes that to the configuration and sends SIGHUP; `! reload TEXT` writes TEXT in its place. `+ NAME ARGS` plays the
file NAME.block with its arguments put in for $1, $2 and so on.
"""

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
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
BLOCKS = Path(__file__).parent / "exchanges"
WAIT_S = 10.0

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


def listener() -> socket.socket:
    sock = socket.create_server(("127.0.0.1", 0))
    sock.settimeout(WAIT_S)
    return sock


def name(sock: socket.socket) -> str:
    return f"127.0.0.1:{sock.getsockname()[1]}"


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        port: int = sock.getsockname()[1]
        return port


class Program:
    """The forwarder as a process, with a worker of each kind and a registry that the exchange plays."""

    def __init__(self, folder: Path, settings: dict[str, Any] | None = None) -> None:
        self.folder = folder
        self.state = folder / "state"
        self.state.mkdir()
        self.worker, self.registry = listener(), listener()
        self.address = ("127.0.0.1", free_port())
        worker = name(self.worker)
        servers = [
            {"id": f"s-{cell}", "addr": worker, "zone": "aluva", "kind": kind, "cell": cell, "state": "Ready",
             "weight": 5.0, "started_ms": 0}
            for cell, kind in ((7, "small-partners"), (8, "booking-sites"))
        ]  # fmt: skip
        self.config: dict[str, Any] = {
            "name": "n0", "listen": f"127.0.0.1:{self.address[1]}", "seed": "8c1f",
            "discovery": name(self.registry),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
            "known": {"version": 41, "full": True, "servers": servers},
            "settings": settings or SETTINGS,
        }  # fmt: skip
        self.process: subprocess.Popen[bytes] | None = None

    def spawn(self) -> subprocess.Popen[bytes]:
        """Start it."""
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config))
        environment = {**os.environ, "ROUTER_CONFIG": str(path), "ROUTER_STATE": str(self.state)}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "juniperward"], cwd=ROOT, env=environment, stderr=subprocess.PIPE
        )
        return self.process

    def start(self) -> None:
        """Start it and wait for its line that says that it serves."""
        process = self.spawn()
        assert process.stderr is not None
        for line in process.stderr:
            if b": serving " in line:
                return
        raise AssertionError("it did not start")

    def kill(self) -> None:
        """Kill it, if it still runs."""
        assert self.process is not None and self.process.stderr is not None
        self.process.kill()
        self.process.wait(WAIT_S)
        self.process.stderr.close()
        self.process = None

    def close(self) -> None:
        if self.process is not None:
            self.kill()
        self.worker.close()
        self.registry.close()


class LineConnection:
    """One connection of an exchange, read line by line."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.buffer = sock, b""
        sock.settimeout(WAIT_S)

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
        if not data:
            raise AssertionError(f"it ended the connection after {self.buffer!r}")
        self.buffer += data


class Player:
    """Plays one exchange."""

    def __init__(self, program: Program) -> None:
        self.program = program
        self.lines: dict[str, LineConnection] = {}
        self.parked: list[socket.socket] = []
        self.moved: list[socket.socket] = []
        self.line: LineConnection | None = None

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
        for sock in [*self.parked, *self.moved, *(line.sock for line in self.lines.values())]:
            sock.close()

    def _step(self, row: str) -> None:
        sign, _, rest = row.partition(" ")
        if sign == "@":
            name, _, who = rest.partition(" ")
            if name not in self.lines:
                self.lines[name] = LineConnection(self._connect(who))
            self.line = self.lines[name]
        elif sign == "!":
            self._signal(rest)
        else:
            assert self.line is not None
            self._exchange(self.line, sign, rest)

    def _exchange(self, line: LineConnection, sign: str, rest: str) -> None:
        if sign == ">":
            line.sock.sendall(_bytes(rest))
        elif sign == "<":
            want = _bytes(rest)
            got = line.take(len(want))
            assert got == want, f"it wrote {got + line.buffer!r}"
        elif sign == "<~":
            got = line.take_line().rstrip(b"\r\n")
            assert re.fullmatch(rest, got.decode("latin-1")), f"it wrote {got!r}"
        elif rest == "end":
            assert not line.buffer and line.sock.recv(1) == b"", "the connection goes on"
        elif rest == "close":
            line.sock.close()
        elif rest == "silent":
            assert not line.buffer and not select.select([line.sock], [], [], 0)[0], "something came"
        else:
            raise AssertionError("not a step")

    def _connect(self, who: str) -> socket.socket:
        if who == "client":
            return socket.create_connection(self.program.address, WAIT_S)
        if who == "worker":
            return self.program.worker.accept()[0]
        letter = who.removeprefix("registry ")[:1].encode()
        until = time.monotonic() + WAIT_S
        while not (found := [s for s in self.parked if s.recv(1, socket.MSG_PEEK) == letter]):
            assert time.monotonic() < until, "no such connection comes"
            self.parked.append(self.program.registry.accept()[0])
            self.parked[-1].settimeout(WAIT_S)
        self.parked.remove(found[0])
        return found[0]

    def _signal(self, what: str) -> None:
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
                self.moved.append(program.registry)
                program.registry = listener()
                program.config["discovery"] = name(program.registry)
            text = what.removeprefix("reload").strip() or json.dumps(program.config)
            (program.folder / "config.json").write_text(text)
            process.send_signal(signal.SIGHUP)
        elif what == "closed":
            until = time.monotonic() + WAIT_S
            try:
                while time.monotonic() < until:
                    socket.create_connection(self.program.address, WAIT_S).close()
            except ConnectionRefusedError:
                return
            raise AssertionError("it still takes connections")
        elif what == "ended":
            assert self.program.process.wait(3.7) == 0, "it did not exit with 0"
            self.program.kill()


def _bytes(text: str) -> bytes:
    data = text.removesuffix("\\").encode("latin-1")
    return data if text.endswith("\\") else data + b"\r\n"


def play(path: Path) -> None:
    """Play a file against a fresh forwarder."""
    with tempfile.TemporaryDirectory() as folder:
        program = Program(Path(folder))
        player = Player(program)
        try:
            program.start()
            player.play(path.read_text())
        finally:
            player.close()
            program.close()
