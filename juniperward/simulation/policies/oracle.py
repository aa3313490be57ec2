"""The oracle: sees the true state of every partner, and is the top that others are measured against."""

from __future__ import annotations

from collections import deque

from juniperward.scheduler.actions import Action
from juniperward.scheduler.settings import SchedulerSettings
from juniperward.simulation.observation import Observation
from juniperward.simulation.policies.baseline import Baseline, DestinationQueue

POLL_S = 0.02  # between its looks at partners that something waits for


class Oracle(Baseline):
    """Sees the present, but not the future.

    It never starts an attempt that would be rejected, fail or wait at a partner, and spends what a partner takes on
    messages that can still be on time. A policy that `sees` is made with what it sees.
    """

    sees = Observation
    tries = 1000

    def __init__(self, settings: SchedulerSettings, seed: int, observation: Observation) -> None:
        """Look at the world through `observation`."""
        super().__init__(settings, seed)
        self._observation = observation
        self._shared: dict[
            int, tuple[float, int]
        ] = {}  # the call that others may join: its moment, its spare capacity (members)

    def _release(self, destination: DestinationQueue, actions: list[Action]) -> None:
        message_class = self.set.classes[0]
        left_after_objective_s = message_class.deadline_s - message_class.latency_objective_s
        held = self.held
        waiting = [held[number] for number in destination.queue if number in held and not held[number].out]
        waiting.sort(
            key=lambda message: (message.expires - left_after_objective_s < self.now, message.expires)
        )
        destination.queue = deque(message.number for message in waiting)
        for message in waiting:
            message.not_before = 0.0
        super()._release(destination, actions)

    def choose(self, destination: DestinationQueue, /) -> int | None:
        """Return an endpoint that would serve an attempt at once."""
        for endpoint in destination.endpoints:
            at, spare_capacity = self._shared.get(endpoint, (-1.0, 0))
            if at == self.now and spare_capacity > 0:
                self._shared[endpoint] = (at, spare_capacity - 1)
                return endpoint
        out = destination.out
        for endpoint in sorted(destination.endpoints, key=lambda number: (out.get(number, 0), number)):
            if self._observation.might_serve(endpoint):
                self._shared[endpoint] = (self.now, self._observation.batch(endpoint) - 1)
                return endpoint
        return None

    def ready_at(self, _destination: DestinationQueue, /) -> float:
        """Return when it looks again."""
        return self.now + POLL_S
