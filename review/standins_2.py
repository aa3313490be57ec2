"""Stand-ins for clients, endpoints and the platform, and what the cases 6 to 10 check with them.

They do what `PROTOCOL-juniperward.md` and `DEPLOY-juniperward.md` say. A case starts a forwarder with the `run` line
of the deploy file, records what was sent, answered and run in `record.txt`, and exits with 1 if its rule was broken,
0 if it held, 2 if it could not run.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BAD_CLIENTS = Path(__file__).resolve().parent / "bad_clients_2.py"
CLIENT_WAIT_S = 0.4
# PROTOCOL, 'The rules on sockets': an end is owed 300 ms after the message's time is up, each limit 50 ms longer.
END_SLACK_S = 0.3 + 0.05
SPOILT = b"\x17\x03 this is not an answer\r\n\r\n"


def now() -> float:
    """Return the time of the monotonic clock in seconds."""
    return time.monotonic()


def free_port() -> int:
    """Return a port of 127.0.0.1 that nobody uses."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class CannotRunError(Exception):
    """The case could not run, so that it says nothing about the rule."""


@dataclass
class Message:
    """A message that a client handed in; `accepted` is whether the client heard 202 within its 400 ms."""

    id: str
    key: str
    service: str
    cell: int
    time_left_s: float
    forwarder: str
    sent_at: float
    status: int = 0

    @property
    def accepted(self) -> bool:
        """Whether its client heard that it is taken on."""
        return self.status in (200, 202)


@dataclass
class Call:
    """A call that reached an endpoint, from its last byte on; `answer` is the status written, or how it ended."""

    endpoint: str
    id: str
    key: str
    at: float
    answer: str = ""
    answered_at: float = 0.0


class Request(NamedTuple):
    """An HTTP request."""

    target: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request; raises IncompleteReadError at the end of the connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length") or 0))
    return Request(head[0].split(" ")[1], headers, body)


