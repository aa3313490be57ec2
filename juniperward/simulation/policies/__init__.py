"""Delivery policies that experiments compare: Juniperward's scheduler, baselines and an oracle."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from juniperward.scheduler import DeliveryScheduler
from juniperward.simulation.policies.baseline import Baseline, DestinationQueue
from juniperward.simulation.policies.limits import AdditiveIncrease, Gradient, TokenBucket
from juniperward.simulation.policies.oracle import Oracle
from juniperward.simulation.policies.simple import LeastOutstanding, NoRetry, RoundRobin

__all__ = ["POLICIES", "Baseline", "DestinationQueue", "NoRetry", "policy_name"]

# Former names are accepted in stored results and on the command line.
FORMER_NAMES = {"nickelscale": "juniperward", "one-try": "no-retry"}

POLICIES: dict[str, Callable[..., Any]] = {
    "juniperward": DeliveryScheduler,
    "no-retry": NoRetry,
    "round-robin": RoundRobin,
    "least-outstanding": LeastOutstanding,
    "aimd": AdditiveIncrease,
    "gradient": Gradient,
    "token-bucket": TokenBucket,
    "oracle": Oracle,
}


def policy_name(name: str) -> str:
    """Return the current name of a policy, given its current or a former name."""
    return FORMER_NAMES.get(name, name)
