"""The values that the dead letter store is asked with, and the leases that it gives."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple


class SpoolPosition(NamedTuple):
    """How far a forwarder's spool is in the store: the segment's number and the byte offset in it."""

    segment: int
    offset: int


@dataclass(frozen=True, slots=True)
class Lease:
    """The right to one redrive of a message; it is durable before anything is handed in."""

    redrive_id: str
    message: str
    fence: int
    forwarder: str
    leased_at: float  # Unix time; the store's column is `claimed_at`
    ran_at: float | None


@dataclass(frozen=True, slots=True)
class Filter:
    """Which messages are meant; None takes all."""

    ids: tuple[str, ...] = ()
    stand: str | None = None
    destination: int | None = None
    cls: str | None = None
    account: str | None = None
    key: str | None = None
    since: float | None = None  # given up at or after
    until: float | None = None
    wished: bool | None = None
    ran_since: float | None = None  # first may have run at or after

    def sql(self) -> tuple[str, list[Any]]:
        """Return a condition and its values."""
        parts: list[str] = []
        values: list[Any] = []
        if self.ids:
            parts.append(f"id IN ({','.join('?' * len(self.ids))})")
            values += self.ids
        for name in ("stand", "destination", "cls", "account", "key"):
            if (value := getattr(self, name)) is not None:
                parts.append(f"{name} = ?")
                values.append(value)
        if self.since is not None:
            parts.append("given_up_at >= ?")
            values.append(self.since)
        if self.until is not None:
            parts.append("given_up_at < ?")
            values.append(self.until)
        if self.ran_since is not None:
            parts.append("ran_at >= ?")
            values.append(self.ran_since)
        if self.wished is not None:
            parts.append("wished IS NOT NULL" if self.wished else "wished IS NULL")
        return " AND ".join(parts) or "1", values
