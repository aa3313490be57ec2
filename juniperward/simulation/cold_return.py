"""One destination that goes away and comes back cold, and a whole fleet of `DeliveryScheduler`s that deliver to it.

Small on purpose: one destination, no clients that come again, no restarts. It answers one question, by which rule 4
is judged: how many calls does the destination get in each span while it warms up, and from whom. Input: a case, the
number of forwarders and a seed; output: a `ColdReturnResult`. The destination is not made to fall, so that the load
of a whole return is seen also after the first span over the bound. Times are in seconds, rates in calls a second.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from juniperward.scheduler import DeliveryScheduler
from juniperward.scheduler.actions import (
    CancelAttempt,
    Fail,
    Reject,
    SetTimer,
    StartAttempt,
    StartHealthCheck,
)
from juniperward.scheduler.events import (
    AttemptFinished,
    EndpointEntry,
    EndpointListUpdated,
    EndpointPhase,
    Event,
    HealthCheckFinished,
    ListScope,
    MessageAdmitted,
    Outcome,
    TimerFired,
)
from juniperward.scheduler.settings import DestinationKind, Idempotency, MessageClass, SchedulerSettings
from juniperward.simulation.cold_budget import ColdBudget
from juniperward.simulation.cold_cases import ColdCase, ColdReturnResult, Outage, Span

NETWORK_S = 0.002
ANSWER_S = 0.001  # that a refusal or an error takes at the destination
SERVICE_S = 0.06
SERVICE_SLOWEST = 10.0  # times its usual time at which a cold destination serves at the most
RATING_OFF = 0.2
DESTINATION = 1
CAPACITIES = (6.0, 12.0, 25.0, 40.0)
ENDPOINTS = (1, 2, 3)
BEFORE_S = (6.0, 14.0)  # range of the time before the outage
OUTAGE_S = (4.0, 12.0)
COLD_SHARE, WARM_WITHIN_S, FALL_MULTIPLE, FALL_SPAN_S = (
    0.18,
    10.0,
    2.0,
    3.0,
)  # as WIRE-juniperward.md shows them


@dataclass(slots=True)
class Message:
    """A message on its way: when it came, and how many attempts were made."""

    came_s: float
    attempts: int = 0


@dataclass(slots=True)
class SimulatedCall:
    """A call out: its messages with their attempt numbers; no message means a probe."""

    forwarder: Forwarder
    endpoint: int
    sent_s: float
    members: list[tuple[int, int]]
    over: bool = False


@dataclass(slots=True, eq=False)
class Forwarder:
    """A decision module and what the world keeps for it."""

    scheduler: DeliveryScheduler
    notified: bool = False
    messages: dict[int, Message] = field(default_factory=dict)
    out: dict[tuple[int, int], SimulatedCall] = field(default_factory=dict)


class ColdReturn:
    """One run; `run` gives its result."""

    def __init__(
        self,
        case: ColdCase,
        forwarders: int,
        seed: int,
        make: Callable[[SchedulerSettings, int], DeliveryScheduler] = DeliveryScheduler,
    ) -> None:
        """Draw the day from the seed; `make` makes a forwarder's scheduler."""
        self.case = case
        self.random = random.Random(f"{case.name} {forwarders} {seed}")
        self.result = ColdReturnResult(case, forwarders, seed)
        self._draw_day(forwarders)
        self.forwarders = [
            Forwarder(make(self.settings, self.random.getrandbits(31))) for _ in range(forwarders)
        ]
        skew = 1.2 if case.uneven else 0.0
        self.weights = [1.0 / (n + 1) ** skew for n in range(forwarders)]
        self.now = 0.0
        self.serial = self.message = 0
        self.heap: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.lately: deque[tuple[float, bool]] = (
            deque()
        )  # calls that it got cold: when, whether by one notified
        self.before: deque[float] = deque()  # calls that it got in the outage
        self.limited: deque[float] = deque()  # calls of the last second that count against its limit
        self.hung: list[SimulatedCall] = []
        self.worth = 0.0

    def _draw_day(self, forwarders: int) -> None:
        """Sizes and times, from the seed alone."""
        case, draw = self.case, self.random
        self.capacity = self.result.capacity = draw.choice(CAPACITIES)
        self.limit = self.capacity / draw.uniform(1.15, 1.6)  # `spare` of BENCH-juniperward.md
        self.listed_rate = self.limit * draw.uniform(1.0 / (1.0 + RATING_OFF), 1.0 + RATING_OFF)
        self.rate = self.limit * draw.uniform(0.5, 0.9)
        self.begins = draw.uniform(*BEFORE_S)
        self.returns = self.begins + draw.uniform(*OUTAGE_S)
        self.endpoints = draw.choice(ENDPOINTS)
        effect = Idempotency.NON_IDEMPOTENT if case.probing else Idempotency.IDEMPOTENCY_KEY
        self.settings = SchedulerSettings(
            (MessageClass(3.0, 12.0, effect, 1.0, 0.3, deduplication_window_s=12.0),),
            slots=24,
            max_open=300,
            kinds=(DestinationKind(case.batch),),
            instances=forwarders,
            max_attempts=8,
            max_retry_after_s=2.0,
            cancellation=True,
            answer_slack_s=0.02,
            rates_listed=case.listed,
            listed_rate_error=RATING_OFF if case.listed else 0.0,
            health_checks=case.probing,
            cold_capacity_share=COLD_SHARE,
            warm_up_s=WARM_WITHIN_S,
            overload_multiple=FALL_MULTIPLE,
            overload_span_s=FALL_SPAN_S,
        )
        self.budget = ColdBudget.of(self.settings, self.capacity)
        self.ends = self.returns + self.settings.warm_up_s

    def run(self) -> ColdReturnResult:
        """From the start to the end of the ramp."""
        rating = self.listed_rate if self.case.listed else 0.0
        entries = tuple(
            EndpointEntry(n, DESTINATION, EndpointPhase.READY, 0, 0, rating) for n in range(self.endpoints)
        )
        for forwarder in self.forwarders:
            self._handle(forwarder, [EndpointListUpdated(ListScope.FULL, entries)])
        self._at(self.returns, self._return)
        self._at(0.0, self._arrive)
        heap = self.heap
        while heap and heap[0][0] < self.ends:
            self.now, _, act, arguments = heapq.heappop(heap)
            act(*arguments)
        self.result.worth = self.worth / max(self.result.offered, 1)
        return self.result

    def _at(self, when: float, act: Callable[..., None], *arguments: object) -> None:
        self.serial += 1
        heapq.heappush(self.heap, (when, self.serial, act, arguments))

    @property
    def away(self) -> bool:
        """Whether the outage lasts."""
        return self.begins <= self.now < self.returns

    # --- traffic ------------------------------------------------------------------------------------------------

    def _arrive(self) -> None:
        """The next message or clump, and the moment of the one after it."""
        clump = 12 if self.case.clumps and self.random.random() < 0.04 else 1
        mean_clump = 1.0 + 0.04 * 11 if self.case.clumps else 1.0
        self._at(self.now + self.random.expovariate(self.rate / mean_clump), self._arrive)
        number = self.random.choices(range(len(self.forwarders)), self.weights)[0]
        if self.case.half_see and number % 2 and self.away:
            return
        forwarder = self.forwarders[number]
        arrived: list[Event] = []
        for _ in range(clump):
            self.message += 1
            forwarder.messages[self.message] = Message(self.now)
            self.result.offered += self.now >= self.begins
            arrived.append(MessageAdmitted(self.message, 0, DESTINATION, 12.0))
        self._handle(forwarder, arrived)

    # --- forwarders ---------------------------------------------------------------------------------------------

    def _handle(self, forwarder: Forwarder, events: Iterable[Event]) -> None:
        """Give a forwarder its news, and do what it asks for."""
        sends: dict[int, list[StartAttempt]] = {}
        for action in forwarder.scheduler.handle(self.now, events):
            match action:
                case StartAttempt():
                    sends.setdefault(action.endpoint, []).append(action)
                case SetTimer(delay_s=delay, token=token):
                    self._at(self.now + delay, self._handle, forwarder, (TimerFired(token),))
                case Reject(message=message) | Fail(message=message):
                    forwarder.messages.pop(message, None)
                case CancelAttempt(message=message, attempt=attempt):
                    if (call := forwarder.out.get((message, attempt))) is not None:
                        self._at(self.now, self._end, call, Outcome.CANCELLED)
                case StartHealthCheck(endpoint=endpoint):
                    self._send(SimulatedCall(forwarder, endpoint, self.now, []), 1.0)
                case _:
                    pass
        for endpoint, asked in sends.items():
            for first in range(0, len(asked), self.case.batch):
                self._send_batch(forwarder, endpoint, asked[first : first + self.case.batch])

    def _send_batch(self, forwarder: Forwarder, endpoint: int, asked: list[StartAttempt]) -> None:
        call = SimulatedCall(forwarder, endpoint, self.now, [])
        for send in asked:
            message = forwarder.messages[send.message]
            call.members.append((send.message, message.attempts))
            forwarder.out[send.message, message.attempts] = call
            message.attempts += 1
        self._send(call, min(send.timeout_s for send in asked))

    def _send(self, call: SimulatedCall, timeout: float) -> None:
        self._at(self.now + timeout, self._end, call, Outcome.TIMEOUT)
        self._at(self.now + self._network(), self._reach, call, call.forwarder.notified)

    def _network(self) -> float:
        return NETWORK_S * self.random.uniform(0.7, 1.3)

    def _end(self, call: SimulatedCall, outcome: Outcome, wait: float = 0.0) -> None:
        """A call is over for its forwarder; the first end counts."""
        if call.over:
            return
        call.over = True
        forwarder, latency = call.forwarder, self.now - call.sent_s
        if outcome is not Outcome.OK and self.begins <= call.sent_s < self.returns and not forwarder.notified:
            forwarder.notified = True
            self.result.notified += self.now < self.returns
        events: list[Event] = []
        for message, attempt in call.members:
            forwarder.out.pop((message, attempt), None)
            delivered = outcome is Outcome.OK
            if delivered and (held := forwarder.messages.pop(message, None)) is not None:
                self._delivered(held)
            events.append(AttemptFinished(message, attempt, call.endpoint, outcome, latency, delivered, wait))
        if not call.members:
            events.append(HealthCheckFinished(call.endpoint, outcome, latency))
        self._handle(forwarder, events)

    def _delivered(self, message: Message) -> None:
        self.result.delivered += self.now >= self.returns
        if message.came_s >= self.begins:
            late = min(max(self.now - message.came_s - 3.0, 0.0) / 9.0, 1.0)
            self.worth += 1.0 - 0.7 * late

    # --- the destination ----------------------------------------------------------------------------------------

    def _reach(self, call: SimulatedCall, notified: bool) -> None:
        """A call comes to the destination."""
        outage = self.case.outage
        if self.away and outage is Outage.DOWN:
            self._answer(call, Outcome.CONNECT_FAILED)
            return
        self._count(notified)
        if self.away:
            self._reach_away(call)
        elif self.case.listed and not self._within_limit():
            self._answer(call, Outcome.OVERLOADED, self.random.choice((0.0, self.random.uniform(0.2, 1.0))))
        else:
            self._serve(call)

    def _reach_away(self, call: SimulatedCall) -> None:
        match self.case.outage:
            case Outage.FAILING:
                self._answer(call, Outcome.ERROR)
            case Outage.MOSTLY_FAILING:
                if self.random.random() < 0.8:
                    self._answer(call, Outcome.ERROR)
                else:
                    self._serve(call)
            case Outage.SHUT:
                self._answer(call, Outcome.OVERLOADED)
            case Outage.SHUT_WITH_WAIT:
                self._answer(call, Outcome.OVERLOADED, max(self.returns - self.now, 0.01))
            case _:
                self.hung.append(call)

    def _within_limit(self) -> bool:
        while self.limited and self.now - self.limited[0] >= 1.0:
            self.limited.popleft()
        if len(self.limited) >= self.limit:
            return False
        self.limited.append(self.now)
        return True

    def _serve(self, call: SimulatedCall) -> None:
        """A cold destination is as much slower as it can do less."""
        slower = 1.0
        if self.now >= self.returns:
            slower = min(
                self.capacity / self.budget.present_capacity(self.now - self.returns), SERVICE_SLOWEST
            )
        mean = SERVICE_S * slower * (1.0 + 0.1 * max(len(call.members) - 1, 0))
        self._at(self.now + self.random.gammavariate(4.0, mean / 4.0), self._answer, call, Outcome.OK)

    def _answer(self, call: SimulatedCall, outcome: Outcome, wait: float = 0.0) -> None:
        if outcome is Outcome.OK and self.away and self.case.outage is Outage.SILENT:
            self.hung.append(call)
            return
        taken = 0.0 if outcome is Outcome.OK else ANSWER_S
        self._at(self.now + taken + self._network(), self._end, call, outcome, wait)

    def _return(self) -> None:
        """What hung at a silent destination ends with its connections."""
        for call in self.hung:
            self._answer(call, Outcome.RESET)
        self.hung = []

    # --- the judge ----------------------------------------------------------------------------------------------

    def _count(self, notified: bool) -> None:
        """All that reach it push, also what it turns away."""
        since, span = self.now - self.returns, self.budget.fall_span
        if since < 0.0:
            self.before.append(self.now)
            return
        lately, result = self.lately, self.result
        lately.append((self.now, notified))
        while lately[0][0] <= self.now - span:
            lately.popleft()
        while self.before and self.before[0] <= self.now - span:
            self.before.popleft()
        most = self.budget.most(since)
        found = Span(since, len(lately), sum(by_notified for _, by_notified in lately), most)
        if result.fullest is None or found.share > result.fullest.share:
            result.fullest = found
        if found.over and result.first_over is None:
            result.first_over = found
        result.over_by_mean |= found.calls > self.budget.most_by_mean(since)
        result.over_with_outage |= found.calls + len(self.before) > most
        result.notified_alone_over |= found.from_notified > most
