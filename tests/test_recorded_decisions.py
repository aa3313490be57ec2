"""The scheduler decides as it did when its decisions were recorded, to the byte of each answer.

The inputs in `tests/recorded_decisions/` and the digests of the answers were written by the version before its
code was made readable (`tests/decision_days.py`). A change that is to alter decisions records them anew and says
in its commit which days changed and why.
"""

from __future__ import annotations

import gzip
import json
from pathlib import Path
from typing import Any

import pytest

from tests.decision_adapter import RecordedAdapter
from tests.decision_days import SITUATIONS, digest

FOLDER = Path(__file__).parent / "recorded_decisions"


def recorded_rounds(name: str) -> list[list[Any]]:
    """The rounds of a recorded day: time in milliseconds, events, digest of the answers."""
    text = gzip.decompress((FOLDER / f"{name}.jsonl.gz").read_bytes()).decode()
    return [json.loads(line) for line in text.splitlines()]


@pytest.mark.parametrize("name", sorted(SITUATIONS))
def test_decisions_equal_the_recorded_ones(name: str) -> None:
    rounds = recorded_rounds(name)
    assert len(rounds) >= 300
    adapter = RecordedAdapter()
    for number, (at, lines, expected) in enumerate(rounds):
        answers = adapter.answer(at, [(event, body) for event, body in lines])
        assert digest(answers) == expected, f"round {number} at {at} ms: {answers}"
