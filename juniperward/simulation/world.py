"""The world in simulated time: partners, network, clients, and forwarders that are real decision modules.

One heap of moments; no thread, no clock, no I/O. Each concern draws from a random stream of its own, so that a
change of one (a policy, say) leaves what the others draw as it was: runs of two policies on one seed meet the same
arrivals, latencies and troubles. Times are seconds of the simulated day, rates are a second.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram

from juniperward.scheduler.actions import CancelAttempt, Fail, Reject, SetTimer, StartAttempt
from juniperward.scheduler.events import (
    AttemptFinished,
    EndpointEntry,
    EndpointListUpdated,
    EndpointPhase,
    Event,
    ListScope,
    MessageAdmitted,
    Outcome,
    TimerFired,
)
from juniperward.scheduler.settings import DestinationKind, Idempotency, MessageClass, SchedulerSettings
from juniperward.simulation.cold_budget import ColdBudget
from juniperward.simulation.scenario import Scenario, Trouble

NET = 0.002  # seconds one way, in the mean
REFUSE = 0.001  # seconds that a refusal or a failure takes at the partner
FALL_TIMES, FALL_SPAN = 2.0, 3.0
COLD, WARM = 0.18, 10.0
STREAMS = ("arrivals", "service", "network", "refusals", "clients", "modules")


class Draw:
    """A random stream read in blocks, which costs a tenth of single draws."""

    def __init__(self, sequence: np.random.SeedSequence) -> None:
        self.source = np.random.Generator(np.random.PCG64(sequence))
        self.block: list[float] = []

    def uniform(self) -> float:
        """From 0 to 1."""
        if not self.block:
            self.block = self.source.random(4096).tolist()
        return self.block.pop()

    def gamma(self, mean: float, spread: float) -> float:
        """A time with this mean and coefficient of variation."""
        shape = 1.0 / max(spread, 0.05) ** 2
        return float(self.source.gamma(shape, mean / shape))


@dataclass(slots=True)
class Message:
    """A client's message, with all its tries; `first` is when it was due."""

    number: int
    partner: int
    first: float
    tries: int = 1
    done_at: float | None = None  # its first effect that its sender heard of
    ended: str = ""  # refused, failed or delivered


@dataclass(slots=True)
class Attempt:
    """A call of one or several messages to a worker."""

    forwarder: int
    life: int
    worker: int
    members: list[tuple[int, int]]  # message, attempt number
    sent: float
    over: bool = False


@dataclass(slots=True)
class SimulatedEndpoint:
    """One endpoint of a partner."""

    number: int
    partner: int
    busy: int = 0
    queue: deque[Attempt] = field(default_factory=deque)
    hung: list[Attempt] = field(default_factory=list)  # that a silent worker has taken, and never answers


@dataclass(slots=True)
class Partner:
    """A partner's state; `mode` is a trouble's kind or empty."""

    number: int
    kind: int
    spec: Any
    weight: float
    workers: list[SimulatedEndpoint] = field(default_factory=list)
    mode: str = ""
    size: float = 1.0
    until: float = 0.0
    back_at: float | None = None
    fallen: bool = False
    span: deque[float] = field(default_factory=deque)
    pushes: deque[float] = field(default_factory=deque)
    calls: int = 0
    refused: int = 0
    effects: dict[int, float] = field(default_factory=dict)  # by message, the latest last

    def take(self, message: int, now: float, window: float, memory: float) -> bool:
        """A call takes effect unless it repeats one within the window; whether it is a second effect.

        What is older than `memory` seconds is forgotten: no message lives for so long.
        """
        before = self.effects.pop(message, None)
        repeat = before is not None and now - before < window
        self.effects[message] = before if repeat and before is not None else now
        while self.effects and now - next(iter(self.effects.values())) > memory:
            del self.effects[next(iter(self.effects))]
        return before is not None and not repeat

    def capacity(self) -> float:
        """Calls a second when warm."""
        s = self.spec
        return float(s.rate or s.workers * s.at_once / s.latency)

    @property
    def budget(self) -> ColdBudget:
        """What it bears while it is cold."""
        return ColdBudget(self.capacity(), COLD, WARM, FALL_TIMES, FALL_SPAN)

    def present(self, now: float) -> float:
        """Calls a second now."""
        if self.fallen:
            return 0.0
        if self.back_at is None:
            return self.capacity()
        return self.budget.present_capacity(now - self.back_at)


