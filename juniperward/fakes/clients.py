"""Fakes of clients behind a load balancer: an open loop that does not wait for answers before it goes on.

In: the traffic to send, and the load balancer that chooses a forwarder. Out: a record of each submission and of its
answer. Messages are scheduled by a Poisson process; a message's time counts from its schedule, however late the
clients were themselves (`lateness_s`). A message that is rejected, or gets no answer, is submitted again as the
protocol page says: with a fresh id, the same key, after the Retry-After or a backoff, and only before its deadline.
"""

from __future__ import annotations

import heapq
import queue
import random
import threading
import time
from dataclasses import dataclass, field

from juniperward.fakes.client_connection import CONNECTION_ERRORS, ClientConnection, Submission
from juniperward.fakes.load_balancer import LoadBalancer
from juniperward.fakes.records import Recorder, SubmissionAnswered, Submitted, now

ANSWER_TIMEOUT_S = 0.4  # that a client waits for an answer
LEAST_TIME_LEFT_S = 0.05  # with less, a message is not submitted any more
NOBODY_READY_PAUSE_S = 0.05
SCHEDULER_POLL_S = 0.1
ACCEPTED = (200, 202)
INVALID = 400  # a client does not submit again what was answered so
NO_ANSWER = 0


@dataclass(frozen=True, slots=True)
class Traffic:
    """What is sent."""

    rate_per_s: float = 50.0
    destinations: tuple[tuple[int, float], ...] = ((1, 1.0),)  # number and weight
    accounts: tuple[tuple[str, float], ...] = (("valiya-cluster", 1.0),)  # name and weight
    message_class: str = "booking-update"
    deadline_s: float = 20.0
    max_submissions: int = 2  # of one message
    backoff_s: float = 0.5


@dataclass(frozen=True, slots=True)
class ClientOptions:
    """How the clients run: `threads` that submit messages, and `id_prefix` that begins every message's id."""

    threads: int = 48
    id_prefix: str = "c"


DEFAULT_OPTIONS = ClientOptions()


@dataclass(order=True)
class _ScheduledMessage:
    """A message that is to be submitted at a moment; ordered by that."""

    submit_at: float
    number: int
    first_id: str = field(compare=False)
    account: str = field(compare=False)
    destination: int = field(compare=False)
    scheduled_at: float = field(compare=False)  # of its first submission
    expires_at: float = field(compare=False)
    submissions: int = field(compare=False, default=0)

    @property
    def key(self) -> str:
        """The idempotency key of all its submissions."""
        return f"k{self.first_id}"

    def next_id(self) -> str:
        """Count a submission and return its id."""
        self.submissions += 1
        return self.first_id if self.submissions == 1 else f"{self.first_id}-{self.submissions}"


@dataclass(frozen=True, slots=True)
class _Route:
    """The forwarder that a submission goes to, and the message's time when it was chosen."""

    forwarder: str
    connection: ClientConnection
    time_left_s: float


@dataclass(frozen=True, slots=True)
class _Answer:
    """The answer to a submission; NO_ANSWER as its status stands for none."""

    status: int
    retry_after_s: float = 0.0


