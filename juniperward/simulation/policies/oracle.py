"""The oracle: sees the true state of every destination, and is the upper bound that others are measured against."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from juniperward.scheduler.actions import Action
from juniperward.scheduler.settings import SchedulerSettings
from juniperward.simulation.observation import Observation
from juniperward.simulation.policies.baseline import Baseline, DestinationQueue, QueuedMessage

POLL_S = 0.02  # between its looks at destinations that something waits for


@dataclass(slots=True)
class OpenBatch:
    """A call of this moment that further messages may join."""

    started_s: float
    spare_members: int


class Oracle(Baseline):
    """Sees the present, but not the future.

    It never starts an attempt that would be rejected, fail or wait at a destination, and spends a destination's
    capacity on messages that can still meet their latency objective.
    """

    observation_type = Observation
    max_attempts = 1000

    def __init__(self, settings: SchedulerSettings, seed: int, observation: Observation) -> None:
        """Look at the world through `observation`."""
        super().__init__(settings, seed)
        self._observation = observation
        self._batches: dict[int, OpenBatch] = {}  # by endpoint
        message_class = settings.classes[0]
        self._after_objective_s = message_class.deadline_s - message_class.latency_objective_s

    def _release(self, destination: DestinationQueue, actions: list[Action]) -> None:
        """Order the queue by deadline, with messages past their latency objective last."""
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
        """Return an endpoint that would serve an attempt at once."""
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
        """Return when it looks again."""
        return self.now + POLL_S
