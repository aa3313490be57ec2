"""The records that the decision module keeps; plain data, no decisions and no tuned values."""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from random import Random

from juniperward.scheduler.interface import MessageClass, Phase

Rank = tuple[bool, float, int]  # place of a message in its queue; the least goes first


@dataclass(slots=True, eq=False)
class Message:
    """A message that is owed an answer, or has an attempt out."""

    id: int
    cls: MessageClass
    index: int
    dest: Destination
    key: str | None
    expires: float
    value: float
    seq: int
    late: bool = False
    ended: bool = False
    waiting: bool = False
    rank: Rank | None = None  # in its queue
    aim_at: float = 0.0
    not_before: float = 0.0
    sends: int = 0
    out: dict[int, Call] = field(default_factory=dict)
    maybe: dict[int, float] = field(default_factory=dict)  # attempts that may have run: their send times
    zone: int = 0  # of the first that may have run
    last: int | None = None  # endpoint of the latest attempt
    early_until: float = 0.0  # before it, what surely has not run is not given up
    owed: bool = False  # an earlier life took it on and never tried it
    batch_bytes: int = 0  # that it takes in a call of several messages


@dataclass(slots=True, eq=False)
class Call:
    """One call out: a slot, an endpoint, and the messages that travel in it."""

    serial: int
    endpoint: Endpoint
    sent: float
    members: set[int]
    overdue: bool = False
    left: bool = False  # called off, its outcome still to come
    judged: bool = False  # its fate was taken in; that of all its members


@dataclass(slots=True, eq=False)
class Endpoint:
    """What is known of one endpoint; `route` is what shares its limit and its outages."""

    id: int
    dest: Destination
    route: Route
    phase: Phase
    kind: int
    zone: int
    place: (
        float  # among its like: an order of this sender's own, or all senders would fill the same one first
    )
    calls: dict[int, Call] = field(default_factory=dict)  # out, by serial
    recent: tuple[
        bool, ...
    ] = ()  # whether the latest calls were answered; a deque takes 600 bytes when empty
    bad: bool = False
    bad_since: float = 0.0
    silent: bool = False
    trial_at: float = 0.0
    last_ok: float = -math.inf
    conns: int = 0  # connections thought open
    used: float = -math.inf
    no_new_until: float = -math.inf  # its connection table is full until then
    keep: float = (
        1.0  # part of the usual time for which an idle connection is kept; less where its table is full
    )
    rest_at: float = 0.0  # when its idle connections have been kept for long enough


@dataclass(slots=True, eq=False)
class Route:
    """Endpoints that share a limit and outages: a destination's all, or one where routes are apart."""

    endpoints: list[Endpoint] = field(default_factory=list)
    sick: bool = False
    sick_since: float = 0.0
    cold_since: float | None = None
    rate: float = 0.0  # delivered calls a second, decaying
    rate_at: float = 0.0
    born: float | None = None
    known: float = 0.0  # delivered rate before the outage
    called: float = -math.inf  # time of the latest call
    next_at: float = 0.0  # the bucket's or the pace's next free moment
    wait_until: float = -math.inf
    sends: list[float] = field(default_factory=list)  # send times of the last seconds
    limit: float = 0.0  # calls a second of all senders, as told with an answer
    room: float = 0.0  # share of it left, as told
    pace: float | None = None
    cut_at: float = -math.inf
    step_at: float = 0.0
    full_run: int = 0
    doubts: int = 0  # failures and refusals since the last delivery
    spread: bool = False  # told of one failure: its next call waits for `next_at`
    count: int = 0  # deliveries
    full_since: float = 0.0

    def sent(self, now: float, memory: float) -> None:
        """Remember a call for so many seconds."""
        self.sends.append(now)
        while self.sends[0] < now - memory:
            self.sends.pop(0)

    def delivered(self, now: float, memory: float) -> None:
        """Add a delivery to a rate that fades within so many seconds."""
        self.rate = self.rate * math.exp((self.rate_at - now) / memory) + 1 / memory
        self.rate_at = now

    def told(self, limit: float, room: float, weight: float) -> None:
        """Take in a report: noise of the limit is evened out, the room is the newest."""
        self.limit += (weight if self.limit > 0 else 1.0) * (limit - self.limit)
        self.room = min(max(room, 0.0), 1.0)

    def has_room(self, now: float, low: float, age: float) -> bool:
        """Whether it refuses for another reason than its limit.

        Reports are late: after a delivery, a room counts once refusals have gone on for longer than its age.
        """
        refused_for_long = self.full_run > 0 and now - self.full_since > age
        return self.room >= low and (self.born is None or refused_for_long)

    def lately(self, now: float, memory: float) -> float:
        """Calls a second that were delivered lately, by a memory that fades within so many seconds."""
        if self.born is None:
            return 0.0
        seen = 1 - math.exp(-max(now - self.born, 2.0) / memory)
        return self.rate * math.exp((self.rate_at - now) / memory) / seen


