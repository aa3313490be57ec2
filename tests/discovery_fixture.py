"""A scripted discovery service on loopback, and a forwarder's discovery client that runs against it."""

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
from tests.helpers import NON_IDEMPOTENT, settings

NAMES = SettingsNames(("c",), (12.0,), (), ("m2",), ("a",))
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CASE_TIMEOUT_S = 30.0


def server_entry(name: str, state: str) -> dict[str, object]:
    """Return an entry of an endpoint list."""
    return {
        "id": name, "addr": "127.0.0.1:9", "zone": "a", "kind": "m2", "cell": 1,
        "state": state, "weight": 1.0, "started_ms": 0,
    }  # fmt: skip


def chunk(data: bytes) -> bytes:
    """Return data as a chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def endpoint_list(version: int, full: bool, **states: str) -> bytes:
    """Return an update of the endpoint list as a chunk; underscores in names become hyphens."""
    servers = [server_entry(name.replace("_", "-"), state) for name, state in states.items()]
    return chunk(json.dumps({"version": version, "full": full, "servers": servers}).encode() + b"\n")


@dataclass(frozen=True)
class Reply:
    """The service accepts a connection, reads a request and sends `data`.

    Attributes:
        data: What is sent; empty for no answer.
        closes: Whether the connection is closed afterwards.
        dial_delay_s: By how much the connection is established late.

    """

    data: bytes = b""
    closes: bool = False
    dial_delay_s: float = 0.0


class Unreachable(Enum):
    """Why a connection to the service fails."""

    REFUSED = "refused"
    BLACKHOLED = "blackholed"  # The accept queue is full, so the kernel drops connection requests.


Behavior = Reply | Unreachable
DRAIN_UPDATE = endpoint_list(42, False, s_1="Terminating")
SEND_DRAIN = Reply(HEAD + DRAIN_UPDATE)


class DiscoveryService:
    """A service on one port whose behavior for the next connection is set with `prepare`."""

    def __init__(self) -> None:
        # Bound but never listening: it reserves the port, and connections are refused while nothing listens.
        self.reservation = self._bound(0)
        self.address: tuple[str, int] = self.reservation.getsockname()
        self.listener: socket.socket | None = None
        self.open: list[socket.socket] = []
        self.requests: queue.Queue[str] = queue.Queue()

    def prepare(self, behavior: Behavior) -> None:
        """Set the behavior for the next connection."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        if behavior is Unreachable.REFUSED:
            return
        self.listener = listener = self._bound(self.address[1])
        if isinstance(behavior, Reply):
            listener.listen(8)
            threading.Thread(target=self._answer, args=(listener, behavior), daemon=True).start()
        else:
            listener.listen(0)
            # One connection fills the accept queue.
            self.open.append(socket.create_connection(self.address, 5.0))

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
    """Random numbers at the upper end of their range."""

    def uniform(self, a: float, b: float) -> float:
        return max(a, b)


class RecordingReducer(Reducer):
    """Records when the reducer learns that s-1 is draining or removed; by default all random waits are maximal."""

    drain_known_at: float | None = None

    def __init__(self, seed: int, longest_waits: bool = True) -> None:
        super().__init__(settings(NON_IDEMPOTENT, endpoints_polled=True), seed)
        if longest_waits:
            self.scheduler.state.round.random = LongestWaits(seed)
        self.drain_known = threading.Event()

    def reduce(self, now: float, events: Iterable[Event]) -> list[Effect]:
        effects = super().reduce(now, events)
        ready = {
            endpoint.id
            for number, endpoint in self.state.directory.endpoints.items()
            if endpoint.phase is EndpointPhase.READY and number not in self.state.directory.removed
        }
        if "s-1" not in ready and not self.drain_known.is_set():
            self.drain_known_at = time.monotonic()
            self.drain_known.set()
        return effects


