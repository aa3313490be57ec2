"""What a recovery run draws from its seed before it starts: sizes, rates and times of the day.

Input: a case, the number of forwarders and the run's random generator; output: `RecoveryParameters`. Called by
`recovery_simulation`.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from juniperward.scheduler.settings import DestinationKind, Idempotency, MessageClass, SchedulerSettings
from juniperward.simulation.objective import DeliveryObjective
from juniperward.simulation.recovery_budget import (
    OVERLOAD_MULTIPLE,
    OVERLOAD_SPAN_S,
    SLOW_START_FRACTION,
    WARM_UP_S,
    RecoveryBudget,
)
from juniperward.simulation.recovery_cases import RecoveryCase

OBJECTIVE = DeliveryObjective(latency_objective_s=3.0, deadline_s=12.0, late_weight=0.3)
CAPACITIES_PER_S = (6.0, 12.0, 25.0, 40.0)
LIMIT_SPARE = (1.15, 1.6)  # range of capacity to limit, `spare` of BENCH-juniperward.md
LISTED_RATE_ERROR = 0.2
TRAFFIC_FRACTION = (0.5, 0.9)  # range of traffic to limit
ENDPOINT_COUNTS = (1, 2, 3)
BEFORE_OUTAGE_S = (6.0, 14.0)
OUTAGE_S = (4.0, 12.0)


@dataclass(frozen=True, slots=True)
class RecoveryParameters:
    """One drawn day; rates in calls a second, times in seconds from its start."""

    case: RecoveryCase
    capacity_per_s: float
    limit_per_s: float  # above which a destination with a listed rate rejects
    listed_rate_per_s: float
    traffic_per_s: float  # messages, of the whole fleet
    outage_begins_s: float
    returns_s: float
    endpoints: int
    settings: SchedulerSettings

    @classmethod
    def draw(cls, case: RecoveryCase, forwarders: int, source: random.Random) -> RecoveryParameters:
        """Return a day drawn from `source`; the order of the draws is part of what a seed means."""
        capacity_per_s = source.choice(CAPACITIES_PER_S)
        limit_per_s = capacity_per_s / source.uniform(*LIMIT_SPARE)
        listed_rate_per_s = limit_per_s * source.uniform(
            1.0 / (1.0 + LISTED_RATE_ERROR), 1.0 + LISTED_RATE_ERROR
        )
        traffic_per_s = limit_per_s * source.uniform(*TRAFFIC_FRACTION)
        outage_begins_s = source.uniform(*BEFORE_OUTAGE_S)
        returns_s = outage_begins_s + source.uniform(*OUTAGE_S)
        endpoints = source.choice(ENDPOINT_COUNTS)
        return cls(
            case,
            capacity_per_s,
            limit_per_s,
            listed_rate_per_s,
            traffic_per_s,
            outage_begins_s,
            returns_s,
            endpoints,
            _scheduler_settings(case, forwarders),
        )

    @property
    def budget(self) -> RecoveryBudget:
        """What the destination bears while it warms up."""
        return RecoveryBudget.of(self.settings, self.capacity_per_s)

    @property
    def ends_s(self) -> float:
        """The end of the warm-up, and of the run."""
        return self.returns_s + self.settings.warm_up_s

    def in_outage(self, now: float) -> bool:
        """Return whether the outage lasts at `now`."""
        return self.outage_begins_s <= now < self.returns_s


def _scheduler_settings(case: RecoveryCase, forwarders: int) -> SchedulerSettings:
    idempotency = Idempotency.NON_IDEMPOTENT if case.health_checks else Idempotency.IDEMPOTENCY_KEY
    message_class = MessageClass(
        OBJECTIVE.latency_objective_s,
        OBJECTIVE.deadline_s,
        idempotency,
        1.0,
        OBJECTIVE.late_weight,
        deduplication_window_s=OBJECTIVE.deadline_s,
    )
    return SchedulerSettings(
        (message_class,),
        slots=24,
        max_open=300,
        kinds=(DestinationKind(case.batch_size),),
        instances=forwarders,
        max_attempts=8,
        max_retry_after_s=2.0,
        cancellation=True,
        answer_slack_s=0.02,
        rates_listed=case.rate_listed,
        listed_rate_error=LISTED_RATE_ERROR if case.rate_listed else 0.0,
        health_checks=case.health_checks,
        slow_start_capacity_fraction=SLOW_START_FRACTION,
        warm_up_s=WARM_UP_S,
        overload_multiple=OVERLOAD_MULTIPLE,
        overload_span_s=OVERLOAD_SPAN_S,
    )
