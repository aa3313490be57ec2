"""The values that the dead letter store is queried with, and the leases that it gives."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple


class SpoolPosition(NamedTuple):
    """How far a forwarder's spool is in the store: the segment's number and the byte offset in it."""

    segment: int
    offset: int


class Position(NamedTuple):
    """A place in the order of messages; a page begins behind it."""

    given_up_at: float  # Unix time
    id: str


START_POSITION = Position(-1.0, "")


@dataclass(frozen=True, slots=True)
class Lease:
    """The right to one redrive of a message; it is durable before anything is submitted."""

    redrive_id: str
    message: str
    fence: int
    forwarder: str
    leased_at: float  # Unix time; the store's column is `claimed_at`
    executed_at: float | None  # when the message first may have executed; None: never


@dataclass(frozen=True, slots=True)
class Filter:
    """Which messages are selected; None (and no ids) selects all. Times are Unix time."""

    ids: tuple[str, ...] = ()
    status: str | None = None
    destination: int | None = None
    class_name: str | None = None
    account: str | None = None
    idempotency_key: str | None = None
    since: float | None = None  # given up at or after
    until: float | None = None  # given up before
    redrive_requested: bool | None = None
    executed_since: float | None = None  # first may have executed at or after

    def sql(self) -> tuple[str, list[Any]]:
        """Return a condition in the store's column names, and its values."""
        conditions = (
            ("stand = ?", self.status),
            ("destination = ?", self.destination),
            ("cls = ?", self.class_name),
            ("account = ?", self.account),
            ("key = ?", self.idempotency_key),
            ("given_up_at >= ?", self.since),
            ("given_up_at < ?", self.until),
            ("ran_at >= ?", self.executed_since),
        )
        parts = [condition for condition, value in conditions if value is not None]
        values: list[Any] = [value for _, value in conditions if value is not None]
        if self.ids:
            parts.append(f"id IN ({','.join('?' * len(self.ids))})")
            values += self.ids
        if self.redrive_requested is not None:
            parts.append("wished IS NOT NULL" if self.redrive_requested else "wished IS NULL")
        return " AND ".join(parts) or "1", values
