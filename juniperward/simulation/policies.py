"""Baselines: other ways to deliver, written from their public descriptions, behind the decision module's interface.

Each keeps what binds everybody (told waits, the window of repeats, the message's own time) and differs in how it
limits, spreads and repeats. They are here to be beaten, and to be learned from where they are not.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from juniperward.scheduler import DeliveryScheduler
from juniperward.scheduler.actions import Action, Fail, Reject, SetTimer, StartAttempt
from juniperward.scheduler.events import (
    AttemptFinished,
    EndpointListUpdated,
    EndpointPhase,
    Event,
    MessageAdmitted,
    Outcome,
    TimerFired,
)
from juniperward.scheduler.settings import SchedulerSettings
from juniperward.simulation.observation import Observation

MARGIN = 0.02
RETRY = 0.2


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
    out: dict[int, int] = field(default_factory=dict)  # calls out, by endpoint
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
        return sum(self.out.values())


class Baseline:
    """What all baselines share: queues, time-outs, told waits, repeats inside the window."""

    tries = 8
    keeps_on = True  # goes on after a failure

    def __init__(self, settings: SchedulerSettings, seed: int) -> None:
        self.set, self.random = settings, random.Random(seed)
        self.held: dict[int, PendingMessage] = {}
        self.lanes: dict[int, DestinationQueue] = {}
        self.home: dict[int, int] = {}
        self.slots = 0
        self.now = 0.0
        self.due: list[tuple[float, int]] = []
        self.armed = math.inf
        self.token = 0

    def handle(self, now: float, events: Iterable[Event]) -> list[Action]:
        """As `DeliveryScheduler.handle`."""
        self.now = now
        actions: list[Action] = []
        for e in events:
            match e:
                case EndpointListUpdated():
                    for x in e.entries:
                        lane = self.lanes.setdefault(x.destination, DestinationQueue())
                        if x.phase is EndpointPhase.READY and x.endpoint not in lane.endpoints:
                            lane.endpoints.append(x.endpoint)
                            lane.rating = x.listed_rate
                        self.home[x.endpoint] = x.destination
                case MessageAdmitted():
                    m = PendingMessage(e.message, e.destination, now + e.time_left_s)
                    self.held[m.number] = m
                    self.lanes.setdefault(m.partner, DestinationQueue()).queue.append(m.number)
                    heapq.heappush(self.due, (m.expires - MARGIN, m.number))
                case AttemptFinished():
                    self._settled(e)
                case TimerFired():
                    self.armed = math.inf
        while self.due and self.due[0][0] <= now + 1e-9:
            _, number = heapq.heappop(self.due)
            late = self.held.get(number)
            if late is not None and not late.out and now >= late.expires - MARGIN - 1e-9:
                self._give_up(late, actions)
        for partner, lane in self.lanes.items():
            if lane.queue:
                self._release(partner, lane, actions)
        wake = min([self.due[0][0] if self.due else math.inf, *self._wakes()])
        if wake < self.armed - 1e-9:
            self.armed = wake
            self.token += 1
            actions.append(SetTimer(max(wake - now, self.set.timer_resolution_s), self.token))
        return actions

    def _wakes(self) -> list[float]:
        found = []
        for lane in self.lanes.values():
            if lane.queue:
                head = self.held.get(lane.queue[0])
                at = max(
                    lane.wait_until, lane.open_until, head.not_before if head else 0.0, self.ready_at(lane)
                )
                if at > self.now:
                    found.append(at)
        return found

    def _give_up(self, m: PendingMessage, actions: list[Action]) -> None:
        del self.held[m.number]
        actions.append(Reject(m.number, 1.0) if m.first_ran is None else Fail(m.number))

    def _settled(self, e: AttemptFinished) -> None:
        lane = self.lanes[self.home[e.endpoint]]
        lane.out[e.endpoint] = lane.out.get(e.endpoint, 1) - 1
        self.slots -= 1
        if e.retry_after_s > 0:
            lane.wait_until = max(lane.wait_until, self.now + e.retry_after_s)
        self.learn(lane, e)
        m = self.held.get(e.message)
        if m is None:
            return
        m.out = False
        if e.message_ended:
            del self.held[m.number]
            return
        if not e.outcome.never_executed and m.first_ran is None:
            m.first_ran = self.now - e.latency_s
        m.not_before = self.now + (RETRY * 2 ** min(m.sends - 1, 3) if self.keeps_on else math.inf)
        lane.queue.append(m.number)

    def _release(self, partner: int, lane: DestinationQueue, actions: list[Action]) -> None:
        for _ in range(len(lane.queue)):
            if self.slots >= self.set.slots or self.now < max(lane.wait_until, lane.open_until):
                return
            m = self.held.get(lane.queue[0])
            if m is None or m.out:
                lane.queue.popleft()
                continue
            over = (
                m.first_ran is not None
                and self.now >= m.first_ran + self.set.classes[0].deduplication_window_s - MARGIN
            )
            if m.sends >= self.tries or over or (m.sends and not self.keeps_on):
                lane.queue.popleft()
                self._give_up(m, actions)
                continue
            if m.not_before > self.now:
                lane.queue.rotate(-1)
                continue
            endpoint = self.choose(lane, m)
            if endpoint is None or not self.admits(lane):
                return
            lane.queue.popleft()
            m.out, m.last = True, endpoint
            m.sends += 1
            lane.out[endpoint] = lane.out.get(endpoint, 0) + 1
            self.slots += 1
            self.spent(lane)
            actions.append(StartAttempt(m.number, endpoint, max(m.expires - self.now, MARGIN)))

    # --- what a baseline says of its own ------------------------------------------------------------------------

    def choose(self, lane: DestinationQueue, m: PendingMessage) -> int | None:
        """The endpoint for a call: in turn."""
        if not lane.endpoints:
            return None
        lane.turn += 1
        return lane.endpoints[lane.turn % len(lane.endpoints)]

    def admits(self, lane: DestinationQueue) -> bool:
        """Whether one more call may go now."""
        return True

    def ready_at(self, lane: DestinationQueue) -> float:
        """When `admits` may say yes by itself."""
        return 0.0

    def spent(self, lane: DestinationQueue) -> None:
        """A call goes."""

    def learn(self, lane: DestinationQueue, e: AttemptFinished) -> None:
        """A call has ended."""


class NoRetry(Baseline):
    """One try for each message, in the order of arrival."""

    keeps_on = False


class RoundRobin(Baseline):
    """Endpoints in turn, retries with backoff."""


class LeastOutstanding(Baseline):
    """The endpoint with the fewest calls out, behind a circuit breaker: five failures in a row open it for 2 s."""

    def choose(self, lane: DestinationQueue, m: PendingMessage) -> int | None:
        return min(lane.endpoints, key=lambda x: (lane.out.get(x, 0), x), default=None)

    def learn(self, lane: DestinationQueue, e: AttemptFinished) -> None:
        if e.outcome is Outcome.OK:
            lane.fails = 0
        elif e.outcome is not Outcome.OVERLOADED:
            lane.fails += 1
            if lane.fails >= 5:
                lane.open_until = self.now + 2.0
                lane.fails = 4  # half open: one more failure opens it again


class AdditiveIncrease(Baseline):
    """A concurrency limit a destination: one more for each limit's worth of answers, half at a refusal."""

    def admits(self, lane: DestinationQueue) -> bool:
        return lane.calls < lane.limit

    def learn(self, lane: DestinationQueue, e: AttemptFinished) -> None:
        if e.outcome is Outcome.OK:
            lane.limit = min(lane.limit + 1 / max(lane.limit, 1.0), 256.0)
        elif e.outcome is not Outcome.NOT_SENT and self.now - lane.cut_at > 0.1:
            lane.limit, lane.cut_at = max(lane.limit / 2, 1.0), self.now


