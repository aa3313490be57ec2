"""Simulated forwarders: each runs the real scheduler or another policy in simulated time.

They accept messages from the clients, give events to their policies and carry out the returned actions:
attempts go to the destinations, rejections back to the clients. The world starts and kills them.
"""

from __future__ import annotations

from juniperward.scheduler.actions import Action, CancelAttempt, Fail, Reject, SetTimer, StartAttempt
from juniperward.scheduler.events import (
    AttemptFinished,
    EndpointEntry,
    EndpointListUpdated,
    EndpointPhase,
    Event,
    ListScope,
    MessageAdmitted,
    Outcome,
    TimerFired,
)
from juniperward.scheduler.settings import SchedulerSettings
from juniperward.simulation.accounts import Accounts
from juniperward.simulation.clients import Clients
from juniperward.simulation.destinations import DestinationService
from juniperward.simulation.model import (
    Attempt,
    Member,
    Message,
    MessageOutcome,
    PendingMessage,
    Policy,
    SimulatedForwarder,
)
from juniperward.simulation.random_streams import RandomStreams
from juniperward.simulation.timeline import Timeline

# The Retry-After with which a forwarder rejects messages at its limit of pending messages.
AT_LIMIT_RETRY_AFTER_S = 1.0
# The journaled messages are resubmitted this long after their forwarder was killed.
RESTART_DELAY_S = 1.0
TIME_TOLERANCE_S = 1e-6
SEED_LIMIT = 2**31


