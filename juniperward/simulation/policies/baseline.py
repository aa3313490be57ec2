"""Base class of the baselines: queues, timeouts, Retry-After, and retries within the deduplication window.

Baselines are known delivery algorithms behind the scheduler's interface, for comparison with the scheduler.
All of them respect Retry-After, the deduplication window and the deadline of a message. They differ in how
they limit load, choose endpoints and retry.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from juniperward.scheduler.actions import Action, Fail, Reject, SetTimer, StartAttempt
from juniperward.scheduler.events import (
    AttemptFinished,
    EndpointListUpdated,
    EndpointPhase,
    Event,
    MessageAdmitted,
    TimerFired,
)
from juniperward.scheduler.settings import SchedulerSettings

# The time kept in reserve before a deadline and before the end of a deduplication window.
SAFETY_MARGIN_S = 0.02
INITIAL_BACKOFF_S = 0.2  # The backoff doubles with each attempt, up to MAX_BACKOFF_DOUBLINGS times.
MAX_BACKOFF_DOUBLINGS = 3
REJECTION_RETRY_AFTER_S = 1.0
TIME_TOLERANCE_S = 1e-9


@dataclass(slots=True)
class QueuedMessage:
    """A message and the state of its attempts; times are in seconds on the clock of `handle`."""

    number: int
    destination: int
    expires_s: float
    attempts: int = 0
    # The earliest time at which an attempt may have taken effect.
    first_executed_s: float | None = None
    in_flight: bool = False
    not_before_s: float = 0.0


@dataclass(slots=True)
class DestinationQueue:
    """The state of one destination.

    The fields from `concurrency_limit` on are each used by one kind of policy only.

    Attributes:
        queue: numbers of the messages that wait, in order.
        in_flight: the number of attempts in flight, by endpoint number.

    """

    endpoints: list[int] = field(default_factory=list)
    queue: deque[int] = field(default_factory=deque)
    retry_after_until: float = 0.0
    in_flight: dict[int, int] = field(default_factory=dict)
    listed_rate_per_s: float = 0.0
    attempts_started: int = 0
    concurrency_limit: float = 16.0
    limit_reduced_s: float = -math.inf
    min_latency_s: float = math.inf
    tokens: float = 1.0
    tokens_refilled_s: float = 0.0
    consecutive_failures: int = 0
    circuit_open_until: float = 0.0

    @property
    def total_in_flight(self) -> int:
        """The number of attempts in flight at all endpoints."""
        return sum(self.in_flight.values())


class Baseline:
    """Delivers messages in the order of arrival; subclasses limit load and choose endpoints."""

    max_attempts = 8
    retries = True

    def __init__(self, settings: SchedulerSettings, seed: int) -> None:
        """Start without destinations and messages; `seed` is that of the policy's random choices."""
        self.settings, self.random = settings, random.Random(seed)
        self.pending: dict[int, QueuedMessage] = {}
        self.destinations: dict[int, DestinationQueue] = {}
        self.now = 0.0
        self._destination_of: dict[int, int] = {}  # The number of the destination of each endpoint.
        self._in_flight = 0
        # A heap of pairs: the time to give up a message, and its number.
        self._expiries: list[tuple[float, int]] = []
        self._timer_at = math.inf
        self._token = 0

    def handle(self, now: float, events: Iterable[Event]) -> list[Action]:
        """Process `events` and return the resulting actions, like `DeliveryScheduler.handle`."""
        self.now = now
        actions: list[Action] = []
        for event in events:
            self._process(event)
        self._expire(actions)
        for destination in self.destinations.values():
            if destination.queue:
                self._release(destination, actions)
        self._set_timer(actions)
        return actions

    # --- events --------------------------------------------------------------------------------------------

    def _process(self, event: Event) -> None:
        match event:
            case EndpointListUpdated():
                self._endpoints_listed(event)
            case MessageAdmitted():
                self._message_admitted(event)
            case AttemptFinished():
                self._attempt_finished(event)
            case TimerFired():
                self._timer_at = math.inf

    def _endpoints_listed(self, event: EndpointListUpdated) -> None:
        for entry in event.entries:
            destination = self.destinations.setdefault(entry.destination, DestinationQueue())
            if entry.phase is EndpointPhase.READY and entry.endpoint not in destination.endpoints:
                destination.endpoints.append(entry.endpoint)
                destination.listed_rate_per_s = entry.listed_rate_per_s
            self._destination_of[entry.endpoint] = entry.destination

    def _message_admitted(self, event: MessageAdmitted) -> None:
        message = QueuedMessage(event.message, event.destination, self.now + event.time_left_s)
        self.pending[message.number] = message
        self.destinations.setdefault(message.destination, DestinationQueue()).queue.append(message.number)
        heapq.heappush(self._expiries, (message.expires_s - SAFETY_MARGIN_S, message.number))

    def _attempt_finished(self, event: AttemptFinished) -> None:
        destination = self.destinations[self._destination_of[event.endpoint]]
        destination.in_flight[event.endpoint] = destination.in_flight.get(event.endpoint, 1) - 1
        self._in_flight -= 1
        if event.retry_after_s > 0:
            until = self.now + event.retry_after_s
            destination.retry_after_until = max(destination.retry_after_until, until)
        self.observe(destination, event)
        message = self.pending.get(event.message)
        if message is None:
            return
        message.in_flight = False
        if event.message_ended:
            del self.pending[message.number]
            return
        if not event.outcome.never_executed and message.first_executed_s is None:
            message.first_executed_s = self.now - event.latency_s
        message.not_before_s = self.now + self._backoff_s(message)
        destination.queue.append(message.number)

    def _backoff_s(self, message: QueuedMessage) -> float:
        if not self.retries:
            return math.inf
        return float(INITIAL_BACKOFF_S * 2 ** min(message.attempts - 1, MAX_BACKOFF_DOUBLINGS))

    # --- expiry --------------------------------------------------------------------------------------------

    def _expire(self, actions: list[Action]) -> None:
        """Give up the messages that are close to their deadline and not in flight."""
        while self._expiries and self._expiries[0][0] <= self.now + TIME_TOLERANCE_S:
            _, number = heapq.heappop(self._expiries)
            message = self.pending.get(number)
            if message is None or message.in_flight:
                continue
            if self.now >= message.expires_s - SAFETY_MARGIN_S - TIME_TOLERANCE_S:
                self._give_up(message, actions)

    def _give_up(self, message: QueuedMessage, actions: list[Action]) -> None:
        del self.pending[message.number]
        if message.first_executed_s is None:
            actions.append(Reject(message.number, REJECTION_RETRY_AFTER_S))
        else:
            actions.append(Fail(message.number))

    def _may_attempt(self, message: QueuedMessage) -> bool:
        """Return whether another attempt of the message is allowed, now or after its backoff."""
        if message.attempts >= self.max_attempts or (message.attempts and not self.retries):
            return False
        if message.first_executed_s is None:
            return True
        window_s = self.settings.classes[0].deduplication_window_s
        return self.now < message.first_executed_s + window_s - SAFETY_MARGIN_S

    # --- release -------------------------------------------------------------------------------------------

    def _release(self, destination: DestinationQueue, actions: list[Action]) -> None:
        """Start attempts for the messages in a destination's queue while slots and the policy allow it."""
        queue = destination.queue
        for _ in range(len(queue)):
            if self._in_flight >= self.settings.slots:
                return
            if self.now < max(destination.retry_after_until, destination.circuit_open_until):
                return
            message = self.pending.get(queue[0])
            if message is None or message.in_flight:
                queue.popleft()
            elif not self._may_attempt(message):
                queue.popleft()
                self._give_up(message, actions)
            elif message.not_before_s > self.now:
                queue.rotate(-1)
            elif not self._start(destination, message, actions):
                return

    def _start(self, destination: DestinationQueue, message: QueuedMessage, actions: list[Action]) -> bool:
        """Attempt the first message of the queue if the policy admits it; return whether it did."""
        endpoint = self.choose_endpoint(destination)
        if endpoint is None or not self.admits(destination):
            return False
        destination.queue.popleft()
        message.in_flight = True
        message.attempts += 1
        destination.in_flight[endpoint] = destination.in_flight.get(endpoint, 0) + 1
        self._in_flight += 1
        self.on_start(destination)
        timeout_s = max(message.expires_s - self.now, SAFETY_MARGIN_S)
        actions.append(StartAttempt(message.number, endpoint, timeout_s))
        return True

    # --- timer ---------------------------------------------------------------------------------------------

    def _set_timer(self, actions: list[Action]) -> None:
        next_expiry = self._expiries[0][0] if self._expiries else math.inf
        wake_at = min([next_expiry, *self._release_times()])
        if wake_at < self._timer_at - TIME_TOLERANCE_S:
            self._timer_at = wake_at
            self._token += 1
            delay_s = max(wake_at - self.now, self.settings.timer_resolution_s)
            actions.append(SetTimer(delay_s, self._token))

    def _release_times(self) -> list[float]:
        """Return the future times at which destinations may start an attempt that has to wait now."""
        times = [self._release_time(queue) for queue in self.destinations.values() if queue.queue]
        return [at for at in times if at > self.now]

    def _release_time(self, destination: DestinationQueue) -> float:
        head = self.pending.get(destination.queue[0])
        not_before_s = head.not_before_s if head else 0.0
        admits_at = self.admits_at(destination)
        return max(destination.retry_after_until, destination.circuit_open_until, not_before_s, admits_at)

    # --- overridden by policies ----------------------------------------------------------------------------

    def choose_endpoint(self, destination: DestinationQueue, /) -> int | None:
        """Return the endpoint for the next attempt, by default in turn; None if no endpoint is available."""
        if not destination.endpoints:
            return None
        destination.attempts_started += 1
        return destination.endpoints[destination.attempts_started % len(destination.endpoints)]

    def admits(self, _destination: DestinationQueue, /) -> bool:
        """Return whether another attempt to the destination may start now."""
        return True

    def admits_at(self, _destination: DestinationQueue, /) -> float:
        """Return the time at which `admits` may become true without an event; 0 means now."""
        return 0.0

    def on_start(self, destination: DestinationQueue, /) -> None:
        """Record the start of an attempt."""

    def observe(self, destination: DestinationQueue, event: AttemptFinished, /) -> None:
        """Record the outcome of an attempt."""
