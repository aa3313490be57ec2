"""All decisions of the scheduler. Its types: juniperward/scheduler/interface.py (records: state.py).

Read top-down: tuned values, state, then `Sender`: `handle` takes in the events of a round, runs what is
due, and releases messages once. The ordinary path is cost-charged deficit round robin (docs/design.md).
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Callable, Iterable

from juniperward.scheduler.interface import (
    Action,
    Arrived,
    Cancel,
    Close,
    DedupScope,
    Effect,
    Event,
    Fail,
    Listed,
    ListScope,
    Log,
    Outcome,
    Phase,
    Probe,
    Probed,
    Refuse,
    Send,
    SetTimer,
    Settings,
    Settled,
    TimerFired,
    Tried,
    Watch,
    Withdrawn,
)
from juniperward.scheduler.interface import Endpoint as Entry
from juniperward.scheduler.state import Bucket, Call, Destination, Endpoint, Message, Route, Turn

HEALTHY_CAP, SICK_CAP = 0.75, 0.5  # share of the slots that one destination may fill (design)
PACE_CUT, PACE_FLOOR, PACE_STEP = 0.5, 1.0, 1.0  # pace: cut, floor (calls/s), growth a second (design)
PACE_LISTED, PACE_RISE = 0.9, 0.2  # x this sender's share of the listed rate: least pace, growth a second
PACE_SLOW = 0.02  # of many: first growth a second x the share, doubling with each second of RATE_MEMORY
PACE_LEAST = 2.0  # calls within a message's time that the pace leaves at least
ROOM_AGE = 2.0  # seconds of refusals after which a told room is surely not from before them
ROOM_LOW = 0.2  # share of a told limit left under which it counts as used up
FEW_NODES = 5  # up to so many nodes each takes the design's figures whole
IDLE_DROP = 60.0  # state idle for so long is dropped (design)
GATHER, GATHER_MOST = 0.8, 0.5  # calls are spaced by x this sender's share of a limit; most, x aim
WIDE, DRAWN = 24, 6  # endpoints of a destination that are all looked at; draws where they are more
QUANTUM = 0.25  # a turn's quantum, as a share of the shortest aim
MEAN_WEIGHT = 0.2  # weight of the newest latency in a running mean
SLOW_TIMES, USUAL_WEIGHT = 3.0, 0.02  # slow: its mean exceeds so many times its usual latency, a slower mean
RATE_MEMORY = 8.0  # seconds over which the delivered rate is remembered
SILENT_TIMES, SILENT_LEAST, SILENT_CALLS = 5.0, 1.0, 2  # overdue: x mean, seconds; calls that tell silence
FAIL_RUN, RECENT, RECENT_BAD = 4, 12, 8  # an endpoint is failing: so many in a row, or of its latest
SHUT_RUN, SHUT_AFTER = 8, 1.0  # refusals in a row, and seconds, without a delivery: shut
TRIAL_PART = 0.5  # part of what all nodes may send to a cold destination that trials take
CONTACT = 2.0  # x FallMs since a delivery, within which failures tell of no outage to one of many nodes
TRIAL_SHARE = 0.25  # share of the slots that all sick destinations together may fill with trials
TRIAL_LEAST = 1.0  # seconds between the trials of a few nodes where the list tells what a destination takes
TRIAL_MOST = 2.0  # longest spacing of the trials of a few nodes, x FallMs
LOST_TIMES = 2.0  # x the overdue limit after which a call that later ones overtook is called off
LAST_TIMES = 3.0  # x the overdue limit before a call is given up whose message must then fail
RETRY_FIRST, RETRY_MOST = 0.2, 2.0  # seconds before a message's next attempt, doubling
ASK_FIRST, ASK_MOST = 0.5, 1.4  # seconds from ask to ask for the list, doubling; first: at least between two
MINIMUM_ATTEMPT_SHARE = 0.7  # part of its time before which a message that surely has not run is not given up
FULL_SHARE = 0.95  # share of max_open held at which the least worth is refused
KEEP_CUT, KEEP_RISE = 0.5, 1.1  # an idle connection's time: at a full table, with each call answered
MARGIN = 0.02  # seconds kept clear of a repeat window's end
EPS = 1e-9


def rank(m: Message) -> tuple[bool, float, int]:
    """Place in a queue: first tries owed over a restart, what a delivery is worth now, the order taken."""
    return (not m.owed or m.sends > 0, -m.value * (m.cls.late_worth if m.late else 1.0), m.seq)


def repeat_until(m: Message) -> float:
    return min(m.maybe.values()) + m.cls.window - MARGIN if m.maybe else math.inf


def may_repeat(m: Message, now: float) -> bool:
    """Rule 2: whether another attempt is harmless."""
    if not m.maybe or m.cls.effect is Effect.REPEATABLE:
        return True
    return m.cls.effect is Effect.BY_KEY and now < repeat_until(m) - EPS


class Sender:
    """The decisions of one delivery node; it has no clock, no I/O and no state outside itself."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.set = settings
        self.random = random.Random(seed)
        self.now = self.asked_at = 0.0
        self.out: list[Action] = []
        self.messages: dict[int, Message] = {}
        self.held = self.came = 0
        self.began = self.timer_at = math.inf
        self.listed = 0.0  # sum of the destinations' listed rates
        self.many = settings.instances > FEW_NODES
        self.dests: dict[int, Destination] = {}
        self.endpoints: dict[int, Endpoint] = {}
        self.turns: dict[str, Turn] = {}
        self.ring: deque[Destination] = deque()  # with a message that may go; closed ones are off it
        self.slots: dict[int, Call] = {}  # calls out, by serial; never more than there are slots
        self.seq = self.token = self.calls = 0  # calls: serial of the latest
        self.due: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.ask_wait = ASK_FIRST
        self.least_deadline = min(c.deadline for c in settings.classes)
        self.quantum = QUANTUM * min(c.aim for c in settings.classes)
        self.most = max(c.aim for c in settings.classes)  # of a deficit, and of a time that shows silence
        if settings.on_request:
            self._at(0.0, self._watch)
        self.takers: dict[type, Callable[..., None]] = {
            Arrived: self._arrived, Settled: self._settled, Withdrawn: self._withdrawn, Listed: self._listed,
            Probed: self._probed, TimerFired: self._timer_fired}
        self.shares = [Bucket(t.quota / settings.instances) for t in settings.tenants]

    def handle(self, now: float, events: Iterable[Event]) -> list[Action]:
        """Take in all events of a round, then decide once."""
        self.now, self.began = now, min(self.began, now)
        self.out = []
        for event in events:
            if (taker := self.takers.get(type(event))) is not None:
                taker(event)
        while self.due and self.due[0][0] <= now + EPS:
            _, _, act, args = heapq.heappop(self.due)
            act(*args)
        self._release()
        if self.due and self.due[0][0] < self.timer_at - EPS:
            self.timer_at = self.due[0][0]
            self.token += 1
            self.out.append(SetTimer(max(self.timer_at - now, self.set.resolution), self.token))
        return self.out

    # --- taking in ------------------------------------------------------------------------------------

    def _arrived(self, e: Arrived) -> None:
        if e.message in self.messages or not 0 <= e.cls < len(self.set.classes):
            return
        cls = self.set.classes[e.cls]
        dest = self.dests.setdefault(e.destination, Destination(e.destination))
        value = cls.worth
        if self._over_share(e.tenant):
            value *= self.set.over_share_worth
        self.seq, self.came = self.seq + 1, self.came + 1
        key = e.key if cls.in_order else None
        m = Message(e.message, cls, e.cls, dest, key, self.now + e.budget, value, self.seq)
        m.aim_at = m.expires - cls.deadline + cls.aim
        early = MINIMUM_ATTEMPT_SHARE * e.budget if e.early is None else e.early
        m.owed, m.early_until, m.batch_bytes = e.owed, self.now + early, e.batch_bytes
        self.messages[m.id] = m
        self.held += 1
        if m.key is not None:
            self.turns.setdefault(m.key, Turn()).queue.append(m)
        self._at(max(m.expires - self._floor(dest), min(m.early_until, m.expires)), self._last_moment, m)
        if m.aim_at > self.now:
            self._at(max(self.now, m.aim_at - self._cost(m)), self._grow_late, m)
        else:
            m.late = True
        if e.history and not self._resume(m, e.history):
            return
        self._queue(m)
        if self.held > FULL_SHARE * self.set.max_open:
            self._shed()

    def _resume(self, m: Message, history: tuple[Tried, ...]) -> bool:
        """Attempts of an earlier life count, and rule 2 binds over a restart; whether the message goes on."""
        m.sends, m.last = len(history), history[-1].endpoint
        m.maybe = {n: t.sent for n, t in enumerate(history) if t.sent is not None}
        ran = [ep for t in history if t.sent is not None and (ep := self.endpoints.get(t.endpoint))]
        m.zone = ran[0].zone if ran else -1  # -1: where it may have run is not listed any more
        if m.sends >= self.set.max_attempts or not may_repeat(m, self.now):
            self._give_up(m)
        elif m.maybe and m.cls.effect is Effect.BY_KEY:
            self._at(repeat_until(m), self._window_over, m)
        return not m.ended

    def _settled(self, e: Settled) -> None:
        m = self.messages.get(e.message)
        call = m.out.pop(e.attempt, None) if m else None
        if m is None or call is None:
            return
        self._leave(m, call)
        if e.wait > 0:  # rule 6 binds whatever the outcome that told it
            route = call.endpoint.route
            route.wait_until = max(route.wait_until, self.now + e.wait)
        if e.outcome.never_ran:
            m.maybe.pop(e.attempt, None)
        if e.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED) and m.key is not None:
            self.turns[m.key].rest_until = self.now + self.set.key_rest
        if e.outcome is Outcome.OK:
            self._learn(m, e.latency)
        if not call.judged:
            self._judge(call, e)
        if e.ended or m.ended:
            self._end(m)
        else:
            self._again(m, e.outcome, e.table_full)

    def _withdrawn(self, e: Withdrawn) -> None:
        if (m := self.messages.get(e.message)) is not None:
            self._end(m)

    def _probed(self, e: Probed) -> None:
        if (ep := self.endpoints.get(e.endpoint)) is not None:
            self._evidence(ep, e, self.now - e.latency, 0.0)
            self._join(ep.dest)

    def _timer_fired(self, e: TimerFired) -> None:
        if e.token == self.token:
            self.timer_at = math.inf

    def _listed(self, e: Listed) -> None:
        if e.scope is ListScope.FAILED:
            # A broken watch or a failed call: ask again, spaced from begin to begin; its time was a wait too.
            wait = max(ASK_FIRST, self.asked_at + self.ask_wait - self.now)
            self._at(self.now + wait * self.random.uniform(0.75, 1.25), self._watch)
            self.ask_wait = min(2 * self.ask_wait, ASK_MOST)
            return
        self.ask_wait = self.ask_wait if e.scope is ListScope.CACHED else ASK_FIRST
        if e.scope is not ListScope.DELTA:
            named = {x.endpoint for x in e.entries}
            for ep in [x for x in self.endpoints.values() if x.id not in named]:
                ep.phase = Phase.GONE
        for x in e.entries:
            self._entry(x)
        self._prune()

    def _prune(self) -> None:
        """Nothing is kept of endpoints that are gone, nor of a destination without any that nobody wants."""
        for ep in [x for x in self.endpoints.values() if x.phase is Phase.GONE and not x.calls]:
            ep.dest.remove(self.endpoints.pop(ep.id))
        wanted = {m.dest.id for m in self.messages.values()}
        for d in [x for x in self.dests.values() if not x.endpoints and x.id not in wanted]:
            if d.used + IDLE_DROP <= self.now and not d.on_ring:
                self.listed -= d.rating
                del self.dests[d.id]

    def _entry(self, x: Entry) -> None:
        dest = self.dests.setdefault(x.destination, Destination(x.destination))
        ep = self.endpoints.get(x.endpoint)
        if ep is None:
            route = Route() if self.set.kind(x.kind).routes_apart else dest.shared
            ep = Endpoint(x.endpoint, dest, route, x.phase, x.kind, x.zone, self.random.random())
            self.endpoints[ep.id] = ep
            dest.add(ep)
        ep.phase = x.phase
        self._join(dest)
        if self.set.rated and 0 < x.rating < math.inf:
            self.listed += x.rating - dest.rating
            dest.rating = x.rating

    def _watch(self) -> None:
        self.asked_at = self.now
        self.out.append(Watch())

    # --- messages -------------------------------------------------------------------------------------

    def _queue(self, m: Message) -> None:
        """Put a message that may go now into its destination's queue, and that on the ring."""
        if m.ended or m.waiting or m.out or m.not_before > self.now + EPS:
            return
        if m.key is not None:
            # Rule 5: only the eldest of a key, and not while the key rests; others are not held up by it.
            turn = self.turns[m.key]
            if turn.queue[0] is not m:
                return
            if turn.rest_until > self.now + EPS and not m.sends:
                self._at(turn.rest_until, self._queue, m)
                return
        m.dest.queue.put(m, rank(m))
        self._join(m.dest)

    def _join(self, d: Destination) -> None:
        """Put a destination that something waits for on the ring: news may have opened it."""
        if d.waiting and not d.on_ring:
            d.on_ring = True
            self.ring.append(d)

    def _grow_late(self, m: Message) -> None:
        """The aim can no longer be met: others that still can go first."""
        m.late = True
        if m.waiting:
            m.dest.queue.put(m, rank(m))

    def _again(self, m: Message, outcome: Outcome, crowded: bool) -> None:
        """After an attempt without delivery: another, spaced, where rules 1 and 2 allow it."""
        late = m.expires - self._floor(m.dest) <= self.now and self._may_end(m)
        if m.sends >= self.set.max_attempts or late or not may_repeat(m, self.now):
            self._give_up(m)
            return
        if m.maybe and m.cls.effect is Effect.BY_KEY:
            self._at(repeat_until(m), self._window_over, m)
        delay = 0.0
        if outcome is not Outcome.FULL and not crowded:
            delay = min(RETRY_FIRST * 2 ** (m.sends - 1), RETRY_MOST) * self.random.uniform(0.75, 1.25)
        m.not_before = self.now + delay
        self._at(m.not_before, self._queue, m)

    def _window_over(self, m: Message) -> None:
        if not m.ended and not m.out and not may_repeat(m, self.now):
            self._give_up(m)

    def _last_moment(self, m: Message) -> None:
        """Too late to deliver what waits; what is out is answered when its time is up (rule 1)."""
        if m.ended:
            return
        if not m.out:
            self._give_up(m)
        elif self.now < m.expires + self.set.answer_slack / 2 - EPS:
            self._at(m.expires + self.set.answer_slack / 2, self._last_moment, m)
        else:
            self.out.append(Fail(m.id))
            self._end(m)

    def _may_end(self, m: Message) -> bool:
        return bool(m.maybe) or self.now >= m.early_until - EPS

    def _give_up(self, m: Message) -> None:
        """The final answer, at once: a refusal where trying again is harmless, else a failure (rule 2)."""
        harmless = not m.maybe or m.cls.effect is Effect.REPEATABLE or (
            m.cls.effect is Effect.BY_KEY and m.cls.dedup_scope is DedupScope.ALL and may_repeat(m, self.now))
        self.out.append(Refuse(m.id, self._advice(m.dest)) if harmless else Fail(m.id))
        self._end(m)

    def _advice(self, d: Destination) -> float:
        """When to come back: after the next trials of a sick destination, or when the queue has drained."""
        if d.shared.sick:
            return self.set.max_retry_after
        rate = max(d.shared.lately(self.now, RATE_MEMORY), PACE_FLOOR)
        return min(max(RETRY_FIRST, d.waiting / rate), self.set.max_retry_after)

    def _end(self, m: Message) -> None:
        """The message is over; with nothing out any more it is let go of, and its key's next may go."""
        if not m.ended:
            m.ended = True
            self.held -= 1
            m.dest.queue.remove(m)
        if m.out or self.messages.pop(m.id, None) is None or m.key is None:
            return
        turn = self.turns[m.key]
        turn.queue.remove(m)
        if turn.queue:
            self._queue(turn.queue[0])
        else:
            self._at(turn.rest_until, self._drop_turn, m.key)

    def _drop_turn(self, key: str) -> None:
        turn = self.turns.get(key)
        if turn is not None and not turn.queue and turn.rest_until <= self.now + EPS:
            del self.turns[key]

    def _shed(self) -> None:
        """Nearly all places are held: refuse the least worth of the longest queue before the door does so."""
        d = max(self.dests.values(), key=lambda x: x.waiting)
        if queue := [m for m in d.queue if self._may_end(m)]:
            self._give_up(max(queue, key=rank))

    # --- releasing ------------------------------------------------------------------------------------

    def _release(self) -> None:
        """Deficit round robin into free slots: the ordinary path of every message."""
        ring, blocked = self.ring, 0
        while ring and blocked < len(ring):
            d = ring[0]
            head = d.queue.head()
            if head is None:
                ring.popleft()
                d.on_ring, d.deficit = False, 0.0
                continue
            if len(self.slots) >= self.set.slots:
                self._make_room()
                return
            if not may_repeat(head, self.now):  # rule 2 binds at every release, whatever else woke it
                self._give_up(head)
                continue
            found = self._choose(d, head)
            if found is None:
                if d.closed:  # looked at again at its time or with news of it, not in each round
                    ring.popleft()
                    d.on_ring, d.deficit = False, self.most + self.quantum
                else:
                    blocked += 1
                    self._move_on()
                continue
            head, ep = found
            cost = self._cost(head)
            if d.deficit > cost:
                d.deficit -= cost
                self._send(d, head, ep)
            else:
                self._move_on()
            blocked = 0

    def _move_on(self) -> None:
        self.ring.rotate(-1)
        d = self.ring[0]
        d.deficit = min(d.deficit, self.most) + self.quantum

    def _choose(self, d: Destination, head: Message) -> tuple[Message, Endpoint] | None:
        """The message and the endpoint to release, or None while the destination must not be called."""
        sick, d.closed = self._is_sick(d), False
        slow = (d.mean or 0.0) > SLOW_TIMES * d.usual
        if d.slots >= max(1, int((SICK_CAP if sick or slow else HEALTHY_CAP) * self.set.slots)):
            return None
        if sick and sum(self._is_sick(c.endpoint.dest) for c in self.slots.values()) >= max(
                1, int(TRIAL_SHARE * self.set.slots)):
            return None  # the trials of many silent destinations must not take the slots of the others
        for eps in (d.some(self.random, WIDE, DRAWN), d.order):
            opens = [(self._opens_at(x), x) for x in eps if x.phase is Phase.READY]  # rule 3
            if (open_eps := [ep for at, ep in opens if at <= self.now + EPS]) or eps is d.order:
                break
        if not open_eps:
            d.closed = True
            wake = min((at for at, _ in opens), default=math.inf)
            if sick and self.now < head.expires - self._floor(d) < wake < math.inf:
                if self._may_end(head):
                    self._give_up(head)  # it cannot be served in time: answered at once, to free its place
                    d.closed = False
                wake = min(wake, max(head.early_until, self.now))
            self._wake(d, wake)
            return None
        route = open_eps[0].route
        if (route.sick or open_eps[0].bad) and head.cls.effect is Effect.ONCE:
            # A trial may fail with its effect unknown: risk a message that bears a repeat instead.
            safe = [m for m in d.queue if m.cls.effect is not Effect.ONCE]
            if safe:
                head = min(safe, key=rank)
            elif self.set.probing:
                self.out.append(Probe(open_eps[0].id))
                self._count(open_eps[0], 1.0)
                return None
        if head.maybe and head.cls.effect is Effect.BY_KEY and head.cls.dedup_scope is DedupScope.ZONE:
            open_eps = [ep for ep in open_eps if ep.zone == head.zone]
        open_eps = [ep for ep in open_eps if self._connected(ep) or ep.no_new_until <= self.now]
        if not open_eps:
            d.queue.remove(head)
            head.not_before = self.now + RETRY_FIRST
            self._at(head.not_before, self._queue, head)
            return None
        best = min(open_eps, key=lambda ep: (ep.bad, ep.id == head.last and head.sends > 0,
                                             not self._connected(ep), len(ep.calls), ep.place))
        return head, best

    def _is_sick(self, d: Destination) -> bool:
        return all(ep.bad or ep.route.sick for ep in d.endpoints.values() if ep.phase is Phase.READY)

    def _opens_at(self, ep: Endpoint) -> float:
        """When this endpoint may next be called: after waits told, by its pace, its trials or its bucket."""
        route = ep.route
        if self.many and route.sick and route.next_at < self.now - self.set.warm_within:
            # Its trial fell due while nothing was held: messages of a clump must not all be trials at once.
            route.next_at = self.now + self.random.random() * self.set.warm_within
        at = max(route.wait_until, route.called + self._spacing(ep))  # rule 6; gathering
        if route.sick or route.cold_since is not None or route.pace is not None or route.spread:
            at = max(at, route.next_at)
        if route.sick and any(c.sent >= route.sick_since and not c.overdue for c in ep.calls.values()):
            return math.inf  # one trial at a time; its outcome or its silence opens the next
        if ep.bad and not route.sick:
            at = max(at, ep.trial_at)
        elif any(c.overdue and c.sent > ep.last_ok for c in ep.calls.values()) and \
                any(not c.overdue for c in ep.calls.values()):
            return math.inf  # one overdue call is no proof of silence, but more must not be risked with it
        return at

    def _spacing(self, ep: Endpoint) -> float:
        """A limit counts calls, refused ones too: what comes meanwhile travels in one."""
        share, listed = self._share(ep.dest, ep.route), ep.dest.rating > 0
        single = listed and self.set.kind(ep.kind).batch <= 1
        most = GATHER_MOST * self.quantum / QUANTUM if listed else self.least_deadline / PACE_LEAST
        if share <= 0 or (single and (not self.many or share * most < GATHER)):
            return 0.0  # too small a share to keep to
        if single and self.now - ep.route.cut_at > RATE_MEMORY:
            share = max(share, self._usual(ep.dest, ep.route))  # it may have more of the traffic than others
        return min(GATHER / share, most)

    def _connected(self, ep: Endpoint) -> bool:
        """Whether a call fits on a connection that is thought open."""
        if self.now - ep.used > self.set.keepalive:
            ep.conns = 0
        return len(ep.calls) < ep.conns * self.set.streams

    def _send(self, d: Destination, head: Message, ep: Endpoint) -> None:
        """Release a message, and those that may share its call, to an endpoint."""
        self.calls += 1
        call = Call(self.calls, ep, self.now, set())
        d.queue.remove(head)
        members = [head, *self._joining(d, head, ep)]
        for m in members:
            if not m.maybe:
                m.zone = ep.zone
            within = repeat_until(m) - self.now if m.cls.effect is Effect.BY_KEY else math.inf
            within = min(within, m.expires - self._patience(d) - self.now) if len(members) > 1 else within
            left = max(m.expires - self.now, self.set.resolution)
            self.out.append(Send(m.id, ep.id, left, within, self.calls))
            m.out[m.sends] = call
            m.maybe[m.sends] = self.now
            m.sends += 1
            m.last = ep.id
            call.members.add(m.id)
        ep.calls[self.calls] = self.slots[self.calls] = call
        d.called(ep, self.now, WIDE)
        ep.conns = max(ep.conns, -(-len(ep.calls) // self.set.streams))
        d.slots += 1
        self._count(ep, 1.0 + 0.25 * (len(call.members) - 1))
        self._at(self.now + self._overdue_after(d), self._overdue, call)

    def _joining(self, d: Destination, head: Message, ep: Endpoint) -> list[Message]:
        """Those that share the call of the head; it ends with the time of any, so each must have some."""
        latest = self.now + self._patience(d)
        if ep.route.sick or head.expires <= latest:
            return []
        most, room = self.set.kind(ep.kind).batch - 1, self.set.batch_bytes - head.batch_bytes
        return d.queue.draw(most, room, lambda m: m.expires > latest and self._may_join(m, ep))

    def _may_join(self, m: Message, ep: Endpoint) -> bool:
        """Whether a message may travel with others: nothing of it may have run, or a repeat is harmless."""
        same = m.cls.dedup_scope is DedupScope.ALL or m.zone == ep.zone
        return not m.maybe or (same and may_repeat(m, self.now))

    def _count(self, ep: Endpoint, weight: float) -> None:
        """Charge a call or a probe to the pace and to the bucket."""
        d, route = ep.dest, ep.route
        route.called = self.now
        route.sent(self.now, RATE_MEMORY)
        gap = self._cold_gap(d, route, weight, route.sick)
        if route.pace is not None:
            gap = max(gap, 1.0 / route.pace)  # a limit counts calls, whatever they carry
        route.next_at = max(route.next_at, self.now) + gap
        self._by_told(route)
        if ep.bad:
            ep.trial_at = self.now + self._cold_gap(d, route, weight, True)

    def _cold_gap(self, d: Destination, route: Route, weight: float, trial: bool) -> float:
        """Rule 4: the time until another call may go to a destination that is sick or returns.

        In any FallMs all nodes may send B = ColdShare x FallMultiple x capacity, none knowing of the return.
        Parts (`_usual`) add up to the capacity: calls spaced by part x ColdShare x FallMultiple, at random
        phases, make B: TRIAL_PART of it trials, the rest the call after a good one; a return is learned so.
        """
        cold, span, warm = self.set.cold_share, self.set.fall_span, self.set.warm_within
        if trial and not route.sick and route.cold_since is None:
            # As of the last delivery, less half of its own weight: the outage must not wear down the memory.
            lately = route.lately(route.rate_at, RATE_MEMORY) - 0.5 / RATE_MEMORY
            route.known = max(lately, route.known * 0.5)
        known = self._usual(d, route) if self.many else max(
            route.known, PACE_FLOOR / self.set.instances, self._share(d, route))
        if trial and self.many:
            known *= cold * self.set.fall_multiple * TRIAL_PART
            return max(min(span, TRIAL_LEAST), self.random.uniform(0.5, 1.5) * weight / known)
        known *= (1 + self.set.fall_multiple) / 2
        if trial:
            least = min(span, TRIAL_LEAST) if d.rating > 0 and self.set.rated else span
            return max(least, min(weight / (known * cold + EPS), TRIAL_MOST * span))
        if route.cold_since is None:
            return 0.0
        since = self.now - route.cold_since
        if since >= warm:
            # Warm: what was held meanwhile must not arrive at once; the design's pace goes on from here.
            route.cold_since = None
            if route.pace is None:
                route.pace, route.step_at = max(PACE_FLOOR * self._part(), known), self.now + 1.0
                self._at(route.step_at, self._step_pace, d, route)
            return 0.0
        part = known * (cold + (1 - cold) * since / warm)
        gain = (1 - cold) / (cold + EPS) / TRIAL_PART / warm if self.many else 0.0
        return min(weight / (max(part, gain) + EPS), warm - since)

    def _make_room(self) -> None:
        """Silent destinations must not hold all slots: call off the call least likely to be answered."""
        old = [c for c in self.slots.values()
               if c.overdue and not c.left and (c.endpoint.bad or c.endpoint.last_ok < c.sent)
               and (self.now - c.sent >= LAST_TIMES * self._overdue_after(c.endpoint.dest)
                    or all(may_repeat(self.messages[i], self.now) for i in c.members))]
        if self.set.cancel and old:
            call = min(old, key=lambda c: (c.sent, c.serial))
            self._call_off(call)
            self._turn_bad(call.endpoint, "silent")  # or calling off would wipe out the evidence of silence

    def _call_off(self, call: Call) -> None:
        call.left = True
        for i in sorted(call.members):
            self.out += [Cancel(i, n) for n, c in self.messages[i].out.items() if c is call]

    # --- learning -------------------------------------------------------------------------------------

    def _leave(self, m: Message, call: Call) -> None:
        """An attempt is over; the last one of its call frees the slot."""
        call.members.discard(m.id)
        if not call.members:
            ep, d = call.endpoint, call.endpoint.dest
            del ep.calls[call.serial], self.slots[call.serial]
            d.slots -= 1
            d.used = self.now
            self._join(d)
            if self.many and not ep.calls:
                ep.rest_at = self.now + ep.keep * self.set.keepalive / self.set.instances
                self._at(ep.rest_at, self._rest, ep)
            if not d.slots and not d.idle_due:
                d.idle_due = True
                self._at(self.now + IDLE_DROP, self._idle, d)

    def _rest(self, ep: Endpoint) -> None:
        """Idle connections of many nodes fill a table: together they keep them as long as one alone would."""
        if not ep.calls and self.now >= ep.rest_at - EPS and ep.conns:
            self.out.append(Close(ep.id))
            ep.conns = 0

    def _learn(self, m: Message, latency: float) -> None:
        """Slot-time, per class: one class failing or lingering must not change another's cost."""
        d, latency = m.dest, min(latency, m.cls.aim)
        old = d.means.get(m.index)
        d.means[m.index] = latency if old is None else old + MEAN_WEIGHT * (latency - old)
        d.mean = latency if d.mean is None else d.mean + MEAN_WEIGHT * (latency - d.mean)
        d.usual = d.usual + USUAL_WEIGHT * (latency - d.usual) if d.usual else latency

    def _judge(self, call: Call, e: Settled) -> None:
        ep, d = call.endpoint, call.endpoint.dest
        call.judged = e.outcome is not Outcome.MOOT  # one that was not sent tells nothing of the others' call
        if e.outcome not in (Outcome.OK, Outcome.FULL, Outcome.MOOT, Outcome.CANCELLED):
            # A quick error must not earn turns: what it saved of the normal cost is charged after all.
            d.deficit -= max(0.0, e.latency - self._cost(self.messages[e.message]))
        self._evidence(ep, e, call.sent, e.wait, e.table_full)

    def _evidence(self, ep: Endpoint, e: Settled | Probed, sent: float, wait: float,
                  crowded: bool = False) -> None:
        """Outcomes of calls and probes: refusals cut the pace, failures and silence tell of an outage."""
        route, outcome = ep.route, e.outcome
        if e.limit is not None and e.room is not None and 0 < e.limit < math.inf:
            route.told(e.limit, e.room, MEAN_WEIGHT)
        if outcome is Outcome.OK:
            ep.keep = min(ep.keep * KEEP_RISE, 1.0)
            ep.last_ok = self.now
            ep.recent = (*ep.recent, True)[-RECENT:]
            route.count, route.full_run = route.count + 1, 0
            route.born = sent if route.born is None else route.born
            route.delivered(self.now, RATE_MEMORY)
            # No return is shown by an answer from before the outage, but for one that was silent.
            if ep.bad and (ep.silent or sent >= ep.bad_since):
                ep.bad = False
                ep.recent = ()
            if not (route.sick or route.spread):
                route.doubts = 0
            elif self.now >= route.wait_until and (ep.silent or sent >= route.sick_since):
                self._returned(ep.dest, route)
        elif outcome is Outcome.FULL:
            # Warming up, what follows a delivery or was sent before the latest cut is the edge of its limit.
            edge = route.cold_since is not None and (sent < route.cut_at or not route.full_run)
            self._refused(ep.dest, route, sent, wait)
            unlikely = route.born is not None or not ep.dest.rating  # that it is for its limit
            if not edge and (route.has_room(self.now, ROOM_LOW, ROOM_AGE) if route.limit > 0 else unlikely):
                self._doubt(ep.dest, route, "refuses all")
        elif outcome is Outcome.CONNECT_FAILED and (
                crowded or ep.last_ok > self.now - self.set.dial_timeout - 1.0):
            # Others get through: its connection table is full. Use the open ones, open no more for a while.
            ep.conns, ep.keep = -(-len(ep.calls) // self.set.streams), ep.keep * KEEP_CUT
            away = RETRY_FIRST * self.random.random() if crowded else self.set.dial_timeout
            ep.no_new_until = self.now + away
        elif outcome not in (Outcome.MOOT, Outcome.CANCELLED):
            ep.recent = (*ep.recent, False)[-RECENT:]
            run = ep.recent[-FAIL_RUN:]
            row = len(run) == FAIL_RUN and not any(run)
            cold = route.cold_since is not None and run[-2:] == (False, False)
            if row or cold or ep.recent.count(False) >= RECENT_BAD:
                self._turn_bad(ep, "failing")
            self._doubt(ep.dest, route, "failing", outcome is Outcome.CONNECT_FAILED)

    def _doubt(self, d: Destination, route: Route, why: str, unreached: bool = False) -> None:
        """Rule 4 binds each of many nodes from the first failure that it is told of.

        With a delivery within CONTACT, but for a return, the design goes on. Else the second failure turns to
        trials, as does a wait told with room left. Of first ones ColdShare x FallMultiple keep a call, within
        WarmWithin (clumps!): nodes told of nothing, a share x of the traffic, make x times B (`_cold_gap`),
        the others' trials 1 - x. With a delivery within WarmWithin all keep it: hardly any is left at an end.
        """
        route.doubts += 1
        ago = self.now - route.rate_at if route.born is not None else math.inf
        cold = route.cold_since is not None
        # One failed connection tells of no outage, nor do a few where there are calls enough to tell by.
        enough = self._usual(d, route) * self.set.fall_span >= FAIL_RUN
        chance = unreached and route.doubts < (FAIL_RUN if enough else 2)
        if not self.many or route.sick or chance or (ago <= CONTACT * self.set.fall_span and not cold):
            return
        part = 1.0 if ago <= self.set.warm_within else self.set.cold_share * self.set.fall_multiple
        if route.doubts > 1 or cold or route.wait_until > self.now or self.random.random() > part:
            self._turn_sick(d, route, why)
        else:
            route.spread, route.sick_since = True, self.now
            route.next_at = max(route.next_at, self.now + self.random.random() * self.set.warm_within)

    def _by_told(self, route: Route) -> None:
        """A told wait ends with the return: WarmWithin later it is warm, no trial need wait for longer."""
        if self.many and route.sick and route.wait_until > self.now - self.set.warm_within:
            route.next_at = min(route.next_at, route.wait_until
                                + self.random.uniform(1.0, 1.5) * self.set.warm_within)

    def _turn_bad(self, ep: Endpoint, why: str) -> None:
        if not ep.bad:
            ep.bad, ep.bad_since, ep.silent = True, self.now, why == "silent"
            ep.trial_at = self.now + self._cold_gap(ep.dest, ep.route, 1.0, True)
        if all(x.bad for x in ep.route.endpoints if x.phase is Phase.READY):
            self._turn_sick(ep.dest, ep.route, why)

    def _turn_sick(self, d: Destination, route: Route, why: str) -> None:
        """An outage: from here on few, spaced trials; its messages are held."""
        if route.sick:
            return
        first = self._cold_gap(d, route, self.random.random() if self.many else 1.0, True)
        route.sick, route.sick_since, route.cold_since = True, self.now, None
        route.next_at = max(route.next_at, self.now + first, self.many and route.wait_until + first)
        self._by_told(route)
        self.out.append(Log(f"destination {d.id}: {why}, held to trials"))

    def _returned(self, d: Destination, route: Route) -> None:
        """A trial was answered: admit by a bucket that opens over the time it needs to warm up."""
        route.sick, route.spread, route.doubts = False, False, 0  # warming began where a told wait ended
        route.cold_since = route.wait_until if self.many and route.wait_until > route.sick_since else self.now
        for ep in route.endpoints:
            ep.bad, ep.silent, ep.recent = False, False, ()
        route.next_at = self.now + (0.0 if self.many else self._cold_gap(d, route, 1.0, False))
        self.out.append(Log(f"destination {d.id}: answers again, warming up"))

    def _refused(self, d: Destination, route: Route, sent: float, wait: float) -> None:
        """A refusal as full: the design's pace; a long run without any delivery is an outage (shut)."""
        if wait > 0:
            route.wait_until = max(route.wait_until, self.now + wait)
        if self.now - route.cut_at >= (d.mean if d.mean is not None else self.quantum):
            part, least = self._share(d, route), PACE_LEAST / self.least_deadline
            if not route.has_room(self.now, ROOM_LOW, ROOM_AGE) if route.limit else self.many and part > 0:
                # A first may be chance at the limit's edge; the next in a row tells of a lower limit.
                # Refusals use it up: nothing is delivered before what all send has fallen below it.
                cut = PACE_CUT if route.full_run else PACE_LISTED if d.rating > 0 else 1.0
                route.pace = max(cut * min(part, route.pace or part), least)
            else:  # for other reasons than its limit
                base = sum(t >= self.now - 1.0 for t in route.sends) if route.pace is None else route.pace
                route.pace = max(PACE_FLOOR * self._part(), PACE_CUT * base, PACE_LISTED * part, least)
            route.cut_at = self.now
            # At a phase of its own: nodes told to wait until one moment must not all call at its end.
            route.next_at = max(route.next_at, self.now + self.random.uniform(0.75, 1.25) / route.pace,
                                route.wait_until + self.random.uniform(0.0, 0.5) / route.pace)
        route.step_at = self.now + 1.0
        self._at(route.step_at, self._step_pace, d, route)
        route.full_run += 1
        route.full_since = sent if route.full_run == 1 else route.full_since
        shut = route.full_run >= SHUT_RUN and self.now - route.full_since >= SHUT_AFTER
        if shut or wait >= self.set.fall_span:
            self._turn_sick(d, route, "refuses all")

    def _part(self) -> float:
        """Part of all traffic: what came here of what all destinations take as listed, else even."""
        if not self.many or self.listed <= 0:
            return 1.0 / self.set.instances if self.many else 1.0
        even, seen = RATE_MEMORY / self.set.instances, self.now - self.began
        return min(1.0, (self.came / self.listed + even) / (seen + RATE_MEMORY))

    def _share(self, d: Destination, route: Route) -> float:
        """This sender's part of the rate listed, or else told with answers, in calls a second; or 0."""
        return (d.rating / (1 + self.set.rating_off) or route.limit) / self.set.instances

    def _usual(self, d: Destination, route: Route) -> float:
        """Part of what a destination takes a second; latest rates would add up to more after bursts."""
        if (share := self._share(d, route)) > 0:
            return max(share * self.set.instances, PACE_FLOOR) * self._part()
        even = RATE_MEMORY * PACE_FLOOR / self.set.instances
        return (route.count + even) / (self.now - self.began + RATE_MEMORY)

    def _step_pace(self, d: Destination, route: Route) -> None:
        if route.pace is None or self.now < route.step_at - EPS:
            return
        if not route.full_run:
            part, span = self._share(d, route), 1.0 if route.pace >= 1.0 else RATE_MEMORY
            if part > 0 and self.many:  # slow near what was too much, then ever faster
                step = PACE_SLOW * part * 2 ** min(self.now - route.cut_at, RATE_MEMORY)
                over = route.pace > part and not d.waiting
                if route.pace < part <= route.pace + step:
                    step, route.cut_at = part - route.pace, self.now  # at its share: slowly from here
            else:  # a second tells nothing of fewer calls
                step = max(PACE_STEP * min(1.0, FEW_NODES * self._part()), PACE_RISE * part)
                lately = sum(t >= self.now - span for t in route.sends) / span
                over = not d.waiting and route.pace > lately + step
            if over:
                route.pace = None
                self._join(d)
                return
            route.pace += step
        route.step_at = self.now + 1.0
        self._at(route.step_at, self._step_pace, d, route)

    def _overdue(self, call: Call) -> None:
        """Silence: several calls out for longer than they should be, and no answer meanwhile."""
        ep = call.endpoint
        if call.serial not in ep.calls:
            return
        call.overdue = True
        self._join(ep.dest)
        limit = self._overdue_after(ep.dest)
        old = sum(1 for c in ep.calls.values() if c.overdue)
        lost = ep.route.rate_at > call.sent + limit / 2 and self.now - call.sent >= LOST_TIMES * limit - EPS
        if self.set.cancel and lost and not call.left and all(
                may_repeat(self.messages[i], self.now) for i in call.members):
            # Later ones were answered: this one's connection is lost, or its endpoint where none was there.
            self._call_off(call)
            if ep.last_ok <= call.sent:
                self._turn_bad(ep, "silent")
        if old >= SILENT_CALLS and ep.last_ok <= self.now - limit + EPS and not ep.bad:
            self._turn_bad(ep, "silent")
        if ep.route.sick:
            self._wake(ep.dest, self.now)
        self._at(self.now + limit / 2, self._overdue, call)

    def _cost(self, m: Message) -> float:
        """Expected slot-time: the running mean, at most the aim, at which a fresh destination starts."""
        mean = m.dest.means.get(m.index, m.dest.mean)
        return m.cls.aim if mean is None else min(mean, m.cls.aim)

    def _floor(self, d: Destination) -> float:
        """Less time than this is not worth another attempt."""
        return 0.5 * d.mean if d.mean is not None else 2 * self.set.resolution

    def _patience(self, d: Destination) -> float:
        """Time that each message of a shared call must have when it begins, or it would end it for all."""
        return SILENT_LEAST if d.mean is None else self._overdue_after(d)

    def _overdue_after(self, d: Destination) -> float:
        return self.most if d.mean is None else min(max(SILENT_LEAST, SILENT_TIMES * d.mean), self.most)

    def _wake(self, d: Destination, at: float) -> None:
        if at < math.inf and not self.now < d.wake_at <= at + EPS:
            d.wake_at = max(at, self.now + EPS)
            self._at(d.wake_at, self._join, d)

    def _at(self, when: float, act: Callable[..., None], *args: object) -> None:
        self.seq += 1
        heapq.heappush(self.due, (when, self.seq, act, args))

    def _idle(self, d: Destination) -> None:
        """Nothing held or out for a minute: forget what was learned (design)."""
        d.idle_due = False
        if d.waiting or d.slots:
            return
        if d.used + IDLE_DROP > self.now + EPS:
            d.idle_due = True  # one timer for each destination, not one for each call
            self._at(d.used + IDLE_DROP, self._idle, d)
            return
        d.means, d.mean, d.usual, d.deficit = {}, None, 0.0, 0.0
        for ep in d.endpoints.values():
            ep.recent, ep.bad, ep.conns = (), False, 0
            old, sick = ep.route, self.many and ep.route.sick  # rules 4 and 6 outlast it
            Route.__init__(old, old.endpoints, wait_until=old.wait_until, count=old.count, sick=sick,
                           sick_since=old.sick_since, next_at=old.next_at)

    def _over_share(self, tenant: int) -> bool:
        """Whether a message lies beyond this node's part of its tenant's quota: a bucket of one second."""
        return 0 <= tenant < len(self.shares) and not self.shares[tenant].take(self.now)
