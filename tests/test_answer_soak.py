"""The rules hold beside every answer of endpoints, whole and in part, signals and kills; real processes, by seed."""

from __future__ import annotations

import pytest

from juniperward.benchmarks.answer_soak import run_seed

# Each takes some 16 s; `juniperward measure answer-soak` runs more of them by hand.
SEEDS = (1, 2, 3)


def test_seeded_soak_holds_rules_beside_every_answer(subtests: pytest.Subtests) -> None:
    # Guards against messages that are called again once they have ended, lost, out twice or run twice.
    for result in map(run_seed, SEEDS):
        with subtests.test(seed=result.seed):
            assert result.problems == [], result.cells()
            assert result.verdict.delivered > 0
