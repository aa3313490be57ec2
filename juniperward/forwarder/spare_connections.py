"""Opens connections ahead of calls to endpoints whose connections come up late; each of them carries one call.

A call occupies a slot while its connection is opened. Where that takes long, connections are opened meanwhile by one
thread, without blocking, as many as calls lately needed. Where connections come up at once nothing is opened ahead,
so that endpoints, which hold only so many connections, have none without a call.
"""

from __future__ import annotations

import errno
import select
import socket
import threading
import time
from collections import deque
from dataclasses import dataclass, field

from juniperward.forwarder.telemetry import increment, record_peak, report_fault
from juniperward.net import sockets
from juniperward.net.sockets import IdleState

# A connection that takes longer than this to come up is late.
LATE_S = 0.05
# Connections are opened ahead for this time after a late one.
LATE_MEMORY_S = 10.0
# As many connections are opened ahead as calls were made within this time, and one more.
DEMAND_SPAN_S = 0.3
# A connection without a call is closed after this fraction of the endpoints' keepalive time.
MAX_IDLE_KEEPALIVE_FRACTION = 0.5
CHECK_INTERVAL_S = 0.1
OPENED_EVENTS = select.EPOLLOUT | select.EPOLLONESHOT

Address = tuple[str, int]


@dataclass(slots=True)
class _Opening:
    """A connection that is being opened."""

    sock: socket.socket
    endpoint: int
    address: Address
    began_at: float


@dataclass(slots=True)
class _Spare:
    """An open connection without a call."""

    sock: socket.socket
    address: Address
    close_at: float


@dataclass(slots=True)
class _Endpoint:
    """What is known of an endpoint: until when connections are opened ahead, its recent calls, its spares."""

    late_until: float = 0.0
    calls: deque[float] = field(default_factory=deque)
    spares: deque[_Spare] = field(default_factory=deque)
    opening: int = 0


