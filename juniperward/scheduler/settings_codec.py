"""Reads a scheduler's settings from the object that the platform and the simulator provide.

Times in it are in milliseconds; unknown keys are ignored. An invalid value raises ValueError with its key.
"""

from __future__ import annotations

from enum import Enum
from typing import Any, TypeVar

from juniperward.scheduler.settings import (
    DeduplicationScope,
    DestinationKind,
    Idempotency,
    MessageClass,
    SchedulerSettings,
    SettingsError,
    Tenant,
    WeightDecay,
)

S_PER_MS = 0.001
# The error of listed rates if `Weights` is "rough".
ROUGH_RATE_ERROR_FRACTION = 0.5
Member = TypeVar("Member", bound=Enum)

# The key of each validated field, for error messages.
KEY_BY_FIELD = {
    "latency_objective_s": "AimMs",
    "deadline_s": "DeadlineMs",
    "priority_weight": "Worth",
    "late_weight": "LateWorth",
    "deduplication_window_s": "WindowMs",
    "objective_stretch": "AimStretch",
    "classes": "Services",
    "slots": "Specifics.MaxCalls",
    "max_open": "Limits.MaxOpen",
    "instances": "Instances",
    "max_attempts": "Limits.MaxAttempts",
    "warm_up_s": "Invariants.WarmWithinMs",
    "overload_multiple": "Invariants.FallMultiple",
    "overload_span_s": "Invariants.FallMs",
    "streams_per_connection": "Limits.StreamsPerConn",
    "batch_size": "Specifics.BatchByKind",
    "quota_per_s": "Tenants.QuotaPerS",
    "over_quota_weight": "OverShareWorth",
    "answer_slack_s": "Invariants.AnswerSlackMs",
    "slow_start_capacity_fraction": "Invariants.ColdShare",
    "key_cooldown_s": "Invariants.KeyRestMs",
    "keepalive_s": "Limits.KeepaliveMs",
    "dial_timeout_s": "Limits.DialTimeoutMs",
    "max_retry_after_s": "Limits.MaxRetryAfterMs",
    "timer_resolution_s": "ResolutionMs",
    "rejection_price": "Specifics.RefusedPrice",
}


class SettingsKeyError(ValueError):
    """The value of a key is out of range."""

    def __init__(self, error: SettingsError) -> None:
        """Create the error from that of the field."""
        super().__init__(f"{KEY_BY_FIELD.get(error.field, error.field)}: must {error.expected}")


class ServiceError(ValueError):
    """An entry of `Services`, that is a message class, is invalid."""

    def __init__(self, number: int, problem: str) -> None:
        """Create the error for the entry at an index."""
        super().__init__(f"Services[{number}]: {problem}")
        self.number = number
        self.problem = problem


class UnknownValueError(ValueError):
    """The value of a key is not one of those defined for it."""

    def __init__(self, key: str, value: object) -> None:
        """Create the error for a key and its value."""
        super().__init__(f"{key}: unknown value {value!r}")
        self.key = key
        self.value = value


def read_settings(config: dict[str, Any]) -> SchedulerSettings:
    """Return the settings of a `Config` object; raises ValueError, or KeyError for a missing key."""
    try:
        return _read(config)
    except SettingsError as error:
        raise SettingsKeyError(error) from error


def _read(config: dict[str, Any]) -> SchedulerSettings:
    limits = config.get("Limits", {})
    rules = config.get("Invariants", {})
    specifics = config.get("Specifics", {})
    weights = config.get("Weights")
    return SchedulerSettings(
        classes=tuple(_read_class(n, service) for n, service in enumerate(config.get("Services", []))),
        slots=specifics.get("MaxCalls", 1),
        max_open=limits.get("MaxOpen", 1),
        kinds=_read_kinds(config, specifics),
        tenants=tuple(
            Tenant(quota_per_s=tenant.get("QuotaPerS", 0.0)) for tenant in config.get("Tenants") or []
        ),
        instances=config.get("Instances", 1),
        max_attempts=limits.get("MaxAttempts", 1),
        over_quota_weight=config.get("OverShareWorth", 1.0),
        weight_decay=_member(WeightDecay, "LosesWorth", specifics.get("LosesWorth", "even")),
        answer_slack_s=rules.get("AnswerSlackMs", 0.0) * S_PER_MS,
        slow_start_capacity_fraction=rules.get("ColdShare", 0.2),
        warm_up_s=rules.get("WarmWithinMs", 10000.0) * S_PER_MS,
        overload_multiple=rules.get("FallMultiple", 1.5),
        overload_span_s=rules.get("FallMs", 2000.0) * S_PER_MS,
        key_cooldown_s=(rules.get("KeyRestMs") or 0.0) * S_PER_MS,
        keepalive_s=limits.get("KeepaliveMs", 10000.0) * S_PER_MS,
        dial_timeout_s=limits.get("DialTimeoutMs", 1000.0) * S_PER_MS,
        streams_per_connection=limits.get("StreamsPerConn", 1),
        max_retry_after_s=limits.get("MaxRetryAfterMs", 0.0) * S_PER_MS if limits.get("RetryAfter") else 0.0,
        timer_resolution_s=config.get("ResolutionMs", 5.0) * S_PER_MS,
        endpoints_polled=config.get("MembershipMode") == "on_request",
        rates_listed=weights in ("nominal", "rough"),
        listed_rate_error=ROUGH_RATE_ERROR_FRACTION if weights == "rough" else 0.0,
        health_checks=bool(limits.get("Probing", False)),
        cancellation=bool(limits.get("Cancel", False)),
        hedging=bool(limits.get("MayDuplicate", False)),
        rejection_price=specifics.get("RefusedPrice", 0.0),
        zone_costs=tuple(specifics.get("Toll") or ()),
    )


def _read_kinds(config: dict[str, Any], specifics: dict[str, Any]) -> tuple[DestinationKind, ...]:
    batch_sizes = specifics.get("BatchByKind") or []
    separate = specifics.get("RoutesApart") or []
    count = max(len(config.get("Kinds", [])), len(batch_sizes), len(separate))
    return tuple(
        DestinationKind(
            batch_size=batch_sizes[kind] if kind < len(batch_sizes) else 1,
            separate_routes=bool(kind < len(separate) and separate[kind]),
        )
        for kind in range(count)
    )


def _read_class(number: int, service: dict[str, Any]) -> MessageClass:
    """Return the message class of an entry of `Services`; raises ServiceError."""
    try:
        return MessageClass(
            latency_objective_s=service["AimMs"] * S_PER_MS,
            deadline_s=service["DeadlineMs"] * S_PER_MS,
            idempotency=_member(Idempotency, "Effect", service.get("Effect", "repeatable")),
            priority_weight=service.get("Worth", 1.0),
            late_weight=service.get("LateWorth", 0.0),
            deduplication_scope=_member(DeduplicationScope, "DedupScope", service.get("DedupScope", "all")),
            deduplication_window_s=service.get("WindowMs", 0.0) * S_PER_MS,
            in_order=bool(service.get("InOrder", False)),
            objective_stretch=service.get("AimStretch") or 0.0,
        )
    except SettingsError as error:
        raise ServiceError(number, str(SettingsKeyError(error))) from error
    except KeyError as error:
        raise ServiceError(number, f"{error.args[0]!r} is missing") from error
    except (ValueError, TypeError) as error:
        raise ServiceError(number, str(error)) from error


def _member(members: type[Member], key: str, value: object) -> Member:
    try:
        return members(value)
    except ValueError:
        raise UnknownValueError(key, value) from None
