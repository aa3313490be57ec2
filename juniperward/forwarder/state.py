"""What the forwarder knows beside the module: messages held, attempts out, workers listed."""

from __future__ import annotations

from dataclasses import dataclass, field

from juniperward.forwarder.messages import Call, OutcomeNotification, Tried, Worker


@dataclass(slots=True, eq=False)
class Held:
    """A message accepted and not over for the module."""

    number: int
    call: Call
    expires: float
    since: float  # when it came into this process
    due: float = 0.0  # the end of its client's time; `expires` is before it by what its notification may take
    owed: bool = False  # an earlier life accepted it, and no byte of a call was written for it so far
    attempts: int = 0
    attempt_number: int | None = None  # number of the attempt that carries it
    began_at: float = 0.0  # of the latest attempt
    ran_at: float | None = None  # when it first may have run
    story: list[Tried] = field(default_factory=list)  # its attempts, where messages are kept


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt out: its worker and the messages that are still waited for."""

    number: int
    worker: int
    began: float
    waiting: dict[int, int] = field(default_factory=dict)  # message to attempt
    cancelled: bool = False


@dataclass(slots=True)
class State:
    """What the forwarder knows beside the module."""

    held: dict[int, Held] = field(default_factory=dict)
    numbers: dict[str, int] = field(default_factory=dict)  # of held messages, by id
    offered: dict[int, Held] = field(default_factory=dict)  # journalled, their clients not yet told
    unacknowledged: dict[str, OutcomeNotification] = field(default_factory=dict)
    in_flight: dict[int, Attempt] = field(default_factory=dict)
    workers: dict[int, Worker] = field(default_factory=dict)
    worker_numbers: dict[str, int] = field(default_factory=dict)
    gone: set[int] = field(default_factory=set)  # workers that are, and not yet forgotten
    destinations: dict[int, float] = field(default_factory=dict)  # until when each is known
    version: int = 0
    endpoints_updated_at: float | None = None  # when the registry last told something
    epoch: int = 0  # how often the registry has moved
    watching: bool = False  # a watch is asked for, or under way
    probes: dict[int, int] = field(default_factory=dict)  # probes under way: worker, by number
    last_worker: int = 0
    last_message: int = 0
    last_attempt_number: int = 0
    open_until: float = 0.0
    stop_at: float | None = None
    draining: bool = False
    ended: dict[str, float] = field(default_factory=dict)  # ids of messages that are over, and since when
    fenced: dict[str, float] = field(
        default_factory=dict
    )  # resends told unknown, and when: never to be taken
