"""The cases of a recovery: how a destination fails, and how its traffic comes. `recovery_simulation` plays them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Outage(StrEnum):
    """How the destination fails; the values are labels of the tables and part of the random seed."""

    FAILING = "failing"  # answers each call with an error at once
    MOSTLY_FAILING = "mostly failing"  # four calls of five
    UNRESPONSIVE = "silent"  # accepts calls and never answers; they are reset at the return
    REJECTING = "shut"  # rejects each call
    REJECTING_WITH_RETRY_AFTER = "shut, wait told"  # and sends a Retry-After that ends with the return
    DOWN = "down"  # refuses connections: no call reaches it


# The labels of a case's traits; they are part of the random seed, so they stay as the first runs had them.
TRAIT_LABELS = {
    "rate_listed": "listed",
    "uneven_traffic": "uneven",
    "half_idle": "half see",
    "bursts": "clumps",
    "health_checks": "probing",
}


@dataclass(frozen=True, slots=True)
class RecoveryCase:
    """What happens to the destination, and how its traffic comes."""

    outage: Outage
    rate_listed: bool = False  # its rate is in the endpoint list, and it rejects calls above that
    batch_size: int = 1
    uneven_traffic: bool = False  # a few forwarders get most of the traffic
    half_idle: bool = False  # every second forwarder gets no message during the outage
    bursts: bool = False  # a third of the messages come twelve at a time to one forwarder
    health_checks: bool = False  # non-idempotent messages, where health checks are allowed

    @property
    def name(self) -> str:
        """What sets it apart, for tables and the random seed."""
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
