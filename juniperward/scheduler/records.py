"""The records that a scheduler keeps of messages, attempts, endpoints and destinations.

They hold data without decisions: when and where a message is sent is decided elsewhere. Times
(`_at`, `_since`, `_until`) are seconds of the caller's monotonic clock, rates are in calls a second.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from juniperward.scheduler.events import EndpointPhase
from juniperward.scheduler.queues import MessageQueue, Rank
from juniperward.scheduler.route_state import RouteState
from juniperward.scheduler.settings import Idempotency, MessageClass

UNKNOWN_ZONE = -1


@dataclass(slots=True, eq=False)
class Message:
    """A message that has no final answer yet, or still has an attempt in flight.

    Attributes:
        sequence: the position in the order of admission.
        late: whether the latency objective can no longer be met.
        rank: the rank in the queue of its destination; None while it is not queued.
        attempts: the number of attempts so far.
        in_flight: the attempts in flight, by attempt number.
        possibly_executed: when the attempts that may have been executed were sent, by attempt number.
        zone: the zone of the first attempt that may have been executed, or UNKNOWN_ZONE.
        attempt_until: a message with attempts left, which has surely not been executed, is not given up
            before this time.
        never_attempted: whether the message was restored after a restart and has had no attempt.
    """

    id: int
    message_class: MessageClass
    class_index: int
    destination: Destination
    ordering_key: str | None
    expires_at: float
    weight: float
    sequence: int = 0
    late: bool = False
    ended: bool = False
    queued: bool = False
    rank: Rank | None = None
    objective_at: float = 0.0
    not_before: float = 0.0
    attempts: int = 0
    in_flight: dict[int, BatchAttempt] = field(default_factory=dict)
    possibly_executed: dict[int, float] = field(default_factory=dict)
    zone: int = 0
    last_endpoint: int | None = None
    attempt_until: float = 0.0
    never_attempted: bool = False
    batch_bytes: int = 0

    @property
    def idempotency(self) -> Idempotency:
        """The effect of a repeated delivery at the destination."""
        return self.message_class.idempotency

    def record_attempt(self, attempt: BatchAttempt) -> None:
        """Record an attempt of the message, and its zone if no earlier attempt may have been executed."""
        if not self.possibly_executed:
            self.zone = attempt.endpoint.zone
        self.in_flight[self.attempts] = attempt
        self.possibly_executed[self.attempts] = attempt.sent_at
        self.attempts += 1
        self.last_endpoint = attempt.endpoint.id
        attempt.message_ids.add(self.id)


@dataclass(slots=True, eq=False)
class BatchAttempt:
    """One call in flight, which occupies one slot and carries one or more messages.

    Attributes:
        message_ids: the messages whose outcome has not been reported yet.
        cancelled: whether cancellation was requested; the outcome is still to be reported.
        outcome_recorded: whether the outcome, which all messages share, is recorded for the endpoint.
    """

    serial: int
    endpoint: Endpoint
    sent_at: float
    message_ids: set[int]
    overdue: bool = False
    cancelled: bool = False
    outcome_recorded: bool = False


@dataclass(slots=True, eq=False)
class OrderedKey:
    """The messages that share an ordering key, in their order of admission, and the cooldown of the key."""

    queue: deque[Message] = field(default_factory=deque)
    cooldown_until: float = -math.inf


@dataclass(slots=True, eq=False)
class Endpoint:
    """The state of one endpoint; endpoints with the same `route` share its rate limit and its outages.

    Attributes:
        tie_breaker: a random number; without it, all schedulers would prefer the same endpoint.
        in_flight: the calls in flight, by serial number.
        recent_results: whether each of the latest calls was answered, oldest first.
        open_connections: the estimated number of open connections.
        keepalive_factor: the factor on the usual idle timeout of connections.
        is_ready: whether the endpoint list allows calls; written by `set_phase`.
    """

    id: int
    destination: Destination
    route: RouteState
    phase: EndpointPhase
    kind: int
    zone: int
    tie_breaker: float
    in_flight: dict[int, BatchAttempt] = field(default_factory=dict)
    # A tuple, as each deque would take 600 bytes even if empty.
    recent_results: tuple[bool, ...] = ()
    unhealthy: bool = False
    unhealthy_since: float = 0.0
    unresponsive: bool = False
    next_trial_at: float = 0.0
    last_success_at: float = -math.inf
    open_connections: int = 0
    last_used_at: float = -math.inf
    no_new_connection_until: float = -math.inf
    keepalive_factor: float = 1.0
    close_idle_at: float = 0.0
    is_ready: bool = False

    def set_phase(self, phase: EndpointPhase) -> None:
        """Store the phase from the endpoint list, and whether the endpoint is ready."""
        self.phase = phase
        self.is_ready = phase is EndpointPhase.READY

    def record_result(self, answered: bool, remembered: int) -> None:
        """Add the result of a call, and keep the latest `remembered` results."""
        self.recent_results = (*self.recent_results, answered)[-remembered:]

    def consecutive_failures(self) -> int:
        """Return how many of the latest calls failed in a row."""
        for count, answered in enumerate(reversed(self.recent_results)):
            if answered:
                return count
        return len(self.recent_results)

    def mark_unhealthy(self, now: float, unresponsive: bool) -> None:
        """Mark the endpoint unhealthy from now on, and record whether it is unresponsive."""
        self.unhealthy = True
        self.unhealthy_since = now
        self.unresponsive = unresponsive

    def mark_healthy(self) -> None:
        """Mark the endpoint healthy, and discard the results of earlier calls."""
        self.unhealthy = False
        self.recent_results = ()


@dataclass(slots=True, eq=False)
class Destination:
    """The queue of a destination, its deficit counter, and what was learned of its endpoints.

    Attributes:
        shared_route: the route of all endpoints, unless each has its own.
        deficit_s: the slot time that the destination may still use.
        latency_by_class_s: the running mean of the latency, by message class.
        mean_latency_s: the running mean of the latency; None before the first delivery.
        baseline_latency_s: a slower running mean of the latency; 0 before the first delivery.
        wake_at: when the destination is next put on the ring.
        listed_rate_per_s: the calls that all forwarders together may make; 0 if the list names no rate.
        unavailable: whether no endpoint could be called at the latest check. Such a destination stays off the
            ring until an event or a timer puts it back.
        endpoint_order: the endpoints as a list, for random samples.
        recently_called: the endpoints that were called recently, the least recent first.
    """

    id: int
    endpoints: dict[int, Endpoint] = field(default_factory=dict)
    shared_route: RouteState = field(default_factory=RouteState)
    queue: MessageQueue[Message] = field(default_factory=MessageQueue)
    on_ring: bool = False
    deficit_s: float = 0.0
    slots_in_use: int = 0
    latency_by_class_s: dict[int, float] = field(default_factory=dict)
    mean_latency_s: float | None = None
    baseline_latency_s: float = 0.0
    wake_at: float = -math.inf
    listed_rate_per_s: float = 0.0
    last_used_at: float = 0.0
    idle_check_scheduled: bool = False
    unavailable: bool = False
    endpoint_order: list[Endpoint] = field(default_factory=list)
    recently_called: dict[int, Endpoint] = field(default_factory=dict)

    def add(self, endpoint: Endpoint) -> None:
        """Add an endpoint to the destination."""
        self.endpoints[endpoint.id] = endpoint
        self.endpoint_order.append(endpoint)

    def remove(self, endpoint: Endpoint) -> None:
        """Remove an endpoint from the destination."""
        del self.endpoints[endpoint.id]
        self.endpoint_order.remove(endpoint)
        self.recently_called.pop(endpoint.id, None)

    def endpoints_on(self, route: RouteState) -> list[Endpoint]:
        """Return the endpoints of the destination that share a route."""
        return [endpoint for endpoint in self.endpoints.values() if endpoint.route is route]

    def record_call(self, endpoint: Endpoint, now: float, remembered: int) -> None:
        """Record a call to an endpoint, and keep the `remembered` most recently called ones."""
        endpoint.last_used_at = now
        self.last_used_at = now
        self.recently_called.pop(endpoint.id, None)
        self.recently_called[endpoint.id] = endpoint
        if len(self.recently_called) > remembered:
            least_recent = next(iter(self.recently_called))
            del self.recently_called[least_recent]
