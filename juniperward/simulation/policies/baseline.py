"""What all baselines share: queues, timeouts, Retry-After, retries within the deduplication window.

Baselines are other ways to deliver, written from their public descriptions, behind the scheduler's interface: events
in, actions out, called by the simulated forwarders. Each respects what binds every policy (Retry-After, the
deduplication window, the message's deadline) and differs in how it limits, spreads and retries. They are here to be
compared with, and to be learned from where they are better.
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

MARGIN_S = 0.02  # before a deadline and before a window's end
FIRST_BACKOFF_S = 0.2  # doubled with each attempt
MAX_DOUBLINGS = 3
RETRY_AFTER_S = 1.0  # of a rejection
EPSILON_S = 1e-9


@dataclass(slots=True)
class QueuedMessage:
    """A message and its attempts; times are those of `handle`'s clock."""

    number: int
    destination: int
    expires_s: float
    attempts: int = 0
    first_executed_s: float | None = None  # when it may first have taken effect
    in_flight: bool = False
    not_before_s: float = 0.0


@dataclass(slots=True)
class DestinationQueue:
    """The state of one destination; the later fields are each for one policy's way to limit."""

    endpoints: list[int] = field(default_factory=list)
    queue: deque[int] = field(default_factory=deque)
    retry_after_until: float = 0.0
    in_flight: dict[int, int] = field(default_factory=dict)  # attempts, by endpoint
    listed_rate_per_s: float = 0.0
    attempts_started: int = 0
    concurrency_limit: float = 16.0
    limit_cut_s: float = -math.inf
    least_latency_s: float = math.inf
    tokens: float = 1.0
    tokens_refilled_s: float = 0.0
    consecutive_failures: int = 0
    circuit_open_until: float = 0.0

    @property
    def total_in_flight(self) -> int:
        """All attempts in flight."""
        return sum(self.in_flight.values())


class Baseline:
    """Delivers in the order of arrival; what a policy does its own way is overridden."""

    max_attempts = 8
    retries = True

    def __init__(self, settings: SchedulerSettings, seed: int) -> None:
        """Begin with no destination."""
        self.settings, self.random = settings, random.Random(seed)
        self.pending: dict[int, QueuedMessage] = {}
        self.destinations: dict[int, DestinationQueue] = {}
        self.now = 0.0
        self._destination_of: dict[int, int] = {}  # by endpoint
        self._in_flight = 0
        self._expiries: list[tuple[float, int]] = []  # a heap of when a message is given up, and its number
        self._timer_at = math.inf
        self._token = 0

    def handle(self, now: float, events: Iterable[Event]) -> list[Action]:
        """Process events and return what is to be done, as `DeliveryScheduler.handle`."""
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
                destination.listed_rate_per_s = entry.listed_rate
            self._destination_of[entry.endpoint] = entry.destination

    def _message_admitted(self, event: MessageAdmitted) -> None:
        message = QueuedMessage(event.message, event.destination, self.now + event.time_left_s)
        self.pending[message.number] = message
        self.destinations.setdefault(message.destination, DestinationQueue()).queue.append(message.number)
        heapq.heappush(self._expiries, (message.expires_s - MARGIN_S, message.number))

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
        return float(FIRST_BACKOFF_S * 2 ** min(message.attempts - 1, MAX_DOUBLINGS))

    # --- messages that end ---------------------------------------------------------------------------------

    def _expire(self, actions: list[Action]) -> None:
        """Give up the messages whose time is over, but for those in flight."""
        while self._expiries and self._expiries[0][0] <= self.now + EPSILON_S:
            _, number = heapq.heappop(self._expiries)
            message = self.pending.get(number)
            if message is None or message.in_flight:
                continue
            if self.now >= message.expires_s - MARGIN_S - EPSILON_S:
                self._give_up(message, actions)

    def _give_up(self, message: QueuedMessage, actions: list[Action]) -> None:
        del self.pending[message.number]
        if message.first_executed_s is None:
            actions.append(Reject(message.number, RETRY_AFTER_S))
        else:
            actions.append(Fail(message.number))

    def _may_attempt(self, message: QueuedMessage) -> bool:
        """Return whether a message may be attempted, now or later."""
        if message.attempts >= self.max_attempts or (message.attempts and not self.retries):
            return False
        if message.first_executed_s is None:
            return True
        window_s = self.settings.classes[0].deduplication_window_s
        return self.now < message.first_executed_s + window_s - MARGIN_S

    # --- release -------------------------------------------------------------------------------------------

    def _release(self, destination: DestinationQueue, actions: list[Action]) -> None:
        """Start attempts of a destination's queue, for as long as slots and the policy allow it."""
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
        """Attempt the first message of a queue; return whether the policy lets it go."""
        endpoint = self.choose_endpoint(destination)
        if endpoint is None or not self.admits(destination):
            return False
        destination.queue.popleft()
        message.in_flight = True
        message.attempts += 1
        destination.in_flight[endpoint] = destination.in_flight.get(endpoint, 0) + 1
        self._in_flight += 1
        self.on_start(destination)
        timeout_s = max(message.expires_s - self.now, MARGIN_S)
        actions.append(StartAttempt(message.number, endpoint, timeout_s))
        return True

    # --- timer ---------------------------------------------------------------------------------------------

    def _set_timer(self, actions: list[Action]) -> None:
        next_expiry = self._expiries[0][0] if self._expiries else math.inf
        wake_at = min([next_expiry, *self._release_times()])
        if wake_at < self._timer_at - EPSILON_S:
            self._timer_at = wake_at
            self._token += 1
            delay_s = max(wake_at - self.now, self.settings.timer_resolution_s)
            actions.append(SetTimer(delay_s, self._token))

    def _release_times(self) -> list[float]:
        """Return when destinations may start an attempt that they cannot start now."""
        times = [self._release_time(queue) for queue in self.destinations.values() if queue.queue]
        return [at for at in times if at > self.now]

    def _release_time(self, destination: DestinationQueue) -> float:
        head = self.pending.get(destination.queue[0])
        not_before_s = head.not_before_s if head else 0.0
        admits_at = self.admits_at(destination)
        return max(destination.retry_after_until, destination.circuit_open_until, not_before_s, admits_at)

    # --- what a policy does its own way --------------------------------------------------------------------

    def choose_endpoint(self, destination: DestinationQueue, /) -> int | None:
        """Return the endpoint for an attempt: here in turn; None for none now."""
        if not destination.endpoints:
            return None
        destination.attempts_started += 1
        return destination.endpoints[destination.attempts_started % len(destination.endpoints)]

    def admits(self, _destination: DestinationQueue, /) -> bool:
        """Return whether one more attempt may start now."""
        return True

    def admits_at(self, _destination: DestinationQueue, /) -> float:
        """Return when `admits` may become true without an event; 0 for now."""
        return 0.0

    def on_start(self, destination: DestinationQueue, /) -> None:
        """Record that an attempt starts."""

    def observe(self, destination: DestinationQueue, event: AttemptFinished, /) -> None:
        """Record how an attempt ended."""
