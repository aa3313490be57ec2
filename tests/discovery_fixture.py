"""A scripted discovery service on loopback, and a forwarder's discovery client run against it.

The client is the real one: `DiscoveryClient` with its sockets, the `Reducer` with the module that spaces its
polls, and the `Loop` with its timers. Only the module's random spread is fixed at its longest, so that each wait
is a worst case.
"""

from __future__ import annotations

import contextlib
import json
import queue
import random
import socket
import threading
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import cast
from unittest import mock

from juniperward.forwarder.discovery_address import ConnectionUse
from juniperward.forwarder.discovery_client import DiscoveryClient
from juniperward.forwarder.effect_executor import EffectExecutor
from juniperward.forwarder.effects import Effect
from juniperward.forwarder.event_queue import EventQueue
from juniperward.forwarder.events import DiscoveryAddressChanged, EndpointsUpdated, Event, WatchLost
from juniperward.forwarder.journal import Journal
from juniperward.forwarder.loop import Loop
from juniperward.forwarder.model import Endpoint
from juniperward.forwarder.reducer import Reducer
from juniperward.forwarder.settings_names import SettingsNames
from juniperward.scheduler.events import EndpointPhase
from tests.helpers import ONCE, settings

NAMES = SettingsNames(("c",), (12.0,), (), ("m2",), ("a",))
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LONGEST_CASE = 30.0  # seconds after which a case counts as never known


def entry(name: str, state: str) -> dict[str, object]:
    return {
        "id": name, "addr": "127.0.0.1:9", "zone": "a", "kind": "m2", "cell": 1,
        "state": state, "weight": 1.0, "started_ms": 0,
    }  # fmt: skip


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def endpoint_list(version: int, full: bool, **states: str) -> bytes:
    """One piece of list news as a chunk; underscores of the names stand for hyphens."""
    servers = [entry(name.replace("_", "-"), state) for name, state in states.items()]
    return chunk(json.dumps({"version": version, "full": full, "servers": servers}).encode() + b"\n")


@dataclass(frozen=True)
class Reply:
    """What the service writes once a call has been read, and whether it then closes; no bytes are silence."""

    data: bytes = b""
    closes: bool = False
    dial_delay: float = 0.0  # seconds by which the connection comes up late


class Unreachable(Enum):
    """How a call fails before it is accepted."""

    REFUSED = "refused"
    BLACKHOLED = "blackholed"  # the accept queue is full: the kernel drops what would open a connection


Call = Reply | Unreachable
DRAIN = endpoint_list(42, False, s_1="Terminating")
SERVES = Reply(HEAD + DRAIN)


