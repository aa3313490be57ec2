"""Settles open redrives: polls the forwarders for their outcomes and records these in the store."""

from __future__ import annotations

from dataclasses import dataclass, field

from juniperward.dead_letters.fleet import Fleet, ReportedOutcome
from juniperward.dead_letters.outcome import RedriveResult
from juniperward.dead_letters.selection import Lease
from juniperward.dead_letters.store import DeadLetterStore
from juniperward.dead_letters.store_errors import LeaseLostError

MAX_IDS_PER_REQUEST = 100


@dataclass(slots=True)
class Settlement:
    """The result of polling for all open redrives.

    Attributes:
        settled: how many redrives were settled.
        open: how many remain unsettled.
        unresolved: ids of redrives whose outcome their forwarder no longer knows.
    """

    settled: int = 0
    open: int = 0
    unresolved: list[str] = field(default_factory=list)


class RedriveSettler:
    """Polls the forwarders for outcomes. A lease remains open until its outcome is certain."""

    def __init__(self, store: DeadLetterStore, fleet: Fleet) -> None:
        """Use the leases in `store` and poll the forwarders of `fleet`."""
        self._store, self._fleet = store, fleet

    def settle(self, now: float) -> Settlement:
        """Settle each open redrive whose outcome its forwarder reports."""
        settlement = Settlement()
        by_forwarder: dict[str, list[Lease]] = {}
        for lease in self._store.open_redrives():
            by_forwarder.setdefault(lease.forwarder, []).append(lease)
            settlement.open += 1
        for forwarder, leases in by_forwarder.items():
            for first in range(0, len(leases), MAX_IDS_PER_REQUEST):
                batch = leases[first : first + MAX_IDS_PER_REQUEST]
                self._settle_batch(settlement, forwarder, batch, now)
        return settlement

    def _settle_batch(self, settlement: Settlement, forwarder: str, leases: list[Lease], now: float) -> None:
        reported = self._fleet.outcomes(forwarder, tuple(lease.redrive_id for lease in leases))
        if reported is None:
            return  # an unresponsive forwarder may still be processing the redrives
        for lease in leases:
            self._settle_one(settlement, lease, reported.get(lease.redrive_id), now)

    def _settle_one(
        self, settlement: Settlement, lease: Lease, reported: ReportedOutcome | None, now: float
    ) -> None:
        if reported is None or reported.result == RedriveResult.PENDING:
            return
        result = reported.result
        if result == RedriveResult.UNKNOWN:
            if reported.complete_since > lease.leased_at:
                settlement.unresolved.append(lease.redrive_id)  # an operator must settle it
                return
            # After this report, the forwarder rejects a late submission with this id.
            result = RedriveResult.NEVER_ACCEPTED
        try:
            self._store.settle_redrive(lease, result, reported.executed_at, now)
        except LeaseLostError:
            return  # an operator settled it meanwhile
        settlement.settled += 1
        settlement.open -= 1
