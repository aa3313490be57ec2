"""The oracle: a policy that sees the true state of the destinations, an upper bound for other policies."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from juniperward.scheduler.actions import Action
from juniperward.scheduler.settings import SchedulerSettings
from juniperward.simulation.observation import Observation
from juniperward.simulation.policies.baseline import Baseline, DestinationQueue, QueuedMessage

POLL_INTERVAL_S = 0.02  # The time between two checks of the destinations with waiting messages.


@dataclass(slots=True)
class OpenBatch:
    """A call that starts now, which further messages to the same endpoint may join."""

    started_s: float
    spare_members: int


class Oracle(Baseline):
    """Sees the current state of the destinations, but not the future.

    It avoids attempts that would be rejected, fail or wait at a destination, and prefers messages that can
    still meet their latency objective.
    """

    observation_type = Observation
    max_attempts = 1000

    def __init__(self, settings: SchedulerSettings, seed: int, observation: Observation) -> None:
        """Read the state of the destinations from `observation`."""
        super().__init__(settings, seed)
        self._observation = observation
        self._batches: dict[int, OpenBatch] = {}  # The open batches by endpoint.
        message_class = settings.classes[0]
        self._after_objective_s = message_class.deadline_s - message_class.latency_objective_s

    def _release(self, destination: DestinationQueue, actions: list[Action]) -> None:
        """Sort the queue by deadline, messages past their latency objective last, and start attempts."""
        queued = [self.pending[number] for number in destination.queue if number in self.pending]
        waiting = [message for message in queued if not message.in_flight]
        waiting.sort(key=self._urgency)
        destination.queue = deque(message.number for message in waiting)
        for message in waiting:
            message.not_before_s = 0.0
        super()._release(destination, actions)

    def _urgency(self, message: QueuedMessage) -> tuple[bool, float]:
        late = message.expires_s - self._after_objective_s < self.now
        return late, message.expires_s

    def choose_endpoint(self, destination: DestinationQueue, /) -> int | None:
        """Return an endpoint that would serve an attempt at once, or None."""
        for endpoint in destination.endpoints:
            batch = self._batches.get(endpoint)
            if batch is not None and batch.started_s == self.now and batch.spare_members > 0:
                batch.spare_members -= 1
                return endpoint
        in_flight = destination.in_flight
        for endpoint in sorted(destination.endpoints, key=lambda number: (in_flight.get(number, 0), number)):
            if self._observation.reserve(endpoint):
                spare_members = self._observation.batch_size(endpoint) - 1
                self._batches[endpoint] = OpenBatch(self.now, spare_members)
                return endpoint
        return None

    def admits_at(self, _destination: DestinationQueue, /) -> float:
        """Return the time of the next check."""
        return self.now + POLL_INTERVAL_S