class Gradient(AdditiveIncrease):
    """The limit follows the ratio of the least latency to the present one, with room for the root of it."""

    def learn(self, lane: DestinationQueue, e: AttemptFinished) -> None:
        if e.outcome is Outcome.OK:
            lane.least = min(lane.least * 1.001, e.latency_s)
            gradient = max(0.5, min(1.0, 2.0 * lane.least / max(e.latency_s, 1e-6)))
            wanted = lane.limit * gradient + math.sqrt(lane.limit)
            lane.limit = min(max(0.9 * lane.limit + 0.1 * wanted, 1.0), 256.0)
        elif self.now - lane.cut_at > 0.1:
            lane.limit, lane.cut_at = max(lane.limit * 0.8, 1.0), self.now


class TokenBucket(Baseline):
    """A queue a destination, calls at its share of the listed rate, a second's worth at once at the most."""

    def _rate(self, lane: DestinationQueue) -> float:
        return lane.rating / max(self.set.instances, 1) if lane.rating else 1000.0

    def admits(self, lane: DestinationQueue) -> bool:
        rate = self._rate(lane)
        lane.tokens = min(lane.tokens + (self.now - lane.tokens_at) * rate, max(rate, 1.0))
        lane.tokens_at = self.now
        return lane.tokens >= 1.0

    def ready_at(self, lane: DestinationQueue) -> float:
        return lane.tokens_at + max(1.0 - lane.tokens, 0.0) / self._rate(lane)

    def spent(self, lane: DestinationQueue) -> None:
        lane.tokens -= 1.0


