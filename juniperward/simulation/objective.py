"""The utility of a delivery to its client, as a function of its latency."""

from __future__ import annotations

from dataclasses import dataclass

MIN_SPAN_S = 1e-9


@dataclass(frozen=True, slots=True)
class DeliveryObjective:
    """The objective of a delivery, with times in seconds from the arrival of the message.

    The utility is 1 up to `latency_objective_s`, then falls linearly to `late_weight` (0 to 1) at
    `deadline_s`.
    """

    latency_objective_s: float
    deadline_s: float
    late_weight: float

    def utility_after(self, latency_s: float) -> float:
        """Return the utility, from 0 to 1, of a delivery `latency_s` after the arrival of its message."""
        span_s = max(self.deadline_s - self.latency_objective_s, MIN_SPAN_S)
        late = max(latency_s - self.latency_objective_s, 0.0) / span_s
        return 1.0 - min(late, 1.0) * (1.0 - self.late_weight)
