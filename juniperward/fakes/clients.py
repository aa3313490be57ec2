"""Stand-ins of clients behind a plain front: an open loop that does not wait for answers before it goes on.

Messages are due by a Poisson process; a message's time counts from when it was due, however late the rig was.
A message that is refused, or gets no answer, is handed in again as the protocol page says: with a fresh id, the
same key, after the told wait or a backoff, and only while its own time lasts.
"""

from __future__ import annotations

import heapq
import queue
import random
import socket
import threading
import time
from dataclasses import dataclass, field

from juniperward.fakes.records import Recorder, SubmissionAnswered, Submitted, now
from juniperward.net import sockets
from juniperward.net.http_errors import ConnectionClosedError, IncompleteMessageError, MalformedMessageError
from juniperward.net.http_requests import encode_request
from juniperward.net.http_responses import read_response
from juniperward.net.stream import Stream

ANSWER = 0.4  # seconds that a client waits for an answer
BODY = b"a family of four, gate 3, cluster of the third generation"


@dataclass(frozen=True, slots=True)
class Traffic:
    """What is sent; rates in messages a second, times in seconds."""

    rate: float = 50.0
    destinations: tuple[tuple[int, float], ...] = ((1, 1.0),)  # number and weight
    accounts: tuple[tuple[str, float], ...] = (("valiya-cluster", 1.0),)
    cls: str = "booking-update"
    deadline: float = 20.0
    tries: int = 2  # of one message in all
    backoff: float = 0.5


@dataclass(frozen=True, slots=True)
class ClientOptions:
    """How the clients run: `threads` that hand messages in, and `id_prefix` that begins every message's id."""

    threads: int = 48
    id_prefix: str = "c"


@dataclass(frozen=True, slots=True)
class _Attempt:
    """One attempt to hand a message in: its id, the forwarder it goes to, and its times in seconds."""

    name: str
    forwarder: str
    time_left_s: float  # sent as X-Time-Left
    expires: float  # the message's deadline on the shared monotonic clock


@dataclass(order=True)
class Due:
    """A message to be handed in."""

    at: float
    number: int
    first: str = field(compare=False, default="")
    key: str = field(compare=False, default="")
    account: str = field(compare=False, default="")
    destination: int = field(compare=False, default=0)
    due: float = field(compare=False, default=0.0)
    tried: int = field(compare=False, default=0)


class Front:
    """Spreads clients over the forwarders that say they are ready; learns of changes by looking."""

    def __init__(self, forwarders: dict[str, tuple[str, int]], every: float = 0.1) -> None:
        """Look at the ready pages of `forwarders` every so many seconds."""
        self.forwarders, self.every = forwarders, every
        self.up: tuple[str, ...] = tuple(forwarders)
        self.turn = 0
        self.closed = False

    def start(self) -> None:
        """Begin to look."""
        threading.Thread(target=self._look, daemon=True).start()

    def next(self, avoid: frozenset[str] = frozenset()) -> str:
        """The forwarder for the next message; any of them where none is ready."""
        choice = [n for n in self.up if n not in avoid] or list(self.up) or list(self.forwarders)
        self.turn += 1
        return choice[self.turn % len(choice)]

    def _look(self) -> None:
        """Poll the ready pages until closed."""
        while not self.closed:
            self.up = tuple(n for n, address in self.forwarders.items() if ready(address))
            time.sleep(self.every)


def ready(address: tuple[str, int], patience: float = 0.3) -> bool:
    """Whether a forwarder's ready page says yes."""
    try:
        with socket.create_connection(address, patience) as sock:
            sock.settimeout(patience)
            sock.sendall(encode_request("GET", "/health/ready", "front", {"Connection": "close"}, None))
            return read_response(Stream(sock.recv)).status == 200
    except (OSError, IncompleteMessageError, ConnectionClosedError, MalformedMessageError):
        return False


