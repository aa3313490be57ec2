"""The values of a recovery run: a forwarder, its messages and its calls in flight. Times are seconds."""

from __future__ import annotations

from dataclasses import dataclass, field

from juniperward.scheduler import DeliveryScheduler


@dataclass(slots=True)
class RecoveryMessage:
    """A message in flight: when it came, and how many attempts were made."""

    arrived_s: float
    attempts: int = 0


@dataclass(slots=True, eq=False)
class Forwarder:
    """A scheduler and what it has in flight."""

    scheduler: DeliveryScheduler
    notified: bool = False  # an attempt that it sent in the outage has failed
    messages: dict[int, RecoveryMessage] = field(default_factory=dict)
    in_flight: dict[tuple[int, int], SimulatedCall] = field(
        default_factory=dict
    )  # by message, attempt number


@dataclass(slots=True)
class SimulatedCall:
    """A call in flight: its messages with their attempt numbers; one without messages is a health check."""

    forwarder: Forwarder
    endpoint: int
    sent_s: float
    members: list[tuple[int, int]]
    over: bool = False
