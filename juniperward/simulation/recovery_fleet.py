"""The forwarders of a recovery run: real schedulers that call the simulated destination.

`submit` adds messages and `finish` reports the outcomes of calls. Deliveries are counted in a
`RecoveryResult`. Times are in seconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from juniperward.scheduler import DeliveryScheduler
from juniperward.scheduler.actions import (
    Action,
    CancelAttempt,
    Fail,
    Reject,
    SetTimer,
    StartAttempt,
    StartHealthCheck,
)
from juniperward.scheduler.events import (
    AttemptFinished,
    EndpointEntry,
    EndpointListUpdated,
    EndpointPhase,
    Event,
    HealthCheckFinished,
    ListScope,
    MessageAdmitted,
    Outcome,
    TimerFired,
)
from juniperward.simulation.recovery_destination import RecoveryDestination
from juniperward.simulation.recovery_load import RecoveryResult
from juniperward.simulation.recovery_model import Forwarder, RecoveryMessage, SimulatedCall
from juniperward.simulation.recovery_parameters import OBJECTIVE, RecoveryParameters
from juniperward.simulation.timeline import Timeline

DESTINATION = 1
HEALTH_CHECK_TIMEOUT_S = 1.0


class RecoveryFleet:
    """Runs the forwarders of one recovery run."""

    def __init__(
        self,
        schedulers: Sequence[DeliveryScheduler],
        parameters: RecoveryParameters,
        destination: RecoveryDestination,
        timeline: Timeline,
        result: RecoveryResult,
    ) -> None:
        """Create a forwarder for each scheduler, and receive the destination's answers."""
        self.forwarders = [Forwarder(scheduler) for scheduler in schedulers]
        # The utility of the delivered messages that arrived since the start of the outage.
        self.total_utility = 0.0
        self._case, self._parameters = parameters.case, parameters
        self._destination, self._timeline, self._result = destination, timeline, result
        self._last_message_number = 0
        destination.on_answer = self.finish

    def list_endpoints(self) -> None:
        """Give each forwarder the endpoint list."""
        listed_rate_per_s = self._parameters.listed_rate_per_s if self._case.rate_listed else 0.0
        entries = tuple(
            EndpointEntry(number, DESTINATION, EndpointPhase.READY, 0, 0, listed_rate_per_s)
            for number in range(self._parameters.endpoints)
        )
        for forwarder in self.forwarders:
            self._handle(forwarder, [EndpointListUpdated(ListScope.FULL, entries)])

    def submit(self, number: int, count: int) -> None:
        """Admit `count` new messages at forwarder `number` (numbered from 0)."""
        now = self._timeline.now
        forwarder = self.forwarders[number]
        admitted: list[Event] = []
        for _ in range(count):
            self._last_message_number += 1
            forwarder.messages[self._last_message_number] = RecoveryMessage(now)
            self._result.offered += now >= self._parameters.outage_starts_s
            admitted.append(MessageAdmitted(self._last_message_number, 0, DESTINATION, OBJECTIVE.deadline_s))
        self._handle(forwarder, admitted)

    # --- rounds --------------------------------------------------------------------------------------------

    def _handle(self, forwarder: Forwarder, events: Iterable[Event]) -> None:
        """Pass events to a forwarder's scheduler, and carry out the actions it returns."""
        starts: dict[int, list[StartAttempt]] = {}
        for action in forwarder.scheduler.handle(self._timeline.now, events):
            if isinstance(action, StartAttempt):
                starts.setdefault(action.endpoint, []).append(action)
            else:
                self._execute(forwarder, action)
        batch_size = self._case.batch_size
        for endpoint, started in starts.items():
            for first in range(0, len(started), batch_size):
                self._send_batch(forwarder, endpoint, started[first : first + batch_size])

    def _execute(self, forwarder: Forwarder, action: Action) -> None:
        match action:
            case SetTimer(delay_s=delay_s, token=token):
                self._timeline.after(delay_s, self._handle, forwarder, (TimerFired(token),))
            case Reject(message=message) | Fail(message=message):
                forwarder.messages.pop(message, None)
            case CancelAttempt(message=message, attempt=attempt):
                call = forwarder.in_flight.get((message, attempt))
                if call is not None:
                    self._timeline.after(0.0, self.finish, call, Outcome.CANCELLED)
            case StartHealthCheck(endpoint=endpoint):
                call = SimulatedCall(forwarder, endpoint, self._timeline.now, [])
                self._send(call, HEALTH_CHECK_TIMEOUT_S)

    # --- calls ---------------------------------------------------------------------------------------------

    def _send_batch(self, forwarder: Forwarder, endpoint: int, started: list[StartAttempt]) -> None:
        call = SimulatedCall(forwarder, endpoint, self._timeline.now, [])
        for start in started:
            message = forwarder.messages[start.message]
            call.members.append((start.message, message.attempts))
            forwarder.in_flight[start.message, message.attempts] = call
            message.attempts += 1
        self._send(call, min(start.timeout_s for start in started))

    def _send(self, call: SimulatedCall, timeout_s: float) -> None:
        self._timeline.after(timeout_s, self.finish, call, Outcome.TIMEOUT)
        one_way_latency_s = self._destination.one_way_latency_s()
        self._timeline.after(one_way_latency_s, self._destination.receive, call, call.forwarder.notified)

    def finish(self, call: SimulatedCall, outcome: Outcome, retry_after_s: float = 0.0) -> None:
        """Report the outcome of a call to its forwarder; later outcomes are ignored."""
        if call.finished:
            return
        call.finished = True
        forwarder = call.forwarder
        self._notify(forwarder, call, outcome)
        latency_s = self._timeline.now - call.sent_s
        delivered = outcome is Outcome.OK
        events: list[Event] = []
        for number, attempt in call.members:
            forwarder.in_flight.pop((number, attempt), None)
            if delivered:
                self._deliver(forwarder, number)
            events.append(
                AttemptFinished(number, attempt, call.endpoint, outcome, latency_s, delivered, retry_after_s)
            )
        if not call.members:
            events.append(HealthCheckFinished(call.endpoint, outcome, latency_s))
        self._handle(forwarder, events)

    def _notify(self, forwarder: Forwarder, call: SimulatedCall, outcome: Outcome) -> None:
        """Mark the forwarder as notified if a call that it sent during the outage failed."""
        if outcome is Outcome.OK or forwarder.notified or not self._parameters.in_outage(call.sent_s):
            return
        forwarder.notified = True
        self._result.notified += self._timeline.now < self._parameters.recovers_s

    def _deliver(self, forwarder: Forwarder, number: int) -> None:
        """Count a message as delivered, unless it is no longer pending."""
        message = forwarder.messages.pop(number, None)
        if message is None:
            return
        now = self._timeline.now
        self._result.delivered += now >= self._parameters.recovers_s
        if message.arrived_s >= self._parameters.outage_starts_s:
            self.total_utility += OBJECTIVE.utility_after(now - message.arrived_s)
