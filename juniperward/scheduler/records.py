"""What a scheduler keeps of messages, attempts, endpoints and destinations; plain data, no decisions.

Moments (`_at`, `_since`, `_until`) are seconds of the caller's monotonic clock, rates calls a second.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from random import Random

from juniperward.scheduler.estimators import running_mean
from juniperward.scheduler.events import EndpointPhase, MessageAdmitted, PastAttempt
from juniperward.scheduler.queues import MessageQueue, Rank
from juniperward.scheduler.route_state import RouteState
from juniperward.scheduler.settings import DeduplicationScope, Idempotency, MessageClass, SchedulerSettings

UNKNOWN_ZONE = -1


@dataclass(slots=True, eq=False)
class Message:
    """A message that is owed an answer, or has an attempt in flight."""

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
    zone: int = 0  # of the first that possibly executed, or UNKNOWN_ZONE
    last_endpoint: int | None = None
    attempt_until: float = 0.0  # before it, what surely has not executed is not given up
    never_attempted: bool = False  # back after a restart without an attempt
    batch_bytes: int = 0

    @classmethod
    def admitted(
        cls,
        event: MessageAdmitted,
        message_class: MessageClass,
        destination: Destination,
        now: float,
    ) -> Message:
        """Return the record of a message that was admitted now."""
        expires_at = now + event.time_left_s
        return cls(
            event.message,
            message_class,
            event.class_index,
            destination,
            event.ordering_key if message_class.in_order else None,
            expires_at,
            message_class.priority_weight,
            objective_at=expires_at - message_class.deadline_s + message_class.latency_objective_s,
            attempt_until=now + (event.attempt_for_s or 0.0),
            never_attempted=event.never_attempted,
            batch_bytes=event.batch_bytes,
        )

    @property
    def idempotency(self) -> Idempotency:
        """What a repeat of it does."""
        return self.message_class.idempotency

    def bound_to_zone(self) -> bool:
        """Return whether only endpoints of its zone drop a repeat of it."""
        keyed = self.idempotency is Idempotency.IDEMPOTENCY_KEY
        return keyed and self.message_class.deduplication_scope is DeduplicationScope.ZONE

    def restore_attempts(self, history: tuple[PastAttempt, ...], endpoints: Mapping[int, Endpoint]) -> None:
        """Count attempts from before a restart as the message's own."""
        self.attempts, self.last_endpoint = len(history), history[-1].endpoint
        self.possibly_executed = {
            n: past.sent_at for n, past in enumerate(history) if past.sent_at is not None
        }
        executed = (endpoints.get(past.endpoint) for past in history if past.sent_at is not None)
        self.zone = next((endpoint.zone for endpoint in executed if endpoint is not None), UNKNOWN_ZONE)

    def record_attempt(self, attempt: BatchAttempt) -> None:
        """Note that the message travels in a call; its zone is that of the first that possibly executed."""
        if not self.possibly_executed:
            self.zone = attempt.endpoint.zone
        self.in_flight[self.attempts] = attempt
        self.possibly_executed[self.attempts] = attempt.sent_at
        self.attempts += 1
        self.last_endpoint = attempt.endpoint.id
        attempt.members.add(self.id)


@dataclass(slots=True, eq=False)
class BatchAttempt:
    """One call in flight: a slot, an endpoint, and the messages that travel in it."""

    serial: int
    endpoint: Endpoint
    sent_at: float
    members: set[int]
    overdue: bool = False
    cancelled: bool = False  # its outcome is still to come
    outcome_recorded: bool = False  # for the endpoint; all members share it


@dataclass(slots=True, eq=False)
class OrderedKey:
    """The messages that share a key, in the order admitted, and the rest that the key needs."""

    queue: deque[Message] = field(default_factory=deque)
    cooldown_until: float = -math.inf