class Discovery:
    """Listens at one port and treats one call after another as it is told to by `prepare`."""

    def __init__(self) -> None:
        # Bound and never listening: it keeps the port for this service, and alone it refuses connections.
        self.reservation = self._bound(0)
        self.address: tuple[str, int] = self.reservation.getsockname()
        self.listener: socket.socket | None = None
        self.open: list[socket.socket] = []
        self.requests: queue.Queue[str] = queue.Queue()

    def prepare(self, call: Call) -> None:
        """From now on calls fare like this."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        if call is Unreachable.REFUSED:
            return
        self.listener = listener = self._bound(self.address[1])
        if isinstance(call, Reply):
            listener.listen(8)
            threading.Thread(target=self._answer, args=(listener, call), daemon=True).start()
        else:
            listener.listen(0)
            self.open.append(socket.create_connection(self.address, 5.0))  # fills the queue

    def close(self) -> None:
        for sock in (self.listener, self.reservation, *self.open):
            if sock is not None:
                sock.close()

    def _bound(self, port: int) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(("127.0.0.1", port))
        return sock

    def _answer(self, listener: socket.socket, reply: Reply) -> None:
        with contextlib.suppress(OSError):
            sock, _ = listener.accept()
            self.open.append(sock)
            request = b""
            while b"\r\n\r\n" not in request:
                if not (data := sock.recv(4096)):
                    return
                request += data
            self.requests.put(request.split(b"\r\n")[0].decode())
            sock.sendall(reply.data)
            if reply.closes:
                sock.close()


class LongestWaits(random.Random):
    """The random spread of a wait at its upper end."""

    def uniform(self, a: float, b: float) -> float:
        return max(a, b)


class RecordingReducer(Reducer):
    """Tells when s-1 is known to be drained or gone here."""

    drain_known_at: float | None = None

    def __init__(self, seed: int, longest_waits: bool = True) -> None:
        super().__init__(settings(ONCE, endpoints_polled=True), seed)
        if longest_waits:
            self.scheduler.state.round.random = LongestWaits(seed)
        self.drain_known = threading.Event()

    def reduce(self, now: float, events: Iterable[Event]) -> list[Effect]:
        effects = super().reduce(now, events)
        ready = {
            w.id
            for n, w in self.state.directory.endpoints.items()
            if w.phase is EndpointPhase.READY and n not in self.state.directory.removed
        }
        if "s-1" not in ready and not self.drain_known.is_set():
            self.drain_known_at = time.monotonic()
            self.drain_known.set()
        return effects


class RecordingClient(DiscoveryClient):
    """Notes when each call begins, and opens connections late where the script says so."""

    def __init__(self, forwarder: ScriptedForwarder) -> None:
        super().__init__(forwarder.services[0].address, NAMES, forwarder.post)
        self.forwarder = forwarder
        self.begun_at: list[float] = []
        self.open_at_once = self.address.open_socket
        self.address.open_socket = self.open_late  # type: ignore[method-assign]

    def watch(self, version: int, epoch: int) -> None:
        self.begun_at.append(time.monotonic())
        self.forwarder.call_begins(len(self.begun_at) - 1)
        super().watch(version, epoch)

    def open_late(
        self, use: ConnectionUse, epoch: int | None = None
    ) -> tuple[socket.socket, tuple[str, int]]:
        call = self.forwarder.call(len(self.begun_at) - 1)
        if isinstance(call, Reply) and call.dial_delay:
            threading.Event().wait(call.dial_delay)
        return self.open_at_once(use, epoch)


class ScriptedForwarder:
    """A forwarder's client that makes the calls of a script, then ones that `finally_` answers.

    `move_at` is the number of the call in the midst of which discovery moves to a second service, which answers the
    calls after it.
    """

    def __init__(self, calls: Sequence[Call], finally_: Call = SERVES, move_at: int | None = None) -> None:
        self.calls, self.finally_, self.move_at = calls, finally_, move_at
        self.services = [Discovery()] + ([Discovery()] if move_at is not None else [])
        self.moved_at: float | None = None
        self.over = threading.Event()
        self.reducer = RecordingReducer(1)
        parts = mock.Mock()
        queue = EventQueue()
        self.discovery = RecordingClient(self)
        executor = EffectExecutor(
            cast(Journal, mock.Mock()), parts.server, parts.endpoint_client, self.discovery, queue
        )
        self.loop = Loop(self.reducer, executor, queue)
        self.services[0].prepare(self.call(0))

    def call(self, number: int) -> Call:
        return self.calls[number] if number < len(self.calls) else self.finally_

    def call_begins(self, number: int) -> None:
        """Where the script says so, discovery moves while this call is under way."""
        if number == self.move_at:
            self.services[1].prepare(self.call(number + 1))
            self.moved_at = time.monotonic()
            self.loop.queue.post(DiscoveryAddressChanged(self.services[1].address))

    def post(self, event: Event) -> None:
        """What the registry tells; before the loop hears of a call's end, the next one is prepared."""
        if self.over.is_set():
            return
        if isinstance(event, WatchLost) and event.epoch == self.discovery.address.epoch:
            service = self.services[-1 if self.moved_at is not None else 0]
            service.prepare(self.call(len(self.discovery.begun_at)))
        self.loop.queue.post(event)

    def run(self, seconds: float = LONGEST_CASE) -> bool:
        """Run until the drain of s-1 is known; whether it was in this time."""
        known = (
            Endpoint("s-1", "127.0.0.1", 9, 1, EndpointPhase.READY, 0, 0, 0.0),
            Endpoint("s-2", "127.0.0.1", 9, 1, EndpointPhase.READY, 0, 0, 0.0),
        )
        self.discovery.start()
        self.loop.round([EndpointsUpdated(41, True, known, cached=True)])
        thread = threading.Thread(target=self.loop.run, args=(self.over.is_set,), daemon=True)
        thread.start()
        found = self.reducer.drain_known.wait(seconds)
        self.over.set()
        thread.join(5.0)
        for service in self.services:
            service.close()
        return found
