"""The result of one run, and its codec.

The names of stored columns, in `results.jsonl`, `results.parquet` and the JSON output of the commands, are
fixed and partly differ from the names of the fields. `to_row` and `from_row` convert between them.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import Any, NamedTuple

from juniperward.simulation.policies import policy_name

VERSION = 2  # version 1 had no scenario text, source revision and machine


class RunKey(NamedTuple):
    """The key of a run: the digest of the scenario's text, the policy and the seed."""

    digest: str
    policy: str
    seed: int


@dataclass(frozen=True, slots=True)
class Result:
    """The result of one run. Times are in simulated seconds, except `wall_time_s`.

    Attributes:
        digest: the digest of the scenario's text.
        utility: the mean over all messages, from 0 to 1.
        utility_lost: the mean utility lost per message, by reason.
        by_second: pairs of message count and total utility, by the second in which the messages arrived.
        wall_time_s: the real time that the run took.
        events: the number of actions that the timeline ran.
        revision: the git revision of the sources, with "+" at the end for uncommitted changes.

    """

    scenario: str
    digest: str
    policy: str
    seed: int
    utility: float
    requested: int
    delivered: int
    rejected: int
    failed: int
    median_s: float
    p99_s: float
    calls: int
    calls_rejected: int
    duplicate_effects: int
    retry_after_violations: int
    destinations_crashed: int
    utility_lost: dict[str, float]
    by_second: list[list[float]]
    wall_time_s: float
    events: int
    scenario_text: str = ""
    revision: str = ""
    machine: str = ""
    version: int = VERSION

    @property
    def key(self) -> RunKey:
        """The key of the run."""
        return RunKey(self.digest, self.policy, self.seed)

    @property
    def violations(self) -> int:
        """The number of violations of all invariants."""
        return self.duplicate_effects + self.retry_after_violations + self.destinations_crashed


# Stored names by field of Result; other fields are stored under their own names.
STORED_NAMES = {
    "utility": "worth",
    "requested": "asked",
    "rejected": "refused",
    "median_s": "median",
    "p99_s": "p99",
    "calls_rejected": "calls_refused",
    "duplicate_effects": "second_effects",
    "retry_after_violations": "waits_broken",
    "destinations_crashed": "fallen",
    "utility_lost": "lost",
    "wall_time_s": "wall",
    "scenario_text": "text",
    "version": "v",
}
FIELD_NAMES = {STORED_NAMES.get(field.name, field.name): field.name for field in fields(Result)}


def to_row(result: Result) -> dict[str, Any]:
    """Return a result as a row with the stored names."""
    return {stored: getattr(result, field) for stored, field in FIELD_NAMES.items()}


def from_row(row: dict[str, Any]) -> Result:
    """Return the result of a row of this or an earlier version; unknown columns are ignored.

    Raises:
        TypeError: a column is missing.
        KeyError: the column of the policy is missing.

    """
    known = {FIELD_NAMES[stored]: value for stored, value in row.items() if stored in FIELD_NAMES}
    known["policy"] = policy_name(known["policy"])
    return Result(**known)