@dataclass(slots=True, eq=False)
class Endpoint:
    """What is known of one endpoint; `route` is what shares its limit and its outages."""

    id: int
    destination: Destination
    route: RouteState
    phase: EndpointPhase
    kind: int
    zone: int
    tie_breaker: float  # this scheduler's own, or all would fill the same endpoint first
    in_flight: dict[int, BatchAttempt] = field(default_factory=dict)  # by serial
    recent: tuple[bool, ...] = ()  # whether the latest calls were answered; an empty deque takes 600 bytes
    unhealthy: bool = False
    unhealthy_since: float = 0.0
    unresponsive: bool = False
    next_trial_at: float = 0.0
    last_success_at: float = -math.inf
    open_connections: int = 0  # as far as can be told
    last_used_at: float = -math.inf
    no_new_connection_until: float = -math.inf
    keepalive_factor: float = 1.0  # x the usual time for which an idle connection is kept
    close_idle_at: float = 0.0
    is_ready: bool = False  # whether the list lets it be called, by `set_phase`

    def set_phase(self, phase: EndpointPhase) -> None:
        """Take in what the list says of it."""
        self.phase, self.is_ready = phase, phase is EndpointPhase.READY

    def has_connection(self, now: float, settings: SchedulerSettings) -> bool:
        """Return whether a call fits on a connection that is thought open."""
        if now - self.last_used_at > settings.keepalive_s:
            self.open_connections = 0
        return len(self.in_flight) < self.open_connections * settings.streams_per_connection

    def connections_needed(self, settings: SchedulerSettings) -> int:
        """Return how many connections the calls in flight take."""
        return -(-len(self.in_flight) // settings.streams_per_connection)

    def record_success(self, now: float, keepalive_rise: float, remembered: int) -> None:
        """Remember an answer; idle connections are kept longer by the factor."""
        self.last_success_at = now
        self.keepalive_factor = min(self.keepalive_factor * keepalive_rise, 1.0)
        self.recent = (*self.recent, True)[-remembered:]

    def record_failure(self, remembered: int) -> None:
        """Remember a call without an answer."""
        self.recent = (*self.recent, False)[-remembered:]

    def mark_unhealthy(self, now: float, unresponsive: bool) -> None:
        """Note an outage of the endpoint."""
        self.unhealthy, self.unhealthy_since, self.unresponsive = True, now, unresponsive

    def mark_healthy(self) -> None:
        """Note that it answers again; earlier calls say nothing any more."""
        self.unhealthy, self.recent = False, ()

    def failures_in_row(self) -> int:
        """Return how many of the latest calls failed without one that was answered."""
        return next((n for n, answered in enumerate(reversed(self.recent)) if answered), len(self.recent))


@dataclass(slots=True, eq=False)
class Destination:
    """A queue and its deficit counter, with what was learned there."""

    id: int
    endpoints: dict[int, Endpoint] = field(default_factory=dict)
    shared_route: RouteState = field(default_factory=RouteState)
    queue: MessageQueue[Message] = field(default_factory=MessageQueue)
    on_ring: bool = False
    deficit_s: float = 0.0  # slot time that it may still use
    slots: int = 0  # in use
    latency_by_class_s: dict[int, float] = field(default_factory=dict)  # running means
    mean_latency_s: float | None = None
    baseline_latency_s: float = 0.0  # a slower mean
    wake_at: float = -math.inf
    listed_rate: float = 0.0  # calls a second that all forwarders together may make
    last_used_at: float = 0.0
    idle_check_scheduled: bool = False
    closed: bool = False  # no endpoint might be called at the latest look: off the ring until there is news
    endpoint_order: list[Endpoint] = field(default_factory=list)  # for draws
    recently_called: dict[int, Endpoint] = field(default_factory=dict)  # the oldest first

    def add(self, endpoint: Endpoint) -> None:
        """Take in an endpoint."""
        self.endpoints[endpoint.id] = endpoint
        self.endpoint_order.append(endpoint)

    def remove(self, endpoint: Endpoint) -> None:
        """Let go of an endpoint."""
        del self.endpoints[endpoint.id]
        self.endpoint_order.remove(endpoint)
        self.recently_called.pop(endpoint.id, None)

    def endpoints_on(self, route: RouteState) -> list[Endpoint]:
        """Return the endpoints that share a route."""
        return [endpoint for endpoint in self.endpoints.values() if endpoint.route is route]

    def record_call(
        self, endpoint: Endpoint, now: float, remembered: int, settings: SchedulerSettings
    ) -> None:
        """Note that an endpoint is called now, on a connection of its own or a new one; the latest are known."""
        endpoint.last_used_at = self.last_used_at = now
        endpoint.open_connections = max(endpoint.open_connections, endpoint.connections_needed(settings))
        self.recently_called.pop(endpoint.id, None)
        self.recently_called[endpoint.id] = endpoint
        if len(self.recently_called) > remembered:
            del self.recently_called[next(iter(self.recently_called))]

    def record_latency(self, class_index: int, latency_s: float, weight: float, usual_weight: float) -> None:
        """Add a latency to the running means."""
        by_class = self.latency_by_class_s
        by_class[class_index] = running_mean(by_class.get(class_index), latency_s, weight)
        self.mean_latency_s = running_mean(self.mean_latency_s, latency_s, weight)
        self.baseline_latency_s = running_mean(self.baseline_latency_s or None, latency_s, usual_weight)

    def sample_endpoints(self, random: Random, most: int, drawn: int) -> Iterable[Endpoint]:
        """Return all endpoints, or of more than `most` those called of late and a few drawn.

        The cost of a release must not grow with the endpoints; a few drawn are nearly as good a choice as all
        (Mitzenmacher, The power of two choices in randomized load balancing, 2001).
        """
        if len(self.endpoint_order) <= most:
            return self.endpoint_order
        sample = {endpoint.id: endpoint for endpoint in random.choices(self.endpoint_order, k=drawn)}
        return (self.recently_called | sample).values()

    def forget(self, keep_ejection: bool) -> None:
        """Forget what was learned here."""
        self.latency_by_class_s, self.mean_latency_s, self.baseline_latency_s, self.deficit_s = (
            {},
            None,
            0.0,
            0.0,
        )
        for endpoint in self.endpoints.values():
            endpoint.recent, endpoint.unhealthy, endpoint.open_connections = (), False, 0
            endpoint.route.forget(keep_ejection)
