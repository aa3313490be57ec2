"""The redriver's interface to the forwarders; the agent's `RunningFleet` implements it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from juniperward.dead_letters.clock import ClockReading
from juniperward.dead_letters.redrive_rate import DestinationView
from juniperward.dead_letters.resubmission import Resubmission, SubmissionAnswer
from juniperward.dead_letters.store import DeadLetterStore


@dataclass(frozen=True, slots=True)
class ReportedOutcome:
    """What a forwarder reports about a redrive; times are Unix time.

    Attributes:
        result: a value of RedriveResult, as the forwarder sent it.
        executed_at: the earliest time at which the message may have executed; None if it cannot have.
        complete_since: the forwarder knows all outcomes since then. An UNKNOWN result for a redrive that was
            leased earlier does not show that the redrive was never accepted.
    """

    result: str
    executed_at: float | None
    complete_since: float


class Fleet(Protocol):
    """The forwarders, as the redriver sees them."""

    def clock(self) -> ClockReading:
        """Return a reading of the machine's clocks."""

    def forwarders(self) -> list[str]:
        """Return the names of the forwarders that accept messages now."""

    def destination_views(self, destination: int) -> list[DestinationView]:
        """Return the report of each responding forwarder on a destination."""

    def endpoints(self, destination: int) -> frozenset[str] | None:
        """Return the endpoints now listed for a destination; None if no forwarder responds."""

    def slots(self) -> int:
        """Return how many attempts the whole fleet can have in flight."""

    def read_spools(self, store: DeadLetterStore) -> int:
        """Copy new messages from the spools into the store; return how many were new."""

    def submit(self, forwarder: str, message: Resubmission) -> SubmissionAnswer:
        """Submit a redrive to a forwarder and return its answer, as `resubmission.resubmit` does."""

    def outcomes(self, forwarder: str, ids: tuple[str, ...]) -> dict[str, ReportedOutcome] | None:
        """Return the outcomes of redrives by id; None if the forwarder does not respond."""