# Of settings and a seed, and of the world for one that `sees` it; makes what has handle(now, events) -> actions.
Policy = Callable[..., Any]


@dataclass(slots=True)
class Forwarder:
    """A policy and what is held for it; `life` counts its starts."""

    number: int
    scheduler: Any
    life: int = 0
    up: bool = True
    held: dict[int, tuple[Message, float]] = field(
        default_factory=dict
    )  # by its own number: message, expires
    attempts: dict[int, int] = field(default_factory=dict)
    out: dict[tuple[int, int], Attempt] = field(default_factory=dict)
    waits: dict[int, float] = field(default_factory=dict)  # told, by partner
    last: int = 0
    inbox: list[Event] = field(default_factory=list)
    due: bool = False  # it will look at its inbox at this moment


@dataclass(slots=True)
class RunResult:
    """What a run came to; worth is what was delivered of what was asked for, from 0 to 1."""

    asked: int = 0
    delivered: int = 0
    refused: int = 0
    failed: int = 0
    unended: int = 0
    worth: float = 0.0
    lost: dict[str, float] = field(default_factory=dict)  # worth lost, by why
    latencies: Any = field(default_factory=lambda: HdrHistogram(1, 3_600_000_000, 3))  # microseconds
    calls: int = 0
    calls_refused: int = 0
    second_effects: int = 0
    waits_broken: int = 0
    fallen: int = 0
    by_second: list[tuple[float, float]] = field(
        default_factory=list
    )  # asked and delivered worth, by second due
    events: int = 0


