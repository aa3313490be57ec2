"""The bodies of the agent's replies: the one place that maps the words of its API to the classes' fields.

The API's words are documented in docs/operators.md and stay. Made by `views`, the reducer and `queries`; encoded by
`api`.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec


class ErrorReply(msgspec.Struct, frozen=True):
    """Why a request was not followed."""

    error: str


class SettingsRejectedReply(msgspec.Struct, frozen=True):
    """Why settings that were read again cannot be used, and each fault with its file, line and field."""

    error: str
    faults: tuple[str, ...]


class SettingsReply(
    msgspec.Struct, frozen=True, omit_defaults=True, rename={"configuration_version": "edition"}
):
    """The version of the settings that were read again."""

    configuration_version: str
    changed: bool | None = None


class DoneReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """An order that was carried out, by its verb, and on which instances."""

    done: str
    instances: tuple[str, ...] | None = None


class LogReply(msgspec.Struct, frozen=True):
    """The last lines of an instance's log."""

    lines: list[str]


class EventsReply(msgspec.Struct, frozen=True):
    """Events of the agent; each has `seq`, `at`, `event`, `level` and its fields."""

    events: list[dict[str, Any]]


class AgentRow(msgspec.Struct, frozen=True, rename={"uptime_s": "up", "cpu_s": "cpu_seconds"}):
    """The agent's own process."""

    name: str
    file: str
    pid: int
    uptime_s: float
    cpu_s: float
    resident_bytes: int
    threads: int


class ServiceRow(
    msgspec.Struct,
    frozen=True,
    rename={"succeeded": "good", "failed": "bad", "success_rate": "share", "window_s": "seconds"},
):
    """The fleet's attempts that finished within the last seconds."""

    succeeded: int
    failed: int
    success_rate: float | None
    window_s: float


class InstanceRow(
    msgspec.Struct,
    frozen=True,
    rename={
        "phase": "state",
        "desired_state": "wanted",
        "uptime_s": "up",
        "configuration_version": "edition",
        "outdated": "stale",
        "reading_age_s": "age",
        "pending": "held",
        "unfinished": "owing",
        "attempts_in_flight": "calls_out",
        "accepted": "taken_on",
        "attempts_failed": "calls_failed",
        "rejected": "turned_away",
        "ejected_destinations": "sick",
        "invariants_broken": "broken",
        "oldest_pending_age_s": "oldest_held",
        "endpoint_list_age_s": "registry_age",
    },
):
    """One instance; what is not known is null. The fields from `pending` on are of its latest reading."""

    name: str
    phase: str
    desired_state: str
    why: str
    pid: int | None
    uptime_s: float | None
    configuration_version: str | None
    outdated: bool
    crashes: int
    reading_age_s: float | None = None
    pending: int | None = None
    unfinished: int | None = None
    attempts_in_flight: int | None = None
    slots: int | None = None
    accepted: int | None = None
    delivered: int | None = None
    attempts_failed: int | None = None
    given_up: int | None = None
    rejected: int | None = None
    ejected_destinations: int | None = None
    invariants_broken: int | None = None
    oldest_pending_age_s: float | None = None
    journal_bytes: int | None = None
    endpoint_list_age_s: float | None = None


class RollStepRow(msgspec.Struct, frozen=True, rename={"detail": "note", "previous_version": "before"}):
    """One instance in a roll."""

    instance: str
    stage: str
    detail: str
    previous_version: str


class RollReply(
    msgspec.Struct,
    frozen=True,
    rename={
        "reason": "why",
        "target_version": "target",
        "batch_size": "at_once",
        "min_ready": "floor",
        "baseline_success_rate": "baseline",
    },
):
    """A roll and each of its steps."""

    id: str
    mode: str
    reason: str
    target_version: str
    batch_size: int
    min_ready: int
    baseline_success_rate: float | None
    over: bool
    steps: tuple[RollStepRow, ...]


class StatusReply(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={"configuration_version": "edition", "meant_to_run": "wanted"},
):
    """The complete fleet of this agent; `agent` is filled in by the thread that answers."""

    agent: AgentRow | msgspec.UnsetType = msgspec.UNSET
    configuration_version: str
    instances: tuple[InstanceRow, ...]
    ready: int
    meant_to_run: int
    service: ServiceRow
    roll: RollReply | None


ReplyBody = (
    ErrorReply
    | SettingsRejectedReply
    | SettingsReply
    | DoneReply
    | LogReply
    | EventsReply
    | AgentRow
    | RollReply
    | StatusReply
    | Mapping[str, Any]  # of an instance's own answers, and of dead letters
)


class ApiResponse(NamedTuple):
    """An HTTP status, and the body that goes with it."""

    status: int
    body: ReplyBody
