"""The rules hold beside endpoints that send stray answers, signals and kills; real processes, by seed."""

from __future__ import annotations

import pytest

from juniperward.benchmarks.stray_soak import run_seed

# Each takes some 16 s; `juniperward measure stray-soak` runs more of them by hand.
SEEDS = (1, 2, 3)


def test_seeded_soak_holds_rules_beside_stray_answers(subtests: pytest.Subtests) -> None:
    # Guards against messages that are lost, out twice or run twice for an answer to an earlier call.
    for result in map(run_seed, SEEDS):
        with subtests.test(seed=result.seed):
            assert result.problems == [], result.cells()
            assert result.verdict.delivered > 0