class RecordingClient(DiscoveryClient):
    """Records when each watch starts, and delays its connection as scripted."""

    def __init__(self, forwarder: ScriptedForwarder) -> None:
        super().__init__(forwarder.services[0].address, NAMES, forwarder.post)
        self.forwarder = forwarder
        self.watch_started_at: list[float] = []
        self.open_undelayed = self.address.open_socket
        self.address.open_socket = self.open_delayed  # type: ignore[method-assign]

    def watch(self, version: int, epoch: int) -> None:
        self.watch_started_at.append(time.monotonic())
        self.forwarder.on_watch(len(self.watch_started_at) - 1)
        super().watch(version, epoch)

    def open_delayed(
        self, use: ConnectionUse, epoch: int | None = None
    ) -> tuple[socket.socket, tuple[str, int]]:
        behavior = self.forwarder.behavior(len(self.watch_started_at) - 1)
        if isinstance(behavior, Reply) and behavior.dial_delay_s:
            threading.Event().wait(behavior.dial_delay_s)
        return self.open_undelayed(use, epoch)


class ScriptedForwarder:
    """A forwarder whose watches meet the scripted behaviors in turn, and then always `last_behavior`.

    During the watch with the number `move_at_watch`, discovery's address changes to that of a second service, which
    serves the later watches.
    """

    def __init__(
        self,
        behaviors: Sequence[Behavior],
        last_behavior: Behavior = SEND_DRAIN,
        move_at_watch: int | None = None,
    ) -> None:
        self.behaviors, self.last_behavior, self.move_at_watch = behaviors, last_behavior, move_at_watch
        self.services = [DiscoveryService()] + ([DiscoveryService()] if move_at_watch is not None else [])
        self.address_changed_at: float | None = None
        self.stopped = threading.Event()
        self.reducer = RecordingReducer(1)
        parts = mock.Mock()
        queue = EventQueue()
        self.discovery = RecordingClient(self)
        executor = EffectExecutor(
            cast(Journal, mock.Mock()), parts.server, parts.endpoint_client, self.discovery, queue
        )
        self.loop = Loop(self.reducer, executor, queue)
        self.services[0].prepare(self.behavior(0))

    def behavior(self, number: int) -> Behavior:
        """Return the behavior that the watch with this number meets."""
        return self.behaviors[number] if number < len(self.behaviors) else self.last_behavior

    def on_watch(self, number: int) -> None:
        """Change discovery's address during this watch if the script says so."""
        if number == self.move_at_watch:
            self.services[1].prepare(self.behavior(number + 1))
            self.address_changed_at = time.monotonic()
            self.loop.queue.post(DiscoveryAddressChanged(self.services[1].address))

    def post(self, event: Event) -> None:
        """Pass an event of the discovery client to the loop; when a watch ends, first prepare the next behavior."""
        if self.stopped.is_set():
            return
        if isinstance(event, WatchLost) and event.epoch == self.discovery.address.epoch:
            service = self.services[-1 if self.address_changed_at is not None else 0]
            service.prepare(self.behavior(len(self.discovery.watch_started_at)))
        self.loop.queue.post(event)

    def run(self, timeout_s: float = CASE_TIMEOUT_S) -> bool:
        """Run until the reducer knows that s-1 is draining; return whether that was within the time limit."""
        known = (
            Endpoint("s-1", "127.0.0.1", 9, 1, EndpointPhase.READY, 0, 0, 0.0),
            Endpoint("s-2", "127.0.0.1", 9, 1, EndpointPhase.READY, 0, 0, 0.0),
        )
        self.discovery.start()
        self.loop.round([EndpointsUpdated(41, True, known, cached=True)])
        thread = threading.Thread(target=self.loop.run, args=(self.stopped.is_set,), daemon=True)
        thread.start()
        found = self.reducer.drain_known.wait(timeout_s)
        self.stopped.set()
        thread.join(5.0)
        for service in self.services:
            service.close()
        return found
