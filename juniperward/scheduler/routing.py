"""Chooses the endpoint of each message, and finds out which destinations may be called now."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from juniperward.scheduler import tuning
from juniperward.scheduler.actions import StartHealthCheck
from juniperward.scheduler.batching import Batching
from juniperward.scheduler.connections import Connections
from juniperward.scheduler.message_order import rank
from juniperward.scheduler.records import Destination, Endpoint, Message
from juniperward.scheduler.retries import may_give_up
from juniperward.scheduler.route_state import RouteState
from juniperward.scheduler.scheduler_part import GiveUp, SchedulerPart, SchedulerState
from juniperward.scheduler.settings import DeduplicationScope, Idempotency
from juniperward.scheduler.slow_start import SlowStart
from juniperward.scheduler.timers import TIME_EPSILON_S


class Choice(NamedTuple):
    """A message to send now, and its endpoint."""

    message: Message
    endpoint: Endpoint


class Availability(NamedTuple):
    """The endpoints that may be called now, and when the first one may; infinity until an event."""

    available_endpoints: list[Endpoint]
    next_available_at: float


class Routing(SchedulerPart):
    """Chooses endpoints by health, rate limit, connections and load."""

    def __init__(
        self,
        state: SchedulerState,
        slow_start: SlowStart,
        batching: Batching,
        connections: Connections,
        give_up: GiveUp,
    ) -> None:
        """Choose among the endpoints that slow start, batching and connections allow."""
        super().__init__(state)
        self._slow_start = slow_start
        self._batching = batching
        self._connections = connections
        self.give_up = give_up

    def choose(self, destination: Destination, head: Message) -> Choice | None:
        """Return a message to send now and its endpoint; None if no slot or endpoint is free.

        A destination without an endpoint that may be called now is marked `unavailable`.
        """
        ejected = self._is_ejected(destination)
        destination.unavailable = False
        if not self._has_free_slot(destination, ejected):
            return None
        availability = self._availability(destination)
        if not availability.available_endpoints:
            self._mark_unavailable(destination, head, ejected, availability.next_available_at)
            return None
        message: Message | None = head
        first = availability.available_endpoints[0]
        if first.route.ejected or first.unhealthy:
            message = self._message_for_trial(head, first)
        if message is None:
            return None
        return self._choose_endpoint(message, availability.available_endpoints)

    def available_at(self, endpoint: Endpoint) -> float:
        """Return when an endpoint may be called, by Retry-After, rate limit, trials and slow start."""
        route = endpoint.route
        if route.ejected and self._large_fleet:
            self._stagger_missed_trial(route)
        spaced_at = route.last_call_at + self._batching.call_spacing_s(endpoint)
        available_at = max(route.retry_after_until, spaced_at)
        limited = route.rate_limit_per_s is not None or route.slow_start_since is not None
        if route.ejected or limited or route.staggered:
            available_at = max(available_at, route.next_call_at)
        if endpoint.in_flight and self._awaits_outcome(endpoint):
            return math.inf
        if endpoint.unhealthy and not route.ejected:
            return max(available_at, endpoint.next_trial_at)
        return available_at

    def _choose_endpoint(self, message: Message, endpoints: list[Endpoint]) -> Choice | None:
        suitable = [endpoint for endpoint in endpoints if self._suits(endpoint, message)]
        if suitable:
            return Choice(message, min(suitable, key=lambda endpoint: self._preference(endpoint, message)))
        message.destination.queue.remove(message)
        self._backlog.enqueue_at(message, self._now + tuning.RETRY_INITIAL_BACKOFF_S)
        return None

    def _has_free_slot(self, destination: Destination, ejected: bool) -> bool:
        slots = self._settings.slots
        fraction = tuning.HEALTHY_SLOT_FRACTION
        if ejected or self._latency.is_slow(destination):
            fraction = tuning.SLOW_OR_EJECTED_SLOT_FRACTION
        if destination.slots_in_use >= max(1, int(fraction * slots)):
            return False
        if not ejected:
            return True
        # Trials of many unresponsive destinations must leave slots to the others.
        calls = self._backlog.in_flight.values()
        trial_count = sum(self._is_ejected(call.endpoint.destination) for call in calls)
        return trial_count < max(1, int(tuning.TRIAL_SLOT_FRACTION * slots))

    def _availability(self, destination: Destination) -> Availability:
        """Return which endpoints of a sample are available, or of all endpoints if none of the sample is."""
        sample = self._sample(destination)
        availability = self._availability_of(sample)
        if availability.available_endpoints or sample is destination.endpoint_order:
            return availability
        return self._availability_of(destination.endpoint_order)

    def _availability_of(self, endpoints: Iterable[Endpoint]) -> Availability:
        latest = self._now + TIME_EPSILON_S
        available_endpoints: list[Endpoint] = []
        next_available_at = math.inf
        for endpoint in endpoints:
            if not endpoint.is_ready:
                continue
            available_at = self.available_at(endpoint)
            if available_at <= latest:
                available_endpoints.append(endpoint)
            if available_at < next_available_at:
                next_available_at = available_at
        return Availability(available_endpoints, next_available_at)

    def _sample(self, destination: Destination) -> Iterable[Endpoint]:
        """Return all endpoints, or if there are many the recently called ones and some random ones.

        The cost of a choice must not grow with the number of endpoints, and the best of a few random ones is
        nearly as good as the best of all (Mitzenmacher, The power of two choices in randomized load
        balancing, 2001).
        """
        if len(destination.endpoint_order) <= tuning.MAX_RECENT_ENDPOINTS:
            return destination.endpoint_order
        drawn = self._random.choices(destination.endpoint_order, k=tuning.ENDPOINT_SAMPLE_SIZE)
        return (destination.recently_called | {endpoint.id: endpoint for endpoint in drawn}).values()

    def _mark_unavailable(
        self, destination: Destination, head: Message, ejected: bool, next_available_at: float
    ) -> None:
        destination.unavailable = True
        wake_at = next_available_at
        last_useful_at = head.expires_at - self._latency.min_useful_s(destination)
        if ejected and self._now < last_useful_at < next_available_at < math.inf:
            if may_give_up(head, self._now):
                # The message cannot be delivered in time. Answer it now, so that it does not count in
                # `max_open` any more.
                self.give_up(head)
                destination.unavailable = False
            wake_at = min(wake_at, max(head.attempt_until, self._now))
        self._backlog.make_ready_at(destination, wake_at)

    def _message_for_trial(self, head: Message, endpoint: Endpoint) -> Message | None:
        """Return the message of a trial call, None if a health check was sent in its place.

        A trial may fail after the message took effect, so one that may be repeated is preferred. If none is
        queued, a health check is the trial; if health checks are off, the head is.
        """
        if head.idempotency is not Idempotency.NON_IDEMPOTENT:
            return head
        queue = head.destination.queue
        repeatable = [each for each in queue if each.idempotency is not Idempotency.NON_IDEMPOTENT]
        if repeatable or not self._settings.health_checks:
            return min(repeatable, key=rank, default=head)
        self._act(StartHealthCheck(endpoint.id))
        self._slow_start.record_call(endpoint, 1.0)
        return None

    @staticmethod
    def _is_ejected(destination: Destination) -> bool:
        """Return whether no ready endpoint of a destination is healthy."""
        ready = (endpoint for endpoint in destination.endpoints.values() if endpoint.is_ready)
        return all(endpoint.unhealthy or endpoint.route.ejected for endpoint in ready)

    def _stagger_missed_trial(self, route: RouteState) -> None:
        """Delay a trial that has been due for long because no message was queued.

        In a large fleet all forwarders would otherwise send their trials at the start of the next burst.
        """
        warm_up_s = self._settings.warm_up_s
        if route.next_call_at < self._now - warm_up_s:
            route.next_call_at = self._now + self._random.random() * warm_up_s

    @staticmethod
    def _awaits_outcome(endpoint: Endpoint) -> bool:
        """Return whether the next call must wait until calls in flight end or become overdue.

        An ejected route has one trial at a time. At other endpoints an overdue call does not prove that the
        endpoint is unresponsive, but while it is unanswered only one further call is in flight.
        """
        calls = endpoint.in_flight.values()
        route = endpoint.route
        if route.ejected and any(call.sent_at >= route.ejected_at and not call.overdue for call in calls):
            return True
        if endpoint.unhealthy and not route.ejected:
            return False
        unanswered = any(call.overdue and call.sent_at > endpoint.last_success_at for call in calls)
        return unanswered and any(not call.overdue for call in calls)

    def _suits(self, endpoint: Endpoint, message: Message) -> bool:
        """Return whether an endpoint has or may open a connection, and whether a repeat there is safe."""
        other_zone = message.possibly_executed and endpoint.zone != message.zone
        if other_zone and self._is_bound_to_zone(message):
            return False
        return self._connections.may_open(endpoint) or self._connections.has_free_stream(endpoint)

    @staticmethod
    def _is_bound_to_zone(message: Message) -> bool:
        """Return whether only endpoints in the zone of the earlier attempt drop a repeat of the message."""
        has_key = message.idempotency is Idempotency.IDEMPOTENCY_KEY
        return has_key and message.message_class.deduplication_scope is DeduplicationScope.ZONE

    def _preference(self, endpoint: Endpoint, message: Message) -> tuple[bool, bool, bool, int, float]:
        """Return the sort key of an endpoint; the lowest is the best."""
        last_tried = endpoint.id == message.last_endpoint and message.attempts > 0
        needs_connection = not self._connections.has_free_stream(endpoint)
        load = len(endpoint.in_flight)
        return endpoint.unhealthy, last_tried, needs_connection, load, endpoint.tie_breaker
