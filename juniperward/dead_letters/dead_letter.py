"""The properties of a dead letter that decide about its redrive. Plain data.

`rows.py` reads them from the store; `redrive_safety.py` and `redrive_rules.py` evaluate them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from juniperward.scheduler.settings import Idempotency


class Status(StrEnum):
    """The status of a dead letter; the values are those in the store."""

    STORED = "kept"
    LEASED = "claimed"  # A redrive is in progress, or its outcome is unknown.
    DELIVERED = "delivered"
    DISCARDED = "discarded"


@dataclass(frozen=True, slots=True)
class DeadLetter:
    """One message that was given up; times are Unix time by the clock of the forwarder's machine.

    Attributes:
        id: the message's id.
        status: where the message is in its life cycle.
        idempotency: the idempotency of the message's class.
        deduplication_window_s: how long the destination drops repeats with the same idempotency key.
        executed_at: when an attempt or redrive may first have executed; None if none can have.
        destination: the number of the destination.
        class_name: the name of the message class.
        account: the tenant's account.
        given_up_at: when the forwarder gave the message up.
        redrives: how many redrives may have reached the destination.
        redrive_requested: an operator has requested a redrive.
        destination_confirmed: an operator has confirmed that the number still denotes the same destination.
        endpoints: the destination's endpoints when the message was given up.
        idempotency_key: the key by which the destination detects a repeat.
    """

    id: str
    status: Status
    idempotency: Idempotency
    deduplication_window_s: float
    executed_at: float | None
    destination: int
    class_name: str
    account: str
    given_up_at: float
    redrives: int = 0
    redrive_requested: bool = False
    destination_confirmed: bool = False
    endpoints: tuple[str, ...] = ()
    idempotency_key: str | None = None
