"""The cases of the recovery simulation: how a destination fails, and how its traffic arrives."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Outage(StrEnum):
    """How the destination fails; the values are labels in tables and part of the random seed."""

    FAILING = "failing"  # The destination answers each call with an error at once.
    MOSTLY_FAILING = "mostly failing"  # The destination answers four of five calls with an error.
    # The destination accepts calls and does not answer; the calls are reset when it recovers.
    UNRESPONSIVE = "silent"
    REJECTING = "shut"  # The destination rejects each call.
    # The destination rejects each call, with a Retry-After that ends with the outage.
    REJECTING_WITH_RETRY_AFTER = "shut, wait told"
    DOWN = "down"  # The destination refuses connections, so that no call reaches it.


# The labels of a case's traits. They are part of the random seed: a changed label changes the runs.
TRAIT_LABELS = {
    "rate_listed": "listed",
    "uneven_traffic": "uneven",
    "half_idle": "half see",
    "bursts": "clumps",
    "health_checks": "probing",
}


@dataclass(frozen=True, slots=True)
class RecoveryCase:
    """What happens to the destination, and how its traffic arrives.

    Attributes:
        rate_listed: the destination has a rate limit, which it enforces, and the endpoint list contains a rate.
        uneven_traffic: a few forwarders get most of the traffic.
        half_idle: every second forwarder gets no message during the outage.
        bursts: about a third of the messages arrive twelve at a time at one forwarder.
        health_checks: messages are not idempotent, and forwarders may send health checks.

    """

    outage: Outage
    rate_listed: bool = False
    batch_size: int = 1
    uneven_traffic: bool = False
    half_idle: bool = False
    bursts: bool = False
    health_checks: bool = False

    @property
    def name(self) -> str:
        """The name of the case in tables and in the random seed."""
        labels = [label for trait, label in TRAIT_LABELS.items() if getattr(self, trait)]
        if self.batch_size > 1:
            labels.append(f"batches of {self.batch_size}")
        return ", ".join([str(self.outage), *labels])


CASES = (
    *(RecoveryCase(outage, listed) for outage in Outage for listed in (False, True)),
    *(RecoveryCase(Outage.FAILING, listed, uneven_traffic=True) for listed in (False, True)),
    *(RecoveryCase(Outage.FAILING, listed, half_idle=True) for listed in (False, True)),
    *(RecoveryCase(Outage.FAILING, listed, bursts=True) for listed in (False, True)),
    *(RecoveryCase(Outage.FAILING, listed, batch_size=20) for listed in (False, True)),
    *(RecoveryCase(Outage.FAILING, listed, health_checks=True) for listed in (False, True)),
    RecoveryCase(Outage.UNRESPONSIVE, True, uneven_traffic=True),
    RecoveryCase(Outage.REJECTING_WITH_RETRY_AFTER, True, uneven_traffic=True, bursts=True),
    RecoveryCase(Outage.REJECTING_WITH_RETRY_AFTER, False, batch_size=20, half_idle=True),
)
