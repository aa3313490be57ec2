"""Checks the records of a run against the rules of the protocol.

The check uses nothing but the records that the fakes wrote. Its result is a `Verdict`: the violations, each with all
records about its message or endpoint, and counts of messages and attempts.
"""

from __future__ import annotations

from collections.abc import Iterable

from juniperward.fakes.record_index import RecordIndex
from juniperward.fakes.records import AnyRecord
from juniperward.fakes.rules import RULES
from juniperward.fakes.tally import tally
from juniperward.fakes.verdict import DEFAULT_BOUNDS, Bounds, Verdict


def check(records: Iterable[AnyRecord], bounds: Bounds = DEFAULT_BOUNDS) -> Verdict:
    """Return the verdict on the records of a run, in any order; its violations are sorted by time."""
    index = RecordIndex(records)
    verdict = tally(index, bounds)
    for rule in RULES:
        verdict.violations += rule(index, bounds)
    verdict.violations.sort(key=lambda violation: violation.at)
    return verdict
