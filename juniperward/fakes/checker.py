"""The checker: from the fakes' records alone, whether every rule held in a run. Pure.

In: the records of a run and the bounds of the rules. Out: a `Verdict` with every violation, its story (all records
about its message or endpoint) and what was counted. Tests, `LocalCluster` and the benchmarks call `check`.
"""

from __future__ import annotations

from collections.abc import Iterable

from juniperward.fakes.record_index import RecordIndex
from juniperward.fakes.records import AnyRecord
from juniperward.fakes.rules import RULES
from juniperward.fakes.tally import tally
from juniperward.fakes.verdict import DEFAULT_BOUNDS, Bounds, Verdict


def check(records: Iterable[AnyRecord], bounds: Bounds = DEFAULT_BOUNDS) -> Verdict:
    """Return the verdict on a run, its violations sorted by time."""
    index = RecordIndex(records)
    verdict = tally(index, bounds)
    for rule in RULES:
        verdict.violations += rule(index, bounds)
    verdict.violations.sort(key=lambda violation: violation.at)
    return verdict
