"""The random parameters of a recovery run: sizes, rates and times, drawn before the run starts."""

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
CAPACITY_CHOICES_PER_S = (6.0, 12.0, 25.0, 40.0)
# The ratio of a destination's capacity to its rate limit, `spare` of BENCH-juniperward.md.
CAPACITY_TO_LIMIT_RANGE = (1.15, 1.6)
LISTED_RATE_ERROR_FRACTION = 0.2
TRAFFIC_TO_LIMIT_RANGE = (0.5, 0.9)  # The ratio of the traffic to the rate limit.
ENDPOINT_COUNT_CHOICES = (1, 2, 3)
OUTAGE_START_RANGE_S = (6.0, 14.0)
OUTAGE_DURATION_RANGE_S = (4.0, 12.0)


@dataclass(frozen=True, slots=True)
class RecoveryParameters:
    """The parameters of one run; rates are in calls per second, times in seconds from its start.

    Attributes:
        limit_per_s: the rate limit; it is enforced only in cases with a listed rate.
        listed_rate_per_s: the rate in the endpoint list, which differs from the limit by a random error.
        traffic_per_s: messages per second to the whole fleet.

    """

    case: RecoveryCase
    capacity_per_s: float
    limit_per_s: float
    listed_rate_per_s: float
    traffic_per_s: float
    outage_starts_s: float
    recovers_s: float
    endpoints: int
    settings: SchedulerSettings

    @classmethod
    def draw(cls, case: RecoveryCase, forwarders: int, source: random.Random) -> RecoveryParameters:
        """Return random parameters for a case.

        A change in the order of the draws from `source` changes the runs of every seed.
        """
        capacity_per_s = source.choice(CAPACITY_CHOICES_PER_S)
        limit_per_s = capacity_per_s / source.uniform(*CAPACITY_TO_LIMIT_RANGE)
        listed_rate_per_s = limit_per_s * source.uniform(
            1.0 / (1.0 + LISTED_RATE_ERROR_FRACTION), 1.0 + LISTED_RATE_ERROR_FRACTION
        )
        traffic_per_s = limit_per_s * source.uniform(*TRAFFIC_TO_LIMIT_RANGE)
        outage_starts_s = source.uniform(*OUTAGE_START_RANGE_S)
        recovers_s = outage_starts_s + source.uniform(*OUTAGE_DURATION_RANGE_S)
        endpoints = source.choice(ENDPOINT_COUNT_CHOICES)
        return cls(
            case,
            capacity_per_s,
            limit_per_s,
            listed_rate_per_s,
            traffic_per_s,
            outage_starts_s,
            recovers_s,
            endpoints,
            _scheduler_settings(case, forwarders),
        )

    @property
    def budget(self) -> RecoveryBudget:
        """The load that the destination withstands while it warms up."""
        return RecoveryBudget.of(self.settings, self.capacity_per_s)

    @property
    def ends_s(self) -> float:
        """The end of the warm-up, and of the run."""
        return self.recovers_s + self.settings.warm_up_s

    def in_outage(self, now: float) -> bool:
        """Return whether the destination is in its outage at `now`."""
        return self.outage_starts_s <= now < self.recovers_s


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
        listed_rate_error=LISTED_RATE_ERROR_FRACTION if case.rate_listed else 0.0,
        health_checks=case.health_checks,
        slow_start_capacity_fraction=SLOW_START_FRACTION,
        warm_up_s=WARM_UP_S,
        overload_multiple=OVERLOAD_MULTIPLE,
        overload_span_s=OVERLOAD_SPAN_S,
    )
