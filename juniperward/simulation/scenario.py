"""A scenario's typed values: a fleet, its destinations, its traffic, and a timetable of faults.

`scenario_loader` makes them from the text format; the world, the search and the benchmarks read them. Times are
seconds, rates messages or calls a second, fractions numbers from 0 to 1.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from juniperward.simulation.objective import DeliveryObjective


class FaultKind(StrEnum):
    """Kinds of injected faults; the values are the text format's names."""

    NONE = "NONE"
    DOWN = "DOWN"  # connections are refused
    FAILING = "FAILING"  # a fraction of the calls fails at once
    REJECTING = "SHUT"  # all calls are rejected
    SLOW = "SLOW"  # calls take `magnitude` times as long
    UNRESPONSIVE = "SILENT"  # calls get no answer
    HOT = "HOT"  # it draws a further fraction of all messages
    KILL = "KILL"  # a fraction of the forwarders is killed, and starts again at the fault's end


@dataclass(frozen=True, slots=True)
class Fault:
    """An injected fault: `kind` from `starts_s` for `duration_s`.

    `destinations` are numbers from 1 (empty for KILL); `magnitude` is the kind's strength (a latency multiple for
    SLOW, a fraction of the calls for FAILING, of the forwarders for KILL, of the traffic for HOT).
    """

    kind: FaultKind
    starts_s: float
    duration_s: float
    destinations: tuple[int, ...]
    magnitude: float


@dataclass(frozen=True, slots=True)
class DestinationGroup:
    """`count` destinations that are alike; their numbers go on from those of the groups before, from 1."""

    count: int
    traffic_fraction: float  # of all of them together, relative to the other groups'
    endpoints: int  # of each destination
    latency_s: float  # mean time of a call
    latency_variation: float  # coefficient of variation
    concurrency: int  # calls that an endpoint serves at once
    queue_limit: int  # calls that wait at an endpoint beyond that
    rate_limit_per_s: float  # of a destination, in the endpoint list; 0: none
    retry_after_fraction: float  # of the rejections, that carry a Retry-After
    batch_size: int  # messages that one call carries at most

    @property
    def capacity_per_s(self) -> float:
        """Calls a second that a destination serves when warm."""
        return float(self.rate_limit_per_s or self.endpoints * self.concurrency / self.latency_s)


@dataclass(frozen=True, slots=True)
class Traffic:
    """How messages come, and the utility of their deliveries."""

    rate_per_s: float
    swing_fraction: float  # the rate goes up and down by it
    swing_period_s: float
    burst_fraction: float  # of the messages, that come in bursts for one destination
    burst_size: int
    resubmit_fraction: float  # of the rejected, that their clients submit once more
    objective: DeliveryObjective
    deduplication_window_s: float  # for which a destination drops a repeat


@dataclass(frozen=True, slots=True)
class Scenario:
    """A checked scenario, with its defaults filled in."""

    name: str
    description: str
    duration_s: float
    forwarders: int
    slots: int  # calls in flight at once, of each forwarder
    max_pending: int  # messages, of each forwarder
    groups: tuple[DestinationGroup, ...]
    traffic: Traffic
    faults: tuple[Fault, ...]
    text: str  # that it was read from
