"""What a fake destination is and what may be wrong with it: plain values that tests and benchmarks give it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class FaultMode(StrEnum):
    """What is wrong with a destination."""

    HEALTHY = "healthy"
    REJECTING = "rejecting"  # every call is answered by 429 or 503
    FAILING = "failing"  # a fraction of the calls is answered by 500
    DOWN = "down"  # connections are refused
    UNRESPONSIVE = "unresponsive"  # calls are read and never answered


@dataclass(frozen=True, slots=True)
class DestinationSpec:
    """What a destination is; rates in calls a second."""

    destination: int
    kind: str = "small-partners"
    endpoints: int = 2
    latency_s: float = 0.05  # mean time of a call
    latency_variation: float = 0.3  # its coefficient of variation
    concurrency: int = 16  # calls that an endpoint serves at once
    queue: int = 32  # calls that wait beyond that
    rate_limit: float = 0.0  # of all endpoints together; 0: none
    retry_after_fraction: float = 0.8  # of the rejections that carry a Retry-After
    batch_size: int = 1
    deduplication_window_s: float = 12.0
    max_connections: int = 1000  # of each endpoint
    warm_up_start_fraction: float = 0.18  # of its capacity right after an outage
    warm_up_s: float = 10.0  # until all of it is back

    @property
    def capacity(self) -> float:
        """Calls a second that all endpoints can serve."""
        return self.rate_limit or self.endpoints * self.concurrency / self.latency_s
