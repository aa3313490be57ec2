"""Which endpoint a message goes to, and which destinations may not be called now."""

import math

from juniperward.scheduler import tuning
from juniperward.scheduler.actions import StartHealthCheck
from juniperward.scheduler.admission import rank
from juniperward.scheduler.batching import Batching
from juniperward.scheduler.records import Destination, Endpoint, Message
from juniperward.scheduler.retries import may_give_up
from juniperward.scheduler.scheduler_part import GiveUp, SchedulerPart, SchedulerState
from juniperward.scheduler.settings import Idempotency
from juniperward.scheduler.slow_start import SlowStart
from juniperward.scheduler.timers import TIME_EPSILON_S


class Routing(SchedulerPart):
    """Chooses endpoints."""

    def __init__(
        self, state: SchedulerState, slow_start: SlowStart, batching: Batching, give_up: GiveUp
    ) -> None:
        """Choose among what the other parts leave open."""
        super().__init__(state)
        self._slow_start, self._batching, self.give_up = slow_start, batching, give_up

    def choose(self, destination: Destination, head: Message) -> tuple[Message, Endpoint] | None:
        """Return the message and the endpoint to release, or None while there is none."""
        ejected, destination.closed = self._is_ejected(destination), False
        if not self._has_slot(destination, ejected):
            return None
        opens_at, candidates = self._open_endpoints(destination)
        if not candidates:
            self._close(destination, head, ejected, opens_at)
            return None
        if candidates[0].route.ejected or candidates[0].unhealthy:
            trial = self._message_for_trial(head, candidates[0])
            if trial is None:
                return None
            head = trial
        candidates = [endpoint for endpoint in candidates if self._suits(endpoint, head)]
        if not candidates:
            destination.queue.remove(head)
            self._backlog.enqueue_at(head, self._now + tuning.RETRY_FIRST_S)
            return None
        return head, min(candidates, key=lambda endpoint: self._preference(endpoint, head))

    def _has_slot(self, destination: Destination, ejected: bool) -> bool:
        slots, slow = self._settings.slots, self._latency.is_slow(destination)
        share = tuning.EJECTED_SLOT_FRACTION if ejected or slow else tuning.HEALTHY_SLOT_FRACTION
        if destination.slots >= max(1, int(share * slots)):
            return False
        if not ejected:
            return True
        # The trials of many unresponsive destinations must not take the slots of the others.
        trials = sum(self._is_ejected(a.endpoint.destination) for a in self._backlog.in_flight.values())
        return trials < max(1, int(tuning.TRIAL_SLOT_FRACTION * slots))

    def _open_endpoints(self, destination: Destination) -> tuple[list[float], list[Endpoint]]:
        """Return when endpoints open, and those that are open; all are looked at before none is found."""
        most, drawn = tuning.RECENT_ENDPOINTS, tuning.SAMPLED_ENDPOINTS
        sample = destination.sample_endpoints(self._random, most, drawn)
        for looked_at in (sample, destination.endpoint_order):
            ready = [endpoint for endpoint in looked_at if endpoint.is_ready]  # rule 3
            opens_at, until = list(map(self.opens_at, ready)), self._now + TIME_EPSILON_S
            candidates = [ready[place] for place, at in enumerate(opens_at) if at <= until]
            if candidates or looked_at is destination.endpoint_order:
                break
        return opens_at, candidates

    def _close(self, destination: Destination, head: Message, ejected: bool, opens_at: list[float]) -> None:
        destination.closed = True
        wake_at = min(opens_at, default=math.inf)
        last_useful_at = head.expires_at - self._latency.minimum_useful_s(destination)
        if ejected and self._now < last_useful_at < wake_at < math.inf:
            if may_give_up(head, self._now):
                # It cannot be served in time: answered at once, to free its place.
                self.give_up(head)
                destination.closed = False
            wake_at = min(wake_at, max(head.attempt_until, self._now))
        self._backlog.make_ready_at(destination, wake_at)

    def _message_for_trial(self, head: Message, endpoint: Endpoint) -> Message | None:
        """A trial may fail with its effect unknown: risk a message that bears a repeat, or a health check."""
        if head.idempotency is not Idempotency.NON_IDEMPOTENT:
            return head
        bearing = [m for m in head.destination.queue if m.idempotency is not Idempotency.NON_IDEMPOTENT]
        if bearing or not self._settings.health_checks:
            return min(bearing, key=rank, default=head)
        self._act(StartHealthCheck(endpoint.id))
        self._slow_start.record_call(endpoint, 1.0)
        return None

    @staticmethod
    def _is_ejected(destination: Destination) -> bool:
        ready = (endpoint for endpoint in destination.endpoints.values() if endpoint.is_ready)
        return all(endpoint.unhealthy or endpoint.route.ejected for endpoint in ready)

    def opens_at(self, endpoint: Endpoint) -> float:
        """Return when an endpoint may next be called: by Retry-After, its limit, its trials or its ramp."""
        route, in_flight, warm_up_s = endpoint.route, endpoint.in_flight.values(), self._settings.warm_up_s
        if self._large_fleet and route.ejected and route.next_call_at < self._now - warm_up_s:
            # Its trial fell due while nothing was held: messages of a clump must not all be trials at once.
            route.next_call_at = self._now + self._random.random() * warm_up_s
        opens_at = max(
            route.retry_after_until, route.last_call_at + self._batching.spacing(endpoint)
        )  # rule 6
        limited = route.rate_limit is not None or route.slow_start_since is not None
        if route.ejected or limited or route.staggered:
            opens_at = max(opens_at, route.next_call_at)
        if route.ejected and any(a.sent_at >= route.ejected_at and not a.overdue for a in in_flight):
            return math.inf  # one trial at a time; its outcome or its silence opens the next
        if endpoint.unhealthy and not route.ejected:
            return max(opens_at, endpoint.next_trial_at)
        unanswered = any(a.overdue and a.sent_at > endpoint.last_success_at for a in in_flight)
        if unanswered and any(not a.overdue for a in in_flight):
            return math.inf  # one overdue call is no proof of silence, but more must not be risked with it
        return opens_at

    def _suits(self, endpoint: Endpoint, message: Message) -> bool:
        """Whether it is reachable, and would drop a repeat of what possibly executed."""
        if message.possibly_executed and endpoint.zone != message.zone and message.bound_to_zone():
            return False
        may_connect = endpoint.no_new_connection_until <= self._now
        return may_connect or endpoint.has_connection(self._now, self._settings)

    def _preference(self, endpoint: Endpoint, message: Message) -> tuple[bool, bool, bool, int, float]:
        tried_last = endpoint.id == message.last_endpoint and message.attempts > 0
        new_connection = not endpoint.has_connection(self._now, self._settings)
        return endpoint.unhealthy, tried_last, new_connection, len(endpoint.in_flight), endpoint.tie_breaker
