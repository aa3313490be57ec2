"""Data model of a recovery run: forwarders, messages and calls. Times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass, field

from juniperward.scheduler import DeliveryScheduler


@dataclass(slots=True)
class RecoveryMessage:
    """A pending message: its arrival time, and the number of attempts started for it."""

    arrived_s: float
    attempts: int = 0


@dataclass(slots=True, eq=False)
class Forwarder:
    """A scheduler with its pending messages and calls.

    Attributes:
        notified: whether a call that it sent during the outage has failed.
        messages: pending messages, by number.
        in_flight: calls, by message number and attempt number.

    """

    scheduler: DeliveryScheduler
    notified: bool = False
    messages: dict[int, RecoveryMessage] = field(default_factory=dict)
    in_flight: dict[tuple[int, int], SimulatedCall] = field(default_factory=dict)


@dataclass(slots=True)
class SimulatedCall:
    """A call to an endpoint.

    Attributes:
        members: message numbers with attempt numbers; a call without members is a health check.
        finished: whether its forwarder has an outcome of it.

    """

    forwarder: Forwarder
    endpoint: int
    sent_s: float
    members: list[tuple[int, int]]
    finished: bool = False
