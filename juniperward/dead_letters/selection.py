"""Parameters and results of the dead letter store: positions, filters and leases."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple


class SpoolPosition(NamedTuple):
    """How far a forwarder's spool was read into the store: a segment number and a byte offset in it."""

    segment: int
    offset: int


class Position(NamedTuple):
    """A position in the order of messages; a page begins after it."""

    given_up_at: float  # Unix time
    id: str


START_POSITION = Position(-1.0, "")


@dataclass(frozen=True, slots=True)
class Lease:
    """The right to redrive a message once; it is durable before the redrive is submitted.

    Attributes:
        redrive_id: the id under which the redrive is submitted.
        message: the id of the message.
        fence: increases with each lease of the message, so that an earlier lease is recognized.
        forwarder: the forwarder to which the redrive is submitted.
        leased_at: Unix time; column `claimed_at` of the store.
        executed_at: Unix time at which the message may first have executed; None if it cannot have.
    """

    redrive_id: str
    message: str
    fence: int
    forwarder: str
    leased_at: float
    executed_at: float | None


@dataclass(frozen=True, slots=True)
class Filter:
    """Criteria that all must match; None, or no ids, matches every message.

    Attributes:
        ids: ids of messages.
        status: a value of Status.
        destination: the number of the destination.
        class_name: the name of the message class.
        account: the tenant's account.
        idempotency_key: the message's idempotency key.
        since: Unix time; matches messages that were given up at or after it.
        until: Unix time; matches messages that were given up before it.
        redrive_requested: whether an operator has requested a redrive.
        executed_since: Unix time; matches messages that may first have executed at or after it.
    """

    ids: tuple[str, ...] = ()
    status: str | None = None
    destination: int | None = None
    class_name: str | None = None
    account: str | None = None
    idempotency_key: str | None = None
    since: float | None = None
    until: float | None = None
    redrive_requested: bool | None = None
    executed_since: float | None = None

    def sql(self) -> tuple[str, list[Any]]:
        """Return an SQL condition with placeholders, and the values for them."""
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
