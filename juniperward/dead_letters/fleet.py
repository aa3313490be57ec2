"""What the redriver needs of the forwarders: the agent's `RunningFleet` is the real one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from juniperward.dead_letters.decisions import Clock, DestinationView
from juniperward.dead_letters.resubmission import Resubmission, SubmissionAnswer
from juniperward.dead_letters.store import DeadLetterStore


@dataclass(frozen=True, slots=True)
class ReportedOutcomes:
    """What a forwarder says became of a redrive; of before `complete_since` an unknown id says nothing."""

    end: str
    ran_at: float | None
    complete_since: float


class Fleet(Protocol):
    """What a round needs of the forwarders."""

    def clock(self) -> Clock:
        """The present moment."""

    def forwarders(self) -> list[str]:
        """Those that take messages now."""

    def destination_views(self, destination: int) -> list[DestinationView]:
        """What each forwarder that answers tells of a destination."""

    def endpoints(self, destination: int) -> frozenset[str] | None:
        """The endpoints that the list has for a destination; None where no forwarder tells."""

    def slots(self) -> int:
        """All slots of the fleet."""

    def read_spools(self, store: DeadLetterStore) -> int:
        """Read on in the spools; how many messages were new."""

    def submit(self, forwarder: str, message: Resubmission) -> SubmissionAnswer:
        """Status and Retry-After wait, as `resubmission.resubmit` has them."""

    def outcomes(self, forwarder: str, ids: tuple[str, ...]) -> dict[str, ReportedOutcomes] | None:
        """What became of redrives; None where the forwarder does not answer."""