@dataclass
class World:
    """What the stand-ins of a case share: the settings, and what was sent, answered and run."""

    settings: dict[str, Any]
    seed: int = 1
    began_at: float = field(default_factory=now)
    lines: list[str] = field(default_factory=list)
    messages: dict[str, Message] = field(default_factory=dict)
    calls: dict[str, list[Call]] = field(default_factory=dict)
    ended: dict[str, float] = field(default_factory=dict)
    endpoints: list[Endpoint] = field(default_factory=list)
    processes: list[subprocess.Popen[bytes]] = field(default_factory=list)
    lag_s: float = 0.0

    def __post_init__(self) -> None:
        """Create the random numbers of the case."""
        self.random = random.Random(self.seed)

    def record(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{now() - self.began_at:9.3f} {text}")

    def service(self, name: str) -> dict[str, Any]:
        """Return the class of messages with a name."""
        return next(service for service in self.settings["Services"] if service["Name"] == name)

    async def watch_lag(self) -> None:
        """Measure by how much this process itself is late; the checks allow for it."""
        while True:
            at = now()
            await asyncio.sleep(0.01)
            self.lag_s = max(self.lag_s, now() - at - 0.01)


@dataclass
class Endpoint:
    """An endpoint: it serves each call in `service_s`, and drops repeats of a key within the window of the class.

    Where `is_spoilt` says so, the call runs and its answer is `spoilt`, on a connection that stays open.
    """

    world: World
    id: str
    cell: int
    service_s: tuple[float, float] = (0.17, 0.3)
    is_spoilt: Callable[[], bool] = bool
    spoilt: bytes = SPOILT
    port: int = 0

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(server.sockets[0].getsockname()[1])

    def entry(self) -> dict[str, Any]:
        """Return the endpoint's entry in discovery's list."""
        return {
            "id": self.id, "addr": f"127.0.0.1:{self.port}", "zone": "z", "kind": "partners", "cell": self.cell,
            "state": "Ready", "weight": 200.0, "started_ms": 0,
        }  # fmt: skip

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                request = await read_request(reader)
                if not await self._answers(request, reader, writer):
                    break
        writer.close()

    async def _answers(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Run a call and answer it; return False if its connection has ended meanwhile."""
        world = self.world
        call = Call(
            self.id, request.headers["x-correlation-id"], request.headers.get("idempotency-key", ""), now()
        )
        world.calls.setdefault(call.id, []).append(call)
        world.record(f"call {call.id} at {self.id}")
        await asyncio.sleep(world.random.uniform(*self.service_s))
        if reader.at_eof() or writer.is_closing():
            call.answer = "connection ended"
        elif self.is_spoilt():
            call.answer = "spoilt"
            writer.write(self.spoilt)
        else:
            call.answer = "200"
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            world.ended.setdefault(call.id, now())
        call.answered_at = now()
        world.record(f"answer {call.id} by {self.id}: {call.answer}")
        await writer.drain()
        return call.answer != "connection ended"


class Platform:
    """Discovery and the receiver of notices, on one address."""

    def __init__(self, world: World) -> None:
        """Serve the endpoints of a world."""
        self.world = world
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(server.sockets[0].getsockname()[1])

    def endpoint_list(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"version": 41, "full": True, "servers": [each.entry() for each in self.world.endpoints]}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                request = await read_request(reader)
                if request.target == "/status":
                    self._take_notices(request.body)
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                elif "follow=1" in request.target:
                    await self._stream(writer)
                else:
                    data = json.dumps(self.endpoint_list()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(data), data))
                await writer.drain()
        writer.close()

    def _take_notices(self, body: bytes) -> None:
        for line in body.splitlines():
            notice = json.loads(line)
            self.world.ended.setdefault(notice["id"], now())
            self.world.record(f"notice {notice['id']}: {notice['status']}")

    async def _stream(self, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        data = json.dumps(self.endpoint_list()).encode() + b"\n"
        while True:
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(2.0)
            data = b"\n"


class Forwarder:
    """A forwarder, started as the platform does it."""

    def __init__(self, world: World, platform: Platform, folder: Path, limits: dict[str, Any]) -> None:
        """Prepare its folders and its address."""
        self.world, self.platform, self.folder, self.limits = world, platform, folder, limits
        self.port = free_port()
        for name in ("state", "tmp"):
            (folder / name).mkdir()
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """The id of its process."""
        assert self.process is not None
        return self.process.pid

    def write_config(self) -> None:
        """Write the file that ROUTER_CONFIG names."""
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.platform.port}",
            "seed": f"{self.world.random.getrandbits(64):016x}",
            "limits": self.limits,
            "known": self.platform.endpoint_list(),
            "settings": self.world.settings,
        }
        new = self.folder / "config.new"
        new.write_text(json.dumps(config))
        new.replace(self.folder / "config.json")

    async def start(self) -> None:
        """Start the process by the `run` line and wait until it is ready."""
        self.write_config()
        environment = {name: text for name, text in os.environ.items() if not name.startswith("ROUTER_")}
        environment |= {
            "ROUTER_NAME": "n0",
            "ROUTER_LISTEN": f"127.0.0.1:{self.port}",
            "ROUTER_DISCOVERY": f"127.0.0.1:{self.platform.port}",
            "ROUTER_STATE": str(self.folder / "state"),
            "ROUTER_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder / "tmp"),
        }
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.world.processes.append(self.process)
        until = now() + 30
        while now() < until and self.process.poll() is None:
            if await self._is_ready():
                self.world.record("the forwarder is ready")
                return
            await asyncio.sleep(0.02)
        problem = "the forwarder did not get ready"
        raise CannotRunError(problem)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        writer.write(b"GET /health/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        line = b""
        with contextlib.suppress(OSError):
            line = await reader.readline()
        writer.close()
        return b" 200 " in line

    async def kill_and_start(self) -> None:
        """Restart it as the platform does: SIGKILL alone, and the next start 0.6 s later."""
        assert self.process is not None
        self.world.record("SIGKILL to the forwarder")
        self.process.kill()
        self.process.wait()
        await asyncio.sleep(0.6)
        await self.start()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the program that `run` started."""
        assert self.process is not None
        self.world.record(f"{number.name} to the forwarder")
        self.process.send_signal(number)

    def memory_mb(self) -> float:
        """Return the resident memory of the process in MB of 1,024 KiB, 0 if it has ended."""
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0


class Clients:
    """Clients of a forwarder: they keep their connections and open further ones when all are busy."""

    def __init__(self, world: World, forwarder: Forwarder) -> None:
        """Hand messages in to a forwarder."""
        self.world, self.forwarder = world, forwarder
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def hand_in(self, service: str, cell: int, time_left_s: float) -> None:
        """Hand in a message in the background."""
        world = self.world
        message = Message(
            f"{world.random.getrandbits(64):016x}",
            f"{world.random.getrandbits(128):032x}",
            service, cell, time_left_s, "n0", now(),
        )  # fmt: skip
        world.messages[message.id] = message
        task = asyncio.ensure_future(self._send(message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, message: Message) -> None:
        try:
            await asyncio.wait_for(self._exchange(message), CLIENT_WAIT_S)
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
            self.world.record(f"no answer to {message.id}: {type(error).__name__}")

    async def _exchange(self, message: Message) -> None:
        world = self.world
        if self._idle:
            reader, writer = self._idle.pop()
        else:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.forwarder.port)
        keeps = False
        try:
            body = message.id.encode() * 8
            head = (
                f"POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {message.id}\r\n"
                f"X-Service-Class: {message.service}\r\nX-Account: acme\r\nX-Time-Left: {message.time_left_s:.3f}\r\n"
                f"Idempotency-Key: {message.key}\r\nContent-Length: {len(body)}\r\n"
                f"X-Addressing: dest={message.cell}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            message.sent_at = now()
            world.record(
                f"sent {message.id} {message.service} dest={message.cell} for {message.time_left_s} s"
            )
            answer = (await reader.readuntil(b"\r\n\r\n")).lower()
            message.status = int(answer.split(b" ", 2)[1])
            world.record(f"answered {message.id}: {message.status}")
            keeps = b"connection: close" not in answer and b"content-length: 0" in answer
        finally:
            if keeps:
                self._idle.append((reader, writer))
            else:
                writer.close()


def start_bad_clients(
    world: World, forwarder: Forwarder, kind: str, connections: int, seconds: float
) -> None:
    """Start a process of bad clients; see `bad_clients_2.py`."""
    world.record(f"{connections} bad clients ({kind}) for {seconds} s")
    command = [sys.executable, str(BAD_CLIENTS), str(forwarder.port), str(connections), str(seconds), kind]
    world.processes.append(subprocess.Popen(command))


def lost(world: World) -> list[str]:
    """Return the messages that were taken on and not ended 300 ms (50 ms longer) after their time was up."""
    broken = []
    for message in world.messages.values():
        limit = message.sent_at + message.time_left_s + END_SLACK_S + world.lag_s
        ended_at = world.ended.get(message.id, now())
        if message.accepted and ended_at > limit:
            how = "ended" if message.id in world.ended else "has no end after"
            broken.append(f"lost: {message.id} {how} {ended_at - limit:.3f} s past the limit")
    return broken


def base_settings(services: list[dict[str, Any]], slots: int, max_open: int) -> dict[str, Any]:
    """Return the settings of a small deployment with these classes."""
    return {
        "Clients": {"MarksRetry": True},
        "FailureDomains": ["z"],
        "Family": "deliver",
        "Instances": 1,
        "Invariants": {
            "AnswerSlackMs": 20.0, "ColdShare": 0.18, "DrainGraceMs": 250.0, "FallMs": 3000.0, "FallMultiple": 2.0,
            "MustAskInMs": 10000.0, "WarmWithinMs": 10000.0,
        },
        "Kinds": ["partners"],
        "Limits": {
            "Cancel": True, "DialTimeoutMs": 1000.0, "KeepaliveMs": 10000.0, "MaxAttempts": 8, "MaxOpen": max_open,
            "MaxRetryAfterMs": 2000.0, "MayDuplicate": False, "Peers": False, "Probing": False, "RetryAfter": True,
            "StreamsPerConn": 1,
        },
        "Me": 0,
        "MembershipMode": "on_request",
        "OverShareWorth": 0.05,
        "Reporting": {"Fields": [], "Via": "silent"},
        "ResolutionMs": 5.0,
        "Services": services,
        "Specifics": {
            "BatchByKind": [1], "LosesWorth": "even", "MaxCalls": slots, "RefusedPrice": 0.0, "RoutesApart": [False],
            "Toll": [0.0],
        },
        "Tenants": [{"Name": "acme", "QuotaPerS": 200.0, "Share": 1.0}],
        "Weights": "nominal",
        "Zone": 0,
    }  # fmt: skip


def run_case(
    name: str, world: World, limits: dict[str, Any], case: Callable[[World, Forwarder], Awaitable[list[str]]]
) -> None:
    """Run a case, write `record.txt` in its folder, end all processes, and exit."""
    try:
        broken = asyncio.run(_run(world, limits, case))
        status = 1 if broken else 0
        verdict = broken or ["held"]
    except Exception as error:
        status, verdict = 2, [f"could not run: {type(error).__name__}: {error}"]
    finally:
        for process in world.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
    heads = [f"trouble: {TROUBLE}; this process itself was late by up to {world.lag_s:.3f} s", *verdict, ""]
    (Path(__file__).parent / name / "record.txt").write_text("\n".join(heads + world.lines) + "\n")
    print(f"case {name}, trouble {TROUBLE}: {len(verdict)} x {verdict[0]}")
    sys.exit(status)


async def _run(
    world: World, limits: dict[str, Any], case: Callable[[World, Forwarder], Awaitable[list[str]]]
) -> list[str]:
    # Connections that are open at the end are not worth a line each.
    asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
    platform = Platform(world)
    await platform.start()
    lag = asyncio.ensure_future(world.watch_lag())
    with tempfile.TemporaryDirectory() as folder:
        forwarder = Forwarder(world, platform, Path(folder), limits)
        for endpoint in world.endpoints:
            await endpoint.start()
        try:
            return await case(world, forwarder)
        finally:
            lag.cancel()
            for process in world.processes:
                if process.poll() is None:
                    process.kill()
                process.wait()
