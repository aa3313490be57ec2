"""Settings, events and actions of the decision module.

Times and durations are seconds as floats. Identifiers are opaque: they are
handed back as they came. Nothing here decides anything.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum, IntEnum


class Effect(Enum):
    """What a repeat of a message does at its destination."""

    REPEATABLE = "repeatable"
    BY_KEY = "by_key"
    ONCE = "once"


class DedupScope(Enum):
    """Which endpoints of a destination drop the same repeats."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class WorthLoss(Enum):
    """How a message loses worth after its aim."""

    EVEN = "even"
    BY_HALF = "by_half"


class Outcome(IntEnum):
    """How an attempt or a probe ended."""

    ERROR = 0
    OK = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    MOOT = 7

    @property
    def never_ran(self) -> bool:
        """True where the outcome proves that the attempt had no effect."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class Phase(IntEnum):
    """What the list says of an endpoint; it says nothing of its health."""

    DRAINING = 0
    READY = 1
    GONE = 2


class ListScope(IntEnum):
    """What a piece of list news holds."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


# --- settings -----------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class MessageClass:
    """A class of message."""

    aim: float
    deadline: float
    effect: Effect = Effect.REPEATABLE
    worth: float = 1.0
    late_worth: float = 0.0
    dedup_scope: DedupScope = DedupScope.ALL
    window: float = 0.0
    in_order: bool = False
    aim_stretch: float = 0.0

    def __post_init__(self) -> None:
        _positive("aim", self.aim)
        _positive("deadline", self.deadline)
        for name in ("worth", "late_worth", "window", "aim_stretch"):
            _not_negative(name, getattr(self, name))
        _kind_of("effect", self.effect, Effect)
        _kind_of("dedup_scope", self.dedup_scope, DedupScope)


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of destination."""

    batch: int = 1
    routes_apart: bool = False

    def __post_init__(self) -> None:
        _positive("batch", self.batch)


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant's agreed part of the traffic, over all senders."""

    quota: float

    def __post_init__(self) -> None:
        _not_negative("quota", self.quota)


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a sender is told at its start."""

    classes: tuple[MessageClass, ...]
    slots: int
    max_open: int
    kinds: tuple[Kind, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    instances: int = 1
    max_attempts: int = 3
    over_share_worth: float = 1.0
    worth_loss: WorthLoss = WorthLoss.EVEN
    answer_slack: float = 0.0
    cold_share: float = 0.2
    warm_within: float = 10.0
    fall_multiple: float = 1.5
    fall_span: float = 2.0
    key_rest: float = 0.0
    keepalive: float = 10.0
    dial_timeout: float = 1.0
    streams: int = 1
    max_retry_after: float = 0.0
    resolution: float = 0.005
    on_request: bool = False
    rated: bool = False
    rating_off: float = 0.0
    probing: bool = False
    cancel: bool = False
    second_copies: bool = False
    refused_price: float = 0.0
    tolls: tuple[float, ...] = ()
    batch_bytes: int = (
        65_535  # that all messages of one call may take together (protocol: no body over 64 KiB)
    )

    def kind(self, number: int) -> Kind:
        """A kind of destination by its number; one that is not named is as any."""
        return self.kinds[number] if 0 <= number < len(self.kinds) else Kind()

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        for name in (
            "slots",
            "max_open",
            "instances",
            "max_attempts",
            "warm_within",
            "fall_multiple",
            "fall_span",
            "streams",
            "batch_bytes",
        ):
            _positive(name, getattr(self, name))
        for name in (
            "over_share_worth",
            "answer_slack",
            "cold_share",
            "key_rest",
            "keepalive",
            "dial_timeout",
            "max_retry_after",
            "resolution",
            "refused_price",
            "rating_off",
        ):
            _not_negative(name, getattr(self, name))
        _kind_of("worth_loss", self.worth_loss, WorthLoss)


def _positive(name: str, value: float) -> None:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not value > 0:
        raise ValueError(f"{name}: must be above 0, not {value!r}")


def _not_negative(name: str, value: float) -> None:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not value >= 0:
        raise ValueError(f"{name}: must not be negative, not {value!r}")


def _kind_of(name: str, value: object, kind: type[Enum]) -> None:
    if not isinstance(value, kind):
        raise ValueError(f"{name}: must be one of {[k.value for k in kind]}, not {value!r}")


# --- events -------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the list of endpoints."""

    endpoint: int
    destination: int
    phase: Phase = Phase.READY
    kind: int = 0
    zone: int = 0
    rating: float = 0.0


@dataclass(frozen=True, slots=True)
class Listed:
    """News of the list of endpoints."""

    scope: ListScope
    entries: tuple[Endpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class Tried:
    """An attempt of an earlier life; `sent` is its time if it may have run, None if it never ran."""

    endpoint: int
    sent: float | None


@dataclass(frozen=True, slots=True)
class Arrived:
    """A message was handed in, or is back after a restart; it is owed one final answer in its budget."""

    message: int
    cls: int
    destination: int
    budget: float
    tenant: int = 0
    key: str | None = None
    size_hint: float = 0.0
    history: tuple[Tried, ...] = ()
    early: float | None = (
        None  # seconds for which it is too early to end it undelivered; None: a part of the budget
    )
    owed: bool = (
        False  # an earlier life took it on and never tried it: its first attempt goes before the others'
    )
    batch_bytes: int = 0  # that it takes in a call of several messages


@dataclass(frozen=True, slots=True)
class Settled:
    """An attempt ended; `ended` says that the message is over as well."""

    message: int
    attempt: int
    endpoint: int
    outcome: Outcome
    latency: float
    ended: bool = False
    wait: float = 0.0
    slots_taken: bool = False
    room: float | None = None
    limit: float | None = None
    table_full: bool = False  # of a failed connection: the endpoint is there, and takes no more connections


@dataclass(frozen=True, slots=True)
class Accepted:
    """The answer to an attempt has begun; its time-out no longer runs."""

    message: int
    attempt: int
    endpoint: int


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The client took the message back; no answer is owed."""

    message: int


@dataclass(frozen=True, slots=True)
class Probed:
    """A probe ended."""

    endpoint: int
    outcome: Outcome
    latency: float
    room: float | None = None
    limit: float | None = None


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the sender set is due."""

    token: int


Event = Listed | Arrived | Settled | Accepted | Withdrawn | Probed | TimerFired


# --- actions ------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    """Call an endpoint with a message; its attempts count from 0.

    `within`: seconds after which it must not begin. `call`: messages with the same number travel in one call.
    """

    message: int
    endpoint: int
    timeout: float
    within: float = math.inf
    call: int = 0


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    message: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: handed back, trying again is harmless."""

    message: int
    retry_after: float


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: given up, with no promise about its effect."""

    message: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired after a delay."""

    delay: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Check an endpoint; it counts as a call there."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class Close:
    """Close this sender's idle connections to an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Ask for changes of the list from now on."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the people on call."""

    text: str


Action = Send | Cancel | Refuse | Fail | SetTimer | Probe | Close | Watch | Log
