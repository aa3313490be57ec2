"""Fakes of clients that submit messages through a load balancer, in an open loop.

Messages are scheduled by a Poisson process that does not wait for responses. A deadline counts from the scheduled
time even if the clients submit the message late (`lateness_s`). A message that is rejected or gets no response is
submitted again before its deadline, with a new id and the same idempotency key, after the Retry-After or a backoff.
Each submission and each response is recorded.
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

RESPONSE_TIMEOUT_S = 0.4
MIN_TIME_LEFT_S = 0.05  # A message with less time to its deadline is not submitted.
NO_FORWARDER_PAUSE_S = 0.05
SCHEDULE_POLL_INTERVAL_S = 0.1
ACCEPTED_STATUSES = (200, 202)
INVALID_STATUS = 400  # A message rejected as invalid is not submitted again.
NO_RESPONSE = 0  # The status that is recorded if there is no response.


@dataclass(frozen=True, slots=True)
class Traffic:
    """The messages that the clients send.

    Attributes:
        destinations: Number and weight of each destination.
        accounts: Name and weight of each account.
        max_submissions: The maximum number of submissions per message.
        backoff_s: The mean wait before another submission where the response has no Retry-After.
    """

    rate_per_s: float = 50.0
    destinations: tuple[tuple[int, float], ...] = ((1, 1.0),)
    accounts: tuple[tuple[str, float], ...] = (("valiya-cluster", 1.0),)
    message_class: str = "booking-update"
    deadline_s: float = 20.0
    max_submissions: int = 2
    backoff_s: float = 0.5


@dataclass(frozen=True, slots=True)
class ClientOptions:
    """Options of the clients: the number of threads that submit messages, and the prefix of message ids."""

    threads: int = 48
    id_prefix: str = "c"


DEFAULT_OPTIONS = ClientOptions()


@dataclass(order=True)
class _ScheduledMessage:
    """A message and the time of its next submission, by which messages are ordered.

    Attributes:
        number: The message's number in the run, which orders messages with the same time.
        scheduled_at: The scheduled time of the first submission.
        submissions: The number of submissions so far.
    """

    submit_at: float
    number: int
    first_id: str = field(compare=False)
    account: str = field(compare=False)
    destination: int = field(compare=False)
    scheduled_at: float = field(compare=False)
    expires_at: float = field(compare=False)
    submissions: int = field(compare=False, default=0)

    @property
    def key(self) -> str:
        """The idempotency key, which all submissions of the message share."""
        return f"k{self.first_id}"

    def next_id(self) -> str:
        """Count another submission and return its id."""
        self.submissions += 1
        return self.first_id if self.submissions == 1 else f"{self.first_id}-{self.submissions}"


@dataclass(frozen=True, slots=True)
class _Route:
    """The forwarder chosen for a submission, a connection to it, and the seconds left to the message's deadline."""

    forwarder: str
    connection: ClientConnection
    time_left_s: float


@dataclass(frozen=True, slots=True)
class _Response:
    """The response to a submission; its status is NO_RESPONSE if there was none."""

    status: int
    retry_after_s: float = 0.0