class Clients:
    """Threads that submit messages; `done` is set once every message is settled for its client."""

    def __init__(
        self,
        traffic: Traffic,
        load_balancer: LoadBalancer,
        recorder: Recorder,
        seed: int,
        options: ClientOptions = DEFAULT_OPTIONS,
    ) -> None:
        """Draw messages from a seed; `options.id_prefix` begins their ids."""
        self.done = threading.Event()
        self.lateness_s: list[float] = []  # by which each message's first submission was late
        self._traffic, self._load_balancer, self._recorder = traffic, load_balancer, recorder
        self._options = options
        self._random = random.Random(seed)
        self._jobs: queue.SimpleQueue[_ScheduledMessage | None] = queue.SimpleQueue()
        self._changed = threading.Condition()  # guards the two below
        self._schedule: list[_ScheduledMessage] = []  # a heap
        self._unsettled = 0  # messages

    def start(self, seconds: float) -> None:
        """Send for so long."""
        self._schedule = self._draw_messages(now(), seconds)
        heapq.heapify(self._schedule)
        self._unsettled = len(self._schedule)
        if not self._unsettled:
            self.done.set()
        threading.Thread(target=self._dispatch, daemon=True).start()
        for _ in range(self._options.threads):
            threading.Thread(target=self._work, daemon=True).start()

    def _draw_messages(self, began: float, seconds: float) -> list[_ScheduledMessage]:
        """Return the messages of so many seconds from `began`."""
        traffic = self._traffic
        accounts, account_weights = zip(*traffic.accounts, strict=True)
        destinations, destination_weights = zip(*traffic.destinations, strict=True)
        messages: list[_ScheduledMessage] = []
        at = began + self._random.expovariate(traffic.rate_per_s)
        while at < began + seconds:
            number = len(messages) + 1
            account = self._random.choices(accounts, account_weights)[0]
            destination = self._random.choices(destinations, destination_weights)[0]
            first_id = f"{self._options.id_prefix}{number:07d}"
            messages.append(
                _ScheduledMessage(at, number, first_id, account, destination, at, at + traffic.deadline_s)
            )
            at += self._random.expovariate(traffic.rate_per_s)
        return messages

    def _dispatch(self) -> None:
        """Give each message to the threads at its time; once all are settled, end every thread."""
        while not self.done.is_set():
            with self._changed:
                message = self._next_message()
            if message is not None:
                self._jobs.put(message)
        for _ in range(self._options.threads):
            self._jobs.put(None)

    def _next_message(self) -> _ScheduledMessage | None:
        """Return the next message where its time has come; else wait a little for a change and return None."""
        wait_s = self._schedule[0].submit_at - now() if self._schedule else SCHEDULER_POLL_S
        if wait_s > 0:
            self._changed.wait(min(wait_s, SCHEDULER_POLL_S))
            return None
        return heapq.heappop(self._schedule)

    def _work(self) -> None:
        """One thread: submit messages over its own connections until there are no more."""
        connections: dict[str, ClientConnection] = {}
        while (message := self._jobs.get()) is not None:
            try:
                self._submit(message, connections)
            except Exception:
                self._settle()
                raise
        for connection in connections.values():
            connection.close()

    def _settle(self) -> None:
        """Count a message as settled for its client; set `done` after the last."""
        with self._changed:
            self._unsettled -= 1
            if self._unsettled <= 0:
                self.done.set()
                self._changed.notify_all()

    def _submit(self, message: _ScheduledMessage, connections: dict[str, ClientConnection]) -> None:
        """Submit a message once; schedule another submission where the answer allows one, else settle it."""
        if message.submissions == 0:
            self.lateness_s.append(now() - message.submit_at)
        route = self._route(message, connections)
        if route is None:
            self._settle()
            return
        answer = self._post(message, route, connections)
        is_final = answer.status in ACCEPTED or answer.status == INVALID
        if is_final or message.submissions >= self._traffic.max_submissions:
            self._settle()
            return
        wait_s = answer.retry_after_s if answer.retry_after_s > 0 else self._draw_backoff()
        message.submit_at = now() + wait_s
        with self._changed:
            heapq.heappush(self._schedule, message)
            self._changed.notify_all()

    def _draw_backoff(self) -> float:
        """Return the seconds before another submission where the answer did not say: half to one and a half times."""
        return self._traffic.backoff_s * (0.5 + self._random.random())

    def _route(self, message: _ScheduledMessage, connections: dict[str, ClientConnection]) -> _Route | None:
        """Return a forwarder that could be connected to, or None once the message has no time left.

        Where nobody listens the load balancer takes another at once; that is no submission of the client's.
        """
        unreachable: frozenset[str] = frozenset()
        while True:
            forwarder = self._load_balancer.choose(unreachable)
            time_left_s = message.expires_at - now()
            if time_left_s <= LEAST_TIME_LEFT_S:
                return None
            connection = self._connect(forwarder, connections)
            if connection is not None:
                return _Route(forwarder, connection, time_left_s)
            unreachable |= {forwarder}
            if len(unreachable) >= len(self._load_balancer.forwarders):
                unreachable = frozenset()
                time.sleep(NOBODY_READY_PAUSE_S)

    def _connect(self, forwarder: str, connections: dict[str, ClientConnection]) -> ClientConnection | None:
        """Return the thread's connection to a forwarder, a new one where it has none that is fit; None if refused."""
        connection = connections.pop(forwarder, None)
        if connection is not None and not connection.reusable():
            connection.close()
            connection = None
        if connection is None:
            try:
                connection = ClientConnection(self._load_balancer.forwarders[forwarder], ANSWER_TIMEOUT_S)
            except OSError:
                return None
        connections[forwarder] = connection
        return connection

    def _post(
        self, message: _ScheduledMessage, route: _Route, connections: dict[str, ClientConnection]
    ) -> _Answer:
        """Submit a message over a route, record it and its answer, and return that."""
        message_class = self._traffic.message_class
        submission = Submission(
            message.next_id(), message_class, message.account, message.destination, message.key,
            route.time_left_s,
        )  # fmt: skip
        self._recorder.add(
            Submitted(
                now(), submission.id, message.first_id, message.key, message_class, message.account,
                message.destination, route.forwarder, message.scheduled_at, message.expires_at,
            )
        )  # fmt: skip
        answer = _Answer(NO_ANSWER)
        close = True
        try:
            response = route.connection.submit(submission)
            close = response.close
            answer = _Answer(response.status, float(response.headers.get("retry-after", 0.0)))
        except CONNECTION_ERRORS:
            pass
        if close:
            route.connection.close()
            connections.pop(route.forwarder, None)
        self._recorder.add(SubmissionAnswered(now(), submission.id, answer.status, answer.retry_after_s))
        return answer
