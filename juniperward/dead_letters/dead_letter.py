"""What is known of one dead letter, as far as decisions about its redrive need it. Plain data.

Read from the store by `rows.py`, judged by `redrive_safety.py` and matched by `redrive_rules.py`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from juniperward.scheduler.settings import Idempotency


class Status(StrEnum):
    """The status of a dead letter; the values are those written in the store."""

    STORED = "kept"
    LEASED = "claimed"  # a redrive of it is under way, or its outcome is not known
    DELIVERED = "delivered"
    DISCARDED = "discarded"


@dataclass(frozen=True, slots=True)
class DeadLetter:
    """One message that was given up; times are Unix time by the clock of the forwarder's machine."""

    id: str
    status: Status
    idempotency: Idempotency  # of its class
    deduplication_window_s: float  # for which its destination drops a repeat
    executed_at: float | None  # when it may first have executed, over attempts and redrives; None: never
    destination: int
    class_name: str
    account: str
    given_up_at: float
    redrives: int = 0
    redrive_requested: bool = False  # by a person
    destination_confirmed: bool = False  # a person said that the number still means the same destination
    endpoints: tuple[str, ...] = ()  # of its destination, when it was given up
    idempotency_key: str | None = None
