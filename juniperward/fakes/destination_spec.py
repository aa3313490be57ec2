"""The specification of a fake destination, and the faults that can be injected into it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class FaultMode(StrEnum):
    """The fault of a destination.

    Attributes:
        HEALTHY: No fault.
        REJECTING: Every call is answered with 429 or 503.
        FAILING: A fraction of the calls is answered with 500.
        DOWN: Connections are refused.
        UNRESPONSIVE: Calls are read and never answered.
    """

    HEALTHY = "healthy"
    REJECTING = "rejecting"
    FAILING = "failing"
    DOWN = "down"
    UNRESPONSIVE = "unresponsive"


@dataclass(frozen=True, slots=True)
class DestinationSpec:
    """The properties of a destination.

    Attributes:
        destination: The destination's number.
        endpoints: The number of endpoints.
        latency_s: The mean service time of a call.
        latency_variation: The coefficient of variation of the service time.
        concurrency: The number of calls that an endpoint serves at the same time.
        queue: The number of further calls that can wait at an endpoint.
        rate_limit: The maximum calls per second of all endpoints together; 0 means no limit.
        retry_after_fraction: The fraction of rejections with a Retry-After.
        batch_size: The maximum number of messages in a batch.
        deduplication_window_s: How long a duplicate of a message has no second effect.
        max_connections: The maximum number of connections to each endpoint.
        warm_up_start_fraction: The fraction of the capacity that is available right after an outage.
        warm_up_s: The time from the end of an outage until the full capacity is available.
    """

    destination: int
    kind: str = "small-partners"
    endpoints: int = 2
    latency_s: float = 0.05
    latency_variation: float = 0.3
    concurrency: int = 16
    queue: int = 32
    rate_limit: float = 0.0
    retry_after_fraction: float = 0.8
    batch_size: int = 1
    deduplication_window_s: float = 12.0
    max_connections: int = 1000
    warm_up_start_fraction: float = 0.18
    warm_up_s: float = 10.0

    @property
    def capacity(self) -> float:
        """The calls per second that all endpoints together can serve."""
        return self.rate_limit or self.endpoints * self.concurrency / self.latency_s