class Clients:
    """Threads that hand messages in; `lateness` has how late each was written."""

    def __init__(
        self,
        traffic: Traffic,
        front: Front,
        recorder: Recorder,
        seed: int,
        options: ClientOptions = ClientOptions(),
    ) -> None:
        """Draw messages from a seed; `options.id_prefix` begins their ids."""
        self.traffic, self.front, self.recorder = traffic, front, recorder
        self.random, self.name = random.Random(seed), options.id_prefix
        self.threads = options.threads
        self.jobs: queue.SimpleQueue[Due | None] = queue.SimpleQueue()
        self.heap: list[Due] = []
        self.changed = threading.Condition()
        self.stop_at = float("inf")
        self.numbers = 0
        self.lateness: list[float] = []
        self.open = 0  # messages that are not settled for their client
        self.done = threading.Event()

    def start(self, seconds: float) -> None:
        """Send for so long; `done` is set once every message is settled for its client."""
        began = now()
        self.stop_at = began + seconds
        at = began
        while True:
            at += self.random.expovariate(self.traffic.rate)
            if at >= self.stop_at:
                break
            self.numbers += 1
            t = self.traffic
            account = self.random.choices([a for a, _ in t.accounts], [w for _, w in t.accounts])[0]
            destination = self.random.choices([d for d, _ in t.destinations], [w for _, w in t.destinations])[
                0
            ]
            first = f"{self.name}{self.numbers:07d}"
            key = f"k{first}"
            self.heap.append(Due(at, self.numbers, first, key, account, destination, at))
        heapq.heapify(self.heap)
        self.open = len(self.heap)
        if not self.open:
            self.done.set()
        threading.Thread(target=self._schedule, daemon=True).start()
        for _ in range(self.threads):
            threading.Thread(target=self._work, daemon=True).start()

    def _schedule(self) -> None:
        """Hand each message to the threads when it is due; then tell every thread to end."""
        while True:
            with self.changed:
                if not self.heap:
                    if self.done.is_set():
                        break
                    self.changed.wait(0.1)
                    continue
                wait = self.heap[0].at - now()
                if wait > 0:
                    self.changed.wait(min(wait, 0.1))
                    continue
                due = heapq.heappop(self.heap)
            self.jobs.put(due)
        for _ in range(self.threads):
            self.jobs.put(None)

    def _work(self) -> None:
        """One thread: hand in messages over its own connections until told to end."""
        connections: dict[str, tuple[socket.socket, Stream]] = {}
        while (due := self.jobs.get()) is not None:
            try:
                self._hand_in(due, connections)
            except Exception:
                self._settled()
                raise
        for sock, _ in connections.values():
            sock.close()

    def _settled(self) -> None:
        """Count a message as settled for its client; set `done` after the last."""
        with self.changed:
            self.open -= 1
            if self.open <= 0:
                self.done.set()
                self.changed.notify_all()

    def _hand_in(self, due: Due, connections: dict[str, tuple[socket.socket, Stream]]) -> None:
        """Make one attempt of a message; schedule a retry where the answer allows one, else settle it."""
        t = self.traffic
        if due.tried == 0:
            self.lateness.append(now() - due.at)
        refused: frozenset[str] = frozenset()
        expires = due.due + t.deadline
        while True:
            due.tried += 1
            name = due.first if due.tried == 1 else f"{due.first}-{due.tried}"
            forwarder = self.front.next(refused)
            left = expires - now()
            if left <= 0.05:
                break
            link = self._connect(forwarder, connections)
            if link is None:
                # Nobody was there: the front takes another at once, and that is no try of the client's.
                refused |= {forwarder}
                due.tried -= 1
                if len(refused) >= len(self.front.forwarders):
                    refused = frozenset()
                    time.sleep(0.05)
                continue
            status, again = self._post(link, due, _Attempt(name, forwarder, left, expires), connections)
            if status in (200, 202):
                break
            if due.tried >= t.tries or status == 400:
                break
            wait = again if again > 0 else t.backoff * (0.5 + self.random.random())
            due.at = now() + wait
            with self.changed:
                heapq.heappush(self.heap, due)
                self.changed.notify_all()
            return
        self._settled()

    def _connect(
        self, forwarder: str, connections: dict[str, tuple[socket.socket, Stream]]
    ) -> tuple[socket.socket, Stream] | None:
        link = connections.get(forwarder)
        if link is not None:
            if sockets.is_reusable(link[0]):
                return link
            link[0].close()
            del connections[forwarder]
        # Time limits are the kernel's: with one of Python's own, a look without waiting waits for all of it.
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sockets.connect(*self.front.forwarders[forwarder], ANSWER, sock)
        except OSError:
            sock.close()
            return None
        connections[forwarder] = (sock, Stream(sock.recv))
        return connections[forwarder]

    def _post(
        self, link: tuple[socket.socket, Stream], due: Due, attempt: _Attempt,
        connections: dict[str, tuple[socket.socket, Stream]],
    ) -> tuple[int, float]:  # fmt: skip
        """Post one attempt and record it; return the status (0: no answer) and the Retry-After in seconds."""
        t, (sock, stream) = self.traffic, link
        name, forwarder, left, expires = attempt.name, attempt.forwarder, attempt.time_left_s, attempt.expires
        headers = {
            "X-Correlation-Id": name, "X-Service-Class": t.cls, "X-Account": due.account,
            "X-Time-Left": f"{left:.3f}", "X-Addressing": f"dest={due.destination}", "Idempotency-Key": due.key,
        }  # fmt: skip
        at = now()
        self.recorder.add(
            Submitted(
                at, name, due.first, due.key, t.cls, due.account, due.destination, forwarder, due.due, expires
            )
        )
        status, again, close = 0, 0.0, True
        try:
            sockets.set_timeout(sock, socket.SO_RCVTIMEO, ANSWER)
            sock.sendall(encode_request("POST", "/api", "api.internal", headers, BODY))
            answer = read_response(stream)
            status, close = answer.status, answer.close
            again = float(answer.headers.get("retry-after", 0.0))
        except (OSError, IncompleteMessageError, ConnectionClosedError, MalformedMessageError):
            pass
        if close:
            sock.close()
            connections.pop(forwarder, None)
        self.recorder.add(SubmissionAnswered(now(), name, status, again))
        return status, again