@dataclass(slots=True, eq=False)
class MessageQueue:
    """A priority queue; what is taken out or ranked anew leaves an entry behind that is dropped when it comes up."""

    entries: list[tuple[Rank, Message]] = field(default_factory=list)
    length: int = 0

    def __len__(self) -> int:
        return self.length

    def __iter__(self) -> Iterator[Message]:
        """Iterate over all that wait, in no order."""
        return (message for rank, message in self.entries if message.waiting and rank == message.rank)

    def put(self, message: Message, rank: Rank) -> None:
        """Take a message in, or rank it anew."""
        self.length += not message.waiting
        message.waiting, message.rank = True, rank
        heapq.heappush(self.entries, (rank, message))

    def remove(self, message: Message) -> None:
        """Let go of a message; nothing happens where it does not wait."""
        self.length -= message.waiting
        message.waiting = False

    def head(self) -> Message | None:
        """Return the first message, which stays."""
        while self.entries:
            rank, message = self.entries[0]
            if message.waiting and rank == message.rank:
                return message
            heapq.heappop(self.entries)
        return None

    def draw(self, most: int, room_bytes: int, fits: Callable[[Message], bool]) -> list[Message]:
        """Take out up to `most` messages that fit, also together, in their order; at most as many are passed over."""
        drawn: list[Message] = []
        passed: list[Message] = []
        while len(drawn) < most and len(passed) < most and (message := self.head()) is not None:
            self.remove(message)
            if message.batch_bytes <= room_bytes and fits(message):
                room_bytes -= message.batch_bytes
                drawn.append(message)
            else:
                passed.append(message)
        for message in passed:
            assert message.rank is not None
            self.put(message, message.rank)
        return drawn


@dataclass(slots=True, eq=False)
class Destination:
    """A queue and its deficit counter, with what was learned there."""

    id: int
    endpoints: dict[int, Endpoint] = field(default_factory=dict)
    shared: Route = field(default_factory=Route)
    queue: MessageQueue = field(default_factory=MessageQueue)
    on_ring: bool = False
    deficit: float = 0.0
    slots: int = 0
    means: dict[int, float] = field(default_factory=dict)  # by class
    mean: float | None = None
    usual: float = 0.0
    wake_at: float = -math.inf
    rating: float = 0.0  # calls a second that all senders together may make, as listed
    used: float = 0.0
    idle_due: bool = False  # a look at whether it is idle is due
    closed: bool = False  # no endpoint might be called at the latest look: off the ring until there is news
    order: list[Endpoint] = field(default_factory=list)  # its endpoints, for draws
    lately: dict[int, Endpoint] = field(default_factory=dict)  # the latest that were called, oldest first

    @property
    def waiting(self) -> int:
        """How many messages wait for a release."""
        return len(self.queue)

    def add(self, ep: Endpoint) -> None:
        """Take in an endpoint."""
        self.endpoints[ep.id] = ep
        self.order.append(ep)
        ep.route.endpoints.append(ep)

    def remove(self, ep: Endpoint) -> None:
        """Let go of an endpoint."""
        del self.endpoints[ep.id]
        ep.route.endpoints.remove(ep)
        self.order.remove(ep)
        self.lately.pop(ep.id, None)

    def called(self, ep: Endpoint, now: float, wide: int) -> None:
        """Note that an endpoint is called now; the latest `wide` are known."""
        ep.used = self.used = now
        self.lately.pop(ep.id, None)
        self.lately[ep.id] = ep
        if len(self.lately) > wide:
            del self.lately[next(iter(self.lately))]

    def some(self, random: Random, wide: int, drawn: int) -> Iterable[Endpoint]:
        """All endpoints, or of more than `wide` those called lately, with connections open, and a few drawn.

        The cost of a release must not grow with the endpoints; a few drawn are nearly as good a choice as all
        (Mitzenmacher, The power of two choices in randomized load balancing, 2001).
        """
        if len(self.order) <= wide:
            return self.order
        return (self.lately | {ep.id: ep for ep in random.choices(self.order, k=drawn)}).values()


@dataclass(slots=True, eq=False)
class Turn:
    """The messages that share a key, in the order taken, and the rest that the key needs."""

    queue: deque[Message] = field(default_factory=deque)
    rest_until: float = -math.inf


@dataclass(slots=True, eq=False)
class Bucket:
    """A token bucket that holds a second's worth, one token at least."""

    rate: float  # tokens a second
    level: float = 1.0
    at: float = 0.0

    def take(self, now: float) -> bool:
        """Take a token; whether there was one."""
        self.level = min(max(self.rate, 1.0), self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True
