"""The scheduler's decisions equal the recorded ones, which `tests/decision_days.py` writes."""

from __future__ import annotations

import gzip
import json
from pathlib import Path
from typing import Any

import pytest

from tests.decision_adapter import ExtendedAdapter
from tests.decision_days import SCENARIOS, digest

FOLDER = Path(__file__).parent / "recorded_decisions"


def recorded_rounds(name: str) -> list[list[Any]]:
    """Return the rounds of a recorded scenario: time in milliseconds, events, digest of the answers."""
    text = gzip.decompress((FOLDER / f"{name}.jsonl.gz").read_bytes()).decode()
    return [json.loads(line) for line in text.splitlines()]


@pytest.mark.parametrize("name", sorted(SCENARIOS))
def test_decisions_equal_the_recorded_ones(name: str) -> None:
    rounds = recorded_rounds(name)
    assert len(rounds) >= 300
    adapter = ExtendedAdapter()
    for number, (at, lines, expected) in enumerate(rounds):
        answers = adapter.answer(at, [(event, body) for event, body in lines])
        assert digest(answers) == expected, f"round {number} at {at} ms: {answers}"
