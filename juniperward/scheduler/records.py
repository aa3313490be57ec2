"""What a scheduler stores of messages, attempts, endpoints and destinations: plain data and its bookkeeping.

The modules under `policy` decide on it. Moments (`_at`, `_since`, `_until`) are seconds of the caller's monotonic
clock, rates calls a second.
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
    """A message without its final answer, or with an attempt in flight."""

    id: int
    message_class: MessageClass
    class_index: int
    destination: Destination
    ordering_key: str | None
    expires_at: float
    weight: float
    sequence: int = 0  # by admission
    late: bool = False  # its latency objective cannot be met any more
    ended: bool = False
    queued: bool = False
    rank: Rank | None = None  # in its queue
    objective_at: float = 0.0
    not_before: float = 0.0
    attempts: int = 0
    in_flight: dict[int, BatchAttempt] = field(default_factory=dict)  # by number of its attempt
    possibly_executed: dict[int, float] = field(default_factory=dict)  # attempts: when they were sent
    zone: int = 0  # of the first attempt that possibly executed, or UNKNOWN_ZONE
    last_endpoint: int | None = None
    attempt_until: float = 0.0  # not given up before, while it surely has not executed
    never_attempted: bool = False  # restored after a restart, without an attempt
    batch_bytes: int = 0

    @property
    def idempotency(self) -> Idempotency:
        """What a repeat of it does."""
        return self.message_class.idempotency

    def record_attempt(self, attempt: BatchAttempt) -> None:
        """Record that the message travels in a call; its zone is that of the first that possibly executed."""
        if not self.possibly_executed:
            self.zone = attempt.endpoint.zone
        self.in_flight[self.attempts] = attempt
        self.possibly_executed[self.attempts] = attempt.sent_at
        self.attempts += 1
        self.last_endpoint = attempt.endpoint.id
        attempt.message_ids.add(self.id)


@dataclass(slots=True, eq=False)
class BatchAttempt:
    """One call in flight: a slot, an endpoint, and the messages that travel in it."""

    serial: int
    endpoint: Endpoint
    sent_at: float
    message_ids: set[int]  # of those whose outcome is to come
    overdue: bool = False
    cancelled: bool = False  # its outcome is still to come
    outcome_recorded: bool = False  # for the endpoint; all its messages share it


@dataclass(slots=True, eq=False)
class OrderedKey:
    """The messages that share an ordering key, in the order admitted, and the cooldown of the key."""

    queue: deque[Message] = field(default_factory=deque)
    cooldown_until: float = -math.inf


@dataclass(slots=True, eq=False)
class Endpoint:
    """What is known of one endpoint; endpoints with the same `route` share its limit and its outages."""

    id: int
    destination: Destination
    route: RouteState
    phase: EndpointPhase
    kind: int
    zone: int
    tie_breaker: float  # random for each scheduler, or all would fill the same endpoint first
    in_flight: dict[int, BatchAttempt] = field(default_factory=dict)  # by serial
    recent_results: tuple[
        bool, ...
    ] = ()  # whether the latest calls were answered; an empty deque takes 600 bytes
    unhealthy: bool = False
    unhealthy_since: float = 0.0
    unresponsive: bool = False
    next_trial_at: float = 0.0
    last_success_at: float = -math.inf
    open_connections: int = 0  # an estimate
    last_used_at: float = -math.inf
    no_new_connection_until: float = -math.inf
    keepalive_factor: float = 1.0  # x the usual time for which an idle connection stays open
    close_idle_at: float = 0.0
    is_ready: bool = False  # whether the list lets it be called, by `set_phase`

    def set_phase(self, phase: EndpointPhase) -> None:
        """Record the phase that the list gives it."""
        self.phase = phase
        self.is_ready = phase is EndpointPhase.READY

    def record_result(self, answered: bool, remembered: int) -> None:
        """Add a call to the latest ones, of which so many are remembered."""
        self.recent_results = (*self.recent_results, answered)[-remembered:]

    def consecutive_failures(self) -> int:
        """Return how many of the latest calls failed since one was answered."""
        for count, answered in enumerate(reversed(self.recent_results)):
            if answered:
                return count
        return len(self.recent_results)

    def mark_unhealthy(self, now: float, unresponsive: bool) -> None:
        """Record the beginning of an outage of the endpoint."""
        self.unhealthy = True
        self.unhealthy_since = now
        self.unresponsive = unresponsive

    def mark_healthy(self) -> None:
        """Record that it answers again; earlier calls count no more."""
        self.unhealthy = False
        self.recent_results = ()


@dataclass(slots=True, eq=False)
class Destination:
    """A queue and its deficit counter, with what was learned of the destination's endpoints."""

    id: int
    endpoints: dict[int, Endpoint] = field(default_factory=dict)
    shared_route: RouteState = field(default_factory=RouteState)
    queue: MessageQueue[Message] = field(default_factory=MessageQueue)
    on_ring: bool = False
    deficit_s: float = 0.0  # slot time that it may still use
    slots_in_use: int = 0
    latency_by_class_s: dict[int, float] = field(default_factory=dict)  # running means
    mean_latency_s: float | None = None
    baseline_latency_s: float = 0.0  # a slower mean; 0 before the first delivery
    wake_at: float = -math.inf  # when it is next put on the ring
    listed_rate: float = 0.0  # calls a second that all forwarders together may make
    last_used_at: float = 0.0
    idle_check_scheduled: bool = False
    closed: bool = False  # no endpoint was open at the latest look: off the ring until an event or a timer
    endpoint_order: list[Endpoint] = field(default_factory=list)  # for random samples
    recently_called: dict[int, Endpoint] = field(default_factory=dict)  # the least recent first

    def add(self, endpoint: Endpoint) -> None:
        """Add an endpoint."""
        self.endpoints[endpoint.id] = endpoint
        self.endpoint_order.append(endpoint)

    def remove(self, endpoint: Endpoint) -> None:
        """Remove an endpoint."""
        del self.endpoints[endpoint.id]
        self.endpoint_order.remove(endpoint)
        self.recently_called.pop(endpoint.id, None)

    def endpoints_on(self, route: RouteState) -> list[Endpoint]:
        """Return the endpoints that share a route."""
        return [endpoint for endpoint in self.endpoints.values() if endpoint.route is route]

    def record_call(self, endpoint: Endpoint, now: float, remembered: int) -> None:
        """Record that an endpoint is called now, as one of so many recently called ones."""
        endpoint.last_used_at = now
        self.last_used_at = now
        self.recently_called.pop(endpoint.id, None)
        self.recently_called[endpoint.id] = endpoint
        if len(self.recently_called) > remembered:
            least_recent = next(iter(self.recently_called))
            del self.recently_called[least_recent]