class SpareConnections:
    """Connections without a call, by endpoint; safe to call from any thread."""

    def __init__(self, max_connections: int, dial_timeout_s: float, keepalive_s: float) -> None:
        """Hold up to `max_connections`, open or being opened, to all endpoints together."""
        self.max_connections = max_connections
        self._dial_timeout_s = dial_timeout_s
        self._max_idle_s = MAX_IDLE_KEEPALIVE_FRACTION * keepalive_s
        self._lock = threading.Lock()
        self._endpoints: dict[int, _Endpoint] = {}
        self._openings: dict[int, _Opening] = {}  # By descriptor.
        self._count = 0
        self._epoll: select.epoll | None = None

    def record_dial(self, endpoint: int, seconds: float) -> None:
        """Record how long a connection took to come up, or how long it was awaited in vain."""
        if seconds >= LATE_S:
            with self._lock:
                state = self._endpoints.setdefault(endpoint, _Endpoint())
                state.late_until = time.monotonic() + LATE_MEMORY_S

    def take(self, endpoint: int, address: Address) -> socket.socket | None:
        """Return a connection for a call, None if there is none; open others if connections come up late."""
        if endpoint not in self._endpoints:
            return None
        now = time.monotonic()
        with self._lock:
            state = self._endpoints.get(endpoint)
            if state is None:
                return None
            state.calls.append(now)
            sock = self._pop(state, address, now)
            self._open_ahead(state, endpoint, address, now)
        if sock is not None:
            increment("spare_connections_used")
        return sock

    def close(self, endpoint: int) -> None:
        """Close the spare connections to an endpoint that takes no more calls, and forget what is known of it."""
        with self._lock:
            state = self._endpoints.pop(endpoint, None)
            for spare in state.spares if state is not None else ():
                self._close(spare.sock)

    def _pop(self, state: _Endpoint, address: Address, now: float) -> socket.socket | None:
        """Return the newest usable connection, and close those that are not usable."""
        while state.spares:
            spare = state.spares.pop()
            is_usable = spare.address == address and now < spare.close_at
            # What an endpoint has sent by now is no answer, and the call looks at it before it is written.
            if is_usable and sockets.idle_state(spare.sock) is not IdleState.ENDED:
                self._count -= 1
                return spare.sock
            self._close(spare.sock)
        return None

    def _close(self, sock: socket.socket) -> None:
        sock.close()
        self._count -= 1

    def _open_ahead(self, state: _Endpoint, endpoint: int, address: Address, now: float) -> None:
        while state.calls and state.calls[0] < now - DEMAND_SPAN_S:
            state.calls.popleft()
        if now >= state.late_until:
            return
        wanted = len(state.calls) + 1 - len(state.spares) - state.opening
        for _ in range(min(wanted, self.max_connections - self._count)):
            if not self._begin_opening(state, endpoint, address, now):
                return

    def _begin_opening(self, state: _Endpoint, endpoint: int, address: Address, now: float) -> bool:
        """Begin to open a connection; return whether that worked."""
        try:
            epoll = self._ensure_thread()
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except (OSError, RuntimeError):
            return False
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if sock.connect_ex(address) not in (0, errno.EINPROGRESS):
            sock.close()
            return False
        state.opening += 1
        self._count += 1
        record_peak("spare_connections", self._count)
        self._openings[sock.fileno()] = _Opening(sock, endpoint, address, now)
        epoll.register(sock.fileno(), OPENED_EVENTS)
        return True

    def _ensure_thread(self) -> select.epoll:
        """Return the epoll object of the thread, which is started if it does not run."""
        if self._epoll is None:
            epoll = select.epoll()
            threading.Thread(target=self._run, args=(epoll,), name="spare_connections", daemon=True).start()
            self._epoll = epoll
        return self._epoll

    # Called on the thread:

    def _run(self, epoll: select.epoll) -> None:
        """Complete openings and close what is out of date, until there is nothing left."""
        while True:
            try:
                ready = epoll.poll(CHECK_INTERVAL_S)
                with self._lock:
                    for descriptor, _ in ready:
                        self._complete(descriptor)
                    self._close_expired(time.monotonic())
                    if not self._count:
                        self._epoll = None
                        epoll.close()
                        return
            except Exception as error:
                report_fault("spare_connections", error)
                time.sleep(CHECK_INTERVAL_S)

    def _complete(self, descriptor: int) -> None:
        """Keep a connection that has come up, or drop one that has failed; the caller holds the lock."""
        opening = self._openings.get(descriptor)
        if opening is None:
            return
        now = time.monotonic()
        state = self._end_opening(descriptor, opening, now)
        failed = opening.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if failed or state is None:
            self._close(opening.sock)
            return
        opening.sock.setblocking(True)
        sockets.set_timeout(opening.sock, socket.SO_SNDTIMEO, self._dial_timeout_s)
        increment("connections_opened")
        state.spares.append(_Spare(opening.sock, opening.address, now + self._max_idle_s))

    def _end_opening(self, descriptor: int, opening: _Opening, now: float) -> _Endpoint | None:
        """Remove an opening, and return the state of its endpoint if that is still known."""
        del self._openings[descriptor]
        state = self._endpoints.get(opening.endpoint)
        if state is not None:
            state.opening -= 1
            if now - opening.began_at >= LATE_S:
                state.late_until = now + LATE_MEMORY_S
        return state

    def _close_expired(self, now: float) -> None:
        """Close openings that took too long and connections without a call; the caller holds the lock."""
        for descriptor, opening in list(self._openings.items()):
            if now >= opening.began_at + self._dial_timeout_s:
                self._end_opening(descriptor, opening, now)
                self._close(opening.sock)
        for endpoint, state in list(self._endpoints.items()):
            while state.spares and state.spares[0].close_at <= now:
                self._close(state.spares.popleft().sock)
            if state.late_until <= now and not state.spares and not state.opening:
                del self._endpoints[endpoint]
