"""What all baselines share: queues, time-outs, told waits, repeats inside the window.

Baselines are other ways to deliver, written from their public descriptions, behind the scheduler's interface. Each
keeps what binds everybody (told waits, the window of repeats, the message's own time) and differs in how it limits,
spreads and repeats. They are here to be beaten, and to be learned from where they are not.
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

MARGIN_S = 0.02  # kept clear of a deadline and of a window's end
FIRST_BACKOFF_S = 0.2  # doubled with each attempt
MAX_DOUBLINGS = 3
RETRY_AFTER_S = 1.0  # told with a rejection
EPSILON_S = 1e-9


@dataclass(slots=True)
class PendingMessage:
    """A message and its attempts."""

    number: int
    partner: int
    expires: float
    sends: int = 0
    first_ran: float | None = None
    out: bool = False
    not_before: float = 0.0
    last: int = -1


@dataclass(slots=True)
class DestinationQueue:
    """What a baseline keeps of one destination."""

    endpoints: list[int] = field(default_factory=list)
    queue: deque[int] = field(default_factory=deque)
    wait_until: float = 0.0
    out: dict[int, int] = field(default_factory=dict)  # attempts in flight, by endpoint
    rating: float = 0.0
    turn: int = 0
    limit: float = 16.0  # concurrency or rate, as the policy has it
    tokens: float = 1.0
    tokens_at: float = 0.0
    fails: int = 0
    open_until: float = 0.0  # of a circuit breaker
    least: float = math.inf  # latency
    cut_at: float = -math.inf

    @property
    def calls(self) -> int:
        """All attempts in flight."""
        return sum(self.out.values())


class Baseline:
    """Delivers in the order of arrival; what a policy does its own way is overridden."""

    tries = 8
    keeps_on = True  # goes on after a failure

    def __init__(self, settings: SchedulerSettings, seed: int) -> None:
        """Begin with no destination."""
        self.set, self.random = settings, random.Random(seed)
        self.held: dict[int, PendingMessage] = {}
        self.destinations: dict[int, DestinationQueue] = {}
        self.now = 0.0
        self._destination_of: dict[int, int] = {}  # by endpoint
        self._in_flight = 0
        self._due: list[tuple[float, int]] = []
        self._timer_at = math.inf
        self._token = 0

    def handle(self, now: float, events: Iterable[Event]) -> list[Action]:
        """Take in events and return what is to be done, as `DeliveryScheduler.handle`."""
        self.now = now
        actions: list[Action] = []
        for event in events:
            self._take_in(event)
        self._give_up_late(actions)
        for destination in self.destinations.values():
            if destination.queue:
                self._release(destination, actions)
        self._set_timer(actions)
        return actions

    # --- events --------------------------------------------------------------------------------------------

    def _take_in(self, event: Event) -> None:
        match event:
            case EndpointListUpdated():
                self._listed(event)
            case MessageAdmitted():
                self._admitted(event)
            case AttemptFinished():
                self._finished(event)
            case TimerFired():
                self._timer_at = math.inf

    def _listed(self, event: EndpointListUpdated) -> None:
        for entry in event.entries:
            destination = self.destinations.setdefault(entry.destination, DestinationQueue())
            if entry.phase is EndpointPhase.READY and entry.endpoint not in destination.endpoints:
                destination.endpoints.append(entry.endpoint)
                destination.rating = entry.listed_rate
            self._destination_of[entry.endpoint] = entry.destination

    def _admitted(self, event: MessageAdmitted) -> None:
        message = PendingMessage(event.message, event.destination, self.now + event.time_left_s)
        self.held[message.number] = message
        self.destinations.setdefault(message.partner, DestinationQueue()).queue.append(message.number)
        heapq.heappush(self._due, (message.expires - MARGIN_S, message.number))

    def _finished(self, event: AttemptFinished) -> None:
        destination = self.destinations[self._destination_of[event.endpoint]]
        destination.out[event.endpoint] = destination.out.get(event.endpoint, 1) - 1
        self._in_flight -= 1
        if event.retry_after_s > 0:
            destination.wait_until = max(destination.wait_until, self.now + event.retry_after_s)
        self.learn(destination, event)
        message = self.held.get(event.message)
        if message is None:
            return
        message.out = False
        if event.message_ended:
            del self.held[message.number]
            return
        if not event.outcome.never_executed and message.first_ran is None:
            message.first_ran = self.now - event.latency_s
        backoff_s = FIRST_BACKOFF_S * 2 ** min(message.sends - 1, MAX_DOUBLINGS)
        message.not_before = self.now + (backoff_s if self.keeps_on else math.inf)
        destination.queue.append(message.number)

    # --- ends ----------------------------------------------------------------------------------------------

    def _give_up_late(self, actions: list[Action]) -> None:
        while self._due and self._due[0][0] <= self.now + EPSILON_S:
            _, number = heapq.heappop(self._due)
            late = self.held.get(number)
            if late is not None and not late.out and self.now >= late.expires - MARGIN_S - EPSILON_S:
                self._give_up(late, actions)

    def _give_up(self, message: PendingMessage, actions: list[Action]) -> None:
        del self.held[message.number]
        never_ran = message.first_ran is None
        actions.append(Reject(message.number, RETRY_AFTER_S) if never_ran else Fail(message.number))

    def _may_go_on(self, message: PendingMessage) -> bool:
        """Return whether a message may be attempted, now or later."""
        if message.sends >= self.tries or (message.sends and not self.keeps_on):
            return False
        window_s = self.set.classes[0].deduplication_window_s
        return message.first_ran is None or self.now < message.first_ran + window_s - MARGIN_S

    # --- release -------------------------------------------------------------------------------------------

    def _release(self, destination: DestinationQueue, actions: list[Action]) -> None:
        queue = destination.queue
        for _ in range(len(queue)):
            if self._in_flight >= self.set.slots:
                return
            if self.now < max(destination.wait_until, destination.open_until):
                return
            message = self.held.get(queue[0])
            if message is None or message.out:
                queue.popleft()
            elif not self._may_go_on(message):
                queue.popleft()
                self._give_up(message, actions)
            elif message.not_before > self.now:
                queue.rotate(-1)
            elif not self._start(destination, message, actions):
                return

    def _start(self, destination: DestinationQueue, message: PendingMessage, actions: list[Action]) -> bool:
        """Attempt the first message of a queue; return whether the policy lets it go."""
        endpoint = self.choose(destination)
        if endpoint is None or not self.admits(destination):
            return False
        destination.queue.popleft()
        message.out, message.last = True, endpoint
        message.sends += 1
        destination.out[endpoint] = destination.out.get(endpoint, 0) + 1
        self._in_flight += 1
        self.spent(destination)
        actions.append(StartAttempt(message.number, endpoint, max(message.expires - self.now, MARGIN_S)))
        return True

    # --- timer ---------------------------------------------------------------------------------------------

    def _set_timer(self, actions: list[Action]) -> None:
        wake_at = min([self._due[0][0] if self._due else math.inf, *self._release_times()])
        if wake_at < self._timer_at - EPSILON_S:
            self._timer_at = wake_at
            self._token += 1
            actions.append(SetTimer(max(wake_at - self.now, self.set.timer_resolution_s), self._token))

    def _release_times(self) -> list[float]:
        """Return when destinations may let a message go that cannot go now."""
        found = []
        for destination in self.destinations.values():
            if destination.queue:
                head = self.held.get(destination.queue[0])
                not_before = head.not_before if head else 0.0
                ready_at = self.ready_at(destination)
                at = max(destination.wait_until, destination.open_until, not_before, ready_at)
                if at > self.now:
                    found.append(at)
        return found

    # --- what a policy does its own way --------------------------------------------------------------------

    def choose(self, destination: DestinationQueue, /) -> int | None:
        """Return the endpoint for an attempt: here in turn."""
        if not destination.endpoints:
            return None
        destination.turn += 1
        return destination.endpoints[destination.turn % len(destination.endpoints)]

    def admits(self, _destination: DestinationQueue, /) -> bool:
        """Return whether one more attempt may go now."""
        return True

    def ready_at(self, _destination: DestinationQueue, /) -> float:
        """Return when `admits` may say yes by itself."""
        return 0.0

    def spent(self, destination: DestinationQueue, /) -> None:
        """Take in that an attempt goes."""

    def learn(self, destination: DestinationQueue, event: AttemptFinished, /) -> None:
        """Take in how an attempt ended."""
