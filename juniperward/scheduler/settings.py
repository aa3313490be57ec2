"""The settings of a scheduler: classes of message, kinds of destination, limits and rules.

Durations are in seconds, rates per second. A value out of its range raises `SettingsError`, which names the field.
The values of the enumerations are those of settings files and stored data.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class SettingsError(ValueError):
    """A setting is out of its range; `field` names it, `expected` says what it must be."""

    def __init__(self, field: str, expected: str, value: object) -> None:
        """Describe the field, what was expected of it, and the value that it has."""
        super().__init__(f"{field}: must {expected}, not {value!r}")
        self.field = field
        self.expected = expected
        self.value = value


class Idempotency(Enum):
    """What a repeated delivery of a message does at its destination."""

    IDEMPOTENT = "repeatable"  # no harm
    IDEMPOTENCY_KEY = "by_key"  # dropped by its key, for as long as the deduplication window
    NON_IDEMPOTENT = "once"  # takes effect again


class DeduplicationScope(Enum):
    """Which endpoints of a destination drop the same repeats."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class WeightDecay(Enum):
    """How the weight of a message decays after its latency objective."""

    LINEAR = "even"
    HALVING = "by_half"


@dataclass(frozen=True, slots=True)
class MessageClass:
    """A class of message; weights are relative, windows and objectives in seconds."""

    latency_objective_s: float
    deadline_s: float
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    priority_weight: float = 1.0
    late_weight: float = 0.0  # fraction of the weight that is left at the deadline
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_s: float = 0.0
    in_order: bool = False
    objective_stretch: float = 0.0  # checked; no decision reads it

    def __post_init__(self) -> None:
        """Check the ranges; raises SettingsError."""
        _check_positive(self, "latency_objective_s", "deadline_s")
        _check_not_negative(
            self, "priority_weight", "late_weight", "deduplication_window_s", "objective_stretch"
        )
        _check_member("idempotency", self.idempotency, Idempotency)
        _check_member("deduplication_scope", self.deduplication_scope, DeduplicationScope)


@dataclass(frozen=True, slots=True)
class DestinationKind:
    """A kind of destination."""

    batch_size: int = 1  # messages that one call may carry
    separate_routes: bool = False  # each endpoint has its own limit and outages

    def __post_init__(self) -> None:
        """Check the range; raises SettingsError."""
        _check_positive(self, "batch_size")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant's agreed rate of messages, over all forwarders."""

    quota_per_s: float

    def __post_init__(self) -> None:
        """Check the range; raises SettingsError."""
        _check_not_negative(self, "quota_per_s")


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """All settings of a scheduler."""

    classes: tuple[MessageClass, ...]
    slots: int  # attempts that may be in flight at once
    max_open: int  # messages without their final answer that may be open at once
    kinds: tuple[DestinationKind, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    instances: int = 1  # forwarders that share the destinations
    max_attempts: int = 3
    over_quota_weight: float = 1.0  # x the class's weight, for a message beyond its tenant's quota
    weight_decay: WeightDecay = WeightDecay.LINEAR  # checked; no decision reads it
    answer_slack_s: float = 0.0  # after a message's time, in which its final answer is still in time
    slow_start_capacity_fraction: float = 0.2  # of its capacity, that a destination has after an outage
    warm_up_s: float = 10.0  # after which it has all of it
    # x its present capacity, for overload_span_s: the calls with which a destination that warms up fails anew
    overload_multiple: float = 1.5
    overload_span_s: float = 2.0
    key_cooldown_s: float = 0.0  # after an attempt that may still run, before the next message of its key
    keepalive_s: float = 10.0  # after which an idle connection is closed by the endpoint
    dial_timeout_s: float = 1.0
    streams_per_connection: int = 1
    max_retry_after_s: float = 0.0
    timer_resolution_s: float = 0.005
    endpoints_polled: bool = False  # the endpoint list is polled; else it is pushed
    rates_listed: bool = False  # the list names the limit of a destination, in calls a second
    listed_rate_error: float = 0.0  # fraction by which a listed rate may be wrong
    health_checks: bool = False  # health checks are allowed
    cancellation: bool = False  # attempts may be cancelled
    hedging: bool = False  # two attempts of a message may be in flight; no decision reads it
    rejection_price: float = 0.0  # checked; no decision reads it
    zone_tolls: tuple[float, ...] = ()  # no decision reads it
    max_batch_bytes: int = 65_535  # of all messages of one call (protocol: no body over 64 KiB)

    def kind(self, number: int) -> DestinationKind:
        """Return a kind of destination by its number; one without settings is the default."""
        return self.kinds[number] if 0 <= number < len(self.kinds) else DestinationKind()

    def __post_init__(self) -> None:
        """Check the ranges; raises SettingsError."""
        if not self.classes:
            raise SettingsError("classes", "name at least one class", self.classes)
        _check_positive(self, "slots", "max_open", "instances", "max_attempts", "warm_up_s")
        _check_positive(self, "overload_multiple", "overload_span_s", "streams_per_connection")
        _check_positive(self, "max_batch_bytes")
        _check_not_negative(
            self, "over_quota_weight", "answer_slack_s", "slow_start_capacity_fraction", "key_cooldown_s"
        )
        _check_not_negative(self, "keepalive_s", "dial_timeout_s", "max_retry_after_s", "timer_resolution_s")
        _check_not_negative(self, "rejection_price", "listed_rate_error")
        _check_member("weight_decay", self.weight_decay, WeightDecay)


def _check_positive(settings: object, *fields: str) -> None:
    for field in fields:
        value = getattr(settings, field)
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not value > 0:
            raise SettingsError(field, "be above 0", value)


def _check_not_negative(settings: object, *fields: str) -> None:
    for field in fields:
        value = getattr(settings, field)
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not value >= 0:
            raise SettingsError(field, "not be negative", value)


def _check_member(field: str, value: object, members: type[Enum]) -> None:
    if not isinstance(value, members):
        raise SettingsError(field, f"be one of {[member.value for member in members]}", value)
