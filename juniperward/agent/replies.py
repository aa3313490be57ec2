"""The bodies of the agent's replies; `rename` maps a field to its key in the API where the two differ.

docs/operators.md documents the keys, which must not change. `views`, the reducer and `queries` create the replies;
`api` encodes them.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec


class ErrorReply(msgspec.Struct, frozen=True):
    """Why a request failed."""

    error: str


class SettingsRejectedReply(msgspec.Struct, frozen=True):
    """Why reloaded settings were rejected, with the file, line and field of each fault."""

    error: str
    faults: tuple[str, ...]


class SettingsReply(
    msgspec.Struct, frozen=True, omit_defaults=True, rename={"configuration_version": "edition"}
):
    """The version of the reloaded settings; `changed` is whether it differs from the version before."""

    configuration_version: str
    changed: bool | None = None


class DoneReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """The verb of a request that was carried out, and the instances that it affected."""

    done: str
    instances: tuple[str, ...] | None = None


class LogReply(msgspec.Struct, frozen=True):
    """The last lines of an instance's log."""

    lines: list[str]


class EventsReply(msgspec.Struct, frozen=True):
    """Log events of the agent, each with `seq`, `at`, `event`, `level` and its own fields."""

    events: list[dict[str, Any]]


class AgentRow(msgspec.Struct, frozen=True, rename={"uptime_s": "up", "cpu_s": "cpu_seconds"}):
    """The process of the agent."""

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
    """The attempts of the whole fleet that ended within the last `window_s` seconds."""

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
    """One instance; unknown values are null. The latest reading fills in the fields from `reading_age_s` on."""

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
    """The progress of a roll on one instance."""

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
    """A roll and its steps."""

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
    """The complete fleet of an agent; the thread of the client fills in `agent`."""

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
    # Replies about dead letters, and the answers of an inspected instance.
    | Mapping[str, Any]
)


class ApiResponse(NamedTuple):
    """The HTTP status and the body of a response."""

    status: int
    body: ReplyBody