class Forwarders:
    """Holds the state of all forwarders and carries out the actions of their policies."""

    def __init__(
        self,
        count: int,
        settings: SchedulerSettings,
        timeline: Timeline,
        streams: RandomStreams,
        accounts: Accounts,
    ) -> None:
        """Create `count` forwarders, which need `connect` before they can start."""
        self.all = [SimulatedForwarder(number) for number in range(count)]
        self._settings, self._timeline, self._streams, self._accounts = settings, timeline, streams, accounts

    def connect(
        self, clients: Clients, service: DestinationService, policy: Policy, observation: object | None
    ) -> None:
        """Connect the forwarders to clients and destinations.

        Each forwarder gets an instance of `policy`, made with `observation` unless that is None.
        """
        self._clients, self._service = clients, service
        self._policy, self._observation = policy, observation
        clients.submit = self.submit
        service.on_answer = self._finish
        service.message_of = self._message_of

    # --- messages ------------------------------------------------------------------------------------------

    def submit(self, message: Message) -> None:
        """Submit a message to a random forwarder that is up.

        The message is rejected if no forwarder is up, if its deadline has passed, or if that forwarder has
        reached its limit of pending messages.
        """
        time_left_s = message.arrived_s + self._settings.classes[0].deadline_s - self._timeline.now
        up = [forwarder for forwarder in self.all if forwarder.up]
        if not up or time_left_s <= 0.0:
            if message.outcome is MessageOutcome.UNFINISHED:
                message.outcome = MessageOutcome.REJECTED
            self._accounts.close(message)
            return
        forwarder = up[int(self._streams.clients.uniform() * len(up))]
        if len(forwarder.pending) >= self._settings.max_open:
            self._clients.reject(message, AT_LIMIT_RETRY_AFTER_S, MessageOutcome.REJECTED_AT_LIMIT)
            return
        self._admit(forwarder, message, time_left_s)

    def _admit(self, forwarder: SimulatedForwarder, message: Message, time_left_s: float) -> None:
        forwarder.last_number += 1
        number = forwarder.last_number
        forwarder.pending[number] = PendingMessage(message)
        idempotency_key = str(message.number)
        self._notify(
            forwarder, MessageAdmitted(number, 0, message.destination, time_left_s, 0, idempotency_key)
        )

    def _message_of(self, attempt: Attempt, member: Member) -> int | None:
        forwarder = self.all[attempt.forwarder]
        if forwarder.incarnation != attempt.incarnation:
            return None
        pending = forwarder.pending.get(member.message)
        return pending.message.number if pending is not None else None

    # --- processes -----------------------------------------------------------------------------------------

    def start(self, forwarder: SimulatedForwarder) -> None:
        """Start a forwarder with a new policy instance that knows only the endpoint list."""
        forwarder.up = True
        seed = int(self._streams.schedulers.source.integers(SEED_LIMIT))
        observation = (self._observation,) if self._observation is not None else ()
        forwarder.policy = self._policy(self._settings, seed, *observation)
        entries = tuple(
            EndpointEntry(
                endpoint.number,
                destination.number,
                EndpointPhase.READY,
                destination.kind,
                0,
                destination.group.rate_limit_per_s,
            )
            for destination in self._service.destinations
            for endpoint in destination.endpoints
        )
        self._notify(forwarder, EndpointListUpdated(ListScope.FULL, entries))

    def kill(self, forwarder: SimulatedForwarder) -> None:
        """Kill a forwarder; its journaled messages are submitted again after RESTART_DELAY_S."""
        for message in forwarder.end_process():
            self._clients.resubmit(message, RESTART_DELAY_S)

    # --- rounds --------------------------------------------------------------------------------------------

    def _notify(self, forwarder: SimulatedForwarder, event: Event) -> None:
        """Queue an event for a policy, which handles all events of the same time in one round."""
        forwarder.inbox.append(event)
        if not forwarder.round_scheduled:
            forwarder.round_scheduled = True
            self._timeline.after(0.0, self._run_round, forwarder, forwarder.incarnation)

    def _run_round(self, forwarder: SimulatedForwarder, incarnation: int) -> None:
        if forwarder.incarnation != incarnation:
            return
        forwarder.round_scheduled = False
        events, forwarder.inbox = forwarder.inbox, []
        starts: dict[int, list[StartAttempt]] = {}
        for action in forwarder.policy.handle(self._timeline.now, events):
            if isinstance(action, StartAttempt):
                starts.setdefault(action.endpoint, []).append(action)
            else:
                self._execute(forwarder, action)
        for endpoint, started in starts.items():
            self._send(forwarder, endpoint, started)

    def _execute(self, forwarder: SimulatedForwarder, action: Action) -> None:
        match action:
            case SetTimer(delay_s=delay_s, token=token):
                incarnation = forwarder.incarnation
                self._timeline.after(delay_s, self._fire_timer, forwarder, incarnation, token)
            case Reject(message=number, retry_after_s=retry_after_s):
                pending = forwarder.pending.pop(number, None)
                if pending is not None:
                    outcome = MessageOutcome.REJECTED_BY_POLICY
                    self._clients.reject(pending.message, retry_after_s, outcome)
            case Fail(message=number):
                pending = forwarder.pending.pop(number, None)
                if pending is not None:
                    pending.message.outcome = MessageOutcome.FAILED
                    self._accounts.close(pending.message)
            case CancelAttempt(message=number, attempt=attempt_number):
                attempt = forwarder.in_flight.get(Member(number, attempt_number))
                if attempt is not None:
                    self._timeline.after(0.0, self._finish, attempt, Outcome.CANCELLED, 0.0)

    def _fire_timer(self, forwarder: SimulatedForwarder, incarnation: int, token: int) -> None:
        if forwarder.incarnation == incarnation:
            self._notify(forwarder, TimerFired(token))

    # --- attempts ------------------------------------------------------------------------------------------

    def _send(self, forwarder: SimulatedForwarder, endpoint: int, started: list[StartAttempt]) -> None:
        """Start the attempts at an endpoint, in calls of at most the destination's batch size."""
        destination = self._service.destination_of(endpoint)
        retry_after_until = forwarder.retry_after_until.get(destination.number, 0.0)
        if retry_after_until > self._timeline.now + TIME_TOLERANCE_S:
            self._accounts.result.retry_after_violations += 1
        batch_size = destination.group.batch_size
        for first in range(0, len(started), batch_size):
            self._call(forwarder, endpoint, started[first : first + batch_size])

    def _call(self, forwarder: SimulatedForwarder, endpoint: int, started: list[StartAttempt]) -> None:
        attempt = Attempt(forwarder.number, forwarder.incarnation, endpoint, [], self._timeline.now)
        for start in started:
            pending = forwarder.pending[start.message]
            member = Member(start.message, pending.attempts)
            pending.attempts += 1
            attempt.members.append(member)
            forwarder.in_flight[member] = attempt
        self._accounts.result.calls += 1
        timeout_s = min(start.timeout_s for start in started)
        self._timeline.after(timeout_s, self._finish, attempt, Outcome.TIMEOUT, 0.0)
        self._timeline.after(self._service.one_way_latency_s(), self._service.receive, attempt)

    def _finish(self, attempt: Attempt, outcome: Outcome, retry_after_s: float) -> None:
        """Report the outcome of an attempt to its forwarder; later outcomes are ignored."""
        forwarder = self.all[attempt.forwarder]
        if attempt.finished or forwarder.incarnation != attempt.incarnation:
            return
        attempt.finished = True
        now = self._timeline.now
        destination = self._service.destination_of(attempt.endpoint).number
        if retry_after_s > 0:
            until = forwarder.retry_after_until.get(destination, 0.0)
            forwarder.retry_after_until[destination] = max(now + retry_after_s, until)
        delivered = outcome is Outcome.OK
        latency_s = now - attempt.sent_s
        for member in attempt.members:
            forwarder.in_flight.pop(member, None)
            if delivered:
                self._deliver(forwarder, member.message)
            finished = AttemptFinished(
                member.message, member.attempt, attempt.endpoint, outcome, latency_s, delivered, retry_after_s
            )
            self._notify(forwarder, finished)

    def _deliver(self, forwarder: SimulatedForwarder, number: int) -> None:
        """Close a message as delivered, unless it is no longer pending."""
        pending = forwarder.pending.pop(number, None)
        if pending is None:
            return
        pending.message.outcome = MessageOutcome.DELIVERED
        pending.message.delivered_s = self._timeline.now
        self._accounts.close(pending.message)
