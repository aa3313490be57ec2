"""Finding out what became of open redrives, and writing it into the store. Called by the redriver each round."""

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
    """What one look at the open redrives found."""

    settled: int = 0
    open: int = 0
    unresolved: list[str] = field(default_factory=list)  # ids; their forwarder does not remember so far back


class RedriveSettler:
    """Polls the forwarders for outcomes; a lease stays as it is until its outcome is certain."""

    def __init__(self, store: DeadLetterStore, fleet: Fleet) -> None:
        """Take the store with the leases, and the forwarders to poll."""
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
                part = leases[first : first + MAX_IDS_PER_REQUEST]
                self._settle_part(settlement, forwarder, part, now)
        return settlement

    def _settle_part(self, settlement: Settlement, forwarder: str, leases: list[Lease], now: float) -> None:
        reported = self._fleet.outcomes(forwarder, tuple(lease.redrive_id for lease in leases))
        if reported is None:
            return  # the leases stay: nothing is concluded from an unresponsive forwarder
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
                settlement.unresolved.append(lease.redrive_id)  # a person must settle it
                return
            # Having said so, the forwarder never will accept it.
            result = RedriveResult.NEVER_ACCEPTED
        try:
            self._store.settle_redrive(lease, result, reported.executed_at, now)
        except LeaseLostError:
            return  # a person settled it meanwhile
        settlement.settled += 1
        settlement.open -= 1