class Clients:
    """Threads that submit messages.

    Attributes:
        done: Set once no message will be submitted again.
        lateness_s: By how many seconds the first submission of each message was late.
    """

    def __init__(
        self,
        traffic: Traffic,
        load_balancer: LoadBalancer,
        recorder: Recorder,
        seed: int,
        options: ClientOptions = DEFAULT_OPTIONS,
    ) -> None:
        """Draw the messages of `traffic` from a seed; `recorder` receives the records of submissions."""
        self.done = threading.Event()
        self.lateness_s: list[float] = []
        self._traffic, self._load_balancer, self._recorder = traffic, load_balancer, recorder
        self._options = options
        self._random = random.Random(seed)
        self._due_messages: queue.SimpleQueue[_ScheduledMessage | None] = queue.SimpleQueue()
        self._changed = threading.Condition()  # Guards _schedule and _unsettled.
        self._schedule: list[_ScheduledMessage] = []  # The scheduled messages, as a heap.
        self._unsettled = 0  # The number of messages that may be submitted again.

    def start(self, seconds: float) -> None:
        """Start to submit the messages of the next `seconds` seconds."""
        self._schedule = self._draw_messages(now(), seconds)
        heapq.heapify(self._schedule)
        self._unsettled = len(self._schedule)
        if not self._unsettled:
            self.done.set()
        threading.Thread(target=self._dispatch, daemon=True).start()
        for _ in range(self._options.threads):
            threading.Thread(target=self._run_thread, daemon=True).start()

    def _draw_messages(self, start_at: float, seconds: float) -> list[_ScheduledMessage]:
        """Return the messages scheduled within `seconds` seconds from `start_at`."""
        traffic = self._traffic
        accounts, account_weights = zip(*traffic.accounts, strict=True)
        destinations, destination_weights = zip(*traffic.destinations, strict=True)
        messages: list[_ScheduledMessage] = []
        at = start_at + self._random.expovariate(traffic.rate_per_s)
        while at < start_at + seconds:
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
        """Pass each message to the threads when it is due; end the threads once all messages are settled."""
        while not self.done.is_set():
            with self._changed:
                message = self._next_message()
            if message is not None:
                self._due_messages.put(message)
        for _ in range(self._options.threads):
            self._due_messages.put(None)

    def _next_message(self) -> _ScheduledMessage | None:
        """Return a message that is due, or wait up to a poll interval for one and return None."""
        wait_s = self._schedule[0].submit_at - now() if self._schedule else SCHEDULE_POLL_INTERVAL_S
        if wait_s > 0:
            self._changed.wait(min(wait_s, SCHEDULE_POLL_INTERVAL_S))
            return None
        return heapq.heappop(self._schedule)

    def _run_thread(self) -> None:
        """Submit messages over connections of this thread, until the queue has the end marker None."""
        connections: dict[str, ClientConnection] = {}
        while (message := self._due_messages.get()) is not None:
            try:
                self._submit(message, connections)
            except Exception:
                self._settle()
                raise
        for connection in connections.values():
            connection.close()

    def _settle(self) -> None:
        """Count a message that is not submitted again; set `done` after the last one."""
        with self._changed:
            self._unsettled -= 1
            if self._unsettled <= 0:
                self.done.set()
                self._changed.notify_all()

    def _submit(self, message: _ScheduledMessage, connections: dict[str, ClientConnection]) -> None:
        """Submit a message once; schedule another submission if the response allows one, else settle it."""
        if message.submissions == 0:
            self.lateness_s.append(now() - message.submit_at)
        route = self._route(message, connections)
        if route is None:
            self._settle()
            return
        response = self._post(message, route, connections)
        is_final = response.status in ACCEPTED_STATUSES or response.status == INVALID_STATUS
        if is_final or message.submissions >= self._traffic.max_submissions:
            self._settle()
            return
        wait_s = response.retry_after_s if response.retry_after_s > 0 else self._draw_backoff()
        message.submit_at = now() + wait_s
        with self._changed:
            heapq.heappush(self._schedule, message)
            self._changed.notify_all()

    def _draw_backoff(self) -> float:
        """Return a random backoff in seconds, from 0.5 to 1.5 times the mean."""
        return self._traffic.backoff_s * (0.5 + self._random.random())

    def _route(self, message: _ScheduledMessage, connections: dict[str, ClientConnection]) -> _Route | None:
        """Return a route to a forwarder that accepts the connection, or None once the deadline is too near.

        As behind a load balancer, a refused connection leads to another forwarder at once and does not count as a
        submission.
        """
        unreachable: frozenset[str] = frozenset()
        while True:
            forwarder = self._load_balancer.choose(unreachable)
            time_left_s = message.expires_at - now()
            if time_left_s <= MIN_TIME_LEFT_S:
                return None
            connection = self._connect(forwarder, connections)
            if connection is not None:
                return _Route(forwarder, connection, time_left_s)
            unreachable |= {forwarder}
            if len(unreachable) >= len(self._load_balancer.forwarders):
                unreachable = frozenset()
                time.sleep(NO_FORWARDER_PAUSE_S)

    def _connect(self, forwarder: str, connections: dict[str, ClientConnection]) -> ClientConnection | None:
        """Return a reused or new connection to a forwarder, or None if it refuses the connection."""
        connection = connections.pop(forwarder, None)
        if connection is not None and not connection.reusable():
            connection.close()
            connection = None
        if connection is None:
            try:
                connection = ClientConnection(self._load_balancer.forwarders[forwarder], RESPONSE_TIMEOUT_S)
            except OSError:
                return None
        connections[forwarder] = connection
        return connection

    def _post(
        self, message: _ScheduledMessage, route: _Route, connections: dict[str, ClientConnection]
    ) -> _Response:
        """Submit a message over a route; record the submission and the response, and return the response."""
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
        response = _Response(NO_RESPONSE)
        close = True
        try:
            http_response = route.connection.submit(submission)
            close = http_response.close
            retry_after_s = float(http_response.headers.get("retry-after", 0.0))
            response = _Response(http_response.status, retry_after_s)
        except CONNECTION_ERRORS:
            pass
        if close:
            route.connection.close()
            connections.pop(route.forwarder, None)
        self._recorder.add(SubmissionAnswered(now(), submission.id, response.status, response.retry_after_s))
        return response