class Oracle(Baseline):
    """Sees the true state of every partner, but not the future: the top that others are measured against.

    It never sends a call that would be refused, fail or wait at a partner, and spends what a partner takes on
    messages that can still be on time. A policy that `sees` is made with what it sees.
    """

    sees = Observation
    tries = 1000
    poll = 0.02  # seconds between its looks at partners that something waits for

    def __init__(self, settings: SchedulerSettings, seed: int, observation: Observation) -> None:
        super().__init__(settings, seed)
        self.observation = observation
        self.shared: dict[int, tuple[float, int]] = {}  # the call that others may join: its moment, its room

    def _release(self, partner: int, lane: DestinationQueue, actions: list[Action]) -> None:
        aim = self.set.classes[0].deadline_s - self.set.classes[0].latency_objective_s
        held = self.held
        lane.queue = deque(sorted(
            (n for n in lane.queue if n in held and not held[n].out),
            key=lambda n: (held[n].expires - aim < self.now, held[n].expires),
        ))  # fmt: skip
        for n in lane.queue:
            held[n].not_before = 0.0
        super()._release(partner, lane, actions)

    def choose(self, lane: DestinationQueue, m: PendingMessage) -> int | None:
        for endpoint in lane.endpoints:
            at, room = self.shared.get(endpoint, (-1.0, 0))
            if at == self.now and room > 0:
                self.shared[endpoint] = (at, room - 1)
                return endpoint
        for endpoint in sorted(lane.endpoints, key=lambda x: (lane.out.get(x, 0), x)):
            if self.observation.might_serve(endpoint):
                self.shared[endpoint] = (self.now, self.observation.batch(endpoint) - 1)
                return endpoint
        return None

    def ready_at(self, lane: DestinationQueue) -> float:
        return self.now + self.poll


FORMER_NAMES = {"nickelscale": "juniperward"}  # of policies: results on disk and habits have them


def policy_name(name: str) -> str:
    """Return the present name of a policy."""
    return FORMER_NAMES.get(name, name)


POLICIES: dict[str, Callable[..., Any]] = {
    "juniperward": DeliveryScheduler,
    "one-try": NoRetry, "round-robin": RoundRobin, "least-outstanding": LeastOutstanding,
    "aimd": AdditiveIncrease, "gradient": Gradient, "token-bucket": TokenBucket, "oracle": Oracle,
}  # fmt: skip
