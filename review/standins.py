"""Small stand-ins for the platform, endpoints and clients of a forwarder; standard library only.

They follow the operators' protocol page. All of them run on one asyncio loop in the process of a test; the forwarder
runs as a process of its own, started with the `run` line of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
CLIENT_WAIT_S = 0.4  # A client awaits its answer for this time, then closes the connection.
READY_TIMEOUT_S = 30.0
FORWARDER_PORTS = (20_000, 32_000)
HEARTBEAT_S = 2.0


class CannotRunError(Exception):
    """The case cannot run, because of the state of its forwarder; its script exits with 2."""

    def __init__(self, forwarder: str, state: str, log: str) -> None:
        """Name the forwarder and its state, and add the end of its log."""
        super().__init__(f"{forwarder}: {state}: {log}")


def free_port() -> int:
    """Return a free port of the loopback interface, below those that the system gives to outgoing connections.

    A forwarder needs its port again after a restart, so no connection may get it meanwhile.
    """
    while True:
        port = random.randrange(*FORWARDER_PORTS)
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind((HOST, port))
            return port


def now() -> float:
    """Return the time of the clock that all records use, in seconds."""
    return time.monotonic()


class Record:
    """The file `record.txt`: one JSON object a line, with the seconds since the start of the test."""

    def __init__(self, path: Path) -> None:
        """Begin an empty record."""
        self._file = path.open("w", encoding="utf-8")
        self.began_at = now()

    def add(self, what: str, **fields: Any) -> None:
        """Write a line."""
        row = {"t": round(now() - self.began_at, 4), "what": what, **fields}
        self._file.write(json.dumps(row) + "\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclass
class Request:
    """A request with its body; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, or None at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(" ", 2)
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def response(status: int, headers: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in (headers or {}).items())]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Platform:
    """Discovery and the receiver of notices, at one address."""

    def __init__(self, record: Record, endpoints: list[dict[str, Any]]) -> None:
        """Serve a list of endpoints that does not change."""
        self.record, self.endpoints = record, endpoints
        self.port = 0
        self.notices: dict[str, list[tuple[float, str]]] = {}  # by id: when, and the status

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def known(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"version": 1, "full": True, "servers": self.endpoints}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while request := await read_request(reader):
                if request.method == "POST" and request.target == "/status":
                    for line in request.body.splitlines():
                        row = json.loads(line)
                        self.notices.setdefault(row["id"], []).append((now(), row["status"]))
                        self.record.add("notice", id=row["id"], status=row["status"])
                    writer.write(response(204))
                elif request.target.startswith("/registry/instances?follow=1"):
                    await self._watch(writer)
                else:
                    body = json.dumps(self.known()).encode()
                    writer.write(response(200, {"Content-Type": "application/json"}, body))
        writer.close()

    async def _watch(self, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        line = json.dumps(self.known()).encode() + b"\n"
        while not writer.is_closing():
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))
            await writer.drain()
            line = b"\n"
            await asyncio.sleep(HEARTBEAT_S)


@dataclass
class Run:
    """One message that an endpoint has run."""

    at: float
    id: str
    body: bytes
    endpoint: str


# Decides how an endpoint answers a call: waits as it needs to, and returns a status.
Behaviour = Callable[["Endpoint", Request], Awaitable[int]]


class Endpoint:
    """An endpoint that runs each message once its call has arrived, and answers 200 after its service time."""

    def __init__(self, record: Record, name: str, runs: list[Run], service_s: float = 0.05) -> None:
        """Add what is run to `runs`."""
        self.record, self.name, self.runs, self.service_s = record, name, runs, service_s
        self.port = 0
        self.behaviour: Behaviour | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def entry(self, destination: int, kind: str, zone: str, weight: float = 1000.0) -> dict[str, Any]:
        """Return this endpoint's entry in discovery's list."""
        return {
            "id": self.name, "addr": f"{HOST}:{self.port}", "zone": zone, "kind": kind,
            "cell": destination, "state": "Ready", "weight": weight, "started_ms": 0,
        }  # fmt: skip

    def run(self, message_id: str, body: bytes) -> None:
        """Run a message."""
        self.runs.append(Run(now(), message_id, body, self.name))
        self.record.add("run", id=message_id, endpoint=self.name, body=body.decode("latin-1")[:60])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while request := await read_request(reader):
                if request.method == "GET":  # a probe
                    writer.write(response(200))
                elif self.behaviour is not None:
                    status = await self.behaviour(self, request)
                    writer.write(response(status))
                else:
                    await self._answer(request, writer)
        writer.close()

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        body = b""
        if request.target == "/receive-many":
            rows = json.loads(request.body)
            for row in rows:
                self.run(row["id"], base64.b64decode(row["body"]))
            body = json.dumps([{"id": row["id"], "state": "ok"} for row in rows]).encode()
        else:
            self.run(request.headers["x-correlation-id"], request.body)
        await asyncio.sleep(self.service_s)
        writer.write(response(200, None, body))