class World:
    """One run of a scenario under a policy."""

    def __init__(self, scenario: Scenario, policy: Policy, seed: int) -> None:
        self.s, self.policy = scenario, policy
        sees = getattr(policy, "sees", None)
        self.seen = sees(self) if sees is not None else None
        streams = np.random.SeedSequence(seed).spawn(len(STREAMS))
        self.draw = {name: Draw(stream) for name, stream in zip(STREAMS, streams, strict=True)}
        self.now, self.serial = 0.0, 0
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.result = RunResult()
        self.open: dict[int, Message] = {}  # without a last end; nothing is kept of the others
        self.seconds: dict[int, list[float]] = {}
        self.total = 0.0
        self.partners = self._partners()
        self.workers = [w for p in self.partners for w in p.workers]
        t = scenario.traffic
        kinds = tuple(DestinationKind(max(int(g.batch), 1)) for g in scenario.partners)
        self.settings = SchedulerSettings(
            (
                MessageClass(
                    t.aim,
                    t.deadline,
                    Idempotency.IDEMPOTENCY_KEY,
                    1.0,
                    t.late_worth,
                    deduplication_window_s=t.window,
                ),
            ),
            slots=scenario.slots,
            max_open=scenario.max_open,
            kinds=kinds,
            instances=scenario.forwarders,
            max_attempts=8,
            cold_capacity_share=COLD,
            warm_up_s=WARM,
            overload_multiple=FALL_TIMES,
            overload_span_s=FALL_SPAN,
            max_retry_after_s=2.0,
            cancellation=True,
            answer_slack_s=0.02,
            dial_timeout_s=1.0,
            rates_listed=any(g.rate for g in scenario.partners),
        )
        self.forwarders = [Forwarder(n, None) for n in range(scenario.forwarders)]
        self.hot: list[tuple[int, float]] = []
        total = sum(p.weight for p in self.partners)
        self.cumulative = np.cumsum([p.weight / total for p in self.partners])

    def _partners(self) -> list[Partner]:
        made: list[Partner] = []
        count = 0
        for kind, group in enumerate(self.s.partners):
            for _ in range(group.count):
                p = Partner(len(made) + 1, kind, group, group.share / group.count)
                for _ in range(group.workers):
                    p.workers.append(SimulatedEndpoint(count, p.number))
                    count += 1
                made.append(p)
        return made

    # --- the heap -------------------------------------------------------------------------------------------------

    def at(self, when: float, act: Callable[..., None], *args: Any) -> None:
        """Have something happen at a moment; what is due together happens in the order asked."""
        self.serial += 1
        heapq.heappush(self.heap, (when, self.serial, act, args))

    def run(self) -> RunResult:
        """The whole day, and on until all that was taken has its end."""
        for f in self.forwarders:
            self._start(f)
        for trouble in self.s.troubles:
            self.at(trouble.at, self._trouble, trouble, True)
            self.at(trouble.at + trouble.seconds, self._trouble, trouble, False)
        self.at(0.0, self._arrive)
        end = self.s.seconds + self.s.traffic.deadline + 1.0
        heap = self.heap
        while heap and heap[0][0] <= end:
            self.now, _, act, args = heapq.heappop(heap)
            act(*args)
            self.result.events += 1
        return self._sum_up()

    # --- clients ----------------------------------------------------------------------------------------------------

    def _arrive(self) -> None:
        """The next message or clump, and the moment of the one after."""
        t, draw = self.s.traffic, self.draw["arrivals"]
        rate = t.rate * (1 + t.swing * np.sin(2 * np.pi * self.now / t.period)) if t.swing else t.rate
        singles = 1 - t.clumps + (t.clumps / t.clump if t.clump else 0.0)
        self.at(self.now + draw.source.exponential(1 / max(rate * singles, 1e-9)), self._arrive_if)
        clump = t.clump if t.clump and draw.uniform() < (t.clumps / t.clump) / singles else 1
        partner = self._whom(draw)
        for _ in range(clump):
            self.result.asked += 1
            m = self.open[self.result.asked] = Message(self.result.asked, partner, self.now)
            self.seconds.setdefault(int(self.now), [0.0, 0.0])[0] += 1.0
            self._hand_in(m)

    def _arrive_if(self) -> None:
        if self.now < self.s.seconds:
            self._arrive()

    def _whom(self, draw: Draw) -> int:
        for number, share in self.hot:
            if draw.uniform() < share:
                return number
        return int(np.searchsorted(self.cumulative, draw.uniform(), side="right")) + 1

    def _hand_in(self, m: Message) -> None:
        t = self.s.traffic
        expires = m.first + t.deadline
        up = [f for f in self.forwarders if f.up]
        if not up or expires <= self.now:
            m.ended = m.ended or "refused"
            self._over(m)
            return
        f = up[int(self.draw["clients"].uniform() * len(up))]
        if len(f.held) >= self.settings.max_open:
            self._refused(m, 1.0, "door")
            return
        f.last += 1
        f.held[f.last] = (m, expires)
        f.attempts[f.last] = 0
        self._tell(f, MessageAdmitted(f.last, 0, m.partner, expires - self.now, 0, str(m.number)))

    def _refused(self, m: Message, again: float, why: str) -> None:
        m.ended = f"refused {why}"
        if m.tries < 2 and self.draw["clients"].uniform() < self.s.traffic.again:
            m.tries += 1
            self.at(self.now + max(again, 0.2), self._hand_in, m)
        else:
            self._over(m)

    # --- forwarders -------------------------------------------------------------------------------------------------

    def _start(self, f: Forwarder) -> None:
        f.up = True
        seed = int(self.draw["modules"].source.integers(2**31))
        f.scheduler = self.policy(self.settings, seed, *((self.seen,) if self.seen is not None else ()))
        entries = tuple(
            EndpointEntry(w.number, p.number, EndpointPhase.READY, p.kind, 0, float(p.spec.rate))
            for p in self.partners for w in p.workers
        )  # fmt: skip
        self._tell(f, EndpointListUpdated(ListScope.FULL, entries))

    def _tell(self, f: Forwarder, event: Event) -> None:
        """Events of one moment come to a policy in one round."""
        f.inbox.append(event)
        if not f.due:
            f.due = True
            self.at(self.now, self._round, f, f.life)

    def _round(self, f: Forwarder, life: int) -> None:
        if f.life != life:
            return
        f.due = False
        news, f.inbox = f.inbox, []
        sends: dict[int, list[StartAttempt]] = {}
        for a in f.scheduler.handle(self.now, news):
            match a:
                case StartAttempt():
                    sends.setdefault(a.endpoint, []).append(a)
                case SetTimer(delay_s=delay, token=token):
                    self.at(self.now + delay, self._timer, f, f.life, token)
                case Reject(message=number, retry_after_s=again):
                    if (held := f.held.pop(number, None)) is not None:
                        del f.attempts[number]
                        self._refused(held[0], again, "held")
                case Fail(message=number):
                    if (held := f.held.pop(number, None)) is not None:
                        del f.attempts[number]
                        held[0].ended = "failed"
                        self._over(held[0])
                case CancelAttempt(message=number, attempt=attempt):
                    if (call := f.out.get((number, attempt))) is not None:
                        self.at(self.now, self._end, f, f.life, call, Outcome.CANCELLED, 0.0)
        for worker, asked in sends.items():
            self._send(f, worker, asked)

    def _timer(self, f: Forwarder, life: int, token: int) -> None:
        if f.life == life:
            self._tell(f, TimerFired(token))

    def _send(self, f: Forwarder, worker: int, asked: list[StartAttempt]) -> None:
        p = self.partners[self.workers[worker].partner - 1]
        batch = max(int(p.spec.batch), 1)
        if f.waits.get(p.number, 0.0) > self.now + 1e-6:
            self.result.waits_broken += 1
        for first in range(0, len(asked), batch):
            part = asked[first : first + batch]
            call = Attempt(f.number, f.life, worker, [], self.now)
            for a in part:
                number = f.attempts[a.message]
                f.attempts[a.message] = number + 1
                call.members.append((a.message, number))
                f.out[a.message, number] = call
            self.result.calls += 1
            self.at(
                self.now + min(a.timeout_s for a in part), self._end, f, f.life, call, Outcome.TIMEOUT, 0.0
            )
            self.at(self.now + self._net(), self._reach, f, call)

    def _net(self) -> float:
        return NET * (0.7 + 0.6 * self.draw["network"].uniform())

    def _end(self, f: Forwarder, life: int, call: Attempt, outcome: Outcome, wait: float) -> None:
        """An attempt is over for its forwarder; the first end counts."""
        if call.over or f.life != life:
            return
        call.over = True
        worker = self.workers[call.worker]
        if wait > 0:
            until = self.now + wait
            f.waits[worker.partner] = max(until, f.waits.get(worker.partner, 0.0))
        for message, attempt in call.members:
            f.out.pop((message, attempt), None)
            ok = outcome is Outcome.OK
            held = f.held.get(message)
            if ok and held is not None:
                del f.held[message], f.attempts[message]
                held[0].ended, held[0].done_at = "delivered", self.now
                self._over(held[0])
            latency = self.now - call.sent
            self._tell(f, AttemptFinished(message, attempt, call.worker, outcome, latency, ok, wait))

    # --- partners ---------------------------------------------------------------------------------------------------

    def _reach(self, f: Forwarder, call: Attempt) -> None:
        """A call comes to its worker."""
        w = self.workers[call.worker]
        p = self.partners[w.partner - 1]
        p.calls += 1
        if p.mode == "DOWN":
            self._answer(f, call, Outcome.CONNECT_FAILED)
            return
        wait = self._full(p, w)
        if wait is not None:
            p.refused += 1
            self.result.calls_refused += 1
            self._answer(f, call, Outcome.OVERLOADED, wait)
            return
        if p.mode == "SILENT":
            w.hung.append(call)
            return
        if p.mode == "FAILING" and self.draw["refusals"].uniform() < p.size:
            self._answer(f, call, Outcome.ERROR)
            return
        if w.busy < p.spec.at_once:
            self._serve(f, call, w, p)
        else:
            w.queue.append(call)

    def _full(self, p: Partner, w: SimulatedEndpoint) -> float | None:
        """None where it is taken, else the wait that is told (0: none)."""
        now, spec, told = self.now, p.spec, self.draw["refusals"].uniform() < p.spec.tells_wait
        pushes = p.pushes
        while pushes and now - pushes[0] > FALL_SPAN:
            pushes.popleft()
        pushes.append(now)
        if p.back_at is not None and now - p.back_at < WARM:
            p.fallen |= len(pushes) > p.budget.most(now - p.back_at)
        if p.fallen:
            return 0.0
        if p.mode == "SHUT":
            return max(p.until - now, 0.01) if told else 0.0
        if spec.rate:
            # What is agreed on, also while it is cold: what it can do less of then shows in its times (`_serve`).
            span, limit = p.span, float(spec.rate)
            while span and now - span[0] >= 1.0:
                span.popleft()
            if len(span) >= limit:
                return span[0] + 1.0 - now if told else 0.0
            span.append(now)
        taken = w.busy + len(w.queue) + len(w.hung)
        return 0.0 if taken >= spec.at_once + spec.queue else None

    def _serve(self, f: Forwarder, call: Attempt, w: SimulatedEndpoint, p: Partner) -> None:
        w.busy += 1
        mean = p.spec.latency * (p.size if p.mode == "SLOW" else 1.0)
        mean *= min(p.capacity() / max(p.present(self.now), 0.01), 20.0)
        mean *= 1 + 0.1 * (len(call.members) - 1)
        self.at(self.now + self.draw["service"].gamma(mean, p.spec.spread), self._served, f, call, w, p)

    def _served(self, f: Forwarder, call: Attempt, w: SimulatedEndpoint, p: Partner) -> None:
        """It takes effect whether anybody still waits for it or not."""
        w.busy -= 1
        if p.mode not in ("DOWN", "SILENT"):
            for number, _ in call.members:
                held = f.held.get(number) if f.life == call.life else None
                if held is not None:
                    t = self.s.traffic
                    memory = 2 * t.deadline + t.window
                    self.result.second_effects += p.take(held[0].number, self.now, t.window, memory)
            self._answer(f, call, Outcome.OK)
        if w.queue:
            nxt = w.queue.popleft()
            self._serve(self.forwarders[nxt.forwarder], nxt, w, p)

    def _answer(self, f: Forwarder, call: Attempt, outcome: Outcome, wait: float = 0.0) -> None:
        cost = 0.0 if outcome is Outcome.OK else REFUSE
        self.at(self.now + cost + self._net(), self._end, f, call.life, call, outcome, wait)

    # --- troubles ---------------------------------------------------------------------------------------------------

    def _trouble(self, trouble: Trouble, begins: bool) -> None:
        kind = trouble.kind
        if kind == "KILL":
            count = max(1, round(trouble.size * len(self.forwarders)))
            for f in self.forwarders[:count]:
                self._kill(f) if begins else self._start(f)
            return
        for number in trouble.partner:
            p = self.partners[number - 1]
            if kind == "HOT":
                share = (number, trouble.size / len(trouble.partner))
                self.hot.append(share) if begins else self.hot.remove(share)
            elif begins:
                p.mode, p.size, p.until = kind, trouble.size, self.now + trouble.seconds
            else:
                p.mode, p.size = "", 1.0
                p.back_at = None if kind == "SLOW" else self.now
                self._let_go(p)

    def _let_go(self, p: Partner) -> None:
        """What hung at a silent partner ends with its connections, as on sockets."""
        for w in p.workers:
            for call in w.hung:
                self._answer(self.forwarders[call.forwarder], call, Outcome.RESET)
            w.hung = []

    def _kill(self, f: Forwarder) -> None:
        """Its process dies; its journal has what it held, which comes back with its next life."""
        f.up, f.life, f.due, f.inbox = False, f.life + 1, False, []
        held, f.held, f.attempts, f.out, f.waits = f.held, {}, {}, {}, {}
        for m, _ in held.values():
            self.at(self.now + 1.0, self._hand_in, m)

    # --- the sum ----------------------------------------------------------------------------------------------------

    def _over(self, m: Message) -> None:
        """A message has its last end: count it, and let go of it."""
        del self.open[m.number]
        r, t = self.result, self.s.traffic
        worth, why = 0.0, m.ended or "no end"
        if m.done_at is not None:
            took = m.done_at - m.first
            late = max(took - t.aim, 0.0) / max(t.deadline - t.aim, 1e-9)
            worth, why = 1.0 - min(late, 1.0) * (1.0 - t.late_worth), "late"
            r.latencies.record_value(max(int(took * 1e6), 1))
        if worth < 1.0:
            r.lost[why] = r.lost.get(why, 0.0) + 1.0 - worth
        r.delivered += m.done_at is not None
        r.failed += m.ended == "failed"
        r.refused += m.ended.startswith("refused")
        r.unended += not m.ended
        self.total += worth
        self.seconds[int(m.first)][1] += worth

    def _sum_up(self) -> RunResult:
        for m in list(self.open.values()):
            self._over(m)
        r = self.result
        r.worth = self.total / r.asked if r.asked else 1.0
        r.lost = {k: v / max(r.asked, 1) for k, v in sorted(r.lost.items())}
        r.by_second = [(a, b) for _, (a, b) in sorted(self.seconds.items())]
        r.fallen = sum(p.fallen for p in self.partners)
        return r
