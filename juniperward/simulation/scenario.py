"""Data model of a scenario: the forwarders, the destinations, the traffic and the faults.

`scenario_loader` reads scenarios from the text format. Times are in seconds, rates in messages or calls per
second, fractions from 0 to 1.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from juniperward.simulation.objective import DeliveryObjective


class FaultKind(StrEnum):
    """Kinds of injected faults; the values are their names in the text format."""

    NONE = "NONE"
    DOWN = "DOWN"  # Connections are refused.
    FAILING = "FAILING"  # A fraction of the calls fails immediately.
    REJECTING = "SHUT"  # All calls are rejected.
    SLOW = "SLOW"  # Calls take `magnitude` times as long.
    UNRESPONSIVE = "SILENT"  # Calls get no answer.
    HOT = "HOT"  # The destination receives an additional fraction of all messages.
    KILL = "KILL"  # A fraction of the forwarders is killed, and restarted at the end of the fault.


@dataclass(frozen=True, slots=True)
class Fault:
    """An injected fault.

    Attributes:
        destinations: the numbers (from 1) of the affected destinations; unused for KILL.
        magnitude: a multiple of the latency for SLOW; a fraction of the calls for FAILING, of the forwarders
            for KILL, of the traffic for HOT.

    """

    kind: FaultKind
    starts_s: float
    duration_s: float
    destinations: tuple[int, ...]
    magnitude: float


@dataclass(frozen=True, slots=True)
class DestinationGroup:
    """`count` equal destinations; destinations are numbered from 1 across all groups.

    Attributes:
        traffic_fraction: the traffic of the whole group, relative to the other groups.
        endpoints: the number of endpoints of each destination.
        latency_s: the mean service time of a call.
        latency_variation: the coefficient of variation of the service time.
        concurrency: the calls that an endpoint serves at once.
        queue_limit: the calls that may wait at an endpoint in addition.
        rate_limit_per_s: the rate limit of each destination, also in the endpoint list; 0 for none.
        retry_after_fraction: the fraction of the rejections that carry a Retry-After.
        batch_size: the maximum number of messages in one call.

    """

    count: int
    traffic_fraction: float
    endpoints: int
    latency_s: float
    latency_variation: float
    concurrency: int
    queue_limit: int
    rate_limit_per_s: float
    retry_after_fraction: float
    batch_size: int

    @property
    def capacity_per_s(self) -> float:
        """The capacity of a warm destination in calls per second."""
        return float(self.rate_limit_per_s or self.endpoints * self.concurrency / self.latency_s)


@dataclass(frozen=True, slots=True)
class Traffic:
    """The arrivals of messages, and the utility of their deliveries.

    Attributes:
        rate_per_s: the mean rate of messages.
        swing_fraction: the amplitude of the periodic variation of the rate.
        swing_period_s: the period of that variation.
        burst_fraction: the fraction of the messages that arrive in bursts for one destination.
        resubmit_fraction: the fraction of rejected messages that clients submit once more.
        deduplication_window_s: how long a destination ignores repeated calls for a message.

    """

    rate_per_s: float
    swing_fraction: float
    swing_period_s: float
    burst_fraction: float
    burst_size: int
    resubmit_fraction: float
    objective: DeliveryObjective
    deduplication_window_s: float


@dataclass(frozen=True, slots=True)
class Scenario:
    """A validated scenario with defaults filled in.

    Attributes:
        slots: the maximum number of calls in flight of each forwarder.
        max_pending: the maximum number of pending messages of each forwarder.
        text: the text that the scenario was read from.

    """

    name: str
    description: str
    duration_s: float
    forwarders: int
    slots: int
    max_pending: int
    groups: tuple[DestinationGroup, ...]
    traffic: Traffic
    faults: tuple[Fault, ...]
    text: str
