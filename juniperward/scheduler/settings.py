"""The settings of a scheduler: message classes, kinds of destination, tenants and limits.

Durations are in seconds, rates per second. A value out of range raises `SettingsError`. Settings files and
stored data contain the values of the enumerations.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class SettingsError(ValueError):
    """A setting is out of range: `field` must satisfy `expected`, a phrase that follows "must"."""

    def __init__(self, field: str, expected: str, value: object) -> None:
        """Create the error for a value of a field."""
        super().__init__(f"{field}: must {expected}, not {value!r}")
        self.field = field
        self.expected = expected
        self.value = value


class Idempotency(Enum):
    """What a repeated delivery of a message does at its destination.

    IDEMPOTENT: it is harmless. IDEMPOTENCY_KEY: within the deduplication window the destination drops it by
    its key. NON_IDEMPOTENT: it takes effect again.
    """

    IDEMPOTENT = "repeatable"
    IDEMPOTENCY_KEY = "by_key"
    NON_IDEMPOTENT = "once"


class DeduplicationScope(Enum):
    """Which endpoints of a destination share the keys by which they drop repeats."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class WeightDecay(Enum):
    """How the weight of a message decays after its latency objective."""

    LINEAR = "even"
    HALVING = "by_half"


@dataclass(frozen=True, slots=True)
class MessageClass:
    """The settings of a class of messages.

    Attributes:
        priority_weight: weight of its messages, relative to those of other classes.
        late_weight: fraction of the weight that a message keeps once it is late.
        objective_stretch: validated, but not used in any decision.
    """

    latency_objective_s: float
    deadline_s: float
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    priority_weight: float = 1.0
    late_weight: float = 0.0
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_s: float = 0.0
    in_order: bool = False
    objective_stretch: float = 0.0

    def __post_init__(self) -> None:
        """Validate the fields; raises SettingsError."""
        _check_positive(self, "latency_objective_s", "deadline_s")
        _check_not_negative(
            self, "priority_weight", "late_weight", "deduplication_window_s", "objective_stretch"
        )
        _check_member("idempotency", self.idempotency, Idempotency)
        _check_member("deduplication_scope", self.deduplication_scope, DeduplicationScope)


@dataclass(frozen=True, slots=True)
class DestinationKind:
    """The settings of a kind of destination.

    Attributes:
        batch_size: maximum number of messages in one call.
        separate_routes: each endpoint has its own rate limit and outages.
    """

    batch_size: int = 1
    separate_routes: bool = False

    def __post_init__(self) -> None:
        """Validate the fields; raises SettingsError."""
        _check_positive(self, "batch_size")


@dataclass(frozen=True, slots=True)
class Tenant:
    """The agreed message rate of a tenant, over all forwarders."""

    quota_per_s: float

    def __post_init__(self) -> None:
        """Validate the fields; raises SettingsError."""
        _check_not_negative(self, "quota_per_s")


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """All settings of a scheduler.

    Fields marked as unused are accepted, but no decision reads them.

    Attributes:
        slots: maximum number of calls in flight.
        max_open: maximum number of messages without their final answer.
        kinds: kinds of destination by number.
        instances: number of forwarders that share the destinations.
        over_quota_weight: factor on the weight of a message beyond the quota of its tenant.
        weight_decay: unused.
        answer_slack_s: how long after the deadline of a message its final answer still counts as in time.
        slow_start_capacity_fraction: fraction of its capacity that a destination has when an outage ends.
        warm_up_s: time after an outage until a destination has its full capacity.
        overload_multiple: factor on the present capacity; calls beyond it for `overload_span_s` make a
            destination that warms up fail again.
        key_cooldown_s: delay of the next message of an ordering key after an attempt that may still run.
        keepalive_s: time after which endpoints close an idle connection.
        endpoints_polled: the endpoint list is polled; otherwise changes are pushed.
        rates_listed: the endpoint list names the rate limit of a destination, in calls per second.
        listed_rate_error: fraction by which a listed rate may be wrong.
        health_checks: health checks are allowed.
        cancellation: attempts may be cancelled.
        hedging: unused; a message may have two attempts in flight.
        rejection_price: unused.
        zone_costs: unused.
        max_batch_bytes: maximum size of all messages of one call; the protocol allows bodies up to 64 KiB.
    """

    classes: tuple[MessageClass, ...]
    slots: int
    max_open: int
    kinds: tuple[DestinationKind, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    instances: int = 1
    max_attempts: int = 3
    over_quota_weight: float = 1.0
    weight_decay: WeightDecay = WeightDecay.LINEAR
    answer_slack_s: float = 0.0
    slow_start_capacity_fraction: float = 0.2
    warm_up_s: float = 10.0
    overload_multiple: float = 1.5
    overload_span_s: float = 2.0
    key_cooldown_s: float = 0.0
    keepalive_s: float = 10.0
    dial_timeout_s: float = 1.0
    streams_per_connection: int = 1
    max_retry_after_s: float = 0.0
    timer_resolution_s: float = 0.005
    endpoints_polled: bool = False
    rates_listed: bool = False
    listed_rate_error: float = 0.0
    health_checks: bool = False
    cancellation: bool = False
    hedging: bool = False
    rejection_price: float = 0.0
    zone_costs: tuple[float, ...] = ()
    max_batch_bytes: int = 65_535

    def kind(self, number: int) -> DestinationKind:
        """Return the settings of a kind of destination by its number; the default ones if it has none."""
        return self.kinds[number] if 0 <= number < len(self.kinds) else DestinationKind()

    def __post_init__(self) -> None:
        """Validate the fields; raises SettingsError."""
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
