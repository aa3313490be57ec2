"""Simulated destinations: admission, queueing, service times, injected faults and slow start.

Forwarders pass attempts to `receive`; each outcome goes to the callback `on_answer` after the network delay.
The world injects faults with `begin_fault` and `end_fault`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from juniperward.scheduler.events import Outcome
from juniperward.simulation.accounts import Accounts
from juniperward.simulation.model import (
    MEAN_ONE_WAY_S,
    Attempt,
    Member,
    SimulatedDestination,
    SimulatedEndpoint,
)
from juniperward.simulation.random_streams import RandomStreams
from juniperward.simulation.recovery_budget import OVERLOAD_SPAN_S
from juniperward.simulation.scenario import Fault, FaultKind, Traffic
from juniperward.simulation.timeline import Timeline

# A destination takes this long to reject a call or to answer it with an error.
REJECTION_LATENCY_S = 0.001
MIN_RETRY_AFTER_S = 0.01
RATE_LIMIT_WINDOW_S = 1.0
# In slow start, the service time is at most this multiple of the usual one.
MAX_SLOWDOWN_FACTOR = 20.0
MIN_CAPACITY_PER_S = 0.01
# Each message of a batch after the first adds this fraction to the latency.
EXTRA_MESSAGE_LATENCY_FRACTION = 0.1
# A network delay is MEAN_ONE_WAY_S times a random factor, from the minimum to the minimum plus the spread.
MIN_NETWORK_FACTOR, NETWORK_FACTOR_SPREAD = 0.7, 0.6

OnAnswer = Callable[[Attempt, Outcome, float], None]  # attempt, outcome, Retry-After in seconds
# Returns the client's number of a message in an attempt, or None if the forwarder no longer has the message.
MessageOf = Callable[[Attempt, Member], int | None]


class DestinationService:
    """Serves the attempts at the endpoints of all destinations."""

    def __init__(
        self,
        traffic: Traffic,
        destinations: Sequence[SimulatedDestination],
        timeline: Timeline,
        streams: RandomStreams,
        accounts: Accounts,
    ) -> None:
        """Serve the endpoints of `destinations`; the forwarders set `on_answer` and `message_of`."""
        self.on_answer: OnAnswer | None = None
        self.message_of: MessageOf | None = None
        self.destinations = destinations
        self.endpoints = [endpoint for destination in destinations for endpoint in destination.endpoints]
        self._window_s = traffic.deduplication_window_s
        self._effect_memory_s = 2 * traffic.objective.deadline_s + self._window_s
        self._timeline, self._streams, self._accounts = timeline, streams, accounts

    def destination_of(self, endpoint: int) -> SimulatedDestination:
        """Return the destination that the endpoint with this number belongs to."""
        return self.destinations[self.endpoints[endpoint].destination - 1]

    def one_way_latency_s(self) -> float:
        """Return a random network delay in one direction, in seconds."""
        return MEAN_ONE_WAY_S * (MIN_NETWORK_FACTOR + NETWORK_FACTOR_SPREAD * self._streams.network.uniform())

    def receive(self, attempt: Attempt) -> None:
        """Handle an attempt that arrives at its endpoint: reject, fail, serve or queue it."""
        endpoint = self.endpoints[attempt.endpoint]
        destination = self.destination_of(attempt.endpoint)
        if destination.fault is FaultKind.DOWN:
            self._answer(attempt, Outcome.CONNECT_FAILED)
            return
        retry_after_s = self.rejection(destination, endpoint)
        if retry_after_s is not None:
            self._accounts.result.calls_rejected += 1
            self._answer(attempt, Outcome.OVERLOADED, retry_after_s)
        elif destination.fault is FaultKind.UNRESPONSIVE:
            endpoint.unanswered.append(attempt)
        elif self._fails(destination):
            self._answer(attempt, Outcome.ERROR)
        elif endpoint.in_service < destination.group.concurrency:
            self._serve(attempt, endpoint, destination)
        else:
            endpoint.queue.append(attempt)

    def _fails(self, destination: SimulatedDestination) -> bool:
        if destination.fault is not FaultKind.FAILING:
            return False
        return self._streams.rejections.uniform() < destination.fault_magnitude

    # --- rejections ----------------------------------------------------------------------------------------

    def rejection(self, destination: SimulatedDestination, endpoint: SimulatedEndpoint) -> float | None:
        """Count a call; return None if it is accepted, else the Retry-After of its rejection in seconds.

        A Retry-After of 0 means that the rejection carries none.
        """
        group = destination.group
        with_retry_after = self._streams.rejections.uniform() < group.retry_after_fraction
        self._record_call(destination)
        if destination.crashed:
            return 0.0
        if destination.fault is FaultKind.REJECTING:
            retry_after_s = max(destination.fault_ends_s - self._timeline.now, MIN_RETRY_AFTER_S)
            return retry_after_s if with_retry_after else 0.0
        if group.rate_limit_per_s:
            until_next_s = self._over_rate_limit(destination)
            if until_next_s is not None:
                return until_next_s if with_retry_after else 0.0
        return 0.0 if endpoint.outstanding >= group.concurrency + group.queue_limit else None

    def _over_rate_limit(self, destination: SimulatedDestination) -> float | None:
        """Count a call against the rate limit; return None if it is within the limit.

        Otherwise return the seconds until the next call is accepted. The limit is the same in slow start,
        when the lower capacity shows in the service times instead.
        """
        now, accepted_at = self._timeline.now, destination.accepted_at
        while accepted_at and now - accepted_at[0] >= RATE_LIMIT_WINDOW_S:
            accepted_at.popleft()
        if len(accepted_at) >= destination.group.rate_limit_per_s:
            return accepted_at[0] + RATE_LIMIT_WINDOW_S - now
        accepted_at.append(now)
        return None

    def _record_call(self, destination: SimulatedDestination) -> None:
        """Count a call that reaches `destination`; too many calls in slow start crash it."""
        now, reached_at = self._timeline.now, destination.reached_at
        while reached_at and now - reached_at[0] > OVERLOAD_SPAN_S:
            reached_at.popleft()
        reached_at.append(now)
        since_recovery_s = destination.since_recovery_s(now)
        if since_recovery_s is not None:
            destination.crashed |= len(reached_at) > destination.budget.max_calls(since_recovery_s)

    # --- service -------------------------------------------------------------------------------------------

    def _serve(
        self, attempt: Attempt, endpoint: SimulatedEndpoint, destination: SimulatedDestination
    ) -> None:
        endpoint.in_service += 1
        mean_s = self._mean_service_s(destination, len(attempt.members))
        took_s = self._streams.service.gamma(mean_s, destination.group.latency_variation)
        self._timeline.after(took_s, self._finish_service, attempt, endpoint, destination)

    def _mean_service_s(self, destination: SimulatedDestination, messages: int) -> float:
        group = destination.group
        slow = destination.fault is FaultKind.SLOW
        mean_s = group.latency_s * (destination.fault_magnitude if slow else 1.0)
        current_per_s = max(destination.current_capacity_per_s(self._timeline.now), MIN_CAPACITY_PER_S)
        mean_s *= min(group.capacity_per_s / current_per_s, MAX_SLOWDOWN_FACTOR)
        return mean_s * (1 + EXTRA_MESSAGE_LATENCY_FRACTION * (messages - 1))

    def _finish_service(
        self, attempt: Attempt, endpoint: SimulatedEndpoint, destination: SimulatedDestination
    ) -> None:
        """Apply the effect of an attempt, even if its forwarder no longer waits for the answer."""
        endpoint.in_service -= 1
        if destination.fault not in (FaultKind.DOWN, FaultKind.UNRESPONSIVE):
            for member in attempt.members:
                self._apply_effect(attempt, member, destination)
            self._answer(attempt, Outcome.OK)
        if endpoint.queue:
            self._serve(endpoint.queue.popleft(), endpoint, destination)

    def _apply_effect(self, attempt: Attempt, member: Member, destination: SimulatedDestination) -> None:
        assert self.message_of is not None
        message = self.message_of(attempt, member)
        if message is None:
            return
        duplicate = destination.apply_effect(
            message, self._timeline.now, self._window_s, self._effect_memory_s
        )
        self._accounts.result.duplicate_effects += duplicate

    def _answer(self, attempt: Attempt, outcome: Outcome, retry_after_s: float = 0.0) -> None:
        assert self.on_answer is not None
        took_s = 0.0 if outcome is Outcome.OK else REJECTION_LATENCY_S
        arrives_at = self._timeline.now + took_s + self.one_way_latency_s()
        self._timeline.at(arrives_at, self.on_answer, attempt, outcome, retry_after_s)

    # --- faults --------------------------------------------------------------------------------------------

    def begin_fault(self, number: int, fault: Fault) -> None:
        """Start `fault` now at destination `number` (numbered from 1)."""
        destination = self.destinations[number - 1]
        destination.fault = fault.kind
        destination.fault_magnitude = fault.magnitude
        destination.fault_ends_s = self._timeline.now + fault.duration_s

    def end_fault(self, number: int, fault: Fault) -> None:
        """End `fault` at destination `number`; slow start follows, except after a SLOW fault."""
        destination = self.destinations[number - 1]
        destination.fault = FaultKind.NONE
        destination.fault_magnitude = 1.0
        destination.recovered_s = None if fault.kind is FaultKind.SLOW else self._timeline.now
        self._reset_unanswered(destination)

    def _reset_unanswered(self, destination: SimulatedDestination) -> None:
        """Reset the attempts that an unresponsive destination never answered."""
        for endpoint in destination.endpoints:
            for attempt in endpoint.unanswered:
                self._answer(attempt, Outcome.RESET)
            endpoint.unanswered = []