@dataclass
class Message:
    """What a client wants delivered once; each handing in has an id of its own."""

    body: bytes
    destination: int
    service_class: str
    account: str
    time_left_s: float
    key: str | None = None
    handed_in: list[HandingIn] = field(default_factory=list)


@dataclass
class HandingIn:
    """One handing in of a message, and its answer: a status, 0 for none within 400 ms, -1 for a broken connection."""

    id: str
    sent_at: float
    status: int = 0
    retry_after_s: float = 0.0
    written: bool = False
    connection: int = 0  # the number of the connection that carried it last


class Connection:
    """A client's connection, which carries one request at a time."""

    last_number = 0

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Use an open connection."""
        self.reader, self.writer = reader, writer
        Connection.last_number += 1
        self.number = Connection.last_number

    async def exchange(self, data: bytes, wait_s: float) -> tuple[int, dict[str, str]]:
        """Send a request; return the answer's status and headers, (0, {}) for none in time, (-1, {}) if it broke."""
        try:
            self.writer.write(data)
            answer = await asyncio.wait_for(self._answer(), wait_s)
        except TimeoutError:
            return 0, {}
        except (ConnectionError, OSError):
            return -1, {}
        return answer or (-1, {})

    async def _answer(self) -> tuple[int, dict[str, str]] | None:
        head = await read_head(self.reader)
        if head is None:
            return None
        first, headers = head
        try:
            await self.reader.readexactly(int(headers.get("content-length", "0")))
        except asyncio.IncompleteReadError:
            return None
        return int(first.split(" ")[1]), headers

    @property
    def usable(self) -> bool:
        """Whether the connection has not been closed."""
        return not self.reader.at_eof() and not self.writer.is_closing()

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


