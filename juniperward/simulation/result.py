"""One run's result, and its codec: the field's names in the code, the stored names in files.

Files (`results.jsonl`, `results.parquet`) and the tool's JSON output have the names that the first version wrote;
`to_row` and `from_row` map them. Called by `result_store`, `experiment` and the command line.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import Any, NamedTuple

from juniperward.simulation.policies import policy_name

VERSION = 2  # 1 had neither the scenario's text nor where and from what it was run


class RunKey(NamedTuple):
    """What names a run: the digest of the scenario's text, the policy and the seed."""

    digest: str
    policy: str
    seed: int


@dataclass(frozen=True, slots=True)
class Result:
    """One run; times in seconds of the simulated day, `wall_time_s` of the machine that ran it."""

    scenario: str
    digest: str  # of the scenario's text
    policy: str
    seed: int
    utility: float  # a mean over all messages, from 0 to 1
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
    utility_lost: dict[str, float]  # by reason
    by_second: list[list[float]]  # messages requested and their utility, by the second of their arrival
    wall_time_s: float
    events: int
    scenario_text: str = ""
    revision: str = ""  # of the sources; a + at its end: with changes that were not committed
    machine: str = ""
    version: int = VERSION

    @property
    def key(self) -> RunKey:
        """What names the run."""
        return RunKey(self.digest, self.policy, self.seed)

    @property
    def violations(self) -> int:
        """How often the run violated an invariant."""
        return self.duplicate_effects + self.retry_after_violations + self.destinations_crashed


# Stored names, by those of Result's fields; others are stored as they are.
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
    """Return a result under the stored names."""
    return {stored: getattr(result, field) for stored, field in FIELD_NAMES.items()}


def from_row(row: dict[str, Any]) -> Result:
    """Return the result of a row, of this version or an older one; columns that it does not know are left out.

    Raises:
        TypeError: a column is missing.
        KeyError: it has no policy.

    """
    known = {FIELD_NAMES[stored]: value for stored, value in row.items() if stored in FIELD_NAMES}
    known["policy"] = policy_name(known["policy"])
    return Result(**known)
