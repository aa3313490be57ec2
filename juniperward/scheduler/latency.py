"""Latency estimates: how long an attempt should take, when it is overdue, and when it is no longer useful."""

from juniperward.scheduler import tuning
from juniperward.scheduler.estimators import running_mean
from juniperward.scheduler.records import Destination, Message
from juniperward.scheduler.settings import SchedulerSettings


class LatencyEstimates:
    """Running means of the latency by destination and message class, and bounds derived from them."""

    def __init__(self, settings: SchedulerSettings) -> None:
        """Compute the bounds that hold for all message classes."""
        self._resolution_s = settings.timer_resolution_s
        objectives_s = [each.latency_objective_s for each in settings.classes]
        self.min_objective_s = min(objectives_s)
        self.max_objective_s = max(objectives_s)
        self.min_deadline_s = min(each.deadline_s for each in settings.classes)
        self.quantum_s = tuning.QUANTUM_OBJECTIVE_FRACTION * self.min_objective_s

    def record(self, message: Message, latency_s: float) -> None:
        """Add the latency of a delivery to the means of its destination and of its message class.

        Means by class keep a failing or slow class from changing the expected latency of another.
        """
        latency_s = min(latency_s, message.message_class.latency_objective_s)
        destination = message.destination
        weight = tuning.LATENCY_MEAN_WEIGHT
        by_class = destination.latency_by_class_s
        by_class[message.class_index] = running_mean(by_class.get(message.class_index), latency_s, weight)
        destination.mean_latency_s = running_mean(destination.mean_latency_s, latency_s, weight)
        destination.baseline_latency_s = running_mean(
            destination.baseline_latency_s or None, latency_s, tuning.BASELINE_LATENCY_WEIGHT
        )

    def expected_s(self, message: Message) -> float:
        """Return the expected slot time of an attempt in seconds.

        It is the running mean, bounded by the latency objective, or the objective where there is no mean yet.
        """
        destination = message.destination
        objective_s = message.message_class.latency_objective_s
        mean_s = destination.latency_by_class_s.get(message.class_index, destination.mean_latency_s)
        return objective_s if mean_s is None else min(mean_s, objective_s)

    def is_slow(self, destination: Destination) -> bool:
        """Return whether the mean latency of a destination is far above its baseline."""
        return (destination.mean_latency_s or 0.0) > tuning.SLOW_FACTOR * destination.baseline_latency_s

    def min_useful_s(self, destination: Destination) -> float:
        """Return the seconds that a message must have left for another attempt to be useful."""
        if destination.mean_latency_s is None:
            return tuning.MIN_USEFUL_TIMER_STEPS * self._resolution_s
        return tuning.MIN_USEFUL_LATENCY_FACTOR * destination.mean_latency_s

    def overdue_after_s(self, destination: Destination) -> float:
        """Return the seconds after which an attempt is overdue."""
        if destination.mean_latency_s is None:
            return self.max_objective_s
        overdue_s = max(tuning.MIN_OVERDUE_S, tuning.OVERDUE_FACTOR * destination.mean_latency_s)
        return min(overdue_s, self.max_objective_s)

    def min_shared_call_s(self, destination: Destination) -> float:
        """Return the seconds that each message of a shared call must have left.

        The call ends when the time of any of its messages is over.
        """
        if destination.mean_latency_s is None:
            return tuning.MIN_OVERDUE_S
        return self.overdue_after_s(destination)