class Clients:
    """Usual clients: they keep their connections, use the one that rested last, and open one when all are busy."""

    def __init__(self, record: Record, port: int) -> None:
        """Hand messages in at a port."""
        self.record, self.port = record, port
        self.resting: list[Connection] = []
        self._last_id = 0

    async def hand_in(self, message: Message, repeat: str | None = None) -> HandingIn:
        """Hand a message in under a fresh id, and return the answer."""
        self._last_id += 1
        handing_in = HandingIn(f"{os.getpid():08x}{self._last_id:08x}", now())
        message.handed_in.append(handing_in)
        data = self.encode(message, handing_in.id, repeat)
        for _ in range(
            2
        ):  # A close that crosses the request is followed by one more try on a new connection.
            connection = await self._connect(fresh=_ == 1)
            if connection is None:
                handing_in.status = -1
                break
            handing_in.written = True
            handing_in.connection = connection.number
            status, headers = await connection.exchange(data, CLIENT_WAIT_S)
            handing_in.status = status
            if status > 0 and headers.get("connection", "").lower() != "close" and connection.usable:
                self.resting.append(connection)
            else:
                connection.close()
            if status > 0:
                handing_in.retry_after_s = float(headers.get("retry-after", "0"))
            if status != -1:
                break
        self.record.add(
            "handed in", id=handing_in.id, body=message.body.decode("latin-1")[:60], status=handing_in.status,
            took=round(now() - handing_in.sent_at, 4), repeat=repeat, connection=handing_in.connection,
        )  # fmt: skip
        return handing_in

    async def _connect(self, fresh: bool) -> Connection | None:
        while self.resting and not fresh:
            connection = self.resting.pop()
            if connection.usable:
                return connection
            connection.close()
        try:
            return Connection(*await asyncio.open_connection(HOST, self.port))
        except OSError:
            return None

    @staticmethod
    def written(message: Message) -> bool:
        """Return whether the request of the latest handing in has been written."""
        return bool(message.handed_in) and message.handed_in[-1].written

    @staticmethod
    def encode(message: Message, message_id: str, repeat: str | None) -> bytes:
        """Return the request that hands a message in under an id."""
        lines = [
            "POST /api HTTP/1.1",
            "Host: api.internal",
            f"X-Correlation-Id: {message_id}",
            f"X-Service-Class: {message.service_class}",
            f"X-Account: {message.account}",
            f"X-Time-Left: {message.time_left_s:.3f}",
            f"X-Addressing: dest={message.destination}",
            f"Content-Length: {len(message.body)}",
        ]
        if message.key is not None:
            lines.append(f"Idempotency-Key: {message.key}")
        if repeat is not None:
            lines.append(f"X-Repeat: {repeat}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + message.body


class Forwarder:
    """One forwarder, started as the platform does: by the `run` line, with the environment of the DEPLOY page."""

    def __init__(self, record: Record, name: str, folder: Path, platform_port: int) -> None:
        """Prepare a forwarder whose state lasts in a folder of the test."""
        self.record, self.name, self.platform_port = record, name, platform_port
        self.port = free_port()
        self.state, self.temporary = folder / f"{name}.state", folder / f"{name}.tmp"
        self.config, self.log = folder / f"{name}.json", folder / f"{name}.log"
        self.state.mkdir()
        self.temporary.mkdir()
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(
        self,
        settings: dict[str, Any],
        limits: dict[str, Any],
        known: dict[str, Any],
        operator: dict[str, Any] | None = None,
    ) -> None:
        """Write the configuration file; `operator` are keys that an operator's own file adds."""
        document = {
            "name": self.name, "listen": f"{HOST}:{self.port}", "discovery": f"{HOST}:{self.platform_port}",
            "seed": os.urandom(8).hex(), "limits": limits, "known": known, "settings": settings, **(operator or {}),
        }  # fmt: skip
        self.config.write_text(json.dumps(document), encoding="utf-8")

    def start(self) -> None:
        """Start the process; `/bin/sh` becomes the forwarder by the `exec` of the `run` line."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(self.temporary),
            "PYTHONDONTWRITEBYTECODE": "1",
            "ROUTER_NAME": self.name,
            "ROUTER_LISTEN": f"{HOST}:{self.port}",
            "ROUTER_DISCOVERY": f"{HOST}:{self.platform_port}",
            "ROUTER_STATE": str(self.state),
            "ROUTER_CONFIG": str(self.config),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log, start_new_session=True,
            )  # fmt: skip
        self.record.add("forwarder started", name=self.name)

    async def wait_ready(self) -> None:
        """Wait until `GET /health/ready` answers 200; raises CannotRunError after 30 s."""
        until = now() + READY_TIMEOUT_S
        while now() < until:
            with contextlib.suppress(OSError):
                connection = Connection(*await asyncio.open_connection(HOST, self.port))
                data = b"GET /health/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                status, _ = await connection.exchange(data, 1.0)
                connection.close()
                if status == 200:
                    self.record.add("forwarder ready", name=self.name)
                    return
            await asyncio.sleep(0.02)
        raise CannotRunError(self.name, "unready", self.log_end(500))

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.add("signal", name=self.name, signal=number.name)
        self.process.send_signal(number)

    async def wait_end(self, timeout_s: float) -> int | None:
        """Wait until the process has ended; return its exit code, or None at the time limit."""
        assert self.process is not None
        until = now() + timeout_s
        while now() < until:
            code = self.process.poll()
            if code is not None:
                self.record.add("forwarder ended", name=self.name, code=code)
                return code
            await asyncio.sleep(0.02)
        return None

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def log_end(self, characters: int = 4000) -> str:
        """Return the end of the log."""
        return self.log.read_text(errors="replace")[-characters:]


def run_case(case: Callable[[Record, Path, bool], Coroutine[Any, Any, bool]], folder: Path) -> int:
    """Run a case; return the exit code of its script: 0 if the rule held, 1 if it was broken, 2 if it cannot run.

    `case` gets the record, a temporary folder, and whether the disruption happens; it returns whether the rule held.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("case", trouble=trouble)
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            held = asyncio.run(case(record, Path(temporary), trouble))
    except (CannotRunError, OSError) as error:
        record.add("cannot run", error=str(error))
        print(f"cannot run: {error}")
        return 2
    finally:
        record.close()
    print("the rule held" if held else "the rule was broken")
    return 0 if held else 1
