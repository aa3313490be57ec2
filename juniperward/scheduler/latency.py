"""How long attempts are expected to take, by what they took; all results are in seconds."""

from __future__ import annotations

from juniperward.scheduler import tuning
from juniperward.scheduler.records import Destination, Message
from juniperward.scheduler.settings import SchedulerSettings


class LatencyEstimates:
    """Running means of latencies by destination and class, and what follows from them."""

    def __init__(self, settings: SchedulerSettings) -> None:
        """Take the bounds from the objectives of all classes."""
        self._resolution_s = settings.timer_resolution_s
        objectives_s = [c.latency_objective_s for c in settings.classes]
        self.min_objective_s, self.max_objective_s = min(objectives_s), max(objectives_s)
        self.quantum_s = tuning.QUANTUM_FRACTION * self.min_objective_s

    def record(self, message: Message, latency_s: float) -> None:
        """Take in a delivery, by class: one that fails or lingers must not change another's cost."""
        latency_s = min(latency_s, message.message_class.latency_objective_s)
        message.destination.record_latency(
            message.class_index, latency_s, tuning.LATENCY_MEAN_WEIGHT, tuning.BASELINE_WEIGHT
        )

    def expected_s(self, message: Message) -> float:
        """Return the slot-time of an attempt: the running mean, at most the objective, where it starts."""
        destination, objective_s = message.destination, message.message_class.latency_objective_s
        mean_s = destination.latency_by_class_s.get(message.class_index, destination.mean_latency_s)
        return objective_s if mean_s is None else min(mean_s, objective_s)

    def is_slow(self, destination: Destination) -> bool:
        """Return whether a destination takes much longer than it usually does."""
        return (destination.mean_latency_s or 0.0) > tuning.SLOW_FACTOR * destination.baseline_latency_s

    def minimum_useful_s(self, destination: Destination) -> float:
        """Return the time under which another attempt is not worth its slot."""
        mean_s = destination.mean_latency_s
        return 0.5 * mean_s if mean_s is not None else 2 * self._resolution_s

    def overdue_after_s(self, destination: Destination) -> float:
        """Return the time after which an attempt is overdue."""
        if destination.mean_latency_s is None:
            return self.max_objective_s
        overdue_s = max(tuning.OVERDUE_MIN_S, tuning.OVERDUE_FACTOR * destination.mean_latency_s)
        return min(overdue_s, self.max_objective_s)

    def shared_call_minimum_s(self, destination: Destination) -> float:
        """Return the time that each message of a shared call must have left, or it would end it for all."""
        return (
            tuning.OVERDUE_MIN_S if destination.mean_latency_s is None else self.overdue_after_s(destination)
        )
