"""What the redriver needs of the forwarders: the agent's `RunningFleet` is the real one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from juniperward.dead_letters.clock import ClockReading
from juniperward.dead_letters.redrive_rate import DestinationView
from juniperward.dead_letters.resubmission import Resubmission, SubmissionAnswer
from juniperward.dead_letters.store import DeadLetterStore


@dataclass(frozen=True, slots=True)
class ReportedOutcome:
    """What a forwarder reports of a redrive; an unknown id of before `complete_since` says nothing."""

    result: str  # one of RedriveResult, as the forwarder sent it
    executed_at: float | None  # when it first may have executed (Unix time); None: never
    complete_since: float  # Unix time since which the forwarder remembers every outcome


class Fleet(Protocol):
    """What a round needs of the forwarders."""

    def clock(self) -> ClockReading:
        """Return the present moment."""

    def forwarders(self) -> list[str]:
        """Return the names of those that accept messages now."""

    def destination_views(self, destination: int) -> list[DestinationView]:
        """Return what each forwarder that answers reports of a destination."""

    def endpoints(self, destination: int) -> frozenset[str] | None:
        """Return the endpoints listed for a destination; None where no forwarder answers."""

    def slots(self) -> int:
        """Return how many attempts the fleet can have in flight."""

    def read_spools(self, store: DeadLetterStore) -> int:
        """Read on in the spools; return how many messages were new."""

    def submit(self, forwarder: str, message: Resubmission) -> SubmissionAnswer:
        """Return the answer of a forwarder's front door, as `resubmission.resubmit` does."""

    def outcomes(self, forwarder: str, ids: tuple[str, ...]) -> dict[str, ReportedOutcome] | None:
        """Return the outcomes of redrives, by id; None where the forwarder does not answer."""
