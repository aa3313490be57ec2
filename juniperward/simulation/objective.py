"""The utility of a delivery by its latency, as clients value it."""

from __future__ import annotations

from dataclasses import dataclass

LEAST_SPAN_S = 1e-9


@dataclass(frozen=True, slots=True)
class DeliveryObjective:
    """Utility is 1 up to `latency_objective_s`, then falls evenly to `late_weight` (0 to 1) at `deadline_s`.

    Times are seconds from the message's arrival.
    """

    latency_objective_s: float
    deadline_s: float
    late_weight: float

    def utility_after(self, latency_s: float) -> float:
        """Return the utility, from 0 to 1, of a delivery that took `latency_s`."""
        span_s = max(self.deadline_s - self.latency_objective_s, LEAST_SPAN_S)
        late = max(latency_s - self.latency_objective_s, 0.0) / span_s
        return 1.0 - min(late, 1.0) * (1.0 - self.late_weight)
